// Package fakes plays what is around the relays: units, the list service, the installer and clients. They speak the
// published forms on loopback sockets and enter what they see there into an audit.Record.
package fakes

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/invariants"
)

// Headers of the stand-ins' own: by them deliveries are matched with commands, not by anything a relay says.
const (
	headCommand = "X-Command"
	headWork    = "Flint-Work"
	headUnit    = "X-Unit"
)

// Build says how one build serves.
type Build struct {
	Work      float64 `edn:"work"`       // times the usual work, 0: 1
	Errors    float64 `edn:"errors"`     // share of commands that fail
	ErrorOp   string  `edn:"error-op"`   // only of this op type
	Wrong     float64 `edn:"wrong"`      // share of answers that are wrong
	After     float64 `edn:"after"`      // s after its process started from which the next two hold
	LateWork  float64 `edn:"late-work"`  // times the usual work
	LateError float64 `edn:"late-error"` // share that fails
}

// EndpointFault is what ails a unit, all at once. The zero value is none.
type EndpointFault struct {
	Slow      float64 // times slower, 0: not
	Errors    float64 // share that fails at once
	Silent    bool    // neither answers nor accepts
	Closes    float64 // share of deliveries on which the connection is reset once read
	Conns     int     // most connections, 0: any
	Handshake float64 // s that a new connection waits
	Tail      float64 // share of commands that need ten times the work
	From      string  // the troubles hold for deliveries of this relay only
	Probes    bool    // probes fail; commands do not
	Wrong     float64 // share of answers that are wrong, and quick
}

// EndpointShape is what all units of a fleet have in common.
type EndpointShape struct {
	Cores      int
	Queue      int // commands in hand above which one is turned away
	ColdFrom   float64
	WarmUp     float64
	FallFactor float64
	FallTime   float64
}

// Endpoint is one process of a unit, from its start to its end; another process is another Unit.
type Endpoint struct {
	ID     uint32
	Addr   string
	Build  int
	Start  float64
	shape  EndpointShape
	does   Build
	rec    *invariants.Record
	clock  func() float64
	srv    *http.Server
	cores  chan struct{}
	inHand atomic.Int64
	conns  atomic.Int64
	ails   atomic.Pointer[EndpointFault]
	stop   context.Context
	kill   context.CancelFunc

	mu     sync.Mutex
	recent []struct{ at, work float64 } // while cold
	fell   bool
	did    done
	seen   map[string]float64 // marks against repeats, when first met
}

// done is what a unit counts of itself, for whoever scrapes it.
type done struct{ all, failed, wrong, usual float64 }

// count enters one outcome.
func (u *Endpoint) count(failed, wrong bool, took float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.did.all++
	if failed {
		u.did.failed++
	}
	if wrong {
		u.did.wrong++
	}
	u.did.usual += 0.05 * (took - u.did.usual)
}

// StartEndpoint listens on a loopback port of its own.
func StartEndpoint(id uint32, build int, does Build, shape EndpointShape, rec *invariants.Record, clock func() float64) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Endpoint{ID: id, Addr: l.Addr().String(), Build: build, Start: clock(), shape: shape, does: does, rec: rec, clock: clock,
		cores: make(chan struct{}, shape.Cores), seen: map[string]float64{}}
	u.ails.Store(&EndpointFault{})
	u.stop, u.kill = context.WithCancel(context.Background())
	u.srv = &http.Server{Handler: http.HandlerFunc(u.serve), ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed || s == http.StateHijacked {
			u.conns.Add(-1)
		}
	}}
	rec.Enter(func(r *invariants.Record) {
		r.Endpoints[id] = &invariants.Endpoint{ID: id, Build: build, StartedAt: u.Start, Capacity: float64(shape.Cores)}
	})
	go serveUntilClosed(u.srv, door{l, u})
	return u, nil
}

// InjectFault sets the unit's trouble.
func (u *Endpoint) InjectFault(t EndpointFault) { u.ails.Store(&t) }

// Stop ends the process at once; what it holds gets no answer.
func (u *Endpoint) Stop() {
	u.kill()
	u.srv.Close()
}

// door accepts as the unit's trouble lets it.
type door struct {
	net.Listener
	u *Endpoint
}

func (d door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		t := d.u.ails.Load()
		if t.Conns > 0 && d.u.conns.Load() >= int64(t.Conns) {
			resetOnClose(c)
			c.Close()
			continue
		}
		if t.Handshake > 0 {
			time.Sleep(time.Duration(t.Handshake * float64(time.Second)))
		}
		d.u.conns.Add(1)
		return c, nil
	}
}

