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

// News is one line of the installer's stream, and its reply to a vote.
type News struct {
	Version uint64  `json:"version"` // grows with every change, also over the installer's restarts
	Build   int     `json:"build"`
	Stage   int     `json:"stage"`
	Phase   string  `json:"phase"` // on-trial, going-back, released or withdrawn
	Cap     float64 `json:"cap"`
	Age     float64 `json:"age"`             // s that this has lasted
	Vote    string  `json:"vote,omitempty"`  // in a reply: counted, moot or refused
	Quiet   bool    `json:"quiet,omitempty"` // nothing new; only shows that the stream lives
}

// Ballot is a vote as the installer gets it.
type Ballot struct {
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
	"on-trial": policy.OnTrial, "going-back": policy.GoingBack, "released": policy.Released, "withdrawn": policy.Withdrawn,
}

var (
	verdicts   = [...]string{"none", "on", "hold", "back"}
	replies    = map[string]policy.VoteReply{"counted": policy.Counted, "moot": policy.Moot, "refused": policy.Refused}
	replyNames = [...]string{"counted", "moot", "refused", "unknown"}
)

// PhaseOf gives the policy's word for a checked line's phase.
func (l *News) PhaseOf() policy.Phase { return phases[l.Phase] }

// Check refuses a line that can't be meant, stages being how many there are.
func (l *News) Check(stages int) error {
	if _, ok := phases[l.Phase]; !ok {
		return fmt.Errorf("unknown phase %q", l.Phase)
	}
	if l.Build < 0 || l.Stage < 0 || l.Stage >= stages || !(l.Cap >= 0 && l.Cap <= 1) || !(l.Age >= 0) {
		return fmt.Errorf("build %d stage %d cap %v age %v: stages are 0 to %d, a cap 0 to 1, none is below 0",
			l.Build, l.Stage, l.Cap, l.Age, stages-1)
	}
	return nil
}

// Box casts a relay's votes, one after the other.
type Box struct {
	Relay   string
	URL     string  // of the installer
	Timeout float64 // s that a reply is waited for
	Client  *http.Client
	Log     *slog.Logger
	// Asked is told of each vote before it leaves, Replied what became of it.
	Asked   func(Vote)
	Replied func(Vote, policy.VoteReply, *News)
	votes   chan Vote
}

// Open makes the box ready; it is to be called before Cast and Run.
func (b *Box) Open() { b.votes = make(chan Vote, 1) }

// Cast hands a vote on without waiting. The policy has one vote out at a time, so that there is room but for one that it
// gave up waiting for.
func (b *Box) Cast(v Vote) {
	select {
	case b.votes <- v:
	default:
		b.Log.Warn("vote not cast: the last is still out")
	}
}

// Run casts what is handed on until ctx ends.
func (b *Box) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-b.votes:
			b.Asked(v)
			reply, news, err := b.post(ctx, v)
			b.Log.Info("vote", "build", v.Build, "stage", v.Stage, "verdict", verdicts[v.Verdict], "reply", replyNames[reply], "error", err)
			b.Replied(v, reply, news)
		}
	}
}

// post casts one. No reply in time, or one cut off, may have counted.
func (b *Box) post(ctx context.Context, v Vote) (policy.VoteReply, *News, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(b.Timeout*float64(time.Second)))
	defer cancel()
	text, _ := json.Marshal(Ballot{b.Relay, v.Build, v.Stage, verdicts[v.Verdict]})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.URL+"/vote", bytes.NewReader(text))
	if err != nil {
		return policy.Refused, nil, err
	}
	resp, err := b.Client.Do(req)
	if err != nil {
		return policy.Unknown, nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return policy.Refused, nil, errors.New(resp.Status)
	}
	text, err = io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return policy.Unknown, nil, err
	}
	var line News
	if err := json.Unmarshal(text, &line); err != nil {
		return policy.Unknown, nil, err
	}
	reply, ok := replies[line.Vote]
	if !ok {
		return policy.Unknown, nil, fmt.Errorf("unknown reply %q", line.Vote)
	}
	if reply == policy.Counted && line.Phase != "" {
		return reply, &line, nil
	}
	return reply, nil, nil
}
