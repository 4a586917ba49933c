package simadapter

import (
	"container/heap"
	"fmt"

	"flintspread/internal/policy"
)

// instance is one router in the simulator: a policy, its open requests and its timers.
type instance struct {
	id         uint32
	now        float64 // clock of the frame being handled
	balancer   *policy.Balancer
	classCount int
	requests   map[uint32]*policy.Request // by the simulator's ID; kept until completed and no attempt is in flight
	actions    *actionFrame               // receives the instance's actions

	picks         pickQueue
	pickSequence  uint64
	pickTimerAt   float64 // when the pick timer fires; 0: not set
	pickTimerMark uint64  // mark of the pick timer
}

// tickTimerMark is the mark of the timer for the policy's ticks. Marks of pick timers start at 1.
const tickTimerMark = 0

// timerTolerance is how early a timer may fire, in seconds: times are rounded when converted to milliseconds and back.
const timerTolerance = 1e-9

// updateEndpoints passes the endpoints of a table to the policy, as the full list or as changes. The simulator numbers zones
// and cells from 0, which means none to the policy.
func (i *instance) updateEndpoints(table []byte, full bool) error {
	i.balancer.BeginEndpointList(full)
	for ; len(table) > 0; table = table[endpointBytes:] {
		entry := readEndpointEntry(record(table))
		state, ok := endpointState(entry.stateCode)
		if !ok {
			return fmt.Errorf("unknown endpoint state %d", entry.stateCode)
		}
		i.balancer.UpdateEndpoint(entry.id, entry.zone+1, entry.cell+1, entry.build, state, entry.weight, entry.startedAt)
	}
	i.balancer.EndEndpointList(i.now)
	return nil
}

// onRequest handles a new request and picks an endpoint for it.
func (i *instance) onRequest(event requestEvent) error {
	if event.class >= i.classCount {
		return fmt.Errorf("request class %d, want 0 to %d", event.class, i.classCount-1)
	}
	request := &policy.Request{
		ID:          event.id,
		Class:       event.class,
		Key:         event.key,
		ReceivedAt:  i.now,
		Deadline:    i.now + event.timeoutSeconds,
		Work:        event.workSeconds,
		ClientRetry: event.clientRetry,
	}
	i.requests[request.ID] = request
	i.pick(request)
	i.setPickTimer()
	return nil
}

// onAttemptDone handles the outcome of an attempt. It ignores an attempt that is no longer in flight.
func (i *instance) onAttemptDone(event attemptDoneEvent) error {
	if event.outcomeCode >= len(attemptOutcomes) {
		return fmt.Errorf("unknown attempt outcome %d", event.outcomeCode)
	}
	request := i.requests[event.requestID]
	if request == nil || event.attempt >= len(request.Attempts) || !request.Attempts[event.attempt].InFlight {
		return nil
	}
	request.Completed = request.Completed || event.requestEnded
	i.execute(request, i.balancer.OnAttemptDone(i.now, request, event.attempt, attemptOutcomes[event.outcomeCode], event.latencySeconds))
	i.setPickTimer()
	return nil
}

func (i *instance) onStreaming(requestID uint32) {
	if request := i.requests[requestID]; request != nil {
		request.Streaming = true
	}
}

func (i *instance) onClientGone(requestID uint32) {
	if request := i.requests[requestID]; request != nil {
		request.Completed = true
		i.pick(request)
	}
}

func (i *instance) onRelease(event releaseEvent) error {
	if event.phase > uint8(policy.PhaseWithdrawn) {
		return fmt.Errorf("unknown release phase %d", event.phase)
	}
	if event.isVoteReply {
		i.balancer.OnVoteReply(i.now, voteReply(event.status))
	}
	if event.status == statusOK {
		i.balancer.ApplyRelease(i.now, event.build, event.stage, policy.Phase(event.phase), event.canaryLimit, event.ageSeconds)
	}
	return nil
}

// onTimer handles a timer that fired. It ignores a pick timer that was replaced by an earlier one.
func (i *instance) onTimer(mark uint64) {
	switch {
	case mark == tickTimerMark:
		i.tick()
	case mark == i.pickTimerMark && i.pickTimerAt != 0:
		i.pickTimerAt = 0
		i.pickDue()
	}
}

// pickDue picks again for the requests that are due. The picks that it schedules wait for the next timer.
func (i *instance) pickDue() {
	for remaining := len(i.picks); remaining > 0 && i.picks.isDue(i.now); remaining-- {
		request := heap.Pop(&i.picks).(scheduledPick).request
		if !request.Completed {
			i.pick(request)
		}
	}
}

// tick runs the policy's periodic work and sets its next timer.
func (i *instance) tick() {
	tick := i.balancer.TickAndVote(i.now)
	if tick.SubscribeToEndpoints {
		i.actions.subscribe(i.id)
	}
	if tick.CastVote {
		i.actions.vote(i.id, tick.Build, tick.Stage, tick.Verdict)
	}
	i.actions.setTimer(i.id, tick.NextTickSeconds, tickTimerMark)
}

// pick asks the policy for a decision on a request and executes it.
func (i *instance) pick(request *policy.Request) {
	i.execute(request, i.balancer.Pick(i.now, request))
}

// execute writes the policy's decision on a request as actions, and updates the request.
func (i *instance) execute(request *policy.Request, decision policy.Decision) {
	switch decision.Action {
	case policy.Send:
		i.actions.send(i.id, request.ID, decision.Endpoint, decision.AttemptDeadline)
	case policy.Reject:
		i.actions.reject(i.id, request.ID, decision.RetryAfterSeconds)
		request.Completed = true
	case policy.Fail:
		i.actions.fail(i.id, request.ID)
		request.Completed = true
	}
	if decision.PickAgainAt > 0 && decision.PickAgainAt < request.Deadline && !request.Completed {
		i.schedulePick(request, decision.PickAgainAt)
	}
	if decision.CancelInFlight {
		i.cancelInFlight(request)
	}
	if request.Completed && !hasInFlight(request) {
		delete(i.requests, request.ID)
	}
}

func (i *instance) cancelInFlight(request *policy.Request) {
	for number, attempt := range request.Attempts {
		if attempt.InFlight {
			i.actions.cancel(i.id, request.ID, number)
		}
	}
}

func hasInFlight(request *policy.Request) bool {
	for _, attempt := range request.Attempts {
		if attempt.InFlight {
			return true
		}
	}
	return false
}
