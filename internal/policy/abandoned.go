package policy

const (
	abandonedMemorySeconds = 60.0  // time for which the id of an abandoned request is remembered
	maxAbandonedIDs        = 4_096 // remembered ids of abandoned requests
)

// AbandonedRequests remembers the ids of requests whose clients left before the answer although an attempt may have run,
// and a second run could have a second effect (rule 2 of package invariants). A client that leaves and comes again sends
// the same request under the same id, as a new one. The zero value is ready for use.
type AbandonedRequests struct{ recent recentIDs }

// Add remembers the id of a request that has just been abandoned, if the request must not run again.
func (a *AbandonedRequests) Add(now float64, id string, r *Request) {
	a.recent.keepSeconds, a.recent.max = abandonedMemorySeconds, maxAbandonedIDs
	if r.effectUncertain() {
		a.recent.add(now, id)
	}
}

// MayHaveRun reports whether a request with this id was abandoned and may have run. The caller must answer as after
// Fail.
func (a *AbandonedRequests) MayHaveRun(now float64, id string) bool {
	return a.recent.contains(now, id)
}
