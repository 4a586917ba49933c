package loadgen

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// maxWaitSeconds is the longest time between two looks at requests that wait for a connection.
	maxWaitSeconds = 0.05
	// A retry must have its class's latency objective divided by this left before the client's timeout.
	retryObjectiveDivisor = 4
)

// retryQueue is a heap of retries by the instant at which they are to be sent.
type retryQueue []*request

// Len is part of heap.Interface.
func (q retryQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q retryQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap is part of heap.Interface.
func (q retryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *retryQueue) Push(x any) { *q = append(*q, x.(*request)) }

// Pop is part of heap.Interface.
func (q *retryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// runner is a run in progress.
type runner struct {
	plan      *Plan
	startedAt time.Time
	serving   sync.WaitGroup // goroutines of connections

	mu      sync.Mutex
	idle    []*conn
	conns   int
	waiting []*request // for a connection: none is idle, and no more may be opened
	retries retryQueue
	outcome *Outcome
}

func (r *runner) now() float64 { return time.Since(r.startedAt).Seconds() }

// Run offers a plan's requests and waits until each has ended. progress, if it is not nil, is called each second, and must not block.
// A run whose context ends gives the context's error.
func Run(ctx context.Context, p *Plan, progress func(t float64, o *Outcome)) (*Outcome, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	r := &runner{plan: p, startedAt: time.Now(), outcome: newOutcome(p)}
	source, arrivals := newRequestSource(p), p.Shape.Times(p.Seed)
	arrival, more := arrivals()
	nextProgress := 1.0
	for ctx.Err() == nil {
		now := r.now()
		for more && arrival.At <= now {
			request, err := source.request(arrival)
			if err != nil {
				return nil, err
			}
			r.send(request)
			arrival, more = arrivals()
			now = r.now()
		}
		next := now + maxWaitSeconds
		if more {
			next = min(next, arrival.At)
		}
		next = min(next, r.sendRetries(now, next))
		r.mu.Lock()
		r.giveUpWaiting(now)
		done := !more && r.outcome.open() == 0
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
	r.serving.Wait()
	r.outcome.finish(p)
	return r.outcome, nil
}

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sendRetries sends the retries that are due, and gives when the next one is, at latest.
func (r *runner) sendRetries(now, latest float64) float64 {
	for {
		retry, next := r.takeRetry(now, latest)
		if retry == nil {
			return next
		}
		r.send(retry)
	}
}

// takeRetry takes a retry that is due, or gives when the next one is, at latest.
func (r *runner) takeRetry(now, latest float64) (*request, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(r.retries) == 0:
		return nil, latest
	case r.retries[0].at <= now:
		return heap.Pop(&r.retries).(*request), latest
	}
	return nil, min(latest, r.retries[0].at)
}

// giveUpWaiting ends requests that wait for a connection longer than their clients would. Under the lock.
func (r *runner) giveUpWaiting(now float64) {
	count := 0
	for count < len(r.waiting) && now >= r.deadline(r.waiting[count]) {
		r.outcome.ended(r.waiting[count], now, gaveUp)
		count++
	}
	r.waiting = r.waiting[count:]
}

// deadline is when the client of a request gives up.
func (r *runner) deadline(q *request) float64 {
	return q.first + r.plan.Classes[q.class].TimeoutSeconds
}

// closeIdle ends the goroutines of idle connections, and notes the length of the run.
func (r *runner) closeIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.idle {
		close(c.requests)
	}
	r.idle = nil
	r.outcome.LengthSeconds = r.now()
}

// send hands a request to an idle connection or to a new one, or lets it wait for one.
func (r *runner) send(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.retries == 0 {
		r.outcome.began(q)
	}
	if n := len(r.idle); n > 0 {
		c := r.idle[n-1]
		r.idle = r.idle[:n-1]
		r.outcome.lagged(r.now() - q.at)
		c.requests <- q // it is idle: there is room
		return
	}
	if r.conns >= r.plan.MaxConns {
		r.waiting = append(r.waiting, q)
		return
	}
	r.conns++
	r.outcome.lagged(r.now() - q.at)
	c := &conn{requests: make(chan *request, 1)}
	if r.plan.ClientAddresses > 0 {
		c.localAddress = fmt.Sprintf("127.0.%d.%d:0", 1+q.client/250, 1+q.client%250)
	}
	c.requests <- q
	r.serving.Go(func() { r.serve(c) })
}

// serve sends the requests that a connection is handed until there are no more.
func (r *runner) serve(c *conn) {
	defer c.close()
	for q := range c.requests {
		for q != nil {
			q = r.serveOne(c, q)
		}
	}
}

// serveOne sends one request, enters what became of it, and gives the request that the connection is to send next, if any waits.
func (r *runner) serveOne(c *conn, q *request) (next *request) {
	end, retryAfter := r.try(c, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if end != rejected || !r.scheduleRetry(q, now, retryAfter) {
		r.outcome.ended(q, now, end)
	}
	if len(r.waiting) > 0 {
		next = r.waiting[0]
		r.waiting = r.waiting[1:]
		return next
	}
	r.idle = append(r.idle, c)
	return nil
}

// scheduleRetry schedules a retry of a rejected request, unless it has no retry or too little time left. Under the lock.
func (r *runner) scheduleRetry(q *request, now, retryAfter float64) bool {
	if q.retries >= r.plan.MaxRetries {
		return false
	}
	at := now
	if !r.plan.IgnoreRetryAfter {
		at += retryAfter
	}
	if at+r.plan.Classes[q.class].LatencyObjectiveSeconds/retryObjectiveDivisor >= r.deadline(q) {
		return false
	}
	r.outcome.Retries++
	retry := *q
	retry.at, retry.retries = at, q.retries+1
	heap.Push(&r.retries, &retry)
	return true
}
