package control

import (
	"fmt"
	"net"
	"slices"
	"time"

	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// voteWriteTimeout bounds the write of a vote: the kernel takes a few bytes at once on a connection that the platform reads.
const voteWriteTimeout = 100 * time.Millisecond

// replyNames gives the log's word by policy.VoteReply.
var replyNames = [...]string{"counted", "moot", "refused", "unknown"}

// call is one request to the platform that waits for its reply: to follow, or a vote.
type call struct {
	follow   bool
	vote     releases.Vote
	timeout  *time.Timer // nil for the one to follow
	reported bool        // what became of the vote was passed on
}

// Cast casts a vote without waiting for its reply. Where the client follows on no connection, the vote is refused: the policy casts it
// again.
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
		conn.Close() // ends the reading, which reports the votes without a reply
	}
}

func writeVote(conn net.Conn, vote releases.Vote) error {
	conn.SetWriteDeadline(time.Now().Add(voteWriteTimeout))
	_, err := fmt.Fprintf(conn, "judge %d %d %s\r\n", vote.Build, vote.Stage, verdictWords[vote.Verdict])
	return err
}

// oldestCall is the call that the next reply on a connection belongs to; nil: there is none.
func (c *Client) oldestCall(conn *connection) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn || len(c.calls) == 0 {
		return nil
	}
	return c.calls[0]
}

// removeOldestCall notes that a call got its reply. The first one is that to follow: from then on votes may be cast.
func (c *Client) removeOldestCall(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.calls = slices.Delete(c.calls, 0, 1)
		c.following = true
	}
}

// finish passes on what became of a vote, once: a reply may come after the time-out. It does nothing for the call to follow.
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
