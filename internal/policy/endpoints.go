package policy

import (
	"slices"
	"sort"
)

// subscribeRetrySeconds is the minimum time between two subscriptions to the endpoint list.
const subscribeRetrySeconds = 1

// noGroup is the zone or cell of an endpoint that is in none.
const noGroup = 0

// EndpointState is the state of an endpoint in the list.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
	Gone
)

// endpoint holds what a balancer knows about one process of an endpoint. When the list shows that the endpoint was
// restarted, another process takes its place, and only the attempts that were sent to this one still refer to it.
type endpoint struct {
	id            uint32
	rank          float64 // sort key of the endpoints, from this balancer's seed and the id
	zone, cell    uint16
	moves         int // how often zone or cell have changed
	build         int
	weight        float64
	startedAt     float64
	ready         bool
	listed        bool      // in the list, as far as the update in progress has been applied
	previousBuild int       // build of the endpoint's previous process
	replacedBy    *endpoint // the next process in its place; nil: none
	notReadySince float64   // when it ceased to be ready; 0 while it is
	neededUntil   float64   // latest deadline of the requests that were sent to it or to an earlier process

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

// UpdateEndpoint applies one entry of the current update. Zone or cell 0 means none, and a weight of 0 counts as 1. An entry that is Gone says nothing but
// that: its other values are ignored, since a list that no longer names the endpoint has none.
func (b *Balancer) UpdateEndpoint(id uint32, zone, cell uint16, build int, state EndpointState, weight, startedAt float64) {
	e := b.endpointByID[id]
	if state == Gone {
		if e != nil {
			e.ready = false
		}
		return
	}
	switch {
	case e == nil:
		e = b.newProcess(id, zone, cell, build, startedAt)
		b.endpoints = slices.Insert(b.endpoints, b.position(e), e)
	case startedAt != e.startedAt || build != e.build:
		restarted := b.newProcess(id, zone, cell, build, startedAt)
		restarted.previousBuild, restarted.neededUntil = e.build, e.neededUntil
		e.replacedBy = restarted
		b.endpoints[b.position(e)] = restarted
		e = restarted
	case zone != e.zone || cell != e.cell:
		e.zone, e.cell = zone, cell
		e.moves++
	}
	if weight <= 0 {
		weight = 1
	}
	e.weight, e.ready, e.listed = weight, state == Ready, true
}

// newProcess creates a process of an endpoint, and makes it the current one.
func (b *Balancer) newProcess(id uint32, zone, cell uint16, build int, startedAt float64) *endpoint {
	e := &endpoint{id: id, rank: b.random.numberFor(uint64(id)), zone: zone, cell: cell, previousBuild: build, build: build,
		startedAt: startedAt, slowStartTokens: b.initialSlowStartTokens(), slowStartTokensAt: startedAt}
	b.endpointByID[id] = e
	return e
}

// position returns the index in endpoints of the process of an endpoint, or the one at which to insert it.
func (b *Balancer) position(e *endpoint) int {
	return sort.Search(len(b.endpoints), func(i int) bool {
		other := b.endpoints[i]
		return other.rank > e.rank || other.rank == e.rank && other.id >= e.id
	})
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

// forgetEndpoints removes endpoints that left the list long ago and to which no request was sent that may still be in
// flight: if one is listed again, it is to be known as another process of the same endpoint. None is removed within
// SlowStartOverloadSeconds either, since it would get that time's slow-start tokens again if it came back. The counts of the
// removed ones are merged under endpoint 0: if they were discarded, replacing the baseline endpoints one by one would leave
// no counts to compare the canary with.
func (b *Balancer) forgetEndpoints(now float64) {
	keepSeconds := max(b.config.ForgetEndpointSeconds, b.config.SlowStartOverloadSeconds)
	forgotten := func(e *endpoint) bool {
		needed := e.ready || e.inFlight > 0 || now <= e.neededUntil
		return b.config.ForgetEndpointSeconds > 0 && !needed && now-e.notReadySince > keepSeconds
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
