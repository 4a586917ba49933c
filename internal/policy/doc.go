// Package policy is the decision core of a router and of a controller: a state machine without I/O, clock or goroutine. It decides
// where a request goes, what follows the outcome of an attempt, and how to vote on a release.
//
// A caller makes one Balancer (New), tells it what it learns and asks three things:
//
//   - Pick: where to send a request now, whether to hold it, or its final answer;
//   - OnAttemptDone: what to do after an attempt ended;
//   - TickRouter or TickController: the periodic work, and how long to wait until the next.
//
// What it learns: configurations (SetConfig), the endpoint list (BeginEndpointList, UpdateEndpoint, EndEndpointList, EndpointListFailed,
// SetEndpointListAge), releases (ApplyRelease, RestoreRelease), votes (OnVoteReply, RestoreVote), wrong answers that clients report
// (ReportWrongAnswer), evidence from metrics (SetMetricsEvidence, SetHealthMarks), and how late the caller itself may be (SetOwnDelay). What
// it tells: LocalEvidence and CurrentVote.
//
// A router that has a controller calls Pick, OnAttemptDone and TickRouter, and learns what its controller decided by ApplyAssignment; the
// controller calls TickController, and learns what its routers counted by ApplyReport and DropReport. A router without a controller
// calls TickController itself.
//
// Calls must be serialized by the caller; none of them blocks. Equal sequences of calls give equal answers: random choices are drawn from
// the seed. All instants are seconds on one clock of the caller that never goes back; all durations are seconds.
package policy
