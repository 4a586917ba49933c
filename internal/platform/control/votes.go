package control

import (
	"fmt"
	"net"
	"slices"
	"time"

	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// voteWriteTimeout is the timeout for writing a vote, which is done while Client.mu is held. A vote is a few bytes, which
// the kernel accepts immediately unless the platform has stopped reading.
const voteWriteTimeout = 100 * time.Millisecond

// replyNames holds the names for the log, indexed by policy.VoteReply.
var replyNames = [...]string{"counted", "moot", "refused", "unknown"}

// call is a request to the platform: the follow call or a vote.
type call struct {
	isFollow bool
	vote     releases.Vote
	timeout  *time.Timer // nil for the follow call
	finished bool        // OnVoteReply was called for the vote
}

// Cast casts a vote without waiting for the reply, which OnVoteReply receives. If there is no connection on which the
// platform has accepted the follow call, the reply is VoteRefused, and the policy casts the vote again. Writing the vote
// may block for voteWriteTimeout.
func (c *Client) Cast(vote releases.Vote) {
	pending := &call{vote: vote}
	pending.timeout = time.AfterFunc(c.VoteTimeout, func() {
		c.finish(pending, policy.VoteUnknown, "no reply before the timeout")
	})
	c.mu.Lock()
	conn := c.conn
	if conn == nil || !c.followAccepted {
		c.mu.Unlock()
		go c.finish(pending, policy.VoteRefused, "no connection")
		return
	}
	c.pendingCalls = append(c.pendingCalls, pending)
	err := writeVote(conn, vote)
	c.mu.Unlock()
	if err != nil {
		conn.Close() // makes read return, after which abandon finishes the vote with VoteUnknown
	}
}

func writeVote(conn net.Conn, vote releases.Vote) error {
	conn.SetWriteDeadline(time.Now().Add(voteWriteTimeout))
	_, err := fmt.Fprintf(conn, "judge %d %d %s\r\n", vote.Build, vote.Stage, verdictWords[vote.Verdict])
	return err
}

// oldestCall returns the oldest pending call on conn, to which the next reply belongs, or nil if there is none.
func (c *Client) oldestCall(conn *connection) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn || len(c.pendingCalls) == 0 {
		return nil
	}
	return c.pendingCalls[0]
}

// removeOldestCall removes the oldest pending call on conn, which has received its reply. It also records that the
// follow call, the first call on each connection, was accepted, so that votes can be cast.
func (c *Client) removeOldestCall(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.pendingCalls = slices.Delete(c.pendingCalls, 0, 1)
		c.followAccepted = true
	}
}

// finish logs the result of a vote and calls OnVoteReply. A repeated finish of the same vote does nothing, since a reply
// may arrive after the timeout. For the follow call, finish does nothing.
func (c *Client) finish(call *call, reply policy.VoteReply, reason string) {
	c.mu.Lock()
	ignore := call.finished || call.isFollow
	call.finished = true
	c.mu.Unlock()
	if ignore {
		return
	}
	call.timeout.Stop()
	vote := call.vote
	c.Log.Info("vote reply", "build", vote.Build, "stage", vote.Stage, "verdict", verdictWords[vote.Verdict],
		"reply", replyNames[reply], "reason", reason)
	c.OnVoteReply(vote, reply)
}
