package simadapter

import "flintspread/internal/policy"

// Codes of the records from the simulator. Codes marked as ignored are valid but have no handler.
const (
	eventStart         = 16 // of an instance, with its settings
	eventEndpointList  = 17
	eventRequest       = 18
	eventStreaming     = 19 // the response to a request has begun
	eventAttemptDone   = 20
	eventClientGone    = 21
	eventTimer         = 22
	eventChecked       = 23 // ignored
	eventPeerData      = 24 // ignored
	eventStop          = 25 // of an instance
	eventRelease       = 26 // a release update, or the reply to a vote
	eventMetrics       = 27 // ignored
	eventWrongAnswer   = 28
	eventEndpointTable = 29 // endpoints that later records refer to

	firstEvent, lastEvent = eventStart, eventEndpointTable
)

// Codes of the records to the simulator.
const (
	actionReject    = 81
	actionVote      = 83
	actionSend      = 85
	actionFail      = 88
	actionCancel    = 89
	actionSubscribe = 91
	actionSetTimer  = 92
)

// Kinds of an endpoint list; 1 and 2 are full lists.
const (
	listChanges  = 0
	listFailed   = 3
	lastListKind = listFailed
)

// endpointState returns the endpoint state for a code; ok is false if the code is unknown.
func endpointState(code uint8) (state policy.EndpointState, ok bool) {
	switch code {
	case 0:
		return policy.Ready, true
	case 1:
		return policy.Draining, true
	case 3:
		return policy.Gone, true
	}
	return 0, false
}

// attemptOutcomes holds, by code, the outcome of an attempt.
var attemptOutcomes = [...]policy.Outcome{
	policy.ServerError,
	policy.Succeeded,
	policy.Overloaded,
	policy.TimedOut,
	policy.NotConnected,
	policy.ConnectionLost,
	policy.Cancelled,
	policy.NotSent,
}

// statusOK is the status of a release event that contains a release state.
const statusOK = 1

// voteReply converts the status of a vote reply to the policy's type.
func voteReply(status uint16) policy.VoteReply {
	const (
		timedOut        = 3
		conditionFailed = 7
	)
	switch status {
	case statusOK:
		return policy.VoteCounted
	case conditionFailed:
		return policy.VoteMoot
	case timedOut:
		return policy.VoteUnknown
	}
	return policy.VoteRefused
}
