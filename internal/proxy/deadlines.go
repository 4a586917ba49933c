package proxy

import (
	"container/heap"
	"time"

	"flintspread/internal/loadshed"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

const (
	// deadlineBatch is the maximum number of due requests that are handled before Proxy.mu is released.
	deadlineBatch = 64

	// Idle endpoint connections are checked sweepsPerIdleTime times per idle timeout, and at least every
	// maxIdleSweepSeconds.
	sweepsPerIdleTime   = 4
	maxIdleSweepSeconds = 1
)

// deadlineQueue is a heap of requests ordered by nextCheckAt. It holds each request at most once. One timer serves the
// whole queue.
type deadlineQueue []*request

// Len implements sort.Interface.
func (q deadlineQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q deadlineQueue) Less(i, j int) bool { return q[i].nextCheckAt < q[j].nextCheckAt }

// Swap implements sort.Interface.
func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *deadlineQueue) Push(x any) {
	request := x.(*request)
	request.heapIndex = len(*q)
	*q = append(*q, request)
}

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	old := *q
	request := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	request.heapIndex = -1
	return request
}

// update sets the time of a request's next check, and adds the request to the queue or moves it accordingly. If
// nextCheckAt is 0, it removes the request.
func (q *deadlineQueue) update(request *request, nextCheckAt float64) {
	request.nextCheckAt = nextCheckAt
	switch {
	case nextCheckAt == 0 && request.heapIndex >= 0:
		heap.Remove(q, request.heapIndex)
	case nextCheckAt == 0:
	case request.heapIndex >= 0:
		heap.Fix(q, request.heapIndex)
	default:
		heap.Push(q, request)
	}
}

// due reports whether the first request's check is due.
func (q deadlineQueue) due(now float64) bool { return len(q) > 0 && q[0].nextCheckAt <= now }

// scheduleCheck queues a request for its next event: its pickAgainAt or the deadline of an attempt in flight, whichever
// is earlier. The attempts' deadlines also apply to completed requests, so that an endpoint that never answers does not
// keep its connection forever. The caller holds p.mu.
func (p *Proxy) scheduleCheck(request *request) {
	next := 0.0
	if !request.Completed {
		next = request.pickAgainAt
	}
	for _, attempt := range request.attempts {
		if attempt.inFlight() && (next == 0 || attempt.deadline < next) {
			next = attempt.deadline
		}
	}
	p.deadlines.update(request, next)
	if next > 0 && next < p.nextTimerAt {
		select {
		case p.timerWake <- struct{}{}:
		default:
		}
	}
}

// runTimer runs the proxy's single timer until Close. It serves the balancer's ticks, the deadlines of all requests and
// the idle sweep.
func (p *Proxy) runTimer() {
	defer p.goroutines.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-timer.C:
		case <-p.timerWake:
		}
		timer.Reset(p.tick())
	}
}

// tick does everything that is due and returns the time until the next event.
func (p *Proxy) tick() time.Duration {
	for {
		p.mu.Lock()
		now := p.Now()
		batch := p.checkDeadlines(now)
		var vote *releases.Vote
		p.revokeOverdueReads(now)
		if p.policyTickAt <= now {
			vote = p.tickPolicy(now)
		}
		var sweep effects
		if p.idleSweepAt <= now {
			p.idleSweepAt = now + min(maxIdleSweepSeconds, p.currentConfig.Load().Document.Endpoints.IdleTimeoutSeconds/sweepsPerIdleTime)
			p.closeIdleConns(now, &sweep)
		}
		next := p.nextTickAt()
		p.nextTimerAt = next
		p.mu.Unlock()
		for i := range batch {
			p.runEffects(&batch[i])
		}
		p.runEffects(&sweep)
		if vote != nil {
			p.castVote(*vote)
		}
		if len(batch) < deadlineBatch {
			return max(0, secondsToDuration(next-p.Now()))
		}
	}
}

// revokeOverdueReads ends the reads of messages that hold memory and arrive too slowly while memory is short. The caller
// holds p.mu.
func (p *Proxy) revokeOverdueReads(now float64) {
	if !p.memory.messages().UnderPressure() {
		return
	}
	for conn := range p.clients {
		if conn.reading && loadshed.ReadOverdue(now-conn.readingSince) && conn.memory.heldBytes.Load() > 0 {
			conn.readRevoked = true
			conn.socket.SetReadDeadline(pastDeadline)
		}
	}
}

// checkDeadlines handles the requests that are due, at most deadlineBatch of them. The caller holds p.mu.
func (p *Proxy) checkDeadlines(now float64) (batch []effects) {
	for p.deadlines.due(now) && len(batch) < deadlineBatch {
		request := heap.Pop(&p.deadlines).(*request)
		var effects effects
		p.onDeadline(now, request, &effects)
		batch = append(batch, effects)
	}
	return batch
}

// onDeadline handles a request whose check is due. It ends an attempt whose deadline has passed. If there is none and
// pickAgainAt has passed, it asks the balancer for a new decision. The caller holds p.mu.
func (p *Proxy) onDeadline(now float64, request *request, effects *effects) {
	pickAgainAt := request.pickAgainAt
	if pickAgainAt <= now {
		request.pickAgainAt = 0
	}
	for _, attempt := range request.attempts {
		if attempt.inFlight() && attempt.deadline <= now {
			p.endAttempt(now, attempt, policy.TimedOut, effects) // also asks the balancer for a new decision
			return
		}
	}
	if pickAgainAt > 0 && pickAgainAt <= now && !request.Completed {
		p.applyDecision(now, request, p.pick(now, request), effects)
		return
	}
	p.scheduleCheck(request)
}

// tickPolicy samples the load, ticks the balancer and returns the vote to cast, or nil. The caller holds p.mu.
func (p *Proxy) tickPolicy(now float64) *releases.Vote {
	p.sampleLoad(now)
	start := time.Now()
	p.balancer.SetEndpointListAge(now - p.endpointListConfirmedAt)
	var result policy.TickResult
	if p.castVote != nil {
		result = p.balancer.TickAndVote(now)
	} else {
		result = p.balancer.Tick(now)
	}
	p.countPolicyCall(start)
	p.policyTickAt = now + result.NextTickSeconds
	if !result.CastVote {
		return nil
	}
	return &releases.Vote{Build: result.Build, Stage: result.Stage, Verdict: result.Verdict}
}

// nextTickAt returns the instant of the next event that tick has to handle. The caller holds p.mu.
func (p *Proxy) nextTickAt() float64 {
	next := min(p.policyTickAt, p.idleSweepAt)
	if len(p.deadlines) > 0 {
		next = min(next, p.deadlines[0].nextCheckAt)
	}
	return next
}
