package releases

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"flintspread/internal/policy"
)

// maxReplyBytes bounds the bytes read of a reply.
const maxReplyBytes = 64 << 10

// Vote is a vote that the policy wants cast.
type Vote struct {
	Build, Stage int
	Verdict      policy.Verdict
}

// VoteMessage is a vote in the release service's protocol.
type VoteMessage struct {
	Relay   string `json:"relay"`
	Build   int    `json:"build"`
	Stage   int    `json:"stage"`
	Verdict string `json:"verdict"` // a value of verdicts
}

// VoteSender sends votes to the release service, one at a time. Call Open first, then Run on a goroutine of
// its own; Cast may be called from any goroutine.
type VoteSender struct {
	Router         string
	URL            string  // URL of the release service
	TimeoutSeconds float64 // time to wait for a reply
	Client         *http.Client
	Log            *slog.Logger

	// OnSend is called before each vote is sent, OnReply with its reply and, if the reply contains the release's new
	// state, that state, else nil. Run calls both on its own goroutine; both must be set.
	OnSend  func(Vote)
	OnReply func(Vote, policy.VoteReply, *Update)

	votes chan Vote
}

// Open prepares the sender. It must be called once, before Cast and Run.
func (s *VoteSender) Open() { s.votes = make(chan Vote, 1) }

// Cast queues a vote without blocking. The queue holds one vote, which suffices because the policy has one vote pending
// at a time; a vote is dropped only if the policy stopped waiting for a reply while an earlier vote is still queued.
func (s *VoteSender) Cast(v Vote) {
	select {
	case s.votes <- v:
	default:
		s.Log.Warn("vote not cast: the last one is still being sent")
	}
}

// Run sends the votes that are cast until ctx ends.
func (s *VoteSender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-s.votes:
			s.OnSend(v)
			reply, update, err := s.send(ctx, v)
			s.Log.Info("vote cast", "build", v.Build, "stage", v.Stage, "verdict", verdicts[v.Verdict], "reply", replyNames[reply], "error", err)
			s.OnReply(v, reply, update)
		}
	}
}

// send sends one vote and waits for the reply. Without a complete reply in time the vote
// may have counted: the reply is VoteUnknown.
func (s *VoteSender) send(ctx context.Context, v Vote) (policy.VoteReply, *Update, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.TimeoutSeconds*float64(time.Second)))
	defer cancel()
	request, err := s.newRequest(ctx, v)
	if err != nil {
		return policy.VoteRefused, nil, err
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return policy.VoteUnknown, nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return policy.VoteRefused, nil, errors.New(response.Status)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return policy.VoteUnknown, nil, err
	}
	return parseReply(text)
}

func (s *VoteSender) newRequest(ctx context.Context, v Vote) (*http.Request, error) {
	text, err := json.Marshal(VoteMessage{Relay: s.Router, Build: v.Build, Stage: v.Stage, Verdict: verdicts[v.Verdict]})
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/vote", bytes.NewReader(text))
}

// parseReply parses the reply to a vote. Only the reply to a vote that counted contains the release's new state.
func parseReply(text []byte) (policy.VoteReply, *Update, error) {
	var update Update
	if err := json.Unmarshal(text, &update); err != nil {
		return policy.VoteUnknown, nil, err
	}
	reply, known := replies[update.Vote]
	if !known {
		return policy.VoteUnknown, nil, fmt.Errorf("unknown reply %q", update.Vote)
	}
	if reply == policy.VoteCounted && update.Phase != "" {
		return reply, &update, nil
	}
	return reply, nil, nil
}
