package loadshed

// The delay of a client that sends invalid requests, so that it does not use up the process with them.
const (
	freeInvalidRequests      = 3    // invalid requests in a row without a delay
	firstInvalidDelaySeconds = 0.01 // delay after the next one; it doubles with each further one
	maxInvalidDelaySeconds   = 0.5
)

// InvalidRequestDelaySeconds returns how long to wait for the next request of a client that has sent a number of invalid
// requests in a row.
func InvalidRequestDelaySeconds(consecutive int) float64 {
	delay := firstInvalidDelaySeconds
	if consecutive <= freeInvalidRequests {
		return 0
	}
	for n := consecutive - freeInvalidRequests; n > 1 && delay < maxInvalidDelaySeconds; n-- {
		delay *= 2
	}
	return min(delay, maxInvalidDelaySeconds)
}
