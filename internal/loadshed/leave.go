package loadshed

const (
	comeOn     = 0.7 // s from the signal in which new connections may go on coming, with room
	stopAfter  = 0.7 // s after the longest command timeout, counted from the signal, at which a relay may be killed
	mostWait   = 3.0 // s that such a timeout counts for at most
	lastLook   = 0.6 // s before that, at which it ends its clients' connections
	lastAnswer = 0.3 // s before that, by which all that it takes meanwhile is answered
	overtime   = 3.0 // s after that, in which a kill that comes late finds it still finishing what it owes
)

// ShutdownPlan is when a relay that was told to stop does what, s from the signal.
type ShutdownPlan struct {
	AcceptUntil float64 // it takes new connections until then
	ServeUntil  float64 // and new commands on those that there are
	AnswerBy    float64 // all that it took is answered
	KillAfter   float64 // it may be killed from then on
	GiveUpAt    float64 // it gives up what is left: answers that are not taken, for all else has ended
}

// PlanShutdown plans a stop by the longest command timeout: as long as others may not know, or may not be there, clients are served, with
// time enough left to answer each before the kill.
func PlanShutdown(longest float64) ShutdownPlan {
	kill := min(longest, mostWait) + stopAfter
	return ShutdownPlan{comeOn, kill - lastLook, kill - lastAnswer, kill, kill + overtime}
}
