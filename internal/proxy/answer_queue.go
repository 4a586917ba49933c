package proxy

import (
	"slices"
	"sync"
	"time"

	"flintspread/internal/loadshed"
)

// answerChunkBytes is the maximum size of one write to a slow client. Each chunk has its own write deadline.
const answerChunkBytes = 64 << 10

// pendingAnswer is an answer's slot in its connection's answerQueue.
type pendingAnswer struct {
	bytes     []byte
	completed bool
}

// answerQueue holds the outstanding answers of a pipelined connection in request order. An answer is written only after
// all earlier ones are complete.
type answerQueue struct {
	mu             sync.Mutex
	pending        []*pendingAnswer // oldest first
	completedBytes int              // size of the completed answers in pending
	unwritten      []byte           // completed answers, in order, that the kernel has not accepted yet
	writingBytes   int              // bytes that a writeRemaining goroutine is writing
	writing        bool             // a writeRemaining goroutine is running
	broken         bool             // the connection has ended, or must end because a write failed
	memory         memoryHold       // of the answers until the kernel has accepted them
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

// complete completes an answer. It moves the completed answers at the head of the queue to unwritten. The caller holds
// q.mu.
func (q *answerQueue) complete(pending *pendingAnswer, bytes []byte) {
	pending.bytes, pending.completed = bytes, true
	q.completedBytes += len(bytes)
	for len(q.pending) > 0 && q.pending[0].completed {
		first := q.pending[0].bytes
		if len(q.unwritten) == 0 {
			q.unwritten = slices.Clip(first) // no copy: appending to a clipped slice leaves the answer unchanged
		} else {
			q.unwritten = append(q.unwritten, first...)
		}
		q.completedBytes -= len(first)
		q.pending[0] = nil
		q.pending = q.pending[1:]
	}
}

// countMemory counts the bytes that the queue holds against the memory budget. The caller holds q.mu.
func (q *answerQueue) countMemory() {
	q.memory.resize(q.completedBytes + len(q.unwritten) + q.writingBytes)
}

// breakOff discards the answers of a connection that has ended. The caller holds q.mu.
func (q *answerQueue) breakOff() {
	q.broken = true
	q.pending, q.completedBytes, q.unwritten = nil, 0, nil
	q.countMemory()
}

// close discards the answers once the connection has ended.
func (q *answerQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.breakOff()
}

// completeAnswer completes an answer and writes every answer that may now be sent, without blocking. A separate
// goroutine writes what the kernel does not accept at once.
func (conn *clientConn) completeAnswer(pending *pendingAnswer, bytes []byte) {
	defer conn.wakeReader() // runs after the unlock
	queue := &conn.answers
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if queue.broken {
		return
	}
	queue.complete(pending, bytes)
	if len(queue.unwritten) > 0 && !queue.writing {
		n, err := conn.socket.writeNow(queue.unwritten)
		queue.unwritten = queue.unwritten[n:]
		switch {
		case err != nil:
			queue.breakOff()
			conn.socket.Close()
		case len(queue.unwritten) > 0:
			queue.writing = true
			conn.proxy.goroutines.Add(1)
			go conn.writeRemaining()
		default:
			queue.unwritten = nil
		}
	}
	queue.countMemory()
}

// writeRemaining writes to a slow client until the queue has no unwritten bytes. It continues as long as the client
// accepts each chunk within the longest request timeout, since a truncated answer is useless.
func (conn *clientConn) writeRemaining() {
	defer conn.proxy.goroutines.Done()
	queue := &conn.answers
	for {
		buf := queue.takeUnwritten()
		if buf == nil {
			conn.wakeReader()
			return
		}
		if err := conn.writeChunks(buf); err != nil {
			queue.close()
			conn.socket.Close()
		}
	}
}

// takeUnwritten returns the next bytes for the writeRemaining goroutine, whose earlier bytes are written. It returns nil,
// and the goroutine must end, if there are none or the queue is broken.
func (q *answerQueue) takeUnwritten() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	buf := q.unwritten
	q.unwritten = nil
	if q.broken || len(buf) == 0 {
		buf = nil
	}
	q.writing, q.writingBytes = buf != nil, len(buf)
	q.countMemory()
	return buf
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
