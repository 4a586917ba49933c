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

// command is one that was sent to the platform: to follow, or a vote.
type command struct {
	follow   bool
	vote     releases.Vote
	timeout  *time.Timer // nil for the command to follow
	finished bool        // what became of the vote was reported
}

// Cast casts a vote without waiting for its reply. Where the client follows on no connection, the vote is refused: the policy casts it
// again.
func (c *Client) Cast(vote releases.Vote) {
	command := &command{vote: vote}
	command.timeout = time.AfterFunc(c.VoteTimeout, func() {
		c.finish(command, policy.VoteUnknown, "no answer in time")
	})
	c.mu.Lock()
	conn := c.conn
	if conn == nil || !c.following {
		c.mu.Unlock()
		go c.finish(command, policy.VoteRefused, "no connection")
		return
	}
	c.commands = append(c.commands, command)
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

// oldestCommand is the command that the next reply on a connection belongs to; nil: there is none.
func (c *Client) oldestCommand(conn *connection) *command {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn || len(c.commands) == 0 {
		return nil
	}
	return c.commands[0]
}

// removeOldestCommand notes that a command got its reply. The first one is that to follow: from then on votes may be cast.
func (c *Client) removeOldestCommand(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.commands = slices.Delete(c.commands, 0, 1)
		c.following = true
	}
}

// finish reports what became of a vote, once: a reply may come after the time-out.
func (c *Client) finish(command *command, reply policy.VoteReply, reason string) {
	c.mu.Lock()
	ignore := command.finished || command.follow
	command.finished = true
	c.mu.Unlock()
	if ignore {
		return
	}
	command.timeout.Stop()
	vote := command.vote
	c.Log.Info("vote reply", "build", vote.Build, "stage", vote.Stage, "verdict", verdictWords[vote.Verdict],
		"reply", replyNames[reply], "reason", reason)
	c.OnVoteReply(vote, reply)
}
