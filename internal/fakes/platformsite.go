package fakes

import (
	"bufio"
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

// PlatformSiteCanary is the build that is the canary at a site.
const PlatformSiteCanary = 2

// PlatformSiteBounds holds the parameters of the invariants, as in the site's settings.
var PlatformSiteBounds = invariants.Bounds{
	SlackSeconds:             0.25,
	GraceSeconds:             0.3,
	SlowStartInitialShare:    0.3,
	SlowStartSeconds:         1,
	SlowStartOverloadFactor:  4,
	SlowStartOverloadSeconds: 1,
	CanaryWindowSeconds:      1,
	CanaryFreeAttempts:       2,
	CanaryLimits:             []float64{0.2, 0.5},
}

// The platform's names for the canary phase of a release and for an endpoint that is ready.
const (
	platformPhaseCanary = "trial"
	platformReady       = "SERVING"
)

const (
	siteEndpointLatency  = 2 * time.Millisecond
	siteEndpointCapacity = 1e9 // so high that no endpoint is ever overloaded
	siteWatchBuffer      = 100
	siteWatchInterval    = 500 * time.Millisecond // between two lines of a stream without changes
	siteTimeoutSeconds   = 0.4                    // of a client's requests; their option d says the same in milliseconds
	siteAnswerTimeout    = 2 * time.Second        // after which a client closes a connection without an answer
)

// PlatformSite fakes everything around one router that speaks the platform's protocol: endpoints, discovery, the
// control service and clients. It records what it observes on its sockets.
type PlatformSite struct {
	Record      *invariants.Record
	RouterGroup string

	startedAt time.Time
	stopped   chan struct{}

	mu         sync.Mutex
	stageSince time.Time
	sequence   int                  // sequence number of the endpoint list
	hosts      []platformHost       // the endpoint list
	watchers   map[chan []byte]bool // streams of the endpoint list
	followers  map[net.Conn]bool    // connections that follow the release
	stage      int
	phase      string
	votes      int
	closers    []io.Closer
}

// platformHost is an entry of the endpoint list in the platform's JSON format.
type platformHost struct {
	Block  int     `json:"block"`
	BornMS int     `json:"born_ms"`
	Class  string  `json:"class"`
	Dial   string  `json:"dial"`
	Health string  `json:"health"`
	Host   string  `json:"host"`
	Build  int     `json:"image_id"`
	Share  float64 `json:"share"`
	Site   string  `json:"site"`
}

// platformList is one line of a stream of the endpoint list.
type platformList struct {
	Hosts    []platformHost `json:"hosts"`
	Sequence int            `json:"seq"`
	Whole    bool           `json:"whole"`
}

// NewPlatformSite returns a site without endpoints and with a canary in its first stage.
func NewPlatformSite(routerGroup string) *PlatformSite {
	now := time.Now()
	return &PlatformSite{
		Record:      invariants.NewRecord(),
		RouterGroup: routerGroup,
		startedAt:   now,
		stopped:     make(chan struct{}),
		stageSince:  now,
		watchers:    map[chan []byte]bool{},
		followers:   map[net.Conn]bool{},
		phase:       platformPhaseCanary,
	}
}

// Close stops all servers of the site.
func (s *PlatformSite) Close() {
	close(s.stopped)
	s.mu.Lock()
	closers := s.closers
	s.mu.Unlock()
	for _, closer := range closers {
		closer.Close()
	}
}

// Clock returns the site's time: Unix seconds at its start, advanced by the monotonic clock. A step of the system clock
// during a test would otherwise look like a late answer.
func (s *PlatformSite) Clock() float64 {
	return float64(s.startedAt.UnixNano())/1e9 + time.Since(s.startedAt).Seconds()
}

// Votes returns the number of votes that the control service has received.
func (s *PlatformSite) Votes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes
}

// Released reports whether the canary has been released.
func (s *PlatformSite) Released() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == phaseReleased
}

// track adds a listener to those that Close closes, and returns its address. If err is not nil, it returns err.
func (s *PlatformSite) track(l net.Listener, err error) (address string, _ error) {
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, l)
	return l.Addr().String(), nil
}

func hostName(endpointID int) string { return fmt.Sprintf("u%d", endpointID) }

