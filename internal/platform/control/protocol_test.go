package control

import (
	"fmt"
	"testing"

	"flintspread/internal/releases"
)

// releaseText formats the fields of an update that the platform sends.
func releaseText(update *releases.Update) string {
	return fmt.Sprint(update.Build, update.Stage, " ", update.Phase, " ", update.CanaryLimit, update.AgeSeconds)
}

func TestParseLine(t *testing.T) {
	for _, c := range []struct {
		line         string
		expectFollow bool
		want         string
	}{
		{"* progress 42 1 trial 0.28 310", false, "state 42 1 on-trial 0.28 0.31"},
		{"*", false, "nothing"},
		{"* metrics 42 lookup 57 2 18.5 900", false, "nothing"},
		{"* complaint s-5be2a07c lookup 1200", false, "s-5be2a07c 1200"},
		{"OK", true, "follow accepted"},
		{"OK 42 1 released 1.0 0", false, "counted state 42 1 released 1 0"},
		{"ERR Throttling", false, "refused"},
		{"ERR ConditionFailed", false, "moot"},
		{"ERR InternalFailure", false, "refused"},
		{"ERR ValidationError", false, "refused"},
	} {
		got := ""
		message, err := ParseLine(c.line, 2, c.expectFollow)
		switch {
		case err != nil:
			got = err.Error()
		case message.FollowAccepted:
			got = "follow accepted"
		case message.WrongAnswerHost != "":
			got = fmt.Sprint(message.WrongAnswerHost, " ", message.WrongAnswerAgeMilliseconds)
		case message.IsReply:
			got = [...]string{"counted", "moot", "refused", "unknown"}[message.VoteReply]
			if message.Release != nil {
				got += " state " + releaseText(message.Release)
			}
		case message.Release != nil:
			got = "state " + releaseText(message.Release)
		default:
			got = "nothing"
		}
		if got != c.want {
			t.Errorf("%q: %s, want %s", c.line, got, c.want)
		}
	}
	// Malformed lines, and an acceptance of the follow call while a vote is pending.
	for _, malformed := range []string{"", "OK", "OK 42", "OK 42 1 trial 0.28", "OK 42 1 trial 0.28 310 7", "OK 42 2 trial 0.28 310", "OK -1 0 trial 0.28 310",
		"OK 42 1 trail 0.28 310", "OK 42 1 trial 1.28 310", "OK 42 1 trial NaN 310", "OK 42 1 trial 0.28 -1", "ERR", "ERR Throttled", "ok 42 1 trial 0.28 310",
		"* progress 42 1 trial 0.28", "* progress 42 1 trial 0.28 x", "* complaint s1 lookup", "* complaint s1 lookup x", "* gossip", "* metrics a b c d e f", "\x00\xff"} {
		if got, err := ParseLine(malformed, 2, false); err == nil {
			t.Errorf("%q was parsed as %+v, want an error", malformed, got)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, line := range []string{"* progress 42 1 trial 0.28 310", "OK 42 1 trial 0.28 310", "* complaint s lookup 1200", "ERR Throttling", "*", "OK"} {
		f.Add(line, false)
	}
	f.Fuzz(func(t *testing.T, line string, expectFollow bool) {
		message, err := ParseLine(line, 3, expectFollow)
		if err == nil && message.Release != nil && message.Release.Check(3) != nil {
			t.Fatalf("%q was parsed as the invalid release state %+v", line, message.Release)
		}
	})
}
