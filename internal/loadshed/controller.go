package loadshed

// Lateness of a controller, in beats of its routers' reports, from which it leaves out more and more.
const (
	queriesWaitFrom   = 0.5
	someReportsFrom   = 2
	fewReportsFrom    = 8
	someReportsStride = 3 // every third report
	fewReportsStride  = 8
)

// ControllerLoadShedding tells what a controller that is late leaves out: it applies every so many-th report of its routers,
// which loses nothing as each report is cumulative, and its queries wait. Votes and assignments are never left out.
func ControllerLoadShedding(lateSeconds, beatSeconds float64) (reportStride int, mayQuery bool) {
	switch {
	case lateSeconds > fewReportsFrom*beatSeconds:
		return fewReportsStride, false
	case lateSeconds > someReportsFrom*beatSeconds:
		return someReportsStride, false
	case lateSeconds > queriesWaitFrom*beatSeconds:
		return 1, false
	}
	return 1, true
}
