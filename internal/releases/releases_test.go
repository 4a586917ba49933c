package releases

import (
	"math"
	"testing"

	"flintspread/internal/policy"
)

func TestCheckRejectsInvalidUpdates(t *testing.T) {
	valid := Update{Version: 1, Build: 2, Stage: 1, Phase: "on-trial", CanaryLimit: 0.5, AgeSeconds: 3}
	with := func(edit func(*Update)) Update { u := valid; edit(&u); return u }
	if err := valid.Check(2); err != nil {
		t.Error(err)
	}
	for name, update := range map[string]Update{
		"unknown phase": with(func(u *Update) { u.Phase = "later" }),
		"build below 0": with(func(u *Update) { u.Build = -1 }),
		"stage below 0": with(func(u *Update) { u.Stage = -1 }),
		"stage above 1": with(func(u *Update) { u.Stage = 2 }),
		"limit above 1": with(func(u *Update) { u.CanaryLimit = 1.1 }),
		"limit NaN":     with(func(u *Update) { u.CanaryLimit = math.NaN() }),
		"age NaN":       with(func(u *Update) { u.AgeSeconds = math.NaN() }),
	} {
		if update.Check(2) == nil {
			t.Errorf("%s: %+v was accepted", name, update)
		}
	}
}

// Guards against a bad build that keeps its traffic: a rollback in a stage that the settings do not have was rejected.
func TestCheckAcceptsRollbackInAnyStage(t *testing.T) {
	for phase, want := range map[string]bool{"on-trial": false, "released": false, "going-back": true, "withdrawn": true} {
		update := Update{Version: 1, Build: 2, Stage: 7, Phase: phase}
		if err := update.Check(2); (err == nil) != want {
			t.Errorf("%s in stage 7 of 2: error %v, want it to be accepted: %v", phase, err, want)
		}
	}
}

func TestVoteReplies(t *testing.T) {
	for _, test := range []struct {
		text      string
		reply     policy.VoteReply
		hasUpdate bool
		hasError  bool
	}{
		{`{"vote":"counted","phase":"released"}`, policy.VoteCounted, true, false},
		{`{"vote":"counted"}`, policy.VoteCounted, false, false},
		{`{"vote":"moot","phase":"released"}`, policy.VoteMoot, false, false},
		{`{"vote":"refused"}`, policy.VoteRefused, false, false},
		{`{"vote":"well"}`, policy.VoteUnknown, false, true},
		{`{"vote":`, policy.VoteUnknown, false, true},
	} {
		reply, update, err := parseReply([]byte(test.text))
		if reply != test.reply || (update != nil) != test.hasUpdate || (err != nil) != test.hasError {
			t.Errorf("%s: got reply %v, update %v, error %v; want reply %v, has update %t, has error %t",
				test.text, reply, update, err, test.reply, test.hasUpdate, test.hasError)
		}
	}
}
