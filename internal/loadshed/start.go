package loadshed

const (
	correct = 0.5 // s that discovery gets to correct the list that a process was started with
	first   = 2.0 // s that it gets to send one where there is none
)

// ReadinessDelaySeconds is for how long after its start, s, a relay that has not heard from discovery does not call itself ready. It is short: who
// restarts relays gives them some seconds, and one that has no unit turns away what it gets, with a time to come back.
func ReadinessDelaySeconds(known bool) float64 {
	if known {
		return correct
	}
	return first
}
