package controller

import (
	"context"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/metricsanalysis"
	"flintspread/internal/policy"
	"flintspread/internal/promclient"
)

// witness is the planner's health source: it gives the policy the counts that it merged, and the edges the marks.
type witness struct {
	p      *Controller
	poller *promclient.Poller

	mu      sync.Mutex // orders the source's calls; it may be taken under the planner's lock, never the other way round
	source  *metricsanalysis.Source
	news    bool // since the counts were handed on
	marks   []policy.HealthMark
	marksNo uint64
	marksAt float64
}

func (p *Controller) newWitness() (w *witness, err error) {
	set := p.set.Health
	w = &witness{p: p, source: metricsanalysis.New(set.Questions(), len(set.Servers))}
	w.poller, err = promclient.NewPoller(set, p.log, p.now, w.take)
	return w, err
}

func (w *witness) run(ctx context.Context) { w.poller.Run(ctx) }

func (w *witness) take(a *metricsanalysis.Answer) metricsanalysis.Taken {
	now := w.p.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.news = true
	return w.source.Take(now, a)
}

// know tells the source and the poller what the list says. Under the planner's lock.
func (w *witness) know() {
	var units []metricsanalysis.Unit
	var fleet promclient.Fleet
	for u := range w.p.list.All() {
		if u.State == "gone" {
			continue
		}
		units = append(units, metricsanalysis.Unit{ID: u.ID, Build: u.Build, Since: u.StartedAt})
		fleet.Units = append(fleet.Units, promclient.FleetUnit{ID: u.ID, Addr: u.Addr, Build: u.Build})
		fleet.Builds = append(fleet.Builds, u.Build)
	}
	slices.Sort(fleet.Builds)
	fleet.Builds = slices.Compact(fleet.Builds)
	w.mu.Lock()
	w.source.Units(units)
	w.mu.Unlock()
	w.poller.Know(fleet)
}

// release tells the source which build is new. Under the planner's lock.
func (w *witness) release(build int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.source.Release(build)
}

// turn hands on what is new, and tells whether edges should hear of it. Under the planner's lock.
func (w *witness) turn(now float64) (tell bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Also without news: what a silent server said goes stale.
	if w.news || now >= w.marksAt+metricsanalysis.MarksEvery {
		w.p.b.SetMetricsEvidence(w.source.Counted(now))
		w.news = false
	}
	if now < w.marksAt+metricsanalysis.MarksEvery {
		return false
	}
	marks := w.source.Marks(now)
	w.marksAt = now
	if len(marks) == 0 && len(w.marks) == 0 {
		return false
	}
	w.marks = marks
	w.marksNo++
	return true
}

// tell adds to a view the marks that an edge lacks. Under the planner's lock.
func (w *witness) tell(v *linkpb.View, now float64, has uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.MarksNo = w.marksNo; has == w.marksNo {
		return
	}
	v.HasMarks, v.MarksAge = true, max(0, now-w.marksAt)
	for _, m := range w.marks {
		v.Marks = append(v.Marks, &linkpb.Mark{Unit: m.Endpoint, Wrong: float32(m.WrongShare), Ailing: float32(m.DegradedShare)})
	}
}

// numbers gives what is known of the fleet. Under the planner's lock.
func (w *witness) numbers(now float64, gauge func(*prometheus.Desc, float64, ...string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	gauge(marked, float64(len(w.marks)))
	for i, q := range w.p.set.Health.Queries {
		gauge(differ, float64(w.source.Differ(q.Name)), q.Name)
		for j, s := range w.p.set.Health.Servers {
			gauge(known, float64(w.source.Fresh(now, i, j)), s.Name, q.Name)
		}
	}
}
