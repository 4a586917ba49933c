package proxy

import (
	"sync"
	"time"

	"flintspread/internal/loadshed"
)

const (
	// answerChunkBytes is the maximum size of one write to a slow client. Each chunk has its own write deadline.
	answerChunkBytes = 64 << 10

	// maxReusedBufferBytes is the largest buffer that a connection keeps for reuse between answers.
	maxReusedBufferBytes = 16 << 10
)

// pendingAnswer is an answer's slot in its connection's answerQueue.
type pendingAnswer struct {
	bytes     []byte
	completed bool
}

// answerQueue holds the outstanding answers of a pipelined connection in request order. An answer is written only after
// all earlier ones are complete.
type answerQueue struct {
	mu        sync.Mutex
	pending   []*pendingAnswer // oldest first
	unwritten []byte           // completed answers, in order, that the kernel has not accepted yet
	writing   bool             // a writeRemaining goroutine is running
	broken    bool             // a write failed: the connection is closed
}

// queueState is a snapshot of an answerQueue.
type queueState struct {
	outstanding bool // an answer is pending, or the kernel has not accepted all bytes of a completed one
	mayPipeline bool // further requests may be read
	broken      bool
}

// enqueue reserves the slot for the next request's answer.
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

// collectCompleted moves completed answers at the head of the queue to unwritten. The caller holds q.mu.
func (q *answerQueue) collectCompleted() {
	for len(q.pending) > 0 && q.pending[0].completed {
		q.unwritten = append(q.unwritten, q.pending[0].bytes...)
		q.pending[0] = nil
		q.pending = q.pending[1:]
	}
}

// completeAnswer completes an answer and writes every answer that may now be sent, without blocking. A separate
// goroutine writes what the kernel does not accept at once.
func (conn *clientConn) completeAnswer(pending *pendingAnswer, bytes []byte) {
	defer conn.wakeReader() // runs after the unlock
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
	case cap(queue.unwritten) > maxReusedBufferBytes:
		queue.unwritten = nil
	}
}

// writeRemaining writes to a slow client until the queue has no unwritten bytes. It continues as long as the client
// accepts each chunk within the longest request timeout, since a truncated answer is useless.
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

// writeChunks writes all of buf. It blocks for up to the longest request timeout per chunk.
func (conn *clientConn) writeChunks(buf []byte) (err error) {
	for rest := buf; len(rest) > 0 && err == nil; rest = rest[min(answerChunkBytes, len(rest)):] {
		conn.socket.SetWriteDeadline(time.Now().Add(secondsToDuration(conn.proxy.longestTimeoutSeconds())))
		_, err = conn.socket.Write(rest[:min(answerChunkBytes, len(rest))])
	}
	conn.socket.SetWriteDeadline(time.Time{})
	return err
}

// longestTimeoutSeconds returns the longest request timeout of the configuration in force.
func (p *Proxy) longestTimeoutSeconds() float64 {
	return p.currentConfig.Load().Policy.LongestTimeoutSeconds()
}
