package router

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"flintspread/internal/configstate"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/revisions"
	"flintspread/internal/xds"
)

// versions follows a control service: its documents are the settings' versions, its endpoint assignments the list.
type versions struct {
	e     *Router
	store *revisions.Store
	mu    sync.Mutex // orders what several services send
}

// openVersions opens the history and puts the last version that was in force in force again.
func (e *Router) openVersions() (vs *versions, err error) {
	vs = &versions{e: e}
	vs.store, err = revisions.Resume(e.set.StateDir, e.log, func(v *configstate.Version) error {
		_, err := e.relay.OfferConfig(v) // what it belonged with came before; it needs nothing now
		return err
	})
	return vs, err
}

// follow follows the services until ctx ends. What they send counts by its number, whichever it comes from.
func (vs *versions) follow(ctx context.Context) error {
	c := vs.e.set.Control
	return xds.FollowAll(ctx, c, vs.e.log, vs.e.set.Name, vs.e.set.Relay, min(c.Patience/4, c.Silence), xds.Taker{List: vs.list, Settings: vs.take, Look: vs.look})
}

// list takes a list, unless it is older than the one there, or as old and different: it was overtaken, the service went back,
// or two services disagree.
func (vs *versions) list(line *endpoints.Update) error {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if err := vs.e.list.CheckNewer(line); err != nil {
		return err
	}
	return vs.e.takeList(line)
}

// take offers a version, and notes it before it is acknowledged: what was acknowledged is in force after a kill.
func (vs *versions) take(v *configstate.Version) (configstate.Outcome, error) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	before := vs.e.relay.ConfigVersion().Number
	o, err := vs.e.relay.OfferConfig(v)
	if err == nil && o == configstate.Applied {
		vs.note(v, before)
	}
	return o, err
}

func (vs *versions) look(mine *configstate.Version) (configstate.Outcome, error) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	before := vs.e.relay.ConfigVersion().Number
	v, o, err := vs.e.relay.RecheckConfig()
	if err == nil && v != nil && o == configstate.Applied {
		vs.note(v, before)
	}
	switch {
	case v == mine:
		return o, err
	case vs.e.relay.ConfigVersion().Number == mine.Number:
		return configstate.Applied, nil
	}
	return configstate.Rejected, fmt.Errorf("overtaken by another version while it waited")
}

func (vs *versions) note(v *configstate.Version, before uint64) {
	err := vs.store.Add(revisions.Entry{No: v.Number, Parent: before, Since: wall(), Sum: v.Hash, Needs: v.RequiredListVersion, Text: string(v.Text)})
	if err != nil { // it serves on; a restart would go on the one before
		vs.e.log.Error("version of the settings not saved", "version", v.Number, "error", err)
	}
	vs.e.log.Info("settings in force", "version", v.Number, "before", before)
}

// led is an edge's part in the versions that its planner leads it to. The link's goroutine alone enters views; digests read
// what it says under the lock.
type led struct {
	vs *versions

	mu      sync.Mutex
	have    *configstate.Version // the last whose text came
	fits    uint64
	refused uint64
	reason  string
}

// say fills a digest.
func (l *led) say(d *linkpb.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.ConfigNo = l.vs.e.relay.ConfigVersion().Number
	d.ConfigFits, d.ConfigRefused, d.ConfigReason = l.fits, l.refused, l.reason
}

// view enters what a view says of versions: a proposed one is looked at, one that is to be in force is put in force. What
// does not fit now is looked at again with each view.
func (l *led) view(v *linkpb.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.ConfigTextNo > 0 && (l.have == nil || l.have.Number != v.ConfigTextNo || !bytes.Equal(l.have.Text, v.ConfigText)) {
		got, err := configstate.Read(v.ConfigTextNo, v.ConfigText)
		if err != nil {
			l.refused, l.reason = v.ConfigTextNo, err.Error()
			return
		}
		l.have = got
	}
	switch h := l.have; {
	case h == nil:
	case h.Number == v.ConfigNo && h.Number != l.vs.e.relay.ConfigVersion().Number:
		if _, err := l.vs.take(h); err != nil {
			l.refused, l.reason = h.Number, err.Error()
		}
	case h.Number == v.ConfigNext:
		if _, err := l.vs.e.relay.CheckConfig(h); err != nil {
			l.refused, l.reason = h.Number, err.Error()
		} else {
			l.fits = h.Number
		}
	}
}
