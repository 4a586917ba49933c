package fakes

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/invariants"
)

// List is the list service. It tells what happened Lag seconds ago.
type List struct {
	rec   *invariants.Record
	clock func() float64

	mu      sync.Mutex
	lag     float64
	down    bool
	version uint64
	pending []change
	shown   map[uint32]endpoints.Endpoint
	known   map[string]map[uint32]bool // by relay: units it was told are ready (false: not)
	subs    map[*sub]struct{}
	mirror  func(relay string, version uint64, units []endpoints.Endpoint)
	relays  []string
}

type change struct {
	at   float64
	unit endpoints.Endpoint
}

type sub struct{ lines chan endpoints.Update }

// NewList makes an empty list that tells each change lag seconds after it was put in.
func NewList(lag float64, rec *invariants.Record, clock func() float64) *List {
	return &List{rec: rec, clock: clock, lag: lag, shown: map[uint32]endpoints.Endpoint{}, known: map[string]map[uint32]bool{},
		subs: map[*sub]struct{}{}}
}

// Mirror has each change told by another way too, whole, to relays of those names. What is told so is noted as told.
func (l *List) Mirror(tell func(relay string, version uint64, units []endpoints.Endpoint), relays []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mirror, l.relays = tell, relays
}

// Put enters what became of a unit.
func (l *List) Put(u endpoints.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{l.clock(), u})
}

// Lag sets how far behind the list runs.
func (l *List) Lag(s float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = s
}

// Down ends all streams and takes no new ones until it is called with false.
func (l *List) Down(yes bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = yes
	if yes {
		for s := range l.subs {
			close(s.lines)
			delete(l.subs, s)
		}
	}
}

// Tick shows what is due; it is to be called often.
func (l *List) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	var line endpoints.Update
	for len(l.pending) > 0 && l.pending[0].at+l.lag <= now {
		u := l.pending[0].unit
		l.pending = l.pending[1:]
		l.version++
		if u.State == "gone" {
			delete(l.shown, u.ID)
		} else {
			l.shown[u.ID] = u
		}
		line.Endpoints = append(line.Endpoints, u)
	}
	if line.Version = l.version; len(line.Endpoints) == 0 {
		return
	}
	// A unit that changed twice is told as it is last.
	last := map[uint32]int{}
	for i, u := range line.Endpoints {
		last[u.ID] = i
	}
	units := line.Endpoints
	line.Endpoints = nil
	for i, u := range units {
		if last[u.ID] == i {
			line.Endpoints = append(line.Endpoints, u)
		}
	}
	if l.mirror != nil {
		full := endpoints.Update{Version: l.version, Full: true}
		for _, u := range l.shown {
			full.Endpoints = append(full.Endpoints, u)
		}
		for _, relay := range l.relays {
			l.mirror(relay, l.version, full.Endpoints)
			l.note(relay, full)
		}
	}
	for s := range l.subs {
		select {
		case s.lines <- line:
		default: // it does not read: it is to come again
			close(s.lines)
			delete(l.subs, s)
		}
	}
}

// told notes what a relay is sent.
func (l *List) told(relay string, line endpoints.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(relay, line)
}

func (l *List) note(relay string, line endpoints.Update) {
	known := l.known[relay]
	if known == nil {
		known = map[uint32]bool{}
		l.known[relay] = known
	}
	now := l.clock()
	var news []invariants.EndpointUpdate
	named := map[uint32]bool{}
	for _, u := range line.Endpoints {
		named[u.ID] = true
		known[u.ID] = u.State == "ready"
		news = append(news, invariants.EndpointUpdate{At: now, Relay: relay, Endpoint: u.ID, Ready: u.State == "ready"})
	}
	for id := range known {
		if line.Full && !named[id] {
			known[id] = false
			news = append(news, invariants.EndpointUpdate{At: now, Relay: relay, Endpoint: id})
		}
	}
	l.rec.Enter(func(r *invariants.Record) { r.EndpointUpdates = append(r.EndpointUpdates, news...) })
}

// ServeHTTP streams the list to a relay, named by the path's first part.
func (l *List) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	relay := req.PathValue("relay")
	s := &sub{lines: make(chan endpoints.Update, 1024)}
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	l.subs[s] = struct{}{}
	first := endpoints.Update{Version: l.version, Full: true}
	for _, u := range l.shown {
		first.Endpoints = append(first.Endpoints, u)
	}
	l.mu.Unlock()
	send := func(line endpoints.Update) bool {
		text, _ := json.Marshal(line)
		if _, err := w.Write(append(text, '\n')); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
		l.told(relay, line)
		return true
	}
	alive := time.NewTicker(time.Second)
	defer alive.Stop()
	for ok := send(first); ok; {
		select {
		case <-req.Context().Done():
			ok = false
		case line, open := <-s.lines:
			if !open {
				return
			}
			ok = send(line)
		case <-alive.C:
			l.mu.Lock()
			version := l.version
			l.mu.Unlock()
			ok = send(endpoints.Update{Version: version})
		}
	}
	l.mu.Lock()
	delete(l.subs, s)
	l.mu.Unlock()
}
