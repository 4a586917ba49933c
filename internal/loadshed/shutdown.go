package loadshed

// The schedule of a graceful shutdown, in seconds.
const (
	acceptSeconds      = 0.7 // time after the signal during which new connections are accepted if there is room
	killMarginSeconds  = 0.7 // time after the longest request timeout at which the process may be killed
	maxTimeoutSeconds  = 3.0 // cap on the request timeout in this schedule
	lastRequestSeconds = 0.6 // time before the kill at which client connections stop accepting requests
	lastAnswerSeconds  = 0.3 // time before the kill by which every accepted request must be answered
	overtimeSeconds    = 3.0 // time after KillAfter during which answers are still completed
)

// ShutdownPlan is the schedule of a graceful shutdown, in seconds from the signal.
type ShutdownPlan struct {
	AcceptUntil float64 // end of accepting new connections
	ServeUntil  float64 // end of accepting requests on open connections
	AnswerBy    float64 // deadline of the answers to all accepted requests
	KillAfter   float64 // time from which the process may be killed
	GiveUpAt    float64 // when answers are abandoned; by then, only those that clients do not read remain
}

// PlanShutdown returns the schedule for the longest request timeout. Clients may have no other router to use: there may
// be none, or the others may not know of the shutdown yet. Requests are therefore accepted for as long as each can
// still be answered before the kill.
func PlanShutdown(longestTimeoutSeconds float64) ShutdownPlan {
	killAfter := min(longestTimeoutSeconds, maxTimeoutSeconds) + killMarginSeconds
	return ShutdownPlan{
		AcceptUntil: acceptSeconds,
		ServeUntil:  killAfter - lastRequestSeconds,
		AnswerBy:    killAfter - lastAnswerSeconds,
		KillAfter:   killAfter,
		GiveUpAt:    killAfter + overtimeSeconds,
	}
}
