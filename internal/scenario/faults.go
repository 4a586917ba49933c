package scenario

import (
	"math"
	"syscall"

	"olympos.io/encoding/edn"

	"flintspread/internal/fakes"
)

// neighbourSeconds is how long the noisy neighbour of the event "neighbour" is active, and then not.
const neighbourSeconds = 1

// events holds what happens at an event of each kind. It begins when called, and ends by itself after Event.Seconds.
var events = map[edn.Keyword]func(*runner, Event){
	// Releases and the services around.
	"offer":           func(r *runner, e Event) { r.releaseService.Offer(e.Build) },
	"list-stale":      (*runner).delayList,
	"list-down":       (*runner).stopList,
	"installer-still": (*runner).pauseReleaseService,
	"query-server":    (*runner).injectQueryServerFault,

	// Endpoints: a share of them by Event.Share.
	"fast-errors":     onSome(func(e Event, f *fakes.EndpointFault) { f.ErrorShare = e.Amount }),
	"slow":            onSome(func(e Event, f *fakes.EndpointFault) { f.SlowFactor = e.Amount }),
	"closes":          onSome(func(e Event, f *fakes.EndpointFault) { f.ResetShare = e.Amount }),
	"few-connections": onSome(func(e Event, f *fakes.EndpointFault) { f.MaxConns = int(e.Amount) }),
	"slow-handshake":  onSome(func(e Event, f *fakes.EndpointFault) { f.AcceptDelaySeconds = e.Amount }),
	"one-sided":       onSome(func(e Event, f *fakes.EndpointFault) { f.Unresponsive, f.OnlyFromRouterGroup = true, e.Relay }),
	"probes-fail":     onSome(func(_ Event, f *fakes.EndpointFault) { f.FailProbes = true }),
	"answers-wrong":   onSome(func(e Event, f *fakes.EndpointFault) { f.WrongAnswerShare = e.Amount }),
	"all-slow":        onAll(func(e Event, f *fakes.EndpointFault) { f.SlowFactor = e.Amount }),
	"heavy-tail":      onAll(func(e Event, f *fakes.EndpointFault) { f.SlowTailShare = e.Amount }),
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

// onSome gives a share of the endpoints a fault.
func onSome(set func(Event, *fakes.EndpointFault)) func(*runner, Event) {
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

// onAll gives all endpoints a fault.
func onAll(set func(Event, *fakes.EndpointFault)) func(*runner, Event) {
	return func(r *runner, e Event) {
		e.Share = 1
		onSome(set)(r, e)
	}
}

// slots gives a share of the slots, at least one. They are the last ones: rollouts begin with the first.
func (r *runner) slots(share float64) (slots []int) {
	all := r.script.Fleet.Slots
	count := max(1, int(math.Round(share*float64(all))))
	for i := range count {
		slots = append(slots, all-1-i)
	}
	return slots
}

// crash replaces endpoints by new processes, without a drain.
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

// slowInTurns slows endpoints as a noisy neighbour does: for a second, then not for a second, and so on.
func (r *runner) slowInTurns(e Event) {
	slow := onSome(func(e Event, f *fakes.EndpointFault) { f.SlowFactor = e.Amount })
	for at := 0.0; at < e.Seconds; at += 2 * neighbourSeconds {
		r.after(at, func() {
			slow(r, Event{Share: e.Share, Amount: e.Amount, Seconds: min(neighbourSeconds, e.Seconds-at)})
		})
	}
}

// silenceAndRestart makes endpoints unresponsive, then replaces them by new processes.
func (r *runner) silenceAndRestart(e Event) {
	onSome(func(_ Event, f *fakes.EndpointFault) { f.Unresponsive = true })(r, e)
	slots := r.slots(e.Share)
	r.after(e.Seconds, func() { r.crash(slots) })
}

// killRelay kills the controller and all routers of a relay.
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

// restartRoutersInTurn restarts all routers one after the other, each gracefully.
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
