package loadshed

// The schedule of a graceful shutdown, in seconds.
const (
	acceptSeconds      = 0.7 // time after the signal during which new connections are accepted if there is room
	killMarginSeconds  = 0.7 // added to the longest request timeout; from then on the process may be killed
	maxTimeoutSeconds  = 3.0 // cap on the request timeout in this schedule
	lastRequestSeconds = 0.6 // time before the kill when client connections stop accepting requests
	lastAnswerSeconds  = 0.3 // time before the kill by which every accepted request must be answered
	overtimeSeconds    = 3.0 // time after the kill is due during which answers are still completed
)

// ShutdownPlan is the schedule of a graceful shutdown, in seconds from the signal.
type ShutdownPlan struct {
	AcceptUntil float64 // new connections are accepted until then
	ServeUntil  float64 // requests are accepted on open connections until then
	AnswerBy    float64 // every accepted request is answered by then
	KillAfter   float64 // the process may be killed from then on
	GiveUpAt    float64 // whatever is left is abandoned: only answers that clients do not read
}

// PlanShutdown returns the schedule for the longest request timeout. Other routers may not know of the shutdown yet, or
// may not exist: clients are served for as long as each request can still be answered before the kill.
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