// endpointID returns the number in a host name that hostName generated, or 0 for other names.
func endpointID(host string) uint32 {
	id, err := strconv.ParseUint(strings.TrimPrefix(host, "u"), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(id)
}

// StartEndpoint starts an endpoint and adds it to the endpoint list. A share of its requests gets bad answers of the
// kinds that badAnswer draws from.
func (s *PlatformSite) StartEndpoint(id, build int, badShare float64) error {
	address, err := s.track(ServeConns(func(c net.Conn) { s.serveEndpoint(c, uint32(id), badShare) }))
	if err != nil {
		return err
	}
	s.Record.Update(func(r *invariants.Record) {
		r.Endpoints[uint32(id)] = &invariants.Endpoint{ID: uint32(id), Build: build, Capacity: siteEndpointCapacity}
	})
	s.SetEndpoint(hostName(id), address, build, platformReady)
	return nil
}

// serveEndpoint answers the RESP2 commands of one connection.
func (s *PlatformSite) serveEndpoint(c net.Conn, endpoint uint32, badShare float64) {
	br := bufio.NewReader(c)
	for {
		args, err := resp.ReadCommand(br, resp.Unlimited)
		if err != nil {
			return
		}
		requestID, err := strconv.ParseUint(string(args[2]), 16, 64)
		if err != nil {
			requestID = 0 // no request has this ID, so the invariant check fails
		}
		attempt := &invariants.Attempt{RequestID: requestID, Endpoint: endpoint, At: s.Clock()}
		answer, reset := goodAnswer(requestID), false
		if rand.Float64() < badShare {
			answer, reset = badAnswer(attempt)
		}
		s.Record.Update(func(r *invariants.Record) { r.Attempts = append(r.Attempts, attempt) })
		if reset {
			resetOnClose(c)
			return
		}
		time.Sleep(siteEndpointLatency)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func goodAnswer(request uint64) string {
	return fmt.Sprintf("*3\r\n$17\r\nv%016x\r\n$-1\r\n$-1\r\n", request)
}

// badAnswer draws at random one kind of bad answer: an error, a rejection, no answer, a truncated or malformed answer,
// two answers, or a reset of the connection.
func badAnswer(attempt *invariants.Attempt) (answer string, reset bool) {
	switch rand.IntN(7) {
	case 0:
		return "-ERR failed\r\n", false
	case 1:
		attempt.RejectedAt = attempt.At
		return "-BUSY\r\n", false
	case 2: // no answer
		return "", false
	case 3:
		return "*3\r\n$3000000000\r\nxx", false
	case 4:
		return "?noise\r\n", false
	case 5:
		return goodAnswer(attempt.RequestID) + goodAnswer(attempt.RequestID), false
	default:
		return "", true
	}
}

// SetEndpoint adds or replaces one entry of the endpoint list, and sends the entry to all watchers.
func (s *PlatformSite) SetEndpoint(host, dial string, build int, health string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := platformHost{Host: host, Dial: dial, Site: "a", Class: "m", Health: health, Share: 1, Build: build}
	kept := s.hosts[:0]
	for _, old := range s.hosts {
		if old.Host != host {
			kept = append(kept, old)
		}
	}
	s.hosts = append(kept, entry)
	s.sequence++
	s.recordEndpoint(entry)
	line := jsonLine(platformList{Hosts: []platformHost{entry}, Sequence: s.sequence})
	for watcher := range s.watchers {
		watcher <- line
	}
}

// recordEndpoint records that the router is sent an entry of the endpoint list.
func (s *PlatformSite) recordEndpoint(entry platformHost) {
	at := s.Clock()
	s.Record.Update(func(r *invariants.Record) {
		r.EndpointUpdates = append(r.EndpointUpdates, invariants.EndpointUpdate{
			At: at, RouterGroup: s.RouterGroup, Endpoint: endpointID(entry.Host), Ready: entry.Health == platformReady,
		})
	})
}

// StartDiscovery starts the platform's discovery service and returns its address and a function that stops it. If
// sendInvalid is not nil and returns true for a request, the service answers it with an invalid endpoint list.
func (s *PlatformSite) StartDiscovery(sendInvalid func() bool) (address string, stop func() error, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if sendInvalid != nil && sendInvalid() {
			writeResponse(w, []byte(`{"seq":9,"whole":true,"hosts":[{"host":"u1","health":"SERVING","dial":"nowhere"}]}`+"\n"))
			return
		}
		s.streamList(w, r)
	})}
	go serveUntilClosed(server, l)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, server)
	return l.Addr().String(), server.Close, nil
}

