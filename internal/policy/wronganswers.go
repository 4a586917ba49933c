package policy

const (
	// WrongAnswerReportSeconds is the longest time after an attempt within which a wrong answer to it may be reported.
	WrongAnswerReportSeconds = 600.0

	maxWrongAnswerReports = 16_384 // remembered reports
)

// WrongAnswerReports remembers which wrong answers were reported, so that each counts once: a client that got no reply to
// its report sends it again. The zero value is ready for use.
type WrongAnswerReports struct{ recent recentIDs }

// First records a report by the receipt of its answer, and reports whether it is the first one with this receipt.
func (w *WrongAnswerReports) First(now float64, receipt string) bool {
	w.recent.keepSeconds, w.recent.max = WrongAnswerReportSeconds, maxWrongAnswerReports
	return w.recent.add(now, receipt)
}
