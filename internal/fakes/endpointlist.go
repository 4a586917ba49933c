package fakes

import (
	"net/http"
	"sync"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/invariants"
)

const (
	subscriberBuffer  = 1024        // updates; the stream of a subscriber that falls further behind is closed
	heartbeatInterval = time.Second // between two lines of a stream without updates
)

// EndpointList is a fake discovery service that streams the endpoint list. It publishes each change after a delay, and
// records the updates that each router group was sent.
type EndpointList struct {
	record *invariants.Record
	clock  func() float64

	mu             sync.Mutex
	delaySeconds   float64
	down           bool
	version        uint64
	pending        []pendingChange
	published      map[uint32]endpoints.Endpoint
	lastSent       map[string]map[uint32]bool // by router group and endpoint: whether the last update said ready
	subscribers    map[*listSubscriber]struct{}
	mirror         MirrorFunc
	mirroredGroups []string
}

// MirrorFunc sends the full list to a router group over another channel. It must not block.
type MirrorFunc func(routerGroup string, version uint64, list []endpoints.Endpoint)

// pendingChange is a change that has not been published yet.
type pendingChange struct {
	enteredAt float64
	endpoint  endpoints.Endpoint
}

type listSubscriber struct{ updates chan endpoints.Update }

// NewEndpointList returns an empty list that publishes changes delaySeconds after they were put in.
func NewEndpointList(delaySeconds float64, record *invariants.Record, clock func() float64) *EndpointList {
	return &EndpointList{
		record:       record,
		clock:        clock,
		delaySeconds: delaySeconds,
		published:    map[uint32]endpoints.Endpoint{},
		lastSent:     map[string]map[uint32]bool{},
		subscribers:  map[*listSubscriber]struct{}{},
	}
}

// Mirror makes the list call mirror for each of the given router groups whenever it publishes changes.
func (l *EndpointList) Mirror(mirror MirrorFunc, routerGroups []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mirror, l.mirroredGroups = mirror, routerGroups
}

// Put adds, changes or removes an endpoint. The change is published after the list's delay.
func (l *EndpointList) Put(e endpoints.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{l.clock(), e})
}

// SetLag sets the delay in seconds after which changes are published.
func (l *EndpointList) SetLag(seconds float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delaySeconds = seconds
}

// SetDown sets whether the service is down. When it goes down, it closes all streams; while it is down, it refuses new
// ones.
func (l *EndpointList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if down {
		for subscriber := range l.subscribers {
			l.removeSubscriber(subscriber)
		}
	}
}

// removeSubscriber closes the stream of a subscriber. l.mu must be held.
func (l *EndpointList) removeSubscriber(subscriber *listSubscriber) {
	close(subscriber.updates)
	delete(l.subscribers, subscriber)
}

// Tick publishes the changes that are due. It must be called at short intervals.
func (l *EndpointList) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := l.publishDue()
	if len(changes) == 0 {
		return
	}
	for _, routerGroup := range l.mirroredGroups {
		full := l.fullList()
		l.mirror(routerGroup, l.version, full.Endpoints)
		l.recordSentLocked(routerGroup, full)
	}
	update := endpoints.Update{Version: l.version, Endpoints: lastOfEach(changes)}
	for subscriber := range l.subscribers {
		select {
		case subscriber.updates <- update:
		default: // the subscriber does not keep up and must reconnect
			l.removeSubscriber(subscriber)
		}
	}
}

// publishDue applies the changes that are due and returns them. l.mu must be held.
func (l *EndpointList) publishDue() (changes []endpoints.Endpoint) {
	now := l.clock()
	for len(l.pending) > 0 && l.pending[0].enteredAt+l.delaySeconds <= now {
		e := l.pending[0].endpoint
		l.pending = l.pending[1:]
		l.version++
		if e.State == endpoints.StateGone {
			delete(l.published, e.ID)
		} else {
			l.published[e.ID] = e
		}
		changes = append(changes, e)
	}
	return changes
}

// lastOfEach returns the last change of each endpoint, in order.
func lastOfEach(changes []endpoints.Endpoint) (kept []endpoints.Endpoint) {
	last := map[uint32]int{}
	for i, e := range changes {
		last[e.ID] = i
	}
	for i, e := range changes {
		if last[e.ID] == i {
			kept = append(kept, e)
		}
	}
	return kept
}

// fullList returns the whole list as an update. l.mu must be held.
func (l *EndpointList) fullList() endpoints.Update {
	full := endpoints.Update{Version: l.version, Full: true}
	for _, e := range l.published {
		full.Endpoints = append(full.Endpoints, e)
	}
	return full
}

// recordSent records an update that a router group was sent.
func (l *EndpointList) recordSent(routerGroup string, update endpoints.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSentLocked(routerGroup, update)
}

// recordSentLocked is recordSent with l.mu held. An endpoint that is missing from a full list is recorded as not ready.
func (l *EndpointList) recordSentLocked(routerGroup string, update endpoints.Update) {
	lastSent := l.lastSent[routerGroup]
	if lastSent == nil {
		lastSent = map[uint32]bool{}
		l.lastSent[routerGroup] = lastSent
	}
	now := l.clock()
	var sent []invariants.EndpointUpdate
	listed := map[uint32]bool{}
	for _, e := range update.Endpoints {
		listed[e.ID] = true
		lastSent[e.ID] = e.State == endpoints.StateReady
		sent = append(sent, invariants.EndpointUpdate{At: now, RouterGroup: routerGroup, Endpoint: e.ID, Ready: e.State == endpoints.StateReady})
	}
	for id := range lastSent {
		if update.Full && !listed[id] {
			lastSent[id] = false
			sent = append(sent, invariants.EndpointUpdate{At: now, RouterGroup: routerGroup, Endpoint: id})
		}
	}
	l.record.Update(func(r *invariants.Record) { r.EndpointUpdates = append(r.EndpointUpdates, sent...) })
}

// ServeHTTP streams the list to the router group in the path value "relay".
func (l *EndpointList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	routerGroup := r.PathValue("relay")
	subscriber := &listSubscriber{updates: make(chan endpoints.Update, subscriberBuffer)}
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	l.subscribers[subscriber] = struct{}{}
	first := l.fullList()
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.subscribers, subscriber)
		l.mu.Unlock()
	}()
	send := func(update endpoints.Update) bool {
		if !writeLine(w, update) {
			return false
		}
		l.recordSent(routerGroup, update)
		return true
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for connected := send(first); connected; {
		select {
		case <-r.Context().Done():
			return
		case update, open := <-subscriber.updates:
			connected = open && send(update)
		case <-heartbeat.C:
			l.mu.Lock()
			version := l.version
			l.mu.Unlock()
			connected = send(endpoints.Update{Version: version})
		}
	}
}
