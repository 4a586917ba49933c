package loadshed

import "slices"

const (
	// maxUnprovenShare is the share of connections whose clients have sent nothing, above which the oldest of those is
	// evicted, however new it is: many connections that come and stay silent must not displace clients that send requests.
	maxUnprovenShare = 0.5

	// minUnprovenSeconds is the time that a new client has to send its first request before it may be evicted.
	minUnprovenSeconds = 0.1

	// maxEvictionCandidates is the number of connections that one search returns.
	maxEvictionCandidates = 16

	// maxSearchAgeSeconds is the time for which the result of a search may be used.
	maxSearchAgeSeconds = 0.01

	// maxEvictedSeconds is the time after which an evicted connection closes even if its client goes on sending requests.
	maxEvictedSeconds = 0.25
)

// EvictionOverdue reports whether a connection that was evicted some time ago must accept no further request.
func EvictionOverdue(evictedSeconds float64) bool { return evictedSeconds > maxEvictedSeconds }

// EvictionSearchFresh reports whether the result of a search may still be used: when many connections come at once, a
// search for each of them would use up the process.
func EvictionSearchFresh(ageSeconds float64) bool { return ageSeconds <= maxSearchAgeSeconds }

// EvictionSearch finds the client connections, of type T, to evict first.
type EvictionSearch[T any] struct {
	now           float64
	scope         EvictionScope
	first         []candidate[T] // in the order of eviction, at most maxEvictionCandidates
	unproven      []candidate[T] // those that have sent nothing, longest idle first, at most maxEvictionCandidates
	total         int
	totalUnproven int
	totalYoung    int // those that may be evicted soon, see minUnprovenSeconds
}

// candidate is a connection that may be evicted.
type candidate[T any] struct {
	conn  T
	state ClientConn
}

// NewEvictionSearch returns a search without connections; now is in seconds on the clock of their states. While there is
// still room, the scope should be EvictIdle: clients that are cut off while they send connect again at once, and those that
// are delayed for their invalid requests would no longer be.
func NewEvictionSearch[T any](now float64, scope EvictionScope) *EvictionSearch[T] {
	return &EvictionSearch[T]{now: now, scope: scope}
}

// Add adds a connection.
func (e *EvictionSearch[T]) Add(conn T, state ClientConn) {
	e.total++
	if state.isUnproven() {
		e.totalUnproven++
	}
	switch {
	case !state.Evictable(e.now, e.scope):
		return
	case state.isUnproven() && e.now-state.IdleSince < minUnprovenSeconds:
		e.totalYoung++
	case state.isUnproven():
		e.unproven = e.insert(e.unproven, candidate[T]{conn, state})
		fallthrough
	default:
		e.first = e.insert(e.first, candidate[T]{conn, state})
	}
}

// insert inserts a candidate into a short list in the order of eviction.
func (e *EvictionSearch[T]) insert(list []candidate[T], added candidate[T]) []candidate[T] {
	at := len(list)
	for at > 0 && added.state.EvictBefore(e.now, list[at-1].state) {
		at--
	}
	if at == maxEvictionCandidates {
		return list
	}
	if len(list) == maxEvictionCandidates {
		list = list[:maxEvictionCandidates-1]
	}
	return slices.Insert(list, at, added)
}

// SoonEvictable reports whether there are connections that are not among the candidates yet, but will be within
// minUnprovenSeconds.
func (e *EvictionSearch[T]) SoonEvictable() bool { return e.totalYoung > 0 }

// Candidates returns the connections to evict, first to last.
func (e *EvictionSearch[T]) Candidates() (conns []T) {
	crowded := float64(e.totalUnproven) > maxUnprovenShare*float64(e.total)
	candidates := e.first
	if crowded && (len(e.first) == 0 || e.first[0].state.evictionRank(e.now) > evictSlow) {
		candidates = e.unproven
	}
	for _, candidate := range candidates {
		conns = append(conns, candidate.conn)
	}
	return conns
}
