package fakes

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"flintspread/internal/invariants"
	"flintspread/internal/platform/resp"
)

// PlatformSiteCanary is the build that is on trial at a site; what its settings say of the rules stands in SiteBounds.
const PlatformSiteCanary = 2

// PlatformSiteBounds are the numbers behind the rules that the site's settings give.
var PlatformSiteBounds = invariants.Bounds{SlackSeconds: 0.25, GraceSeconds: 0.3, SlowStartInitialShare: 0.3, SlowStartSeconds: 1, SlowStartOverloadFactor: 4, SlowStartOverloadSeconds: 1, CanaryWindowSeconds: 1, CanaryFreeAttempts: 2, CanaryLimits: []float64{0.2, 0.5}}

// PlatformSite plays what is around one relay in the platform's protocol, and enters what it sees on its sockets.
type PlatformSite struct {
	Rec   *invariants.Record
	Relay string

	mu    sync.Mutex
	base  time.Time // of the present stage
	seq   int
	hosts []map[string]any
	watch map[chan []byte]bool
	desks map[net.Conn]bool
	stage int
	phase string
	votes int
	stop  chan struct{}
	open  []io.Closer
}

// NewPlatformSite begins with no units and a build on trial in its first stage.
func NewPlatformSite(relay string) *PlatformSite {
	return &PlatformSite{Rec: invariants.NewRecord(), Relay: relay, base: time.Now(), watch: map[chan []byte]bool{},
		desks: map[net.Conn]bool{}, phase: "trial", stop: make(chan struct{})}
}

// Close ends all that the site serves.
func (s *PlatformSite) Close() {
	close(s.stop)
	s.mu.Lock()
	open := s.open
	s.mu.Unlock()
	for _, o := range open {
		o.Close()
	}
}

// Clock is the one that all watch by, s since 1970 as units' starts are.
func (s *PlatformSite) Clock() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// Votes counts the votes that the control service has received.
func (s *PlatformSite) Votes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes
}

// Released reports whether the canary has been released.
func (s *PlatformSite) Released() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == "released"
}

// kept notes a listener to close, and gives its address.
func (s *PlatformSite) kept(l net.Listener, err error) (string, error) {
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, l)
	return l.Addr().String(), nil
}

func unitID(host string) uint32 {
	n, _ := strconv.Atoi(strings.TrimPrefix(host, "u"))
	return uint32(n)
}

// Unit starts one that ends a share of its deliveries badly, in every way there is, and lists it.
func (s *PlatformSite) Unit(n, build int, bad float64) error {
	at, err := s.kept(Serve(func(c net.Conn) { s.serve(c, uint32(n), bad) }))
	if err != nil {
		return err
	}
	s.Rec.Enter(func(r *invariants.Record) {
		r.Endpoints[uint32(n)] = &invariants.Endpoint{ID: uint32(n), Build: build, Capacity: 1e9}
	})
	s.List(fmt.Sprintf("u%d", n), at, build, "SERVING")
	return nil
}

func (s *PlatformSite) serve(c net.Conn, unit uint32, bad float64) {
	br := bufio.NewReader(c)
	for {
		args, err := resp.Command(br)
		if err != nil {
			return
		}
		id, _ := strconv.ParseUint(string(args[2]), 16, 64)
		d := &invariants.Attempt{RequestID: id, Endpoint: unit, At: s.Clock()}
		good := fmt.Sprintf("*3\r\n$17\r\nv%016x\r\n$-1\r\n$-1\r\n", id)
		text := good
		if rand.Float64() < bad {
			switch rand.IntN(7) {
			case 0:
				text = "-ERR failed\r\n"
			case 1:
				text, d.RejectedAt = "-BUSY\r\n", d.At
			case 2:
				text = "" // silent
			case 3:
				text = "*3\r\n$3000000000\r\nxx"
			case 4:
				text = "?noise\r\n"
			case 5:
				text = good + good
			case 6:
				s.Rec.Enter(func(r *invariants.Record) { r.Attempts = append(r.Attempts, d) })
				resetOnClose(c)
				return
			}
		}
		s.Rec.Enter(func(r *invariants.Record) { r.Attempts = append(r.Attempts, d) })
		time.Sleep(2 * time.Millisecond)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// List changes one entry, and tells all who watch.
func (s *PlatformSite) List(host, dial string, build int, health string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := map[string]any{"host": host, "dial": dial, "site": "a", "class": "m", "block": 0, "health": health, "share": 1.0, "born_ms": 0, "image_id": build}
	kept := s.hosts[:0]
	for _, old := range s.hosts {
		if old["host"] != host {
			kept = append(kept, old)
		}
	}
	s.hosts = append(kept, e)
	s.seq++
	s.told(e)
	text, _ := json.Marshal(map[string]any{"seq": s.seq, "whole": false, "hosts": []any{e}})
	for w := range s.watch {
		w <- text
	}
}

func (s *PlatformSite) told(e map[string]any) {
	at := s.Clock()
	s.Rec.Enter(func(r *invariants.Record) {
		r.EndpointUpdates = append(r.EndpointUpdates, invariants.EndpointUpdate{At: at, Relay: s.Relay, Endpoint: unitID(e["host"].(string)), Ready: e["health"] == "SERVING"})
	})
}

// Discovery starts an agent and gives its address, and a way to end it. While spoil, if it is not nil, says so, its answers are spoilt.
func (s *PlatformSite) Discovery(spoil func() bool) (at string, end func() error, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if spoil != nil && spoil() {
			writeResponse(w, []byte(`{"seq":9,"whole":true,"hosts":[{"host":"u1","health":"SERVING","dial":"nowhere"}]}`+"\n"))
			return
		}
		s.stream(w, req)
	})}
	go serveUntilClosed(srv, l)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, srv)
	return l.Addr().String(), srv.Close, nil
}

