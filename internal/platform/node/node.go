// Package node is the relay on the platform's sockets: it puts the relay, the platform's control service and discovery together
// from one configuration, and follows the platform's signals.
package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/endpoints"
	"flintspread/internal/loadshed"
	"flintspread/internal/platform/control"
	"flintspread/internal/platform/discovery"
	"flintspread/internal/policy"
	"flintspread/internal/proxy"
	"flintspread/internal/releases"
	"flintspread/internal/watch"
)

// What the platform's page gives.
const (
	speakUp   = 2.3    // s in which a client must have sent something, and a command have come whole
	idleTime  = 2.2    // s that a client's connection may be idle: the platform's clients may be closed on after 2
	forget    = 60.0   // s after which a unit that left is forgotten
	keysKept  = 50_000 // for one-way keys
	silence   = 2.5    // s of discovery's: a heartbeat is due every 2 s. Two silent watches and the return fit in the 6 s after which
	opening   = 1.0    // what they miss counts as told; discovery's agent is on this machine and answers at once
	backLeast = 0.05   // s
	backMost  = 0.25   // a change counts as told when the agent is back, and the grace runs from then
	joinTime  = 1.5    // s that the list's old address is still followed where a new one says nothing
)

// Node is one relay.
type Node struct {
	told  *Config
	log   *slog.Logger
	relay *proxy.Proxy
	line  *control.Client
	http  *http.Client

	mu      sync.Mutex // orders lists and news
	names   discovery.IDs
	list    endpoints.List
	from    string // discovery's address
	feed    int    // the follower whose objects count; earlier ones may still add changes
	joined  int    // the newest that was told something
	renewal discovery.Renewal
	ended   bool // nothing new is followed
	running sync.WaitGroup

	plan     loadshed.ShutdownPlan
	unheard  float64 // s after which it is ready though discovery said nothing
	mostList int64   // bytes of a list

	feeds     context.Context // of what is followed; it outlasts the listener
	stopFeeds context.CancelFunc
}

// New makes a relay of what it was told.
func New(t *Config, log *slog.Logger) *Node {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(t.Cores))))
	parts := loadshed.SplitLimits(t.Sockets, t.Memory)
	debug.SetMemoryLimit(parts.HeapBytes)
	terms := t.Terms
	terms.ForgetEndpointSeconds, terms.MaxRememberedKeys = forget, keysKept
	terms.RequestsPerConn = 1 // whatever units allow, this relay has one delivery out on a connection
	set := config.ForPlatform(t.Name, terms, t.Ops,
		config.Clients{Connections: parts.ClientConns, Keep: parts.IdleEvictionThreshold, ReadTime: speakUp, IdleTime: idleTime},
		config.Endpoints{Connections: parts.EndpointConns, Total: parts.EndpointConns, DialTime: t.Dial, IdleTime: loadshed.EndpointIdleSeconds(terms.ConnIdleSeconds)}, parts.BufferBytes)
	n := &Node{told: t, log: log, from: t.Discovery, mostList: parts.BufferBytes / 2, names: discovery.IDs{KeepSeconds: 2 * forget},
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
	longest := 0.0
	for _, op := range terms.Classes {
		longest = max(longest, op.TimeoutSeconds)
	}
	n.plan = loadshed.PlanShutdown(longest)
	n.feeds, n.stopFeeds = context.WithCancel(context.Background())
	n.line = &control.Client{Stages: len(terms.StageShares), Timeout: terms.VoteTimeoutSeconds, Log: log, OnRelease: n.news, OnWrongAnswer: n.blamed,
		OnVoteReply: func(_ releases.Vote, reply policy.VoteReply) { n.relay.OnVoteReply(reply) }}
	n.line.Open(t.Platform)
	n.relay = proxy.NewRESP(set, t.Seed, log, n.cast)
	if t.News != nil {
		n.news(t.News)
	}
	if t.Known != nil {
		if err := n.object(t.Known); err != nil {
			log.Error("known list", "error", err) // discovery tells it anew
		}
	}
	n.unheard = loadshed.ReadinessDelaySeconds(n.units() > 0)
	return n
}

// Run serves until ctx ends, then answers what it has taken.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	defer n.stopFeeds()
	n.running.Go(func() { n.line.Run(n.feeds) })
	n.follow()
	failed := make(chan error, 1)
	n.running.Go(func() { failed <- n.relay.Serve(l) })
	n.running.Go(func() { n.report(n.feeds) })
	unheard := time.AfterFunc(span(n.unheard), n.relay.SetReady)
	defer unheard.Stop()
	n.log.Info("serving", "relay", n.told.Name, "listen", l.Addr().String())
	var err error
	select {
	case <-ctx.Done():
		n.log.Info("leaving", "relay", n.told.Name)
		n.relay.SetAnswerDeadline(n.relay.Now() + n.plan.AnswerBy)
		closed := time.AfterFunc(span(n.plan.AcceptUntil), func() { proxy.CloseListener(l) })
		time.Sleep(span(n.plan.ServeUntil))
		n.relay.StopServing()
		time.Sleep(span(n.plan.AcceptUntil - n.plan.ServeUntil))
		closed.Stop()
	case err = <-failed:
	}
	proxy.CloseListener(l)
	until, cancel := context.WithTimeout(context.Background(), span(n.plan.GiveUpAt-max(n.plan.ServeUntil, n.plan.AcceptUntil)))
	defer cancel()
	if late := n.relay.Drain(until); late != nil {
		n.log.Error("drain", "error", late)
	}
	n.mu.Lock()
	n.ended = true // a reload in the last moment begins nothing
	n.mu.Unlock()
	n.stopFeeds()
	n.relay.Close()
	n.running.Wait()
	n.log.Info("stopped", "relay", n.told.Name)
	return err
}

