package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"flintspread/internal/fakes"
	"flintspread/internal/invariants"
)

const (
	tickInterval     = 10 * time.Millisecond // between two ticks of the endpoint list and the release service
	progressInterval = 200 * time.Millisecond
)

// Outcome is the result of a scenario.
type Outcome struct {
	*invariants.Report
	History  []fakes.ReleaseEvent `json:"history"`            // instants are seconds since the clients started
	Versions *ConfigVersions      `json:"versions,omitempty"` // nil without a config storm
}

// runner is a running scenario.
type runner struct {
	script        *Script
	dir           string // folder of settings, logs and state folders
	bin           string // folder of the programs
	record        *invariants.Record
	startedAt     time.Time
	startedAtUnix float64
	clientsFrom   float64 // when the clients started, on the runner's clock

	list            *fakes.EndpointList
	releaseService  *fakes.ReleaseService
	servicesAddress string // of the endpoint list and the release service
	clients         *fakes.Clients
	routers         processes
	controllers     processes
	configStorm     *configStorm // nil if the script has none
	queryServers    []*fakes.QueryServer

	ctx        context.Context // cancelled when the clients have finished
	goroutines sync.WaitGroup  // goroutines that end with ctx

	mu             sync.Mutex
	lastEndpointID uint32
	endpoints      map[uint32]*fakes.Endpoint
	errs           []error
}

// clock returns the time for all fakes: Unix seconds that advance with a monotonic clock.
func (r *runner) clock() float64 { return r.startedAtUnix + time.Since(r.startedAt).Seconds() }

// after calls do after the given time, unless the scenario ends first.
func (r *runner) after(secs float64, do func()) {
	r.goroutines.Go(func() {
		select {
		case <-r.ctx.Done():
		case <-time.After(duration(secs)):
			do()
		}
	})
}

// duration converts seconds to a time.Duration.
func duration(secs float64) time.Duration { return time.Duration(secs * float64(time.Second)) }

// addError stores an error that Run returns at the end of the scenario. A nil error is ignored.
func (r *runner) addError(err error) {
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errs = append(r.errs, err)
	}
}

// StartEndpoint starts an endpoint that runs the given build. The release service calls it.
func (r *runner) StartEndpoint(_, build int) (*fakes.Endpoint, error) {
	r.mu.Lock()
	r.lastEndpointID++
	id := r.lastEndpointID
	r.mu.Unlock()
	behavior, ok := r.script.Builds[build]
	if !ok {
		return nil, fmt.Errorf("cannot start an endpoint: the script has no build %d", build)
	}
	fleet, rules := r.script.Fleet, r.script.Rules
	shape := fakes.EndpointSpec{
		Cores:                    fleet.Cores,
		QueueLength:              fleet.QueueLength,
		SlowStartInitialShare:    rules.SlowStartInitialShare,
		SlowStartSeconds:         rules.SlowStartSeconds,
		SlowStartOverloadFactor:  rules.SlowStartOverloadFactor,
		SlowStartOverloadSeconds: rules.SlowStartOverloadSeconds,
	}
	e, err := fakes.StartEndpoint(id, build, behavior, shape, r.record, r.clock)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints[id] = e
	return e, nil
}

// StopEndpoint stops an endpoint. The release service calls it.
func (r *runner) StopEndpoint(e *fakes.Endpoint) {
	e.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.endpoints, e.ID)
}

func (r *runner) stopEndpoints() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.Stop()
	}
}

// Run runs a script with the programs in the folder bin. Settings, logs and state folders are written to the folder
// dir, which must exist. Each event in the history of the builds is written to progress as a line. If processes fail
// during the scenario, Run returns both an outcome and an error.
func Run(script *Script, bin, dir string, progress io.Writer) (*Outcome, error) {
	now := time.Now()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	r := &runner{
		script: script, dir: dir, bin: bin, record: invariants.NewRecord(),
		startedAt: now, startedAtUnix: float64(now.UnixNano()) / 1e9,
		ctx: ctx, endpoints: map[uint32]*fakes.Endpoint{},
	}
	defer r.stopEndpoints()
	if err := r.startFakes(); err != nil {
		return nil, err
	}
	defer r.stopProcesses()
	if err := r.startRelays(); err != nil {
		return nil, err
	}
	r.clientsFrom = r.clock()
	for _, event := range script.Events {
		r.after(event.At, func() { eventHandlers[event.Kind](r, event) })
	}
	r.after(0, func() { r.printProgress(progress) })
	if r.configStorm != nil {
		r.after(0, r.configStorm.sendVersions)
	}
	r.clients.Run(r.clientsFrom + script.LengthSeconds)
	end()
	r.goroutines.Wait()
	r.stopProcesses()
	r.clients.Close()
	r.releaseService.Stop() // an endpoint that is still to start would change the record while it is checked
	return r.outcome()
}

// startFakes starts all fakes except the clients.
func (r *runner) startFakes() (err error) {
	platform, release, fleet := r.script.Platform, r.script.Release, r.script.Fleet
	r.list = fakes.NewEndpointList(platform.ListLagSeconds, r.record, r.clock)
	plan := fakes.ReleasePlan{
		StageShares:             release.StageShares,
		CanaryLimits:            release.CanaryLimits,
		Slots:                   fleet.Slots,
		StartSeconds:            fleet.StartSeconds,
		DrainSeconds:            fleet.DrainSeconds,
		BakeSeconds:             platform.BakeSeconds,
		PromoteVotes:            platform.PromoteVotes,
		RollbackVotes:           release.RollbackVotes,
		VoteLifetimeSeconds:     release.VoteLifetimeSeconds,
		PropagationDelaySeconds: platform.PropagationSeconds,
		PushIntervalSeconds:     platform.PushSeconds,
	}
	if r.releaseService, err = fakes.NewReleaseService(plan, r.script.firstBuild(), r, r.list, r.record, r.clock); err != nil {
		return err
	}
	if err := r.startServices(); err != nil {
		return err
	}
	if r.script.ConfigStorm != nil {
		if r.configStorm, err = r.newConfigStorm(); err != nil {
			return err
		}
		r.script.controlAddresses = r.configStorm.addresses
	}
	return r.startQueryServers()
}

