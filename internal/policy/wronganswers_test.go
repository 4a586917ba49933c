package policy

import (
	"fmt"
	"testing"
)

// A report counts once a receipt, for as long as the receipt is valid, and the number of remembered ones is bounded.
func TestWrongAnswerReports(t *testing.T) {
	var reports WrongAnswerReports
	for _, step := range []struct {
		now     float64
		receipt string
		want    bool
	}{{100, "a", true}, {101, "a", false}, {102, "b", true}, {100 + WrongAnswerReportSeconds, "a", false}, {101 + WrongAnswerReportSeconds, "a", true}} {
		if got := reports.First(step.now, step.receipt); got != step.want {
			t.Errorf("%+v: first %v", step, got)
		}
	}
	for i := range 2 * maxWrongAnswerReports {
		reports.First(1000, fmt.Sprint(i))
	}
	if n := len(reports.recent.ids); n != maxWrongAnswerReports || len(reports.recent.oldest) != n {
		t.Errorf("%d reports are remembered, want %d", n, maxWrongAnswerReports)
	}
}
