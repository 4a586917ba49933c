package loadgen

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// maxSleepSeconds is the maximum time between two checks for expired requests that wait for a connection.
	maxSleepSeconds = 0.05
	// A retry is scheduled only if the class's latency objective divided by retryObjectiveDivisor remains until the
	// client's timeout.
	retryObjectiveDivisor = 4
)

// retryQueue is a heap of retries, ordered by the time at which they are due.
type retryQueue []*request

// Len implements heap.Interface.
func (q retryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q retryQueue) Less(i, j int) bool { return q[i].dueAt < q[j].dueAt }

// Swap implements heap.Interface.
func (q retryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *retryQueue) Push(x any) { *q = append(*q, x.(*request)) }

// Pop implements heap.Interface.
func (q *retryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// runner is a run in progress.
type runner struct {
	plan           *Plan
	startedAt      time.Time
	connGoroutines sync.WaitGroup // goroutines of the connections

	mu              sync.Mutex
	idleConns       []*conn
	connCount       int
	waitingRequests []*request // requests that wait because no connection is idle and MaxConns are open
	retries         retryQueue
	outcome         *Outcome
}

func (r *runner) now() float64 { return time.Since(r.startedAt).Seconds() }

// Run sends a plan's requests and waits until each has a final result. If progress is not nil, it is called once a
// second and must not block. If the context ends before the run, Run returns the context's error.
func Run(ctx context.Context, p *Plan, progress func(t float64, o *Outcome)) (*Outcome, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	r := &runner{plan: p, startedAt: time.Now(), outcome: newOutcome(p)}
	source, arrivals := newRequestSource(p), p.Shape.Arrivals(p.Seed)
	arrival, more := arrivals()
	nextProgress := 1.0
	for ctx.Err() == nil {
		now := r.now()
		for more && arrival.At <= now {
			request, err := source.request(arrival)
			if err != nil {
				return nil, err
			}
			r.dispatch(request)
			arrival, more = arrivals()
			now = r.now()
		}
		next := now + maxSleepSeconds
		if more {
			next = min(next, arrival.At)
		}
		next = min(next, r.sendRetries(now, next))
		r.mu.Lock()
		r.expireWaiting(now)
		done := !more && r.outcome.unfinished() == 0
		if now >= nextProgress && progress != nil {
			progress(now, r.outcome)
			nextProgress++
		}
		r.mu.Unlock()
		if done {
			break
		}
		if wait := next - r.now(); wait > 0 {
			time.Sleep(seconds(wait))
		}
	}
	r.closeIdle()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.connGoroutines.Wait()
	r.outcome.finish(p)
	return r.outcome, nil
}

// seconds converts seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sendRetries sends the retries that are due. It returns the time of the next retry, but at most latest.
func (r *runner) sendRetries(now, latest float64) float64 {
	for {
		retry, next := r.popDueRetry(now, latest)
		if retry == nil {
			return next
		}
		r.dispatch(retry)
	}
}

// popDueRetry removes and returns a retry that is due. If none is due, it returns nil and the time of the next retry,
// but at most latest.
func (r *runner) popDueRetry(now, latest float64) (*request, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(r.retries) == 0:
		return nil, latest
	case r.retries[0].dueAt <= now:
		return heap.Pop(&r.retries).(*request), latest
	}
	return nil, min(latest, r.retries[0].dueAt)
}

// expireWaiting gives up requests whose client's timeout expires while they wait for a connection. The caller must hold
// the lock.
func (r *runner) expireWaiting(now float64) {
	count := 0
	for count < len(r.waitingRequests) && now >= r.deadline(r.waitingRequests[count]) {
		r.outcome.recordResult(r.waitingRequests[count], now, gaveUp)
		count++
	}
	r.waitingRequests = r.waitingRequests[count:]
}

// deadline returns the time at which the client of a request gives up.
func (r *runner) deadline(req *request) float64 {
	return req.firstDueAt + r.plan.Classes[req.class].TimeoutSeconds
}

// closeIdle ends the goroutines of idle connections and stores the length of the run.
func (r *runner) closeIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.idleConns {
		close(c.requests)
	}
	r.idleConns = nil
	r.outcome.LengthSeconds = r.now()
}

// dispatch passes a request to an idle connection or to a new one. If neither is available, the request waits.
func (r *runner) dispatch(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.retries == 0 {
		r.outcome.recordArrival(req)
	}
	if n := len(r.idleConns); n > 0 {
		c := r.idleConns[n-1]
		r.idleConns = r.idleConns[:n-1]
		r.outcome.recordLag(r.now() - req.dueAt)
		c.requests <- req // does not block: the channel of an idle connection is empty
		return
	}
	if r.connCount >= r.plan.MaxConns {
		r.waitingRequests = append(r.waitingRequests, req)
		return
	}
	r.connCount++
	r.outcome.recordLag(r.now() - req.dueAt)
	c := &conn{requests: make(chan *request, 1)}
	if r.plan.ClientAddresses > 0 {
		c.localAddress = fmt.Sprintf("127.0.%d.%d:0", 1+req.client/250, 1+req.client%250)
	}
	c.requests <- req
	r.connGoroutines.Go(func() { r.serve(c) })
}

// serve sends the requests that are passed to a connection until its channel is closed.
func (r *runner) serve(c *conn) {
	defer c.close()
	for req := range c.requests {
		for req != nil {
			req = r.serveOne(c, req)
		}
	}
}

// serveOne sends one request and records its result. It returns a waiting request for the connection to send next, or
// nil if none waits.
func (r *runner) serveOne(c *conn, req *request) (next *request) {
	result, retryAfterSeconds := r.attempt(c, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if result != rejected || !r.scheduleRetry(req, now, retryAfterSeconds) {
		r.outcome.recordResult(req, now, result)
	}
	if len(r.waitingRequests) > 0 {
		next = r.waitingRequests[0]
		r.waitingRequests = r.waitingRequests[1:]
		return next
	}
	r.idleConns = append(r.idleConns, c)
	return nil
}

// scheduleRetry schedules a retry of a rejected request. It returns false if the request has no retries or too little
// time left. The caller must hold the lock.
func (r *runner) scheduleRetry(req *request, now, retryAfterSeconds float64) bool {
	if req.retries >= r.plan.MaxRetries {
		return false
	}
	at := now
	if !r.plan.IgnoreRetryAfter {
		at += retryAfterSeconds
	}
	if at+r.plan.Classes[req.class].LatencyObjectiveSeconds/retryObjectiveDivisor >= r.deadline(req) {
		return false
	}
	r.outcome.Retries++
	retry := *req
	retry.dueAt, retry.retries = at, req.retries+1
	heap.Push(&r.retries, &retry)
	return true
}