// startRelays starts the relays and creates their clients.
func (r *runner) startRelays() (err error) {
	addresses, names := map[string]string{}, r.script.relayNames()
	for _, name := range names {
		if addresses[name], err = r.startRelay(name); err != nil {
			return err
		}
	}
	r.clients = fakes.NewClients(r.script.clientClasses(), addresses, names, r.script.Seed, r.record, r.clock)
	r.clients.ChangeBehavior(func(behavior *fakes.ClientBehavior) {
		*behavior = fakes.ClientBehavior{
			RequestsPerSecond:      r.script.RequestsPerSecond,
			MaxRetries:             r.script.Clients.MaxRetries,
			IgnoreRetryAfter:       r.script.Clients.IgnoreRetryAfter,
			MinTimeoutShare:        r.script.Clients.MinTimeoutShare,
			WrongAnswerReportShare: r.script.Release.WrongAnswerReportShare,
		}
	})
	return nil
}

// clientClasses returns the request classes in the form that the fake clients need.
func (s *Script) clientClasses() (classes []fakes.RequestClass) {
	for _, class := range s.Classes {
		classes = append(classes, fakes.RequestClass{
			Name:                    class.Name,
			Method:                  class.method(),
			Path:                    "/" + class.Name + "/",
			Share:                   class.Share,
			WorkSeconds:             class.WorkSeconds,
			LatencyObjectiveSeconds: class.LatencyObjectiveSeconds,
			TimeoutSeconds:          class.TimeoutSeconds,
			PriorityWeight:          class.PriorityWeight,
			Idempotency:             invariants.Idempotency(class.Idempotency),
			DedupScope:              string(class.DedupScope),
			DedupWindowSeconds:      class.DedupWindowSeconds,
		})
	}
	return classes
}

// inspectRecord is called with the record of each scenario before the rules are checked. Tests replace it.
var inspectRecord = func(*invariants.Record) {}

// outcome checks the record against the rules. It must be called after all processes and clients have stopped.
func (r *runner) outcome() (*Outcome, error) {
	history, err := r.releaseService.History()
	r.addError(err)
	for i := range history {
		history[i].At -= r.clientsFrom
	}
	inspectRecord(r.record)
	out := &Outcome{Report: invariants.Check(r.record, r.script.bounds()), History: history}
	if r.configStorm != nil {
		out.Versions = r.configStorm.outcome()
	}
	return out, errors.Join(r.errs...)
}

// bounds returns the limits from the relays' settings that the invariant check needs.
func (s *Script) bounds() invariants.Bounds {
	rules := s.Rules
	return invariants.Bounds{
		SlackSeconds:             s.Platform.SlackSeconds,
		GraceSeconds:             rules.GraceSeconds,
		SlowStartInitialShare:    rules.SlowStartInitialShare,
		SlowStartSeconds:         rules.SlowStartSeconds,
		SlowStartOverloadFactor:  rules.SlowStartOverloadFactor,
		SlowStartOverloadSeconds: rules.SlowStartOverloadSeconds,
		CanaryWindowSeconds:      rules.CanaryWindowSeconds,
		CanaryFreeAttempts:       rules.CanaryFreeAttempts,
		CanaryLimits:             s.Release.CanaryLimits,
		CanaryLimitPerClass:      rules.CanaryLimitPerClass,
		IdempotentOnlyStages:     rules.IdempotentOnlyStages,
		OneWayKeys:               rules.OneWayKeys,
	}
}

// printProgress prints new entries of the release history until the scenario ends.
func (r *runner) printProgress(w io.Writer) {
	printed := 0
	for r.ctx.Err() == nil {
		history, _ := r.releaseService.History() // outcome reports the error
		for ; printed < len(history); printed++ {
			fmt.Fprintf(w, "%5.1f s  %s\n", history[printed].At-r.clientsFrom, history[printed].Description)
		}
		select {
		case <-r.ctx.Done():
		case <-time.After(progressInterval):
		}
	}
}

// startServices serves the endpoint list and the release service under a separate path for each relay, and ticks both
// until the scenario ends.
func (r *runner) startServices() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.servicesAddress = l.Addr().String()
	mux := http.NewServeMux()
	mux.Handle("GET /{relay}/list", r.list)
	mux.HandleFunc("GET /{relay}/stage", r.releaseService.ServeReleases)
	mux.HandleFunc("POST /{relay}/vote", r.releaseService.ServeVote)
	server := &http.Server{Handler: mux}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.addError(err)
		}
	}()
	r.goroutines.Go(func() {
		defer server.Close()
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-r.ctx.Done():
				return
			case <-ticker.C:
				r.list.Tick()
				r.releaseService.Tick()
			}
		}
	})
	return nil
}

func (r *runner) stopProcesses() {
	for _, p := range append(r.routers, r.controllers...) {
		p.stop(syscall.SIGTERM)
	}
}
