package policy

import (
	"slices"
	"sort"
)

// subscribeRetrySeconds is the minimum time between two subscriptions to the endpoint list.
const subscribeRetrySeconds = 1

// EndpointState is the state of an endpoint in the list.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
	Gone
)

// endpoint holds what a balancer knows about one endpoint.
type endpoint struct {
	id            uint32
	rank          float64 // sort key of the endpoints, from this balancer's seed and the id
	zone, cell    uint16
	build         int
	weight        float64
	startedAt     float64
	ready         bool
	listed        bool    // in the list, as far as the update in progress has been applied
	previousBuild int     // build of the endpoint's previous process
	notReadySince float64 // when it ceased to be ready; 0 while it is

	inFlight     int     // attempts of this balancer
	workInFlight float64 // work of these attempts
	lastAnswerAt float64 // when it last answered or, if later, when an attempt was sent while none was in flight
	latencyRatio float64 // its latency over the typical latency; 0: unknown

	failures     decayingShare // share of attempts that failed
	wrongMark    decayingShare // share of wrong answers that metrics show
	degradedMark decayingShare // other degradation that metrics show

	openConns       int // connections believed to be open
	connConfirmedAt float64

	slowStartTokens   float64 // work that may be sent to it in slow start, as of slowStartTokensAt
	slowStartTokensAt float64
}

// BeginEndpointList begins an update of the endpoint list. A full update names every endpoint, any other only the
// changed ones. UpdateEndpoint must follow for each entry, then EndEndpointList.
func (b *Balancer) BeginEndpointList(full bool) {
	b.subscribed = true
	for _, e := range b.endpoints {
		e.listed = !full
	}
}

// UpdateEndpoint applies one entry of the current update. A weight of 0 counts as 1. An entry that is Gone says nothing but
// that: its other values are ignored, since a list that no longer names the endpoint has none.
func (b *Balancer) UpdateEndpoint(id uint32, zone, cell uint16, build int, state EndpointState, weight, startedAt float64) {
	e := b.endpointByID[id]
	if state == Gone {
		if e != nil {
			e.ready = false
		}
		return
	}
	if e == nil {
		e = b.addEndpoint(id, build, startedAt)
	}
	if startedAt != e.startedAt || build != e.build { // the endpoint was restarted
		e.previousBuild = e.build
		e.failures, e.wrongMark, e.degradedMark = decayingShare{}, decayingShare{}, decayingShare{}
		e.latencyRatio = 0
		e.slowStartTokens, e.slowStartTokensAt = b.initialSlowStartTokens(), startedAt
	}
	if weight <= 0 {
		weight = 1
	}
	e.zone, e.cell, e.build, e.weight, e.startedAt = zone, cell, build, weight, startedAt
	e.ready, e.listed = state == Ready, true
}

// addEndpoint inserts a new endpoint by its rank.
func (b *Balancer) addEndpoint(id uint32, build int, startedAt float64) *endpoint {
	e := &endpoint{id: id, rank: b.random.numberFor(uint64(id)), previousBuild: build, build: build, startedAt: startedAt,
		slowStartTokens: b.initialSlowStartTokens(), slowStartTokensAt: startedAt}
	b.endpointByID[id] = e
	at := sort.Search(len(b.endpoints), func(i int) bool {
		other := b.endpoints[i]
		return other.rank > e.rank || other.rank == e.rank && other.id > e.id
	})
	b.endpoints = slices.Insert(b.endpoints, at, e)
	return e
}

// EndEndpointList ends an update: endpoints that a full update did not name are no longer ready.
func (b *Balancer) EndEndpointList(now float64) {
	for _, e := range b.endpoints {
		e.ready = e.ready && e.listed
		switch {
		case e.ready:
			e.notReadySince = 0
		case e.notReadySince == 0:
			e.notReadySince = now
		}
	}
	b.regroupEndpoints(now)
}

// EndpointListFailed records that the subscription to the endpoint list failed; a later tick requests another.
func (b *Balancer) EndpointListFailed() { b.subscribed = false }

// SetEndpointListAge sets how many seconds ago the endpoint list was last confirmed as current. No stage is promoted on
// the basis of a list that is too old: its canary endpoints may be gone by now.
func (b *Balancer) SetEndpointListAge(seconds float64) { b.endpointListAge = seconds }

// forgetEndpoints removes endpoints that left the list long ago. Their counts are merged under endpoint 0: if they were
// discarded, replacing the baseline endpoints one by one would leave no counts to compare the canary with.
func (b *Balancer) forgetEndpoints(now float64) {
	forgotten := func(e *endpoint) bool {
		return b.config.ForgetEndpointSeconds > 0 && !e.ready && e.inFlight == 0 && now-e.notReadySince > b.config.ForgetEndpointSeconds
	}
	if !slices.ContainsFunc(b.endpoints, forgotten) {
		return
	}
	before := b.localCounts
	b.localCounts = nil
	for _, counts := range before {
		id := counts.endpoint
		if e := b.endpointByID[id]; e == nil || forgotten(e) {
			id = 0
		}
		b.countsOf(id, counts.build).add(counts)
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		drop := forgotten(e)
		if drop {
			delete(b.endpointByID, e.id)
		}
		return drop
	})
}
