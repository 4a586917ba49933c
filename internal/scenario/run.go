package scenario

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"flintspread/internal/fakes"
	"flintspread/internal/invariants"
)

// Outcome is what a day showed.
type Outcome struct {
	*invariants.Report
	History  []fakes.ReleaseEvent `json:"history"`
	Versions *Versions            `json:"versions,omitempty"` // of the settings
}

// run is a day in play.
type run struct {
	script    *Script
	dir       string
	bin       string // the folder of the programs
	rec       *invariants.Record
	base      time.Time
	wall      float64
	from      float64
	list      *fakes.EndpointList
	installer *fakes.ReleaseService
	clients   *fakes.Clients
	edges     processes
	planners  processes
	storm     *storm
	queries   []*fakes.QueryServer
	control   string // address of list and installer
	ctx       context.Context

	mu     sync.Mutex
	nextID uint32
	units  map[uint32]*fakes.Endpoint
	errs   []error
	timers sync.WaitGroup
}

func (r *run) clock() float64 { return r.wall + time.Since(r.base).Seconds() }

// after does something some seconds from now, unless the day ends before.
func (r *run) after(secs float64, what func()) {
	r.timers.Go(func() {
		select {
		case <-r.ctx.Done():
		case <-time.After(time.Duration(secs * float64(time.Second))):
			what()
		}
	})
}

func (r *run) note(err error) {
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errs = append(r.errs, err)
	}
}

// StartEndpoint and StopUnit are the installer's hands.
func (r *run) StartEndpoint(_, build int) (*fakes.Endpoint, error) {
	r.mu.Lock()
	r.nextID++
	id := r.nextID
	r.mu.Unlock()
	does, ok := r.script.Builds[build]
	if !ok {
		return nil, fmt.Errorf("no build %d in the script", build)
	}
	s, rules := r.script.Units, r.script.Rules
	u, err := fakes.StartEndpoint(id, build, does, fakes.EndpointShape{Cores: s.Cores, QueueLength: s.Queue, SlowStartInitialShare: rules.SlowStartInitialShare,
		SlowStartSeconds: rules.SlowStartSeconds, SlowStartOverloadFactor: rules.SlowStartOverloadFactor, SlowStartOverloadSeconds: rules.SlowStartOverloadSeconds}, r.rec, r.clock)
	if err == nil {
		r.mu.Lock()
		r.units[id] = u
		r.mu.Unlock()
	}
	return u, err
}

func (r *run) StopEndpoint(u *fakes.Endpoint) {
	u.Stop()
	r.mu.Lock()
	delete(r.units, u.ID)
	r.mu.Unlock()
}

