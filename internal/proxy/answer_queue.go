package proxy

import (
	"sync"
	"time"

	"flintspread/internal/loadshed"
)

const (
	// answerChunkBytes is written to a slow client at a time; each has a write deadline of its own.
	answerChunkBytes = 64 << 10

	// keptAnswerBytes is the largest buffer that a connection keeps between answers.
	keptAnswerBytes = 16 << 10
)

// pendingAnswer is the place of an answer in its client's order.
type pendingAnswer struct {
	bytes     []byte
	completed bool
}

// answerQueue holds the answers that a client of a pipelined protocol waits for, in the order of its requests: an answer
// that comes early waits for those before it.
type answerQueue struct {
	mu        sync.Mutex
	pending   []*pendingAnswer // the oldest first
	unwritten []byte           // answers whose turn has come, as far as the kernel has not taken them
	writing   bool             // a goroutine of its own writes
	broken    bool             // a write failed: the client has gone
}

// queueState is how an answerQueue is at a moment.
type queueState struct {
	outstanding bool // an answer is pending, or is not yet taken by the kernel
	mayPipeline bool // further requests may be read
	broken      bool
}

// enqueue gives the next request's answer its place.
func (q *answerQueue) enqueue() *pendingAnswer {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := &pendingAnswer{}
	q.pending = append(q.pending, pending)
	return pending
}

func (q *answerQueue) state() queueState {
	q.mu.Lock()
	defer q.mu.Unlock()
	return queueState{
		outstanding: len(q.pending) > 0 || len(q.unwritten) > 0 || q.writing,
		mayPipeline: loadshed.MayPipeline(len(q.pending), len(q.unwritten)),
		broken:      q.broken,
	}
}

// collectCompleted moves the answers whose turn has come to unwritten. The caller holds q.mu.
func (q *answerQueue) collectCompleted() {
	for len(q.pending) > 0 && q.pending[0].completed {
		q.unwritten = append(q.unwritten, q.pending[0].bytes...)
		q.pending[0] = nil
		q.pending = q.pending[1:]
	}
}

// completeAnswer sets an answer, and writes those whose turn has come by that, without waiting; what the kernel does not
// take at once is written by a goroutine of its own.
func (conn *clientConn) completeAnswer(pending *pendingAnswer, bytes []byte) {
	defer conn.wakeReader() // after the lock is given back
	queue := &conn.answers
	queue.mu.Lock()
	defer queue.mu.Unlock()
	pending.bytes, pending.completed = bytes, true
	queue.collectCompleted()
	if len(queue.unwritten) == 0 || queue.writing || queue.broken {
		return
	}
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
	case cap(queue.unwritten) > keptAnswerBytes:
		queue.unwritten = nil
	}
}

// writeRemaining writes to a client that reads slowly until the queue has nothing unwritten. It goes on for as long as the
// client takes a chunk within the longest request timeout: half an answer is no answer.
func (conn *clientConn) writeRemaining() {
	defer conn.proxy.goroutines.Done()
	queue := &conn.answers
	for {
		queue.mu.Lock()
		buf := queue.unwritten
		queue.unwritten = nil
		queue.writing = len(buf) > 0 && !queue.broken
		writing := queue.writing
		queue.mu.Unlock()
		if !writing {
			conn.wakeReader()
			return
		}
		conn.proxy.memory.add(len(buf))
		err := conn.writeChunks(buf)
		conn.proxy.memory.add(-len(buf))
		if err != nil {
			queue.mu.Lock()
			queue.broken = true
			queue.mu.Unlock()
			conn.socket.Close()
		}
	}
}

// writeChunks writes all of buf, and waits for each chunk as long as a request may take at most.
func (conn *clientConn) writeChunks(buf []byte) (err error) {
	for rest := buf; len(rest) > 0 && err == nil; rest = rest[min(answerChunkBytes, len(rest)):] {
		conn.socket.SetWriteDeadline(time.Now().Add(secondsToDuration(conn.proxy.longestTimeoutSeconds())))
		_, err = conn.socket.Write(rest[:min(answerChunkBytes, len(rest))])
	}
	conn.socket.SetWriteDeadline(time.Time{})
	return err
}

// longestTimeoutSeconds is the longest request timeout of the configuration in force.
func (p *Proxy) longestTimeoutSeconds() float64 {
	longest := 0.0
	for _, class := range p.currentConfig.Load().Policy.Classes {
		longest = max(longest, class.TimeoutSeconds)
	}
	return longest
}
