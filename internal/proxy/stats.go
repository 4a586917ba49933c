package proxy

import (
	"time"

	"flintspread/internal/policy"
	"flintspread/internal/processstats"
)

// Stats holds a proxy's counters since its creation, and gauges of its current state.
type Stats struct {
	// Requests received, and requests completed by result (Abandoned: the client disconnected before its answer).
	Received, Succeeded, Rejected, Failed, Abandoned uint64
	InvalidRequests                                  uint64 // messages that were not accepted as requests, including PING

	// Client connections accepted and refused; MemoryRefused counts those refused because the memory budget was used up.
	ClientsAccepted, ClientsRefused, MemoryRefused uint64

	// Attempts started, connections dialed, attempts cancelled, answers to attempts that had already ended, wrong
	// answers reported, and attempts by outcome.
	Attempts, Dials, Cancels, LateAnswers, WrongAnswers uint64
	Outcomes                                            [policy.OutcomeCount]uint64

	InFlight, ClientConns, EndpointConns, Endpoints int // gauges

	Shed              uint64  // the part of Rejected that load shedding rejected
	ShedShare         float64 // share of the offered work that is being shed
	TimerDelaySeconds float64 // delay of the timer at the last load sample
	Process           processstats.Sample

	MemoryBytes, MemoryPeakBytes int64  // counted against the memory budget
	ReadsPaused                  uint64 // reads that waited for the memory budget

	EndpointListAgeSeconds float64

	PolicyCalls   uint64
	PolicySeconds float64 // time spent in these calls
}

// Stats returns the current counters and gauges.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.InFlight = p.inFlight
	stats.ClientConns = len(p.clients)
	stats.EndpointConns = len(p.endpointConns)
	stats.Endpoints = len(p.pools)
	stats.EndpointListAgeSeconds = p.Now() - p.endpointListConfirmedAt
	stats.Process = p.processSample
	stats.TimerDelaySeconds = p.timerDelaySeconds
	stats.MemoryBytes = p.memory.usedBytes()
	stats.MemoryPeakBytes = p.memory.peakBytes.Load()
	stats.ReadsPaused = p.memory.readsPaused.Load()
	if p.shedder != nil {
		stats.ShedShare = p.shedder.ShedShare()
	}
	return stats
}

// countPolicyCall counts a call into the balancer that began at start, and its duration. The caller holds p.mu.
func (p *Proxy) countPolicyCall(start time.Time) {
	p.stats.PolicyCalls++
	p.stats.PolicySeconds += time.Since(start).Seconds()
}