// streamList streams the endpoint list: first the full list, then its changes, and an empty line after each
// siteWatchInterval without a change.
func (s *PlatformSite) streamList(w http.ResponseWriter, r *http.Request) {
	changes := make(chan []byte, siteWatchBuffer)
	s.mu.Lock()
	s.watchers[changes] = true
	for _, entry := range s.hosts {
		s.recordEndpoint(entry)
	}
	line := jsonLine(s.fullList())
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, changes)
	}()
	for {
		writeResponse(w, line)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-s.stopped:
			return
		case <-r.Context().Done():
			return
		case line = <-changes:
		case <-time.After(siteWatchInterval):
			line = []byte("\n")
		}
	}
}

// fullList returns the full endpoint list. s.mu must be held.
func (s *PlatformSite) fullList() platformList {
	return platformList{Hosts: s.hosts, Sequence: s.sequence, Whole: true}
}

// releaseState returns the state of the canary in the platform's format: build, stage, phase, canary traffic limit and
// milliseconds since the stage began. s.mu must be held.
func (s *PlatformSite) releaseState() string {
	return fmt.Sprintf("%d %d %s %v %d", PlatformSiteCanary, s.stage, s.phase, s.canaryLimit(), time.Since(s.stageSince).Milliseconds())
}

// canaryLimit returns the canary traffic limit. s.mu must be held.
func (s *PlatformSite) canaryLimit() float64 {
	if s.phase == phaseReleased {
		return 1
	}
	return PlatformSiteBounds.CanaryLimits[s.stage]
}

// recordRelease records that the router is sent the state of the canary. s.mu must be held.
func (s *PlatformSite) recordRelease() {
	phase := s.phase
	if phase == platformPhaseCanary {
		phase = phaseCanary
	}
	update := invariants.ReleaseUpdate{
		At: s.Clock(), RouterGroup: s.RouterGroup, Build: PlatformSiteCanary, Stage: s.stage, Phase: phase, CanaryLimit: s.canaryLimit(),
	}
	s.Record.Update(func(r *invariants.Record) { r.ReleaseUpdates = append(r.ReleaseUpdates, update) })
}

// StartControlService starts the platform's control service and returns its address and a function that stops accepting
// new connections. Each PROCEED vote on the current stage advances the canary. The first of every three votes gets an
// invalid answer and does not count.
func (s *PlatformSite) StartControlService() (address string, stop func() error, err error) {
	l, err := ServeLines(s.answerControlLine, func(c net.Conn) { writeText(c, "*\r\n") })
	if address, err = s.track(l, err); err != nil {
		return "", nil, err
	}
	return address, l.Close, nil
}

// answerControlLine answers a line of the control protocol: "follow", or a vote, "judge BUILD STAGE VERDICT", whose
// first word it does not check.
func (s *PlatformSite) answerControlLine(c net.Conn, line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if line == "follow" {
		s.followers[c] = true
		s.recordRelease()
		writeText(c, fmt.Sprintf("OK\r\n* progress %s\r\n* metrics %d lookup 5 0 1.5 100\r\n*\r\n", s.releaseState(), PlatformSiteCanary))
		return
	}
	if s.votes++; s.votes%3 == 1 {
		writeText(c, "OK 2 0 tr\x00al\r\n")
		return
	}
	words := strings.Fields(line)
	stage, verdict := words[2], words[3]
	if verdict == "PROCEED" && stage == strconv.Itoa(s.stage) && s.phase == platformPhaseCanary {
		s.promote()
	}
	s.recordRelease()
	writeText(c, fmt.Sprintf("OK %s\r\n", s.releaseState()))
	for follower := range s.followers {
		if follower != c {
			writeText(follower, fmt.Sprintf("* progress %s\r\n", s.releaseState()))
		}
	}
}

// promote enters the next stage, or releases the canary after the last stage. s.mu must be held.
func (s *PlatformSite) promote() {
	s.stageSince = time.Now()
	if s.stage+1 == len(PlatformSiteBounds.CanaryLimits) {
		s.phase = phaseReleased
		return
	}
	s.stage++
}

// Config returns the platform's configuration file for a router that listens at address, given the addresses of the
// discovery and control services.
func (s *PlatformSite) Config(address, discovery, controlService string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
"platform":{"address":%q,"news":{"build":%d,"stage":0,"phase":"trial","cap":%v,"age_ms":0}},
"known":%s,"settings":%s}`, s.RouterGroup, address, discovery, controlService, PlatformSiteCanary, PlatformSiteBounds.CanaryLimits[0],
		jsonLine(s.fullList()), siteSettings)
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
