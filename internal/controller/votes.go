package controller

import (
	"net/http"

	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// notifiedVote is the vote in force that the routers were last notified of.
type notifiedVote struct {
	build   int
	verdict policy.Verdict
}

// openVoteSender creates the sender of votes to the release service; its Run sends the votes that ticks cast.
func (c *Controller) openVoteSender(client *http.Client) {
	c.voteSender = &releases.VoteSender{
		Router: c.settings.RouterGroup, URL: c.settings.Sources.ReleaseServiceURL, TimeoutSeconds: c.settings.Release.VoteTimeoutSeconds, Client: client, Log: c.log,
		OnSend: c.onVoteSend, OnReply: c.onVoteReply,
	}
	c.voteSender.Open()
}

// onVoteSend saves a vote before it is sent: if this process dies now, the next one knows that the vote may have
// counted.
func (c *Controller) onVoteSend(vote releases.Vote) {
	c.saveVote(vote, false)
}

// onVoteReply records the release service's reply to a vote: its outcome and, if the reply contains it, the current
// release.
func (c *Controller) onVoteReply(vote releases.Vote, reply policy.VoteReply, update *releases.Update) {
	if update != nil {
		if err := c.applyReleaseUpdate(update); err != nil {
			c.log.Warn("release update in a vote's reply rejected", "error", err)
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

// saveVote saves a vote; outcomeKnown says whether the release service has answered it.
func (c *Controller) saveVote(vote releases.Vote, outcomeKnown bool) {
	saved := SavedVote{Build: vote.Build, Stage: vote.Stage, Verdict: vote.Verdict, CastAt: c.now(), OutcomeKnown: outcomeKnown}
	if err := c.store.SaveVote(saved); err != nil {
		c.log.Error("vote not saved", "error", err)
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
