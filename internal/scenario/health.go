package scenario

import (
	"fmt"
	"strings"
	"time"

	"flintspread/internal/fakes"
)

// Queries is a day's query servers, and what the planners are told to ask them.
type Queries struct {
	Servers int     `edn:"servers" validate:"gt=0,lte=8"`
	Scrape  float64 `edn:"scrape" validate:"gt=0"` // s between two looks at the units
}

// faults are those that an event may name.
var faults = map[string]fakes.Fault{}

func init() {
	for _, f := range []fakes.Fault{fakes.Blind, fakes.Lies, fakes.Flatters, fakes.Late, fakes.Hangs, fakes.Truncated, fakes.TooManyNow,
		fakes.Overloaded, fakes.Elsewhere, fakes.Warns, fakes.Yesterday, fakes.Exploded, fakes.Garbage, fakes.Dead} {
		faults[string(f)] = f
	}
}

// startQueries starts the query servers; they scrape the units until the day ends.
func (r *run) startQueries() error {
	if r.script.Queries == nil {
		return nil
	}
	for range r.script.Queries.Servers {
		q, err := fakes.StartQueryServer(r.clock)
		if err != nil {
			return err
		}
		r.queries = append(r.queries, q)
		r.timers.Go(func() {
			<-r.ctx.Done()
			q.Stop()
		})
	}
	r.timers.Go(func() {
		tick := time.NewTicker(time.Duration(r.script.Queries.Scrape * float64(time.Second)))
		defer tick.Stop()
		for {
			r.scrape()
			select {
			case <-r.ctx.Done():
				return
			case <-tick.C:
			}
		}
	})
	return nil
}

func (r *run) scrape() {
	var list []fakes.Scrape
	r.mu.Lock()
	for _, u := range r.units {
		list = append(list, u.Metrics()...)
	}
	r.mu.Unlock()
	at := r.clock()
	for _, q := range r.queries {
		q.Enter(at, list)
	}
}

// queryServer gives one query server a fault for a while, all of them where none is named.
func (r *run) queryServer(e Event) {
	f, ok := faults[e.Fault]
	if !ok || e.Server > len(r.queries) {
		r.note(fmt.Errorf("event at %g s: query server %d, fault %q: no such", e.At, e.Server, e.Fault))
		return
	}
	for i, q := range r.queries {
		if e.Server == 0 || e.Server == i+1 {
			q.Ail(f)
			if e.For > 0 {
				r.after(e.For, func() { q.Heal(f) })
			}
		}
	}
}

// health writes a planner's part on the query servers.
func (s *Script) health() string {
	if len(s.servers) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString(" :health {:servers [")
	for i, url := range s.servers {
		fmt.Fprintf(&b, "{:name \"q%d\" :url %q}", i+1, url)
	}
	b.WriteString("] :queries-a-second 40 :at-once 8 :timeout 0.5 :back-most 2.0 :answer-bytes 2000000 :series 2000 :skew 0.5\n  :queries [\n")
	const counts = `   {:name %q :meaning :counts :kind :%s :form :samples :query "%s{build=~\"{{.Builds}}\"}[3s]"
    :total "unit_answers_total{build=~\"{{.Builds}}\"}[3s]" :period 0.5 :stale 3.0 :weight 1.0 :unit-label "unit" :unit-by :id :build-label "build"}
`
	fmt.Fprintf(&b, counts, "wrong-answers", "wrong", "unit_wrong_total")
	fmt.Fprintf(&b, counts, "errors", "failed", "unit_errors_total")
	const gauge = `   {:name %q :meaning :%s :form :%s :query "%s" :period 0.5 :stale 3.0 :weight 1.0 %s :unit-label "instance" :unit-by :address}
`
	fmt.Fprintf(&b, gauge, "probes", "probe", "instant", "unit_probe_success", "")
	fmt.Fprintf(&b, gauge, "busy", "saturation", "instant", "unit_busy", ":limit 0.95")
	fmt.Fprintf(&b, gauge, "usual-time", "quantile", "range", "unit_answer_seconds", ":limit 0.3 :span 2.0 :step 0.5")
	b.WriteString("  ]}\n")
	return b.String()
}

// BackAfter tells how long after its offer a build went back, s, and whether it did.
func (o *Outcome) BackAfter(build int) (secs float64, back bool) {
	offered := 0.0
	for _, h := range o.History {
		if h.What == fmt.Sprintf("build %d is offered", build) {
			offered = h.At
		} else if strings.HasPrefix(h.What, fmt.Sprintf("build %d goes back", build)) {
			return h.At - offered, true
		}
	}
	return 0, false
}

// Witness is one seed's days with and without the health source.
type Witness struct {
	Seed          uint64
	With, Without float64 // s until the wrong build went back; 0: it did not
	LiedAbout     bool    // the good build was sent back
	Released      bool    // it was released, though lied about
	Kept          bool    // all rules, on all three days
	Service       [3]float64
}

// PlayWitness plays the witness day three times with one seed: the wrong build with the source, without it, and a good build
// that every query server lies about.
func PlayWitness(seed uint64, bin, dir string, mkdir func(string) error) (w Witness, err error) {
	w = Witness{Seed: seed, Kept: true}
	for i, name := range []string{"with", "without", "lied"} {
		s, err := Read(WitnessDay)
		if err != nil {
			return w, err
		}
		s.Seed = seed
		build := 2
		switch name {
		case "without":
			s.Queries = nil
		case "lied":
			build = 3
			s.Events = append(s.Events, Event{At: 0, Do: "query-server", Fault: string(fakes.Lies)})
		}
		for j := range s.Events {
			if s.Events[j].Do == "offer" {
				s.Events[j].Build = build
			}
		}
		into := dir + "/" + fmt.Sprintf("%d-%s", seed, name)
		if err := mkdir(into); err != nil {
			return w, err
		}
		out, err := Play(s, bin, into, quiet{})
		if err != nil {
			return w, fmt.Errorf("seed %d, %s: %w", seed, name, err)
		}
		after, back := out.BackAfter(build)
		switch name {
		case "with":
			w.With = after
		case "without":
			w.Without = after
		case "lied":
			w.LiedAbout = back
			for _, h := range out.History {
				w.Released = w.Released || h.What == "build 3 is released"
			}
		}
		w.Kept, w.Service[i] = w.Kept && out.Kept(), out.Service
	}
	return w, nil
}

type quiet struct{}

func (quiet) Write(p []byte) (int, error) { return len(p), nil }