// Play plays a script with the programs in a folder; files go into dir, which must exist. progress gets a line now and
// then.
func Play(script *Script, bin, dir string, progress io.Writer) (*Outcome, error) {
	now := time.Now()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	r := &run{script: script, dir: dir, bin: bin, rec: invariants.NewRecord(), base: now, wall: float64(now.UnixNano()) / 1e9,
		ctx: ctx, units: map[uint32]*fakes.Endpoint{}}
	p, rel := script.Platform, script.Release
	r.list = fakes.NewEndpointList(p.ListLag, r.rec, r.clock)
	first := 1 << 30
	for b := range script.Builds {
		first = min(first, b)
	}
	var err error
	r.installer, err = fakes.NewReleaseService(fakes.ReleasePlan{StageShares: rel.Stages, CanaryLimits: rel.CanaryLimits, Slots: script.Units.Places,
		StartSeconds: script.Units.StartTime, DrainSeconds: script.Units.DrainTime, BakeSeconds: p.Bake, PromoteVotes: p.OnVotes,
		RollbackVotes: rel.RollbackVotes, VoteLifetimeSeconds: rel.VoteLifetimeSeconds, PropagationSeconds: p.Delay, PushSeconds: p.Push}, first, r, r.list, r.rec, r.clock)
	if err != nil {
		return nil, err
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, u := range r.units {
			u.Stop()
		}
	}()
	if err := r.serveControl(); err != nil {
		return nil, err
	}
	if script.Storm != nil {
		if r.storm, err = r.newStorm(); err != nil {
			return nil, err
		}
		script.controls = r.storm.address
	}
	if err := r.startQueries(); err != nil {
		return nil, err
	}
	script.servers = nil
	for _, q := range r.queries {
		script.servers = append(script.servers, q.URL)
	}
	addrs, names := map[string]string{}, []string{}
	defer r.stopAll()
	for i := range script.Relays {
		name := fmt.Sprintf("r%d", i+1)
		if addrs[name], err = r.startRelay(name); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	var ops []fakes.RequestClass
	for _, op := range script.OpTypes {
		method := http.MethodPost
		if op.Idempotency == "redeliverable" {
			method = http.MethodGet
		}
		ops = append(ops, fakes.RequestClass{Name: op.Name, Method: method, Path: "/" + op.Name + "/", Share: op.Share, WorkSeconds: op.Work,
			LatencyObjectiveSeconds: op.Target, TimeoutSeconds: op.Timeout, PriorityWeight: op.PriorityWeight, Idempotency: invariants.Idempotency(op.Idempotency), DedupScope: string(op.Group),
			DedupWindowSeconds: op.DedupWindowSeconds})
	}
	r.clients = fakes.NewClients(ops, addrs, names, script.Seed, r.rec, r.clock)
	r.clients.ChangeBehavior(func(h *fakes.ClientBehavior) {
		*h = fakes.ClientBehavior{RequestsPerSecond: script.Rate, MaxRetries: script.Clients.Retries, IgnoreRetryAfter: script.Clients.AtOnce, MinTimeoutShare: script.Clients.Short,
			WrongAnswerReportShare: rel.WrongAnswerReportShare}
	})
	r.from = r.clock()
	for _, e := range script.Events {
		r.after(e.At, func() { kinds[e.Do](r, e) })
	}
	r.after(0, func() { r.tell(progress) })
	if r.storm != nil {
		r.after(0, r.storm.blow)
	}
	r.clients.Run(r.from + script.Length)
	end()
	r.timers.Wait()
	r.stopAll()
	r.clients.Close()
	history, err := r.installer.History()
	r.note(err)
	for i := range history {
		history[i].At -= r.from
	}
	watch(r.rec)
	out := &Outcome{Report: invariants.Check(r.rec, script.bounds()), History: history}
	if r.storm != nil {
		out.Versions = r.storm.outcome()
	}
	return out, errors.Join(r.errs...)
}

// watch is shown a day's record before it is checked; tests look at it.
var watch = func(*invariants.Record) {}

// bounds gives the checker the numbers that the relays were given.
func (s *Script) bounds() invariants.Bounds {
	p, r := s.Platform, s.Rules
	return invariants.Bounds{SlackSeconds: p.Slack, GraceSeconds: r.GraceSeconds, SlowStartInitialShare: r.SlowStartInitialShare, SlowStartSeconds: r.SlowStartSeconds, SlowStartOverloadFactor: r.SlowStartOverloadFactor,
		SlowStartOverloadSeconds: r.SlowStartOverloadSeconds, CanaryWindowSeconds: r.Window, CanaryFreeAttempts: r.CanaryFreeAttempts, CanaryLimits: s.Release.CanaryLimits, CanaryLimitPerClass: r.CountPerOp, IdempotentOnlyStages: r.IdempotentOnlyStages,
		OneWayKeys: r.OneWayKeys}
}

// tell writes a line every few seconds.
func (r *run) tell(w io.Writer) {
	told := 0
	for r.ctx.Err() == nil {
		h, _ := r.installer.History()
		for ; told < len(h); told++ {
			fmt.Fprintf(w, "%5.1f s  %s\n", h[told].At-r.from, h[told].What)
		}
		select {
		case <-r.ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// serveControl serves the list and the installer, each relay under a path of its own, and keeps them going.
func (r *run) serveControl() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.control = l.Addr().String()
	mux := http.NewServeMux()
	mux.Handle("GET /{relay}/list", r.list)
	mux.HandleFunc("GET /{relay}/stage", r.installer.ServeReleases)
	mux.HandleFunc("POST /{relay}/vote", r.installer.ServeVote)
	srv := &http.Server{Handler: mux}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.note(err)
		}
	}()
	r.timers.Go(func() {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for r.ctx.Err() == nil {
			select {
			case <-r.ctx.Done():
			case <-tick.C:
				r.list.Tick()
				r.installer.Tick()
			}
		}
		srv.Close()
	})
	return nil
}

func (r *run) stopAll() {
	for _, p := range append(r.edges, r.planners...) {
		p.end(syscall.SIGTERM)
	}
}

// process is one program with its settings: what outlives its processes.
type process struct {
	r       *run
	relay   string
	planner bool
	program string
	listen  string // an address that accepts once it runs
	file    string
	logFile string

	mu   sync.Mutex
	cmd  *exec.Cmd
	life *invariants.Life
}

type processes []*process

// startRelay starts a relay's processes and gives the address that its clients use.
func (r *run) startRelay(relay string) (string, error) {
	listen, err := fakes.FreePort()
	if err != nil {
		return "", err
	}
	add := func(name string, planner bool) error {
		admin, err := fakes.FreePort()
		if err != nil {
			return err
		}
		path := filepath.Join(r.dir, name)
		p := &process{r: r, relay: relay, planner: planner, program: "flintspread-router", listen: admin, file: path + ".edn", logFile: path + ".log"}
		var text []byte
		if planner {
			p.program = "flintspread-controller"
			text = r.script.planFile(relay, admin, path, r.link(relay), r.control)
			r.planners = append(r.planners, p)
		} else {
			text = r.script.edgeFile(relay, name, listen, admin, path, r.link(relay), r.control)
			r.edges = append(r.edges, p)
		}
		if err := os.WriteFile(p.file, text, 0o644); err != nil {
			return err
		}
		return p.start()
	}
	if r.script.Edges == 0 {
		return listen, add(relay, false)
	}
	if err := add(relay+"-plan", true); err != nil {
		return "", err
	}
	for i := range r.script.Edges {
		if err := add(fmt.Sprintf("%s-edge%d", relay, i+1), false); err != nil {
			return "", err
		}
	}
	return listen, nil
}

// link is where a relay's edges and planner meet.
func (r *run) link(relay string) string { return "unix:" + filepath.Join(r.dir, relay+".sock") }

// start starts a process and waits until it accepts.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.r.ctx.Err() != nil {
		return nil
	}
	log, err := os.OpenFile(p.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(p.r.bin, p.program), "run", p.file)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.life = &invariants.Life{Relay: p.relay, Controller: p.planner, From: p.r.clock()}
	p.r.rec.Enter(func(r *invariants.Record) { r.Lives = append(r.Lives, p.life) })
	p.cmd = cmd
	for range 300 {
		if c, err := net.DialTimeout("tcp", p.listen, 100*time.Millisecond); err == nil {
			c.Close()
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	text, _ := os.ReadFile(p.logFile)
	return fmt.Errorf("%s does not accept; its log: %s", p.file, bytes.TrimSpace(text))
}

// end ends the process by a signal and waits for it.
func (p *process) end(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.r.rec.Enter(func(*invariants.Record) {
		if p.life.Killed = sig == syscall.SIGKILL; !p.life.Killed {
			p.life.Stopping = p.r.clock()
		}
	})
	p.signal(sig)
	err := p.cmd.Wait()
	p.r.rec.Enter(func(*invariants.Record) { p.life.To = p.r.clock() })
	if err != nil && sig != syscall.SIGKILL {
		p.r.note(fmt.Errorf("%s, stopped: %w (log: %s)", p.file, err, p.logFile))
	}
	p.cmd = nil
}

// signal sends a signal to the process. One that has ended already is no error here: end reports how it ended.
func (p *process) signal(sig syscall.Signal) {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.r.note(fmt.Errorf("%s: %w", p.file, err))
	}
}

