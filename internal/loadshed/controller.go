package loadshed

// Lateness of a controller, in report intervals of its routers, from which it leaves out more and more.
const (
	queriesWaitFrom   = 0.5 // intervals late: queries of metrics wait
	someReportsFrom   = 2   // intervals late: every third report is read
	someReportsStride = 3
	fewReportsFrom    = 8 // intervals late: every eighth report is read
	fewReportsStride  = 8
)

// ControllerLoadShedding tells what a controller that is late leaves out: it applies every so many-th report of its routers,
// which loses nothing as each report is cumulative, and its queries wait. Votes and assignments are never left out.
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
