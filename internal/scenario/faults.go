package scenario

import (
	"math"
	"syscall"

	"olympos.io/encoding/edn"

	"flintspread/internal/fakes"
)

// neighbourSeconds is the length of both the active and the idle phases of the noisy neighbour in the event "neighbour".
const neighbourSeconds = 1

// eventHandlers maps each kind of event to the function that starts it. An event with a duration ends after
// Event.Seconds.
var eventHandlers = map[edn.Keyword]func(*runner, Event){
	// The release service, the endpoint list and the query servers.
	"offer":           func(r *runner, e Event) { r.releaseService.Offer(e.Build) },
	"list-stale":      (*runner).delayList,
	"list-down":       (*runner).stopList,
	"installer-still": (*runner).pauseReleaseService,
	"query-server":    (*runner).injectQueryServerFault,

	// Endpoints. Event.Share is the share of them that is affected.
	"fast-errors":     onShareOfEndpoints(func(e Event, f *fakes.EndpointFault) { f.ErrorShare = e.Amount }),
	"slow":            onShareOfEndpoints(func(e Event, f *fakes.EndpointFault) { f.SlowFactor = e.Amount }),
	"closes":          onShareOfEndpoints(func(e Event, f *fakes.EndpointFault) { f.ResetShare = e.Amount }),
	"few-connections": onShareOfEndpoints(func(e Event, f *fakes.EndpointFault) { f.MaxConns = int(e.Amount) }),
	"slow-handshake":  onShareOfEndpoints(func(e Event, f *fakes.EndpointFault) { f.AcceptDelaySeconds = e.Amount }),
	"one-sided":       onShareOfEndpoints(func(e Event, f *fakes.EndpointFault) { f.Unresponsive, f.OnlyFromRouterGroup = true, e.Relay }),
	"probes-fail":     onShareOfEndpoints(func(_ Event, f *fakes.EndpointFault) { f.FailProbes = true }),
	"answers-wrong":   onShareOfEndpoints(func(e Event, f *fakes.EndpointFault) { f.WrongAnswerShare = e.Amount }),
	"all-slow":        onAllEndpoints(func(e Event, f *fakes.EndpointFault) { f.SlowFactor = e.Amount }),
	"heavy-tail":      onAllEndpoints(func(e Event, f *fakes.EndpointFault) { f.SlowTailShare = e.Amount }),
	"neighbour":       (*runner).slowInTurns,
	"silent":          (*runner).silenceAndRestart,
	"vanish":          func(r *runner, e Event) { r.crash(r.slots(e.Share)) },

	// Routers and controllers.
	"relay-killed":    (*runner).killRelay,
	"edge-killed":     func(r *runner, e Event) { r.routers.ofRelay(e.Relay)[0].restartAfter(e.Seconds) },
	"planner-killed":  (*runner).killControllers,
	"planner-stalled": (*runner).pauseControllers,
	"relays-rolled":   (*runner).restartRoutersInTurn,
	"relay-stalled":   (*runner).pauseRouters,

	// Clients.
	"burst":      (*runner).multiplyRate,
	"hot-caller": (*runner).makeRelayHot,
	"give-up":    (*runner).abandonRequests,
}

// onShareOfEndpoints returns a handler that injects a fault into the share Event.Share of the endpoints.
func onShareOfEndpoints(set func(Event, *fakes.EndpointFault)) func(*runner, Event) {
	return func(r *runner, e Event) {
		var fault fakes.EndpointFault
		set(e, &fault)
		endpoints := r.releaseService.Endpoints()
		for _, slot := range r.slots(e.Share) {
			endpoint := endpoints[slot]
			endpoint.InjectFault(fault)
			r.after(e.Seconds, func() { endpoint.InjectFault(fakes.EndpointFault{}) })
		}
	}
}

// onAllEndpoints returns a handler that injects a fault into all endpoints.
func onAllEndpoints(set func(Event, *fakes.EndpointFault)) func(*runner, Event) {
	return func(r *runner, e Event) {
		e.Share = 1
		onShareOfEndpoints(set)(r, e)
	}
}

