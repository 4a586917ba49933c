package proxy

import (
	"sync"
	"time"

	"flintspread/internal/loadshed"
)

// pendingAnswer is an answer's place in its client's order.
type pendingAnswer struct {
	bytes []byte
	completed  bool
}

// answerQueue holds what one client is owed, the oldest first: answers follow the order of its commands, whoever comes first.
type answerQueue struct {
	mu      sync.Mutex
	pending    []*pendingAnswer
	unwritten     []byte // due, and not yet taken by the kernel
	writing bool   // a goroutine of its own writes
	broken    bool
}

func (q *answerQueue) enqueue() *pendingAnswer {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := &pendingAnswer{}
	q.pending = append(q.pending, pending)
	return pending
}

// state tells whether something is still owed or on its way, whether more may be read, and whether nobody is there any more.
func (q *answerQueue) state() (owed, room, dead bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending) > 0 || len(q.unwritten) > 0 || q.writing, loadshed.MayPipeline(len(q.pending), len(q.unwritten)), q.broken
}

// completeAnswer gives an answer, and writes what is due by that, without waiting; what the kernel does not take at once goes on by
// itself.
func (conn *clientConn) completeAnswer(pending *pendingAnswer, bytes []byte) {
	defer conn.wakeReader()
	queue := &conn.answers
	queue.mu.Lock()
	defer queue.mu.Unlock()
	pending.bytes, pending.completed = bytes, true
	for len(queue.pending) > 0 && queue.pending[0].completed {
		queue.unwritten = append(queue.unwritten, queue.pending[0].bytes...)
		queue.pending[0] = nil
		queue.pending = queue.pending[1:]
	}
	if len(queue.unwritten) > 0 && !queue.writing && !queue.broken {
		n, err := conn.socket.writeNow(queue.unwritten)
		queue.unwritten = queue.unwritten[:copy(queue.unwritten, queue.unwritten[n:])]
		switch {
		case err != nil:
			queue.broken = true
			conn.socket.Close()
		case len(queue.unwritten) > 0:
			queue.writing = true
			conn.proxy.goroutines.Add(1)
			go conn.writeRemaining()
		case cap(queue.unwritten) > 16<<10:
			queue.unwritten = nil
		}
	}
}

// writeRemaining writes for a client that reads slowly, for as long as it takes something: an answer that is cut is none. One that takes
// nothing is waited for as long as a command may take at most.
func (conn *clientConn) writeRemaining() {
	const piece = 64 << 10
	defer conn.proxy.goroutines.Done()
	queue := &conn.answers
	for {
		queue.mu.Lock()
		buf := queue.unwritten
		queue.unwritten = nil
		if queue.writing = len(buf) > 0 && !queue.broken; !queue.writing {
			queue.mu.Unlock()
			conn.wakeReader()
			return
		}
		queue.mu.Unlock()
		conn.proxy.memory.add(len(buf))
		var err error
		for rest := buf; len(rest) > 0 && err == nil; rest = rest[min(piece, len(rest)):] {
			conn.socket.SetWriteDeadline(time.Now().Add(secondsToDuration(conn.proxy.longestTimeoutSeconds())))
			_, err = conn.socket.Write(rest[:min(piece, len(rest))])
		}
		conn.socket.SetWriteDeadline(time.Time{})
		conn.proxy.memory.add(-len(buf))
		if err != nil {
			queue.mu.Lock()
			queue.broken = true
			queue.mu.Unlock()
			conn.socket.Close()
		}
	}
}

// longestTimeoutSeconds is the most that a command may take by the settings, s.
func (p *Proxy) longestTimeoutSeconds() float64 {
	most := 0.0
	for _, class := range p.currentConfig.Load().Policy.Classes {
		most = max(most, class.TimeoutSeconds)
	}
	return most
}
