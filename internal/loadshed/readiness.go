package loadshed

// How long discovery gets, in seconds, before a router calls itself ready without it.
const (
	correctListSeconds = 0.5 // to correct the endpoint list that the process was started with
	firstListSeconds   = 2.0 // to send one where there is none
)

// ReadinessDelaySeconds gives for how long after its start a router that has not heard from discovery does not call itself
// ready. It is short: whoever restarts routers waits only some seconds for each, and a router without endpoints rejects what
// it gets with a retry-after time.
func ReadinessDelaySeconds(hasEndpoints bool) float64 {
	if hasEndpoints {
		return correctListSeconds
	}
	return firstListSeconds
}