// slots returns a share of the slots, at least one. It counts from the last slot down, because rollouts start with the
// first one.
func (r *runner) slots(share float64) (slots []int) {
	all := r.script.Fleet.Slots
	count := max(1, int(math.Round(share*float64(all))))
	for i := range count {
		slots = append(slots, all-1-i)
	}
	return slots
}

// crash replaces the endpoints in the given slots by new processes, without draining the old ones.
func (r *runner) crash(slots []int) {
	for _, slot := range slots {
		r.releaseService.Restart(slot, true)
	}
}

func (r *runner) delayList(e Event) {
	r.list.SetLag(e.Amount)
	r.after(e.Seconds, func() { r.list.SetLag(r.script.Platform.ListLagSeconds) })
}

func (r *runner) stopList(e Event) {
	r.list.SetDown(true)
	r.after(e.Seconds, func() { r.list.SetDown(false) })
}

func (r *runner) pauseReleaseService(e Event) {
	r.releaseService.SetPaused(true)
	r.after(e.Seconds, func() { r.releaseService.SetPaused(false) })
}

// slowInTurns slows endpoints as a noisy neighbour does: slow and normal phases of neighbourSeconds alternate.
func (r *runner) slowInTurns(e Event) {
	slow := onShareOfEndpoints(func(e Event, f *fakes.EndpointFault) { f.SlowFactor = e.Amount })
	for at := 0.0; at < e.Seconds; at += 2 * neighbourSeconds {
		r.after(at, func() {
			slow(r, Event{Share: e.Share, Amount: e.Amount, Seconds: min(neighbourSeconds, e.Seconds-at)})
		})
	}
}

// silenceAndRestart makes endpoints unresponsive for Event.Seconds, then replaces them by new processes.
func (r *runner) silenceAndRestart(e Event) {
	onShareOfEndpoints(func(_ Event, f *fakes.EndpointFault) { f.Unresponsive = true })(r, e)
	slots := r.slots(e.Share)
	r.after(e.Seconds, func() { r.crash(slots) })
}

// killRelay kills the controller and all routers of a relay, and restarts them after Event.Seconds.
func (r *runner) killRelay(e Event) {
	for _, p := range append(r.controllers.ofRelay(e.Relay), r.routers.ofRelay(e.Relay)...) {
		p.restartAfter(e.Seconds)
	}
}

func (r *runner) killControllers(e Event) {
	for _, p := range r.controllers.ofRelay(e.Relay) {
		p.restartAfter(e.Seconds)
	}
}

func (r *runner) pauseControllers(e Event) {
	for _, p := range r.controllers.ofRelay(e.Relay) {
		p.pause(duration(e.Seconds))
	}
}

func (r *runner) pauseRouters(e Event) {
	for _, p := range r.routers.ofRelay(e.Relay) {
		r.after(0, func() { p.pause(duration(e.Seconds)) })
	}
}

// restartRoutersInTurn restarts all routers gracefully, spread evenly over Event.Seconds.
func (r *runner) restartRoutersInTurn(e Event) {
	for i, p := range r.routers {
		r.after(e.Seconds*float64(i)/float64(len(r.routers)), func() {
			p.stop(syscall.SIGTERM)
			r.addError(p.start())
		})
	}
}

func (r *runner) multiplyRate(e Event) {
	r.clients.ChangeBehavior(func(b *fakes.ClientBehavior) { b.RequestsPerSecond *= e.Amount })
	r.after(e.Seconds, func() {
		r.clients.ChangeBehavior(func(b *fakes.ClientBehavior) { b.RequestsPerSecond /= e.Amount })
	})
}

func (r *runner) makeRelayHot(e Event) {
	r.clients.ChangeBehavior(func(b *fakes.ClientBehavior) { b.HotRouterGroup, b.HotRouterGroupShare = e.Relay, e.Amount })
	r.after(e.Seconds, func() {
		r.clients.ChangeBehavior(func(b *fakes.ClientBehavior) { b.HotRouterGroup = "" })
	})
}

func (r *runner) abandonRequests(e Event) {
	r.clients.ChangeBehavior(func(b *fakes.ClientBehavior) { b.AbandonShare = e.Amount })
	r.after(e.Seconds, func() {
		r.clients.ChangeBehavior(func(b *fakes.ClientBehavior) { b.AbandonShare = 0 })
	})
}