func span(secs float64) time.Duration { return time.Duration(secs * float64(time.Second)) }

func (n *Node) units() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list.Len()
}

// Reload takes the addresses of a configuration that was replaced.
func (n *Node) Reload(t *Config) {
	if !reflect.DeepEqual([]any{t.Terms, t.Ops, t.Dial, t.Cores, t.Memory, t.Sockets, t.Name, t.Listen},
		[]any{n.told.Terms, n.told.Ops, n.told.Dial, n.told.Cores, n.told.Memory, n.told.Sockets, n.told.Name, n.told.Listen}) {
		n.log.Warn("the file has other settings or limits than those in force; they count from the next start")
	}
	n.line.SetAddress(t.Platform)
	n.mu.Lock()
	same := n.from == t.Discovery
	n.from = t.Discovery
	n.mu.Unlock()
	if !same {
		n.follow()
	}
}

// follow begins to follow discovery at its present address. A follower before it goes once this one had time to join.
func (n *Node) follow() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return
	}
	n.feed++
	me, from := n.feed, n.from
	mine, stop := context.WithCancel(n.feeds)
	heard := func() (old bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.joined = max(n.joined, me)
		return n.feed != me
	}
	source := watch.Source{SilenceSeconds: silence, OpenSeconds: opening, MaxObjectBytes: n.mostList, BackoffMinSeconds: backLeast, BackoffMaxSeconds: backMost, Log: n.log, Client: n.http,
		OnHeartbeat: func() {
			heard()
			n.relay.ConfirmEndpoints()
		},
		NextURL: func() string {
			n.mu.Lock()
			defer n.mu.Unlock()
			return fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", from, n.list.Version)
		}}
	n.running.Go(func() {
		watch.Follow(mine, source, func(o *discovery.Message) error {
			if err := o.Check(); err != nil {
				return err
			}
			if heard() && o.Whole {
				return nil // the newer follower's whole list counts
			}
			if err := n.object(o); err != nil {
				return err
			}
			if n.units() > 0 {
				n.relay.SetReady()
			}
			return nil
		}, func() {})
	})
	n.running.Go(func() {
		defer stop()
		const step = 0.1
		tick := time.NewTicker(span(step))
		defer tick.Stop()
		for left := joinTime; left > 0; {
			select {
			case <-n.feeds.Done():
				return
			case <-tick.C:
			}
			n.mu.Lock()
			if n.feed != me {
				left -= step
			}
			if n.joined > me {
				left = 0
			}
			n.mu.Unlock()
		}
	})
}

// object enters one of discovery's. Changes that came already by another way are passed over.
func (n *Node) object(o *discovery.Message) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.relay.Now()
	if !o.Whole && o.Seq < n.list.Version {
		return nil
	}
	if o.Whole && !n.renewal.Takes(o.Seq, n.list.Version, now, forget) {
		return fmt.Errorf("list version %d is older than %d, which is in force", o.Seq, n.list.Version)
	}
	line := n.names.Update(o, now)
	if err := line.Check(); err != nil {
		return err
	}
	changes, err := n.list.Apply(line, now)
	if err != nil {
		return err
	}
	n.relay.ApplyEndpoints(changes)
	return nil
}

// cast hands a vote on. One that sends a build back is logged with what it rests on.
func (n *Node) cast(v releases.Vote) {
	if v.Verdict == policy.VoteRollback {
		type sum struct {
			Units, N, Bad [len(policy.FailureKinds)]float64
		}
		by := map[int]*sum{}
		for _, t := range n.relay.LocalEvidence().Samples {
			s := by[t.Build]
			if s == nil {
				s = &sum{}
				by[t.Build] = s
			}
			for i := range t.Outcomes {
				s.N[i] += t.Outcomes[i]
				s.Bad[i] += t.Failures[i]
				if t.Failures[i] > 0 {
					s.Units[i]++
				}
			}
		}
		for build, s := range by {
			n.log.Info("evidence", "trial", v.Build, "build", build, "kinds", policy.FailureKinds, "outcomes", s.N, "failures", s.Bad, "failing_units", s.Units)
		}
	}
	n.line.Cast(v)
}

func (n *Node) news(s *releases.Update) {
	n.relay.ApplyRelease(s.Build, s.Stage, s.PolicyPhase(), s.Cap, s.Age)
}

func (n *Node) blamed(unit string, age float64) {
	n.mu.Lock()
	id := n.names.EndpointID(unit)
	n.mu.Unlock()
	if id > 0 {
		n.relay.ReportWrongAnswer(id, age)
	}
}

// report logs now and then what the relay thinks.
func (n *Node) report(ctx context.Context) {
	tick := time.NewTicker(5 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c := n.relay.Stats()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		text, _ := json.Marshal(c)
		n.log.Info("numbers", "relay", n.told.Name, "heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "counts", string(text))
	}
}
