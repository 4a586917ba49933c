package loadshed

// The schedule of a graceful shutdown, in seconds.
const (
	acceptSeconds      = 0.7 // after the signal in which new connections are accepted, while there is room
	killMarginSeconds  = 0.7 // after the longest request timeout, counted from the signal, at which the process may be killed
	maxTimeoutSeconds  = 3.0 // that a request timeout counts for at most
	lastRequestSeconds = 0.6 // before the kill, at which it ends its clients' connections
	lastAnswerSeconds  = 0.3 // before the kill, by which all that was accepted meanwhile is answered
	overtimeSeconds    = 3.0 // after that, in which a kill that comes late finds it still finishing its answers
)

// ShutdownPlan is what a router does when after it was told to stop, in seconds from the signal.
type ShutdownPlan struct {
	AcceptUntil float64 // new connections are accepted
	ServeUntil  float64 // requests are accepted on the connections there are
	AnswerBy    float64 // all that was accepted is answered
	KillAfter   float64 // the process may be killed from then on
	GiveUpAt    float64 // what is left is abandoned: answers that clients do not read, for all else has ended
}

// PlanShutdown plans a graceful shutdown by the longest request timeout. Other routers may not know of it yet, or may not be
// there: clients are served for as long as there is time to answer each before the kill.
func PlanShutdown(longestTimeoutSeconds float64) ShutdownPlan {
	kill := min(longestTimeoutSeconds, maxTimeoutSeconds) + killMarginSeconds
	return ShutdownPlan{
		AcceptUntil: acceptSeconds,
		ServeUntil:  kill - lastRequestSeconds,
		AnswerBy:    kill - lastAnswerSeconds,
		KillAfter:   kill,
		GiveUpAt:    kill + overtimeSeconds,
	}
}
