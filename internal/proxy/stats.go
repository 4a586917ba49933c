package proxy

import (
	"time"

	"flintspread/internal/policy"
	"flintspread/internal/processstats"
)

// Stats counts what a proxy did since it was made, and says how it is now.
type Stats struct {
	// Requests: accepted ones by how they ended (Abandoned: the client closed first), and messages that were none.
	Received, Succeeded, Rejected, Failed, Abandoned uint64
	InvalidRequests                                  uint64 // with messages that are answered without a request, such as PING

	// Client connections by what became of them when they came; MemoryRefused are those refused for want of memory.
	ClientsAccepted, ClientsRefused, MemoryRefused uint64

	// Attempts sent and cancelled, connections dialled, answers to attempts that had been given up, wrong answers reported by
	// clients, and attempts by outcome.
	Attempts, Dials, Cancels, LateAnswers, WrongAnswers uint64
	Outcomes                                            [policy.OutcomeCount]uint64

	InFlight, ClientConns, EndpointConns, Endpoints int // now

	Shed              uint64  // rejected requests that were rejected for this process's own load
	ShedShare         float64 // share of the offered work that is shed now
	TimerDelaySeconds float64 // how late the timer was at the last load sample
	Process           processstats.Sample

	MemoryBytes, MemoryPeakBytes int64  // counted to the memory budget
	ReadsPaused                  uint64 // reads that waited for the memory budget

	EndpointListAgeSeconds float64

	PolicyCalls   uint64
	PolicySeconds float64 // spent in them
}

// Stats gives the counts as of now.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.InFlight = p.inFlight
	stats.ClientConns = len(p.clients)
	stats.EndpointConns = len(p.endpointConns)
	stats.Endpoints = len(p.pools)
	stats.EndpointListAgeSeconds = p.Now() - p.endpointListAt
	stats.Process = p.processSample
	stats.TimerDelaySeconds = p.timerDelaySeconds
	stats.MemoryBytes = p.memory.usedBytes.Load()
	stats.MemoryPeakBytes = p.memory.peakBytes.Load()
	stats.ReadsPaused = p.memory.readsPaused.Load()
	if p.shedder != nil {
		stats.ShedShare = p.shedder.ShedShare()
	}
	return stats
}

// countPolicyCall counts a call into the balancer that began at a time. The caller holds p.mu.
func (p *Proxy) countPolicyCall(from time.Time) {
	p.stats.PolicyCalls++
	p.stats.PolicySeconds += time.Since(from).Seconds()
}
