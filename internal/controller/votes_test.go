package controller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// A vote that was in flight when the controller died may have been counted: the next controller process immediately
// casts the vote again or withdraws it. It sends nothing for a vote whose outcome is known or that is on an earlier build.
func TestVoteInFlightAtRestart(t *testing.T) {
	for _, test := range []struct {
		name          string
		rollbackVotes int
		vote          SavedVote
		want          string // vote of the next process; "": none
	}{
		{"outcome unknown, one vote suffices", 1, SavedVote{Build: 2, Verdict: policy.VoteRollback}, "back on 2"},
		{"outcome known, one vote suffices", 1, SavedVote{Build: 2, Verdict: policy.VoteRollback, OutcomeKnown: true}, ""},
		{"outcome unknown, two votes needed, no evidence any more", 2, SavedVote{Build: 2, Verdict: policy.VoteRollback}, "none on 2"},
		{"outcome unknown, on an earlier build", 2, SavedVote{Build: 1, Verdict: policy.VoteRollback}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			services := &fakeServices{release: releases.Update{Version: 4, Build: 2, Phase: "released", CanaryLimit: 1}}
			dir := t.TempDir()
			store, _, _, err := OpenStateStore(dir)
			if err != nil {
				t.Fatal(err)
			}
			test.vote.CastAt = float64(time.Now().Unix())
			if err := errors.Join(store.SaveVote(test.vote), store.Close()); err != nil {
				t.Fatal(err)
			}
			stop := startController(testSettings(t, dir, services.serve(t), test.rollbackVotes))
			if test.want != "" {
				eventually(t, test.want, func() bool { return strings.Join(services.verdicts(), ", ") == test.want })
			} else {
				time.Sleep(700 * time.Millisecond)
				if got := services.verdicts(); got != nil {
					t.Error(got)
				}
			}
			if err := stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// A router's evidence leads to a rollback vote. If the controller stops before the reply, the vote is on disk with its
// outcome unknown.
func TestVoteIsSavedBeforeItIsSent(t *testing.T) {
	services := &fakeServices{holdReplies: true, release: releases.Update{Version: 4, Build: 2, Phase: "on-trial", CanaryLimit: 0.2}}
	dir := t.TempDir()
	settings := testSettings(t, dir, services.serve(t), 1)
	store, _, _, err := OpenStateStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	controller := newController(settings, discardLog(), store)
	controller.restore(1, SavedState{})
	controller.restoreRelease(SavedState{Release: &services.release, ReleaseAt: controller.now()})
	(&endpoints.Update{Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Build: 1, State: "ready"}, {ID: 2, Build: 1, State: "ready"},
		{ID: 3, Build: 2, State: "ready"}, {ID: 4, Build: 2, State: "ready"}}}).ApplyTo(controller.balancer, controller.now())
	controller.voteSender = &releases.VoteSender{RouterGroup: "r1", URL: settings.Sources.ReleaseServiceURL, TimeoutSeconds: 0.2, Client: http.DefaultClient, Log: controller.log,
		OnSend: controller.onVoteSend, OnReply: controller.onVoteReply}
	controller.voteSender.Open()
	if reason := controller.acceptReport(canaryFailureReport(1)); reason != lease.Accepted {
		t.Fatal(reason)
	}
	if reason := controller.acceptReport(canaryFailureReport(1)); reason != lease.StaleSequence {
		t.Error("repeated report:", reason)
	}
	controller.tick()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { controller.voteSender.Run(ctx); close(done) }()
	eventually(t, "the vote is sent", func() bool { return strings.Join(services.verdicts(), "") == "back on 2" })
	cancel()
	<-done
	mustClose(t, store)
	store, saved, _, err := OpenStateStore(dir)
	if err != nil || saved.Vote == nil || saved.Vote.OutcomeKnown || saved.Vote.Verdict != policy.VoteRollback {
		t.Fatalf("%+v %v", saved.Vote, err)
	}
	mustClose(t, store)
}
