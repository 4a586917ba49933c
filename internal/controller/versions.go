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
	p      *Planner
	store  *revisions.Store
	keeper *configstate.Keeper // under the planner's lock, as the next
	round  *configstate.Round
	listMu sync.Mutex // orders the lists of several services
}

// openVersions opens the history and goes on with the version that was in force last.
func (p *Planner) openVersions() (vs *versions, err error) {
	vs = &versions{p: p, keeper: configstate.NewKeeper(p.set.Document(), nil, 0, 0)}
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

func (vs *versions) list(line *endpoints.Line) error {
	vs.listMu.Lock()
	defer vs.listMu.Unlock()
	vs.p.mu.Lock()
	err := vs.p.list.Older(line)
	vs.p.mu.Unlock()
	if err != nil {
		return err
	}
	return vs.p.takeList(line)
}

// situation is what a version would meet here; what it would meet at the edges, they say.
func (vs *versions) situation(v *configstate.Version) configstate.Situation {
	s := configstate.Situation{ListNo: v.Needs}
	for u := range vs.p.list.All() {
		s.Zones, s.Cells = s.Zones || u.Zone > 0, s.Cells || u.Cell > 0
	}
	return s
}

// propose begins a round.
func (vs *versions) propose(v *configstate.Version) (configstate.Outcome, error) {
	vs.p.mu.Lock()
	defer vs.p.mu.Unlock()
	vs.round = nil // overtaken
	if o, err := vs.keeper.Fits(v, vs.situation(v)); o != configstate.Applied {
		return o, err
	}
	vs.round = configstate.NewRound(v, vs.p.now(), vs.p.set.Control.Patience)
	go vs.p.end.Tell()
	return configstate.Waits, nil
}

// look ends the round when it can be ended.
func (vs *versions) look(mine *configstate.Version) (configstate.Outcome, error) {
	vs.p.mu.Lock()
	defer vs.p.mu.Unlock()
	r := vs.round
	if r == nil || r.V != mine {
		if vs.keeper.Present().No == mine.No {
			return configstate.Applied, nil
		}
		return configstate.TurnedDown, fmt.Errorf("overtaken by another version while it waited")
	}
	o, err := r.Verdict(vs.p.now(), vs.p.leader.Names(), vs.p.list.Version)
	if o == configstate.Waits {
		return o, nil
	}
	vs.round = nil
	if o == configstate.Applied {
		before := vs.keeper.Present().No
		if o, err = vs.enter(r.V); o == configstate.Applied {
			if e := vs.store.Add(revisions.Entry{No: r.V.No, Parent: before, Since: vs.p.now(), Sum: r.V.Sum, Needs: r.V.Needs, Text: string(r.V.Text)}); e != nil {
				vs.p.log.Error("version of the settings not saved", "version", r.V.No, "error", e)
			}
			vs.p.log.Info("settings in force", "version", r.V.No, "before", before)
		}
	}
	go vs.p.end.Tell()
	return o, err
}

// enter puts a version in force here; the edges follow with their next view.
func (vs *versions) enter(v *configstate.Version) (configstate.Outcome, error) {
	o, err := vs.keeper.Offer(vs.p.now(), v, vs.situation(v))
	if o == configstate.Applied {
		vs.p.b.Adopt(vs.keeper.Present().Terms)
	}
	return o, err
}

// heard enters what an edge says of versions. Under the planner's lock.
func (vs *versions) heard(d *linkpb.Digest) {
	if vs.round != nil {
		vs.round.Heard(d.Edge, d.ConfigNo, d.ConfigFits, d.ConfigRefused, d.ConfigReason)
	}
}

// tell adds to a view what an edge lacks. Under the planner's lock.
func (vs *versions) tell(v *linkpb.View, has said) {
	now := vs.keeper.Present()
	v.ConfigNo = now.No
	text := now
	if r := vs.round; r != nil && has.no == now.No {
		v.ConfigNext = r.V.No
		text = r.V
	}
	if text.No > 0 && has.no != text.No && has.fits != text.No {
		v.ConfigTextNo, v.ConfigText = text.No, text.Text
	}
}

// said is what an edge said last of versions and marks.
type said struct{ no, fits, marks uint64 }
