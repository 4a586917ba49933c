package control

import (
	"fmt"
	"net"
	"slices"
	"time"

	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// voteWriteTimeout bounds the write of a vote, which happens under Client.mu. The kernel accepts a few bytes at once if
// the platform reads.
const voteWriteTimeout = 100 * time.Millisecond

// replyNames holds the log values, indexed by policy.VoteReply.
var replyNames = [...]string{"counted", "moot", "refused", "unknown"}

// call is a pending request to the platform: the follow call or a vote.
type call struct {
	follow   bool
	vote     releases.Vote
	timeout  *time.Timer // nil for the follow call
	reported bool        // OnVoteReply was called for it
}

// Cast casts a vote and does not wait for its reply; OnVoteReply receives it. Without a connection on which the
// platform accepted the follow call, the vote is refused, and the policy casts it again. The write may block for
// voteWriteTimeout.
func (c *Client) Cast(vote releases.Vote) {
	cast := &call{vote: vote}
	cast.timeout = time.AfterFunc(c.VoteTimeout, func() {
		c.finish(cast, policy.VoteUnknown, "no answer in time")
	})
	c.mu.Lock()
	conn := c.conn
	if conn == nil || !c.following {
		c.mu.Unlock()
		go c.finish(cast, policy.VoteRefused, "no connection")
		return
	}
	c.calls = append(c.calls, cast)
	err := writeVote(conn, vote)
	c.mu.Unlock()
	if err != nil {
		conn.Close() // ends read, which leads to abandon and VoteUnknown
	}
}

func writeVote(conn net.Conn, vote releases.Vote) error {
	conn.SetWriteDeadline(time.Now().Add(voteWriteTimeout))
	_, err := fmt.Fprintf(conn, "judge %d %d %s\r\n", vote.Build, vote.Stage, verdictWords[vote.Verdict])
	return err
}

// oldestCall returns the call that the next reply on a connection belongs to, or nil if there is none.
func (c *Client) oldestCall(conn *connection) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn || len(c.calls) == 0 {
		return nil
	}
	return c.calls[0]
}

// removeOldestCall removes the call that got its reply. The first one is the follow call, after which votes may be
// cast.
func (c *Client) removeOldestCall(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.calls = slices.Delete(c.calls, 0, 1)
		c.following = true
	}
}

// finish calls OnVoteReply for a vote. Later calls for the same vote do nothing, since a reply may arrive after the
// timeout. It does nothing for the follow call.
func (c *Client) finish(ended *call, reply policy.VoteReply, reason string) {
	c.mu.Lock()
	ignore := ended.reported || ended.follow
	ended.reported = true
	c.mu.Unlock()
	if ignore {
		return
	}
	ended.timeout.Stop()
	vote := ended.vote
	c.Log.Info("vote reply", "build", vote.Build, "stage", vote.Stage, "verdict", verdictWords[vote.Verdict],
		"reply", replyNames[reply], "reason", reason)
	c.OnVoteReply(vote, reply)
}
