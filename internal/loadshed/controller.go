package loadshed

// The lateness of a controller above which it skips work, in report intervals of its routers, and the strides at which it
// then applies reports.
const (
	queryMaxLateIntervals       = 0.5 // above it, no metrics are queried
	everyReportMaxLateIntervals = 2   // above it, only every third report is applied
	someReportsStride           = 3
	someReportsMaxLateIntervals = 8 // above it, only every eighth report is applied
	fewReportsStride            = 8
)

// ControllerLoadShedding returns which work a late controller skips: the controller applies one in reportStride of its
// routers' reports, which loses no data because reports are cumulative, and queries metrics only if mayQuery is true.
// Votes and assignments are never skipped.
func ControllerLoadShedding(lateSeconds, reportIntervalSeconds float64) (reportStride int, mayQuery bool) {
	switch {
	case lateSeconds > someReportsMaxLateIntervals*reportIntervalSeconds:
		return fewReportsStride, false
	case lateSeconds > everyReportMaxLateIntervals*reportIntervalSeconds:
		return someReportsStride, false
	case lateSeconds > queryMaxLateIntervals*reportIntervalSeconds:
		return 1, false
	}
	return 1, true
}