func (s *PlatformSite) stream(w http.ResponseWriter, req *http.Request) {
	ch := make(chan []byte, 100)
	s.mu.Lock()
	s.watch[ch] = true
	for _, e := range s.hosts {
		s.told(e)
	}
	text := s.whole()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watch, ch)
	}()
	for {
		fmt.Fprintf(w, "%s\n", text)
		w.(http.Flusher).Flush()
		select {
		case <-s.stop:
			return
		case <-req.Context().Done():
			return
		case text = <-ch:
		case <-time.After(500 * time.Millisecond):
			text = nil
		}
	}
}

// whole words the whole list. Under the lock.
func (s *PlatformSite) whole() []byte {
	text, _ := json.Marshal(map[string]any{"seq": s.seq, "whole": true, "hosts": s.hosts})
	return text
}

// state words how the trial build stands. Under the lock.
func (s *PlatformSite) state() string {
	return fmt.Sprintf("%d %d %s %v %d", PlatformSiteCanary, s.stage, s.phase, s.cap(), time.Since(s.base).Milliseconds())
}

func (s *PlatformSite) cap() float64 {
	if s.phase == "released" {
		return 1
	}
	return PlatformSiteBounds.CanaryLimits[s.stage]
}

// tell enters what the relay hears of the release; released and trial are the audit's words as well, but for the latter.
func (s *PlatformSite) tell() {
	n := invariants.ReleaseUpdate{At: s.Clock(), Relay: s.Relay, Build: PlatformSiteCanary, Stage: s.stage, Phase: map[string]string{"trial": "on-trial"}[s.phase], CanaryLimit: s.cap()}
	if n.Phase == "" {
		n.Phase = s.phase
	}
	s.Rec.Enter(func(r *invariants.Record) { r.ReleaseUpdates = append(r.ReleaseUpdates, n) })
}

// Desk starts a control service and gives its address, and a way to end its taking new connections. Each PROCEED moves the build on;
// every third answer to a vote is spoilt.
func (s *PlatformSite) Desk() (at string, end func() error, err error) {
	l, err := Desk(s.answer, func(c net.Conn) { fmt.Fprint(c, "*\r\n") })
	if at, err = s.kept(l, err); err != nil {
		return "", nil, err
	}
	return at, l.Close, nil
}

func (s *PlatformSite) answer(c net.Conn, line string) {
	f := strings.Fields(line)
	s.mu.Lock()
	defer s.mu.Unlock()
	if line == "follow" {
		s.desks[c] = true
		s.tell()
		fmt.Fprintf(c, "OK\r\n* progress %s\r\n* metrics %d lookup 5 0 1.5 100\r\n*\r\n", s.state(), PlatformSiteCanary)
		return
	}
	if s.votes++; s.votes%3 == 1 {
		fmt.Fprint(c, "OK 2 0 tr\x00al\r\n")
		return
	}
	if f[3] == "PROCEED" && f[2] == strconv.Itoa(s.stage) && s.phase == "trial" {
		s.base = time.Now()
		if s.stage++; s.stage == len(PlatformSiteBounds.CanaryLimits) {
			s.stage, s.phase = len(PlatformSiteBounds.CanaryLimits)-1, "released"
		}
	}
	s.tell()
	fmt.Fprintf(c, "OK %s\r\n", s.state())
	for other := range s.desks {
		if other != c {
			fmt.Fprintf(other, "* progress %s\r\n", s.state())
		}
	}
}

