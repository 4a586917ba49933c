package simadapter

import (
	"container/heap"
	"fmt"

	"flintspread/internal/policy"
)

// instance is one router in the simulator: a policy with its requests in flight and its timers.
type instance struct {
	id         uint32
	now        float64 // of the frame that is handled
	balancer   *policy.Balancer
	classCount int
	requests   map[uint32]*policy.Request // by the simulator's number, until nothing of them is in flight
	actions    *actionFrame               // where its actions go

	picks        pickQueue
	pickSequence uint64
	pickTimerAt  float64 // when the pick timer that is set fires, 0: none is set
	pickTimer    uint64  // its mark
}

// controllerTimer is the mark of the timer of the controller's tick. Pick timers are marked by numbers from 1.
const controllerTimer = 0

// timerTolerance is how early a timer may come, in seconds: its time goes to the simulator and back in milliseconds.
const timerTolerance = 1e-9

// updateEndpoint passes one endpoint of a table to the policy.
func (i *instance) updateEndpoint(entry record) error {
	code := entry.u8(14)
	state, ok := endpointState(code)
	if !ok {
		return fmt.Errorf("unknown endpoint state %d", code)
	}
	id, zone, cell := entry.u32(0), entry.u16(4), entry.u16(12)
	build, weight, startedAt := int(entry.f32(8)), entry.f32(15), entry.seconds(19)
	i.balancer.UpdateEndpoint(id, zone, cell, build, state, weight, startedAt)
	return nil
}

// onRequest takes a new request and picks for it.
func (i *instance) onRequest(event record) error {
	class, flags := int(event.u8(17)), event.u8(26)
	if class >= i.classCount {
		return fmt.Errorf("unknown class %d", class)
	}
	request := &policy.Request{
		ID:          event.u32(5),
		Class:       class,
		Key:         event.u64(18),
		ReceivedAt:  i.now,
		Deadline:    i.now + event.seconds(9),
		ClientRetry: flags&flagClientRetry != 0,
	}
	if flags&flagWorkKnown != 0 {
		request.Work = event.seconds(31)
	}
	i.requests[request.ID] = request
	i.pick(request)
	i.setPickTimer()
	return nil
}

// onAttemptDone takes the outcome of an attempt. One that is not in flight any more is ignored.
func (i *instance) onAttemptDone(event record) error {
	code := int(event.u16(15))
	if code >= len(attemptOutcomes) {
		return fmt.Errorf("unknown outcome %d", code)
	}
	request, number := i.requests[event.u32(5)], int(event.u16(9))
	if request == nil || number >= len(request.Attempts) || !request.Attempts[number].InFlight {
		return nil
	}
	attempt, done := &request.Attempts[number], attemptOutcomes[code]
	attempt.InFlight, attempt.MayHaveRun = false, done.mayHaveRun
	requestEnded := event.u8(25) != 0
	request.Completed = request.Completed || requestEnded
	i.execute(request, i.balancer.OnAttemptDone(i.now, request, attempt.Endpoint, done.outcome, event.seconds(17)))
	i.setPickTimer()
	return nil
}

func (i *instance) onStreaming(event record) {
	if request := i.requests[event.u32(5)]; request != nil {
		request.Streaming = true
	}
}

func (i *instance) onClientGone(event record) {
	if request := i.requests[event.u32(5)]; request != nil {
		request.Completed = true
		i.pick(request)
	}
}

func (i *instance) onWrongAnswer(event record) {
	endpoint, ageSeconds := event.u32(5), event.seconds(10)
	i.balancer.ReportWrongAnswer(i.now, endpoint, ageSeconds)
}

// onRelease takes a release update, which comes by itself or in the reply to a vote.
func (i *instance) onRelease(event record) error {
	phase := event.u8(8)
	if phase > uint8(policy.PhaseWithdrawn) {
		return fmt.Errorf("unknown phase %d", phase)
	}
	isVoteReply, status := event.u8(9) == 1, event.u16(10)
	if isVoteReply {
		i.balancer.OnVoteReply(i.now, voteReply(status))
	}
	if status == statusOK {
		build, stage, canaryLimit, ageSeconds := int(event.u16(5)), int(event.u8(7)), event.f32(12), event.seconds(16)
		i.balancer.ApplyRelease(i.now, build, stage, policy.Phase(phase), canaryLimit, ageSeconds)
	}
	return nil
}

func (i *instance) onTimer(event record) {
	mark := event.u64(5)
	if mark == controllerTimer {
		i.tickController()
		return
	}
	replaced := mark != i.pickTimer || i.pickTimerAt == 0 // by a timer that was to fire earlier
	if replaced {
		return
	}
	i.pickTimerAt = 0
	i.pickDue()
}

// pickDue picks again for the requests whose time has come. What a pick puts back into the queue waits for the next timer.
func (i *instance) pickDue() {
	for left := len(i.picks); left > 0 && i.picks.isDue(i.now); left-- {
		request := heap.Pop(&i.picks).(scheduledPick).request
		if !request.Completed {
			i.pick(request)
		}
	}
}

// tickController runs the policy's periodic work and sets its next timer.
func (i *instance) tickController() {
	tick := i.balancer.TickController(i.now)
	if tick.SubscribeToEndpoints {
		i.actions.add(actionSubscribe, i.id)[5] = 1
	}
	if tick.CastVote {
		vote := i.actions.add(actionVote, i.id)
		vote.putU16(5, uint16(tick.Build))
		vote[7], vote[8] = uint8(tick.Stage), uint8(tick.Verdict)
	}
	i.setTimer(tick.NextTickSeconds, controllerTimer)
}

func (i *instance) setTimer(seconds float64, mark uint64) {
	timer := i.actions.add(actionSetTimer, i.id)
	timer.putSeconds(5, seconds)
	timer.putU64(13, mark)
}

// pick asks the policy what to do with a request now.
func (i *instance) pick(request *policy.Request) {
	i.execute(request, i.balancer.Pick(i.now, request))
}

// execute writes what the policy decided on a request as actions.
func (i *instance) execute(request *policy.Request, decision policy.Decision) {
	switch decision.Action {
	case policy.Send:
		i.send(request, decision)
	case policy.Reject:
		reject := i.actions.add(actionReject, i.id)
		reject.putU32(5, request.ID)
		reject.putSeconds(9, decision.RetryAfterSeconds)
		request.Completed = true
	case policy.Fail:
		i.actions.add(actionFail, i.id).putU32(5, request.ID)
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

func (i *instance) send(request *policy.Request, decision policy.Decision) {
	send := i.actions.add(actionSend, i.id)
	send.putU32(5, request.ID)
	send.putU32(9, decision.Endpoint)
	send.putSeconds(13, decision.AttemptDeadline)
	request.Attempts = append(request.Attempts, policy.Attempt{Endpoint: decision.Endpoint, StartedAt: i.now, InFlight: true})
}

func (i *instance) cancelInFlight(request *policy.Request) {
	for number, attempt := range request.Attempts {
		if attempt.InFlight {
			cancel := i.actions.add(actionCancel, i.id)
			cancel.putU32(5, request.ID)
			cancel.putU16(9, uint16(number))
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