func (u *Endpoint) ramp(now float64) float64 {
	if u.shape.WarmUp <= 0 || now-u.Start >= u.shape.WarmUp {
		return 1
	}
	return u.shape.ColdFrom + (1-u.shape.ColdFrom)*(now-u.Start)/u.shape.WarmUp
}

// pushed enters work that reached a cold unit and tells whether the unit lies.
func (u *Endpoint) pushed(now, work float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fell || now-u.Start > u.shape.WarmUp {
		return u.fell
	}
	u.recent = append(u.recent, struct{ at, work float64 }{now, work})
	sum, n := 0.0, 0
	for _, x := range u.recent {
		if x.at >= now-u.shape.FallTime {
			u.recent[n] = x
			n++
			sum += x.work
		}
	}
	u.recent = u.recent[:n]
	if n > 1 && sum > u.shape.FallFactor*float64(u.shape.Cores)*u.ramp(now)*u.shape.FallTime {
		u.fell = true
		u.rec.Enter(func(r *invariants.Record) { r.Endpoints[u.ID].FailedAt = now })
	}
	return u.fell
}

// repeats tells whether a mark was met before.
func (u *Endpoint) repeats(mark string, now float64) bool {
	if mark == "" {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	_, met := u.seen[mark]
	u.seen[mark] = now
	return met
}

// Answer is what the right answer to a key says.
func Answer(key string) string {
	h := fnv.New32a()
	h.Write([]byte(key))
	return fmt.Sprintf("chute %d", h.Sum32()%97)
}

func (u *Endpoint) serve(w http.ResponseWriter, req *http.Request) {
	now := u.clock()
	if req.URL.Path == "/health" {
		if u.ails.Load().Probes {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id, _ := strconv.ParseUint(req.Header.Get(headCommand), 10, 64)
	work, _ := strconv.ParseFloat(req.Header.Get(headWork), 64)
	d := &invariants.Attempt{RequestID: id, Endpoint: u.ID, At: now, WorkSeconds: work}
	u.rec.Enter(func(r *invariants.Record) { r.Attempts = append(r.Attempts, d) })
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	t := u.ails.Load()
	if t.From != "" && req.Header.Get("X-Relay") != t.From {
		t = &EndpointFault{}
	}
	if u.pushed(now, work) || t.Silent {
		<-u.waitEnd(req.Context(), func() bool { return !u.lies() && !u.ails.Load().Silent })
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < t.Closes {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headUnit, strconv.Itoa(int(u.ID)))
	if u.inHand.Add(1) > int64(u.shape.Cores+u.shape.Queue) {
		u.inHand.Add(-1)
		u.rec.Enter(func(*invariants.Record) { d.RejectedAt = u.clock() })
		w.Header().Set("Flint-Never-Ran", "queue full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.inHand.Add(-1)
	age := now - u.Start
	slow, errs := max(1, t.Slow)*max(1, u.does.Work), u.does.Errors
	if u.does.After > 0 && age > u.does.After {
		slow, errs = slow*max(1, u.does.LateWork), max(errs, u.does.LateError)
	}
	if op := u.does.ErrorOp; op != "" && op != req.Header.Get("X-Op") {
		errs = 0
	}
	if rand.Float64() < t.Tail {
		slow *= 10
	}
	repeat := u.repeats(req.Header.Get("Idempotency-Key"), now)
	if t.Errors > 0 && rand.Float64() < t.Errors {
		u.count(true, false, 0)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case u.cores <- struct{}{}:
	case <-u.stop.Done():
		panic(http.ErrAbortHandler)
	}
	wrong := rand.Float64() < max(u.does.Wrong, t.Wrong)
	if !repeat && (t.Wrong == 0 || !wrong) {
		time.Sleep(time.Duration(work * slow / u.ramp(u.clock()) * float64(time.Second)))
	}
	<-u.cores
	if u.stop.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	failed := rand.Float64() < errs
	u.count(failed, wrong && !failed, u.clock()-now)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text := Answer(string(body) + req.URL.Path)
	if wrong {
		text = "chute 99"
	}
	writeResponse(w, []byte(text))
}

func (u *Endpoint) lies() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fell
}

// waitEnd is closed once the client or the unit is gone, or the trouble over.
func (u *Endpoint) waitEnd(ctx context.Context, over func() bool) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		look := time.NewTicker(20 * time.Millisecond)
		defer look.Stop()
		for !over() {
			select {
			case <-ctx.Done():
				return
			case <-u.stop.Done():
				return
			case <-look.C:
			}
		}
	}()
	return done
}
