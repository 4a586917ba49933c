package releases

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"flintspread/internal/policy"
)

// maxReplyBytes bounds the bytes read of a reply.
const maxReplyBytes = 64 << 10

// Vote is a vote that the policy decided to cast.
type Vote struct {
	Build, Stage int
	Verdict      policy.Verdict
}

// VoteMessage is a vote in the release service's protocol.
type VoteMessage struct {
	RouterGroup string `json:"relay"` // name of the voting router group
	Build       int    `json:"build"`
	Stage       int    `json:"stage"`
	Verdict     string `json:"verdict"` // a value of verdicts
}

// VoteSender sends votes to the release service, one at a time. Open must be called first, then Run on a goroutine of
// its own; Cast may be called from any goroutine.
type VoteSender struct {
	RouterGroup    string  // name of the voting router group
	URL            string  // URL of the release service
	TimeoutSeconds float64 // maximum time from sending a vote to the end of its reply
	Client         *http.Client
	Log            *slog.Logger

	// OnSend is called before each vote is sent. OnReply is called with the vote, its reply, and the new state of the
	// release, which is nil if the reply does not contain it. Run calls both on its own goroutine; both must be set.
	OnSend  func(Vote)
	OnReply func(Vote, policy.VoteReply, *Update)

	votes chan Vote
}

// Open creates the queue of votes. It must be called once, before Cast and Run.
func (s *VoteSender) Open() { s.votes = make(chan Vote, 1) }

// Cast queues a vote without blocking. The queue holds one vote, which is enough because the policy has only one vote
// pending at a time. A vote is dropped only if the policy stopped waiting for the reply to an earlier vote that is still
// queued.
func (s *VoteSender) Cast(vote Vote) {
	select {
	case s.votes <- vote:
	default:
		s.Log.Warn("vote dropped: an earlier vote is still queued")
	}
}

// Run sends the queued votes until ctx ends.
func (s *VoteSender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vote := <-s.votes:
			s.OnSend(vote)
			reply, update, err := s.send(ctx, vote)
			s.Log.Info("vote request completed", "build", vote.Build, "stage", vote.Stage,
				"verdict", verdicts[vote.Verdict], "reply", replyNames[reply], "error", err)
			s.OnReply(vote, reply, update)
		}
	}
}

// send sends one vote and waits for the reply. If no complete reply arrives in time, the vote may have been counted, and
// the reply is VoteUnknown.
func (s *VoteSender) send(ctx context.Context, vote Vote) (policy.VoteReply, *Update, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.TimeoutSeconds*float64(time.Second)))
	defer cancel()
	request, err := s.newRequest(ctx, vote)
	if err != nil {
		return policy.VoteRefused, nil, err
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return policy.VoteUnknown, nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return policy.VoteRefused, nil, fmt.Errorf("unexpected response status %s", response.Status)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return policy.VoteUnknown, nil, err
	}
	return parseReply(text)
}

func (s *VoteSender) newRequest(ctx context.Context, vote Vote) (*http.Request, error) {
	text, err := json.Marshal(VoteMessage{RouterGroup: s.RouterGroup, Build: vote.Build, Stage: vote.Stage, Verdict: verdicts[vote.Verdict]})
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/vote", bytes.NewReader(text))
}

// parseReply parses the reply to a vote. Only the reply to a counted vote contains the new state of the release.
func parseReply(text []byte) (policy.VoteReply, *Update, error) {
	var update Update
	if err := json.Unmarshal(text, &update); err != nil {
		return policy.VoteUnknown, nil, fmt.Errorf("reply is not a valid update: %w", err)
	}
	reply, known := replies[update.Vote]
	if !known {
		return policy.VoteUnknown, nil, fmt.Errorf("reply has an unknown value %q in its field vote", update.Vote)
	}
	if reply == policy.VoteCounted && update.Phase != "" {
		return reply, &update, nil
	}
	return reply, nil, nil
}
