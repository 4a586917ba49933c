package controller

import (
	"net/http"

	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// notifiedVote is a vote in force that the routers were notified of.
type notifiedVote struct {
	build   int
	verdict policy.Verdict
}

// openVoteSender creates the sender of votes to the release service. Its Run method sends the votes that ticks cast.
func (c *Controller) openVoteSender(client *http.Client) {
	c.voteSender = &releases.VoteSender{
		RouterGroup: c.settings.RouterGroup, URL: c.settings.Sources.ReleaseServiceURL, TimeoutSeconds: c.settings.Release.VoteTimeoutSeconds, Client: client, Log: c.log,
		OnSend: c.onVoteSend, OnReply: c.onVoteReply,
	}
	c.voteSender.Open()
}

// onVoteSend saves a vote before it is sent, so that if this process dies before the reply, the next process knows that
// the release service may have counted the vote.
func (c *Controller) onVoteSend(vote releases.Vote) {
	c.saveVote(vote, false)
}

// onVoteReply records the outcome of a vote and, if the release service's reply contains one, a release update.
func (c *Controller) onVoteReply(vote releases.Vote, reply policy.VoteReply, update *releases.Update) {
	if update != nil {
		if err := c.applyReleaseUpdate(update); err != nil {
			c.log.Warn("rejected the release update in a vote reply", "error", err)
		}
	}
	c.mu.Lock()
	c.balancer.OnVoteReply(c.now(), reply)
	build, verdict := c.balancer.CurrentVote()
	c.mu.Unlock()
	if reply == policy.VoteCounted {
		c.saveVote(vote, true)
	} else if reply != policy.VoteUnknown && build >= 0 {
		c.saveVote(releases.Vote{Build: build, Stage: vote.Stage, Verdict: verdict}, true) // the previous vote stays in force
	}
	c.notifyVerdict()
}

// saveVote saves a vote; outcomeKnown is whether the release service has answered it.
func (c *Controller) saveVote(vote releases.Vote, outcomeKnown bool) {
	saved := SavedVote{Build: vote.Build, Stage: vote.Stage, Verdict: vote.Verdict, CastAt: c.now(), OutcomeKnown: outcomeKnown}
	if err := c.store.SaveVote(saved); err != nil {
		c.log.Error("failed to save the vote", "error", err)
	}
}

// notifyVerdict notifies the routers if the vote in force has changed since the last call.
func (c *Controller) notifyVerdict() {
	c.mu.Lock()
	build, verdict := c.balancer.CurrentVote()
	current := notifiedVote{build, verdict}
	changed := current != c.lastNotified
	c.lastNotified = current
	c.mu.Unlock()
	if changed {
		c.server.NotifyAll()
	}
}
