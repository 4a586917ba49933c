package policy

import (
	"slices"
	"sort"
)

// subscribeRetrySeconds is the time between two subscriptions to the endpoint list.
const subscribeRetrySeconds = 1

// EndpointState is what the list says of an endpoint.
type EndpointState uint8

// What an entry of the list may say.
const (
	Ready EndpointState = iota
	Draining
	Gone
)

// endpoint is what a balancer knows of one.
type endpoint struct {
	id            uint32
	rank          float64 // its place in this balancer's order
	zone, cell    uint16
	build         int
	weight        float64
	startedAt     float64
	ready         bool
	listed        bool    // named by the list that is being read
	previousBuild int     // build of the process before this one
	leftAt        float64 // when it was no longer listed as ready, 0 while it is

	inFlight     int     // own attempts
	workInFlight float64 // their work
	lastAnswerAt float64 // or when the first of the attempts in flight began
	latencyRatio float64 // its latency over the typical one, 0: unknown

	failures     decayingShare // share of attempts that failed
	wrongMark    decayingShare // share of wrong answers that metrics show
	degradedMark decayingShare // what else metrics show

	conns      int // connections believed to be open
	connSeenAt float64

	slowStartTokens   float64 // work that it may get in slow start, as of slowStartTokensAt
	slowStartTokensAt float64
}

// BeginEndpointList begins an update of the list. A full one names every endpoint there is; else only changes follow.
func (b *Balancer) BeginEndpointList(full bool) {
	b.subscribed = true
	for _, e := range b.endpoints {
		e.listed = !full
	}
}

// UpdateEndpoint enters one entry of the update that was begun. A weight of 0 counts as 1.
func (b *Balancer) UpdateEndpoint(id uint32, zone, cell uint16, build int, state EndpointState, weight, startedAt float64) {
	e := b.endpointByID[id]
	if e == nil {
		e = b.addEndpoint(id, build, startedAt)
	}
	if startedAt != e.startedAt || build != e.build { // another process
		e.previousBuild = e.build
		e.failures, e.wrongMark, e.degradedMark = decayingShare{}, decayingShare{}, decayingShare{}
		e.latencyRatio = 0
		e.slowStartTokens, e.slowStartTokensAt = b.firstSlowStartTokens(), startedAt
	}
	if weight <= 0 {
		weight = 1
	}
	e.zone, e.cell, e.build, e.weight, e.startedAt = zone, cell, build, weight, startedAt
	e.ready, e.listed = state == Ready, true
}

// addEndpoint enters a new endpoint at its rank.
func (b *Balancer) addEndpoint(id uint32, build int, startedAt float64) *endpoint {
	e := &endpoint{id: id, rank: b.random.of(uint64(id)), previousBuild: build, build: build, startedAt: startedAt,
		slowStartTokens: b.firstSlowStartTokens(), slowStartTokensAt: startedAt}
	b.endpointByID[id] = e
	at := sort.Search(len(b.endpoints), func(i int) bool {
		other := b.endpoints[i]
		return other.rank > e.rank || other.rank == e.rank && other.id > e.id
	})
	b.endpoints = slices.Insert(b.endpoints, at, e)
	return e
}

// EndEndpointList ends an update: endpoints that a full list did not name are gone.
func (b *Balancer) EndEndpointList(now float64) {
	for _, e := range b.endpoints {
		e.ready = e.ready && e.listed
		switch {
		case e.ready:
			e.leftAt = 0
		case e.leftAt == 0:
			e.leftAt = now
		}
	}
	b.regroupEndpoints(now)
}

// EndpointListFailed tells that a subscription to the list failed; a later tick asks for another.
func (b *Balancer) EndpointListFailed() { b.subscribed = false }

// SetEndpointListAge tells how many seconds ago what is known of the list was true. Nothing is promoted on a list that is too old: an
// endpoint of the canary may be gone as well as ready.
func (b *Balancer) SetEndpointListAge(seconds float64) { b.endpointListAge = seconds }

// forgetEndpoints drops endpoints that left the list long ago. What they counted goes on together, as of one endpoint 0: a build that was
// replaced endpoint by endpoint would else have nothing to be compared with.
func (b *Balancer) forgetEndpoints(now float64) {
	forgotten := func(e *endpoint) bool {
		return b.config.ForgetEndpointSeconds > 0 && !e.ready && e.inFlight == 0 && now-e.leftAt > b.config.ForgetEndpointSeconds
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