// stall stops the process and lets it go on.
func (p *process) stall(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	from := p.r.clock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	p.r.rec.Enter(func(*invariants.Record) { p.life.Pauses = append(p.life.Pauses, [2]float64{from, p.r.clock()}) })
}

// edgeFile writes an edge's settings.
func (s *Script) edgeFile(relay, name, listen, admin, state, link, control string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "{:relay %q :edge %q :listen %q :admin %q :state-dir %q :log {:format :text :level :info}\n", relay, name, listen, admin, state)
	if s.Edges > 0 {
		fmt.Fprintf(&b, " :share-port true :planner {:address %q %s}\n", link, linkTimes)
	} else {
		b.WriteString(s.sources(relay, control))
	}
	if s.Edges == 0 {
		b.WriteString(s.control(relay))
	}
	b.WriteString(" :schema 1" + limits)
	b.Write(s.shared())
	b.WriteString(s.routes() + "}\n")
	return b.Bytes()
}

// control names a relay's control service where the day has one.
func (s *Script) control(relay string) string {
	if s.controls[relay] == "" {
		return ""
	}
	return fmt.Sprintf(" :control {:addresses [%q] :silence 2.0 :back-least 0.05 :back-most 0.5 :patience 1.0 :most-bytes 4000000}\n", s.controls[relay])
}

