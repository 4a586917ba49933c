package controller

import (
	"context"
	"fmt"
	"sync"

	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/revisions"
	"flintspread/internal/xds"
)

// versions is the planner's part in the versions of the settings: it takes them from a control service, proposes each to its
// edges, and puts it in force once all of them can take it.
type versions struct {
	p      *Controller
	store  *revisions.Store
	keeper *configstate.State // under the planner's lock, as the next
	round  *configstate.Proposal
	listMu sync.Mutex // orders the lists of several services
}

// openVersions opens the history and goes on with the version that was in force last.
func (p *Controller) openVersions() (vs *versions, err error) {
	vs = &versions{p: p, keeper: configstate.NewState(p.set.Document(), nil, 0, 0)}
	vs.store, err = revisions.Resume(p.set.StateDir, p.log, func(v *configstate.Version) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		_, err := vs.enter(v)
		return err
	})
	return vs, err
}

// follow follows the control services until ctx ends.
func (vs *versions) follow(ctx context.Context) error {
	return xds.FollowAll(ctx, vs.p.set.Control, vs.p.log, vs.p.set.Relay, vs.p.set.Relay, vs.p.set.Link.Beat,
		xds.Taker{List: vs.list, Settings: vs.propose, Look: vs.look})
}

func (vs *versions) list(line *endpoints.Update) error {
	vs.listMu.Lock()
	defer vs.listMu.Unlock()
	vs.p.mu.Lock()
	err := vs.p.list.CheckNewer(line)
	vs.p.mu.Unlock()
	if err != nil {
		return err
	}
	return vs.p.takeList(line)
}

// situation is what a version would meet here; what it would meet at the edges, they say.
func (vs *versions) situation(v *configstate.Version) configstate.Conditions {
	s := configstate.Conditions{ListVersion: v.RequiredListVersion}
	for u := range vs.p.list.All() {
		s.HasZones, s.HasCells = s.HasZones || u.Zone > 0, s.HasCells || u.Cell > 0
	}
	return s
}

// propose begins a round.
func (vs *versions) propose(v *configstate.Version) (configstate.Outcome, error) {
	vs.p.mu.Lock()
	defer vs.p.mu.Unlock()
	vs.round = nil // overtaken
	if o, err := vs.keeper.Check(v, vs.situation(v)); o != configstate.Applied {
		return o, err
	}
	vs.round = configstate.NewProposal(v, vs.p.now(), vs.p.set.Control.Patience)
	go vs.p.end.NotifyAll()
	return configstate.Waiting, nil
}

// look ends the round when it can be ended.
func (vs *versions) look(mine *configstate.Version) (configstate.Outcome, error) {
	vs.p.mu.Lock()
	defer vs.p.mu.Unlock()
	r := vs.round
	if r == nil || r.Version != mine {
		if vs.keeper.Current().Number == mine.Number {
			return configstate.Applied, nil
		}
		return configstate.Rejected, fmt.Errorf("overtaken by another version while it waited")
	}
	o, err := r.Decide(vs.p.now(), vs.p.leader.Routers(), vs.p.list.Version)
	if o == configstate.Waiting {
		return o, nil
	}
	vs.round = nil
	if o == configstate.Applied {
		before := vs.keeper.Current().Number
		if o, err = vs.enter(r.Version); o == configstate.Applied {
			if e := vs.store.Add(revisions.Entry{No: r.Version.Number, Parent: before, Since: vs.p.now(), Sum: r.Version.Hash, Needs: r.Version.RequiredListVersion, Text: string(r.Version.Text)}); e != nil {
				vs.p.log.Error("version of the settings not saved", "version", r.Version.Number, "error", e)
			}
			vs.p.log.Info("settings in force", "version", r.Version.Number, "before", before)
		}
	}
	go vs.p.end.NotifyAll()
	return o, err
}

// enter puts a version in force here; the edges follow with their next view.
func (vs *versions) enter(v *configstate.Version) (configstate.Outcome, error) {
	o, err := vs.keeper.Offer(vs.p.now(), v, vs.situation(v))
	if o == configstate.Applied {
		vs.p.b.SetConfig(vs.keeper.Current().Policy)
	}
	return o, err
}

// heard enters what an edge says of versions. Under the planner's lock.
func (vs *versions) heard(d *linkpb.Digest) {
	if vs.round != nil {
		vs.round.OnRouterStatus(d.Edge, d.ConfigNo, d.ConfigFits, d.ConfigRefused, d.ConfigReason)
	}
}

// tell adds to a view what an edge lacks. Under the planner's lock.
func (vs *versions) tell(v *linkpb.View, has said) {
	now := vs.keeper.Current()
	v.ConfigNo = now.Number
	text := now
	if r := vs.round; r != nil && has.no == now.Number {
		v.ConfigNext = r.Version.Number
		text = r.Version
	}
	if text.Number > 0 && has.no != text.Number && has.fits != text.Number {
		v.ConfigTextNo, v.ConfigText = text.Number, text.Text
	}
}

// said is what an edge said last of versions and marks.
type said struct{ no, fits, marks uint64 }