// Config words the platform's file for a relay that listens at an address.
func (s *PlatformSite) Config(address, discovery, desk string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
"platform":{"address":%q,"news":{"build":%d,"stage":0,"phase":"trial","cap":%v,"age_ms":0}},
"known":%s,"settings":%s}`, s.Relay, address, discovery, desk, PlatformSiteCanary, PlatformSiteBounds.CanaryLimits[0], s.whole(), siteSettings)
}

const siteSettings = `{"balancers":1,"round":5.0,"discovery":"push",
"classes":[{"name":"lookup","aim":300.0,"deadline":600.0,"value":1.0,"semantics":"safe","group":"all","key_ttl":0.0},
 {"name":"order","aim":300.0,"deadline":600.0,"value":1.0,"semantics":"keyed","group":"all","key_ttl":5000.0},
 {"name":"seal","aim":300.0,"deadline":600.0,"value":1.0,"semantics":"unsafe","group":"all","key_ttl":0.0}],
"policy_limits":{"parallel_tries":true,"may_cancel":true,"retry_after":true,"max_retry_after":100.0,"send_cap":4,"conn_idle":5000.0,"max_streams":1,"dial_timeout":250.0},
"rules":{"cold_from":0.3,"warm_up":1000.0,"fall_multiple":4.0,"fall":1000.0,"stop_sending_within":300.0},
"family_info":{"window":1000.0,"spare_tries":1.0,"exposure_caps":[0.2,0.5],"waves":[0.5,1.0],"counts":"all","shielded":0,"forward_only":false,
 "gate_mode":"first_voice","replace_mode":"parallel","noes_needed":1,"harm_fee":3.0,"stale_build_price":0.3,"reported_share":0.3,"vote_life":5000.0,
 "api_timeout":300.0,"votes_per_s":20.0}}`

// exchange sends a request and reads the first line of its answer. An answer counts even if the write failed: the relay may
// have answered before it had read everything.
func exchange(c net.Conn, br *bufio.Reader, request []byte) (line string, err error) {
	_, writeErr := c.Write(request)
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if line, err = br.ReadString('\n'); err != nil {
		return line, errors.Join(writeErr, err)
	}
	return line, nil
}

// Client asks until it is told to stop, one command after the other, each on the connection before it while that lasts.
func (s *PlatformSite) Client(n int, address string, until <-chan struct{}) {
	var c net.Conn
	var br *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-until:
			if c != nil {
				c.Close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", address); err != nil {
				return // the relay has gone
			}
			br = bufio.NewReader(c)
		}
		const given = 0.4
		cmd := &invariants.Request{ID: uint64(n)<<32 | uint64(i+1), Relay: s.Relay, DedupScope: "all", DedupWindowSeconds: 5, PriorityWeight: 1, LatencyObjectiveSeconds: 0.3}
		list := []string{"API.READ", fmt.Sprintf("key%d", i%7), fmt.Sprintf("%016x", cmd.ID), "c=lookup,d=400"}
		switch i % 3 {
		case 0:
			cmd.Class, cmd.Idempotency = "lookup", invariants.Idempotent
		case 1:
			cmd.Class, cmd.Idempotency = "order", invariants.IdempotentWithKey
			list = append(list, "BODY")
			list[0], list[3] = "API.WRITE", fmt.Sprintf("c=order,d=400,k=%x", cmd.ID)
		default:
			cmd.Class, cmd.Idempotency = "seal", invariants.NonIdempotent
			list = append(list, "BODY")
			list[0], list[3] = "API.WRITE", "c=seal,d=400"
		}
		buf := resp.Array(nil, len(list))
		for _, w := range list {
			buf = resp.Bulk(buf, w)
		}
		cmd.Asked = s.Clock()
		cmd.FirstSentAt, cmd.Deadline = cmd.Asked, cmd.Asked+given
		s.Rec.Enter(func(r *invariants.Record) { r.Commands[cmd.ID] = cmd })
		line, err := exchange(c, br, buf)
		kind := ""
		switch {
		case strings.HasPrefix(line, "-BUSY"):
			kind = "nacked"
		case strings.HasPrefix(line, "-ERR"):
			kind = "failed"
		case line == "$17\r\n":
			var value string
			if value, err = br.ReadString('\n'); value == fmt.Sprintf("v%016x\r\n", cmd.ID) {
				kind = "acked"
			}
		}
		s.Rec.Enter(func(*invariants.Record) {
			if err != nil {
				cmd.ClosedAt = s.Clock()
			} else {
				cmd.Answers = append(cmd.Answers, invariants.Answer{At: s.Clock(), Kind: kind})
			}
		})
		if err != nil {
			c.Close()
			c = nil
		}
	}
}
