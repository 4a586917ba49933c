package scenario

import (
	"math"
	"syscall"
	"time"

	"olympos.io/encoding/edn"

	"flintspread/internal/fakes"
)

// kinds holds what each trouble does. It begins when called and ends by itself.
var kinds = map[edn.Keyword]func(*run, Event){
	"offer":           func(r *run, e Event) { r.installer.Offer(e.Build) },
	"fast-errors":     ail(func(e Event, t *fakes.EndpointFault) { t.ErrorShare = e.By }),
	"slow":            ail(func(e Event, t *fakes.EndpointFault) { t.SlowFactor = e.By }),
	"all-slow":        whole(func(e Event, t *fakes.EndpointFault) { t.SlowFactor = e.By }),
	"closes":          ail(func(e Event, t *fakes.EndpointFault) { t.ResetShare = e.By }),
	"few-connections": ail(func(e Event, t *fakes.EndpointFault) { t.MaxConns = int(e.By) }),
	"slow-handshake":  ail(func(e Event, t *fakes.EndpointFault) { t.AcceptDelaySeconds = e.By }),
	"heavy-tail":      whole(func(e Event, t *fakes.EndpointFault) { t.SlowTailShare = e.By }),
	"one-sided":       ail(func(e Event, t *fakes.EndpointFault) { t.Unresponsive, t.OnlyFromRelay = true, e.Relay }),
	"probes-fail":     ail(func(_ Event, t *fakes.EndpointFault) { t.FailProbes = true }),
	"answers-wrong":   ail(func(e Event, t *fakes.EndpointFault) { t.WrongAnswerShare = e.By }),
	"query-server":    (*run).queryServer,
	"neighbour": func(r *run, e Event) { // a second on, a second off
		for at := 0.0; at < e.For; at += 2 {
			r.after(at, func() {
				ail(func(e Event, t *fakes.EndpointFault) { t.SlowFactor = e.By })(r, Event{Part: e.Part, By: e.By, For: min(1, e.For-at)})
			})
		}
	},
	"silent": func(r *run, e Event) { // and come back as new processes
		ail(func(_ Event, t *fakes.EndpointFault) { t.Unresponsive = true })(r, e)
		places := r.some(e.Part)
		r.after(e.For, func() {
			for _, p := range places {
				r.installer.Restart(p, true)
			}
		})
	},
	"vanish": func(r *run, e Event) {
		for _, p := range r.some(e.Part) {
			r.installer.Restart(p, true)
		}
	},
	"list-stale": func(r *run, e Event) {
		r.list.SetLag(e.By)
		r.after(e.For, func() { r.list.SetLag(r.script.Platform.ListLag) })
	},
	"list-down": func(r *run, e Event) {
		r.list.SetDown(true)
		r.after(e.For, func() { r.list.SetDown(false) })
	},
	"installer-still": func(r *run, e Event) {
		r.installer.SetPaused(true)
		r.after(e.For, func() { r.installer.SetPaused(false) })
	},
	"relay-killed": func(r *run, e Event) { // all of it
		for _, p := range append(r.planners.of(e), r.edges.of(e)...) {
			p.end(syscall.SIGKILL)
			r.after(e.For, func() { r.note(p.start()) })
		}
	},
	"edge-killed": func(r *run, e Event) { // the first of its edges
		p := r.edges.of(e)[0]
		p.end(syscall.SIGKILL)
		r.after(e.For, func() { r.note(p.start()) })
	},
	"planner-killed": func(r *run, e Event) {
		for _, p := range r.planners.of(e) {
			p.end(syscall.SIGKILL)
			r.after(e.For, func() { r.note(p.start()) })
		}
	},
	"planner-stalled": func(r *run, e Event) {
		for _, p := range r.planners.of(e) {
			p.stall(time.Duration(e.For * float64(time.Second)))
		}
	},
	"relays-rolled": func(r *run, e Event) { // edge by edge, each drained
		for i, p := range r.edges {
			r.after(e.For*float64(i)/float64(len(r.edges)), func() {
				p.end(syscall.SIGTERM)
				r.note(p.start())
			})
		}
	},
	"relay-stalled": func(r *run, e Event) {
		for _, p := range r.edges.of(e) {
			r.after(0, func() { p.stall(time.Duration(e.For * float64(time.Second))) })
		}
	},
	"burst": func(r *run, e Event) {
		r.clients.ChangeBehavior(func(h *fakes.ClientBehavior) { h.RequestsPerSecond *= e.By })
		r.after(e.For, func() { r.clients.ChangeBehavior(func(h *fakes.ClientBehavior) { h.RequestsPerSecond /= e.By }) })
	},
	"hot-caller": func(r *run, e Event) {
		r.clients.ChangeBehavior(func(h *fakes.ClientBehavior) { h.HotRelay, h.HotRelayShare = e.Relay, e.By })
		r.after(e.For, func() { r.clients.ChangeBehavior(func(h *fakes.ClientBehavior) { h.HotRelay = "" }) })
	},
	"give-up": func(r *run, e Event) {
		r.clients.ChangeBehavior(func(h *fakes.ClientBehavior) { h.AbandonShare = e.By })
		r.after(e.For, func() { r.clients.ChangeBehavior(func(h *fakes.ClientBehavior) { h.AbandonShare = 0 }) })
	},
}

// ail gives a part of the units a trouble for a while.
func ail(what func(Event, *fakes.EndpointFault)) func(*run, Event) {
	return func(r *run, e Event) {
		var t fakes.EndpointFault
		what(e, &t)
		units := r.installer.Endpoints()
		for _, p := range r.some(e.Part) {
			u := units[p]
			u.InjectFault(t)
			r.after(e.For, func() { u.InjectFault(fakes.EndpointFault{}) })
		}
	}
}

func whole(what func(Event, *fakes.EndpointFault)) func(*run, Event) {
	return func(r *run, e Event) {
		e.Part = 1
		ail(what)(r, e)
	}
}

// some gives a part of the places, at least one, always the same from the end on: releases begin at the other end.
func (r *run) some(part float64) (places []int) {
	n := max(1, int(math.Round(part*float64(r.script.Units.Places))))
	for i := range n {
		places = append(places, r.script.Units.Places-1-i)
	}
	return places
}

// of gives the processes of the event's relay, the first relay's where it names none.
func (list processes) of(e Event) (some processes) {
	name := e.Relay
	if name == "" && len(list) > 0 {
		name = list[0].relay
	}
	for _, p := range list {
		if p.relay == name {
			some = append(some, p)
		}
	}
	return some
}
