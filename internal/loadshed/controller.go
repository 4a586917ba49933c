package loadshed

// Lateness of a controller, in report intervals of its routers, above which it skips more and more work.
const (
	queriesWaitFrom   = 0.5 // intervals; above it, metrics queries wait
	someReportsFrom   = 2   // intervals; above it, every third report is applied
	someReportsStride = 3
	fewReportsFrom    = 8 // intervals; above it, every eighth report is applied
	fewReportsStride  = 8
)

// ControllerLoadShedding returns what a controller that is late may skip: it applies one in reportStride of
// its routers' reports, which loses nothing as reports are cumulative, and queries metrics only if mayQuery is
// set. Votes and assignments are never skipped.
func ControllerLoadShedding(lateSeconds, reportIntervalSeconds float64) (reportStride int, mayQuery bool) {
	switch {
	case lateSeconds > fewReportsFrom*reportIntervalSeconds:
		return fewReportsStride, false
	case lateSeconds > someReportsFrom*reportIntervalSeconds:
		return someReportsStride, false
	case lateSeconds > queriesWaitFrom*reportIntervalSeconds:
		return 1, false
	}
	return 1, true
}
