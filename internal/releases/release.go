// Package release speaks the installer's form: news of the newest build, and votes on it.
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

// Update is one line of the installer's stream, and its reply to a vote.
type Update struct {
	Version   uint64  `json:"version"` // grows with every change, also over the installer's restarts
	Build     int     `json:"build"`
	Stage     int     `json:"stage"`
	Phase     string  `json:"phase"` // on-trial, going-back, released or withdrawn
	Cap       float64 `json:"cap"`
	Age       float64 `json:"age"`             // s that this has lasted
	Vote      string  `json:"vote,omitempty"`  // in a reply: counted, moot or refused
	Heartbeat bool    `json:"quiet,omitempty"` // nothing new; only shows that the stream lives
}

// VoteMessage is a vote as the installer gets it.
type VoteMessage struct {
	Relay   string `json:"relay"`
	Build   int    `json:"build"`
	Stage   int    `json:"stage"`
	Verdict string `json:"verdict"` // none, on, hold or back
}

// Vote is one that the policy wants cast.
type Vote struct {
	Build, Stage int
	Verdict      policy.Verdict
}

var phases = map[string]policy.Phase{
	"on-trial": policy.PhaseCanary, "going-back": policy.PhaseRollingBack, "released": policy.PhaseReleased, "withdrawn": policy.PhaseWithdrawn,
}

var (
	verdicts   = [...]string{"none", "on", "hold", "back"}
	replies    = map[string]policy.VoteReply{"counted": policy.VoteCounted, "moot": policy.VoteMoot, "refused": policy.VoteRefused}
	replyNames = [...]string{"counted", "moot", "refused", "unknown"}
)

// PolicyPhase gives the policy's word for a checked line's phase.
func (l *Update) PolicyPhase() policy.Phase { return phases[l.Phase] }

// Check refuses a line that can't be meant, stages being how many there are.
func (l *Update) Check(stages int) error {
	if _, ok := phases[l.Phase]; !ok {
		return fmt.Errorf("unknown phase %q", l.Phase)
	}
	if l.Build < 0 || l.Stage < 0 || l.Stage >= stages || !(l.Cap >= 0 && l.Cap <= 1) || !(l.Age >= 0) {
		return fmt.Errorf("build %d stage %d cap %v age %v: stages are 0 to %d, a cap 0 to 1, none is below 0",
			l.Build, l.Stage, l.Cap, l.Age, stages-1)
	}
	return nil
}

// VoteSender casts a relay's votes, one after the other.
type VoteSender struct {
	Relay   string
	URL     string  // of the installer
	Timeout float64 // s that a reply is waited for
	Client  *http.Client
	Log     *slog.Logger
	// Asked is told of each vote before it leaves, Replied what became of it.
	OnSend  func(Vote)
	OnReply func(Vote, policy.VoteReply, *Update)
	votes   chan Vote
}

// Open makes the box ready; it is to be called before Cast and Run.
func (b *VoteSender) Open() { b.votes = make(chan Vote, 1) }

// Cast hands a vote on without waiting. The policy has one vote out at a time, so that there is room but for one that it
// gave up waiting for.
func (b *VoteSender) Cast(v Vote) {
	select {
	case b.votes <- v:
	default:
		b.Log.Warn("vote not cast: the last is still out")
	}
}

// Run casts what is handed on until ctx ends.
func (b *VoteSender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-b.votes:
			b.OnSend(v)
			reply, news, err := b.post(ctx, v)
			b.Log.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", verdicts[v.Verdict], "reply", replyNames[reply], "error", err)
			b.OnReply(v, reply, news)
		}
	}
}

// post casts one. No reply in time, or one cut off, may have counted.
func (b *VoteSender) post(ctx context.Context, v Vote) (policy.VoteReply, *Update, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(b.Timeout*float64(time.Second)))
	defer cancel()
	text, _ := json.Marshal(VoteMessage{b.Relay, v.Build, v.Stage, verdicts[v.Verdict]})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.URL+"/vote", bytes.NewReader(text))
	if err != nil {
		return policy.VoteRefused, nil, err
	}
	resp, err := b.Client.Do(req)
	if err != nil {
		return policy.VoteUnknown, nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return policy.VoteRefused, nil, errors.New(resp.Status)
	}
	text, err = io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return policy.VoteUnknown, nil, err
	}
	var line Update
	if err := json.Unmarshal(text, &line); err != nil {
		return policy.VoteUnknown, nil, err
	}
	reply, ok := replies[line.Vote]
	if !ok {
		return policy.VoteUnknown, nil, fmt.Errorf("unknown reply %q", line.Vote)
	}
	if reply == policy.VoteCounted && line.Phase != "" {
		return reply, &line, nil
	}
	return reply, nil, nil
}