const limits = " :clients {:connections 4096 :head-bytes 16384 :body-bytes 1048576 :read-time 5.0 :idle-time 60.0 :drain-time 10.0}\n" +
	" :units {:connections 64 :dial-time 0.25 :idle-time 15.0 :answer-bytes 1048576}\n"

// routes writes a path for each op type.
func (s *Script) routes() string {
	var b strings.Builder
	b.WriteString(" :routes [")
	for _, op := range s.OpTypes {
		method := "POST"
		if op.Idempotency == "redeliverable" {
			method = "GET"
		}
		fmt.Fprintf(&b, "{:method %q :path \"/%s/\" :op-type %q}\n", method, op.Name, op.Name)
	}
	b.WriteString("]")
	return b.String()
}

const linkTimes = ":beat 0.1 :silence 1.0 :lease 1.0"

// planFile writes a planner's settings.
func (s *Script) planFile(relay, admin, state, link, control string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "{:relay %q :admin %q :state-dir %q :log {:format :text :level :info}\n%s :link {:address %q %s}\n",
		relay, admin, state, s.sources(relay, control), link, linkTimes)
	b.WriteString(s.control(relay))
	b.WriteString(s.health())
	b.Write(s.shared())
	b.WriteString("}\n")
	return b.Bytes()
}

func (s *Script) sources(relay, control string) string {
	list := ""
	if s.controls[relay] == "" {
		list = fmt.Sprintf(":list \"http://%s/%s/list\"", control, relay)
	}
	return fmt.Sprintf(" :sources {%s :installer \"http://%s/%s\" :silence 5.0 :back-least 0.05 :back-most 1.0}\n", list, control, relay)
}

// shared writes what an edge and its planner are both told.
func (s *Script) shared() []byte {
	var b bytes.Buffer
	r, rel := s.Rules, s.Release
	fmt.Fprintf(&b, " :rules {:relays %d :round %g :deliveries %d :parallel %t :max-pause %g :cold-from %g :warm-up %g :fall-multiple %g"+
		" :fall-time %g :window %g :grace %g :free %g :count-per-op-type %t :guarded-stages %d :one-way-keys %t :keys-kept %d :forget-units %g}\n",
		r.Relays, r.Round, r.MaxAttempts, r.AllowHedging, r.MaxPause, r.SlowStartInitialShare, r.SlowStartSeconds, r.SlowStartOverloadFactor, r.SlowStartOverloadSeconds, r.Window, r.GraceSeconds, r.CanaryFreeAttempts,
		r.CountPerOp, r.IdempotentOnlyStages, r.OneWayKeys, r.KeysKept, r.UnitsForget)
	fmt.Fprintf(&b, " :release {:stages %v :caps %v :back-votes %d :by-clock %t :replace %t :harm-price %g :stale-price %g :report-share %g"+
		" :vote-life %g :vote-timeout %g :votes-a-second %g}\n", rel.Stages, rel.CanaryLimits, rel.RollbackVotes, rel.AutomaticStages, rel.ReplaceInPlace,
		rel.WrongAnswerPrice, rel.StaleBuildPrice, rel.WrongAnswerReportShare, rel.VoteLifetimeSeconds, rel.VoteTimeout, rel.VotesPerSecond)
	b.WriteString(" :op-types [")
	for _, op := range s.OpTypes {
		fmt.Fprintf(&b, "{:name %q :target %g :timeout %g :importance %g :effect :%s :window %g", op.Name, op.Target, op.Timeout,
			op.PriorityWeight, string(op.Idempotency), op.DedupWindowSeconds)
		if op.Group != "" {
			fmt.Fprintf(&b, " :group :%s", string(op.Group))
		}
		b.WriteString("}\n")
	}
	b.WriteString("]\n")
	return b.Bytes()
}
