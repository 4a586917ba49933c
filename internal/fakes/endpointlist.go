package fakes

import (
	"net/http"
	"sync"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/invariants"
)

// The states of an endpoint on the list, by the wire's words.
const ()

const (
	subscriberBuffer  = 1024        // updates; a subscriber that does not read them is dropped
	heartbeatInterval = time.Second // between two lines of a stream without updates
)

// EndpointList is the service of the endpoint list. It publishes each change some seconds after it was put in, and records what each
// relay was sent.
type EndpointList struct {
	record *invariants.Record
	clock  func() float64

	mu             sync.Mutex
	delaySeconds   float64
	down           bool
	version        uint64
	pending        []pendingChange
	published      map[uint32]endpoints.Endpoint
	lastSent       map[string]map[uint32]bool // by relay and endpoint: whether it was sent as ready
	subscribers    map[*listSubscriber]struct{}
	mirror         MirrorFunc
	mirroredGroups []string
}

// MirrorFunc sends the whole list to a relay by another way. It must not block.
type MirrorFunc func(relay string, version uint64, list []endpoints.Endpoint)

// pendingChange is a change that is not published yet.
type pendingChange struct {
	enteredAt float64
	endpoint  endpoints.Endpoint
}

type listSubscriber struct{ updates chan endpoints.Update }

// NewEndpointList makes an empty list that publishes changes lag seconds after they were put in.
func NewEndpointList(lag float64, record *invariants.Record, clock func() float64) *EndpointList {
	return &EndpointList{
		record:       record,
		clock:        clock,
		delaySeconds: lag,
		published:    map[uint32]endpoints.Endpoint{},
		lastSent:     map[string]map[uint32]bool{},
		subscribers:  map[*listSubscriber]struct{}{},
	}
}

// Mirror makes each publication go to these relays by another way too.
func (l *EndpointList) Mirror(mirror MirrorFunc, relays []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mirror, l.mirroredGroups = mirror, relays
}

// Put enters a change of an endpoint.
func (l *EndpointList) Put(e endpoints.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{l.clock(), e})
}

// SetLag sets how many seconds changes wait for their publication.
func (l *EndpointList) SetLag(seconds float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delaySeconds = seconds
}

// SetDown ends all streams and refuses new ones until it is called with false.
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

// removeSubscriber ends the stream of a subscriber. Under the lock.
func (l *EndpointList) removeSubscriber(subscriber *listSubscriber) {
	close(subscriber.updates)
	delete(l.subscribers, subscriber)
}

// Tick publishes the changes that are due. It must be called often.
func (l *EndpointList) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := l.publishDue()
	if len(changes) == 0 {
		return
	}
	for _, relay := range l.mirroredGroups {
		full := l.fullList()
		l.mirror(relay, l.version, full.Endpoints)
		l.recordSentLocked(relay, full)
	}
	update := endpoints.Update{Version: l.version, Endpoints: lastOfEach(changes)}
	for subscriber := range l.subscribers {
		select {
		case subscriber.updates <- update:
		default: // it does not read: it must connect again
			l.removeSubscriber(subscriber)
		}
	}
}

// publishDue applies the changes that are due and gives them. Under the lock.
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

// lastOfEach keeps the last change of each endpoint, in order.
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

// fullList is the whole list as an update. Under the lock.
func (l *EndpointList) fullList() endpoints.Update {
	full := endpoints.Update{Version: l.version, Full: true}
	for _, e := range l.published {
		full.Endpoints = append(full.Endpoints, e)
	}
	return full
}

// recordSent records what a relay was sent.
func (l *EndpointList) recordSent(relay string, update endpoints.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSentLocked(relay, update)
}

// recordSentLocked is recordSent under the lock. An endpoint that a full list leaves out is gone.
func (l *EndpointList) recordSentLocked(relay string, update endpoints.Update) {
	lastSent := l.lastSent[relay]
	if lastSent == nil {
		lastSent = map[uint32]bool{}
		l.lastSent[relay] = lastSent
	}
	now := l.clock()
	var sent []invariants.EndpointUpdate
	named := map[uint32]bool{}
	for _, e := range update.Endpoints {
		named[e.ID] = true
		lastSent[e.ID] = e.State == endpoints.StateReady
		sent = append(sent, invariants.EndpointUpdate{At: now, RouterGroup: relay, Endpoint: e.ID, Ready: e.State == endpoints.StateReady})
	}
	for id := range lastSent {
		if update.Full && !named[id] {
			lastSent[id] = false
			sent = append(sent, invariants.EndpointUpdate{At: now, RouterGroup: relay, Endpoint: id})
		}
	}
	l.record.Update(func(r *invariants.Record) { r.EndpointUpdates = append(r.EndpointUpdates, sent...) })
}

// ServeHTTP streams the list to the relay that the path value "relay" names.
func (l *EndpointList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	relay := r.PathValue("relay")
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
		l.recordSent(relay, update)
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
