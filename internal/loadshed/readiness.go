package loadshed

// How long a router waits for discovery, in seconds, before it reports ready without it.
const (
	correctListSeconds = 0.5 // for a correction of the endpoint list that the process started with
	firstListSeconds   = 2.0 // for an endpoint list if there is none
)

// ReadinessDelaySeconds returns how long after its start a router that has not heard from discovery does not report
// ready. The delay is short: a rolling restart allows only a few seconds for each router, and a router without
// endpoints rejects requests with a retry-after time.
func ReadinessDelaySeconds(hasEndpoints bool) float64 {
	if hasEndpoints {
		return correctListSeconds
	}
	return firstListSeconds
}
