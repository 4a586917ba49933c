// Package policy is the decision core of a router and of a controller: a state machine without I/O, clock or goroutine.
// It decides where a request is sent, what follows the outcome of an attempt, and how to vote on a release.
//
// A caller creates one Balancer with New, passes its inputs as they arrive, and asks for three kinds of decision:
//
//   - Pick: where to send a request now, whether to hold it, or its final answer;
//   - OnAttemptDone: what to do after an attempt has ended;
//   - Tick or TickAndVote: the periodic work, without or with votes, and the time until the next tick.
//
// Its inputs are configurations (SetConfig), the endpoint list (BeginEndpointList, UpdateEndpoint, EndEndpointList,
// EndpointListFailed, SetEndpointListAge), releases (ApplyRelease, RestoreRelease), votes (OnVoteReply, RestoreVote),
// wrong answers reported by clients (ReportWrongAnswer), evidence from metrics (SetMetricsEvidence, SetHealthMarks),
// and the delay with which the caller processes its input (SetProcessingDelay). LocalEvidence and CurrentVote expose
// its state.
//
// A router that has a controller calls Pick, OnAttemptDone and Tick, and receives the controller's decisions
// through ApplyAssignment. The controller calls TickAndVote, and receives the routers' counts through ApplyReport
// and DropReport. A router without a controller calls TickAndVote itself.
//
// The caller must serialize all calls; none of them blocks. Equal sequences of calls return equal results: random
// choices are drawn from the seed. All instants are seconds on one monotonic clock of the caller; all durations are
// seconds.
package policy
