package simadapter

import (
	"container/heap"

	"flintspread/internal/policy"
)

// scheduledPick is a time at which to pick again for a request.
type scheduledPick struct {
	at       float64
	sequence uint64 // picks of the same time are ordered by it, in the order in which they were scheduled
	request  *policy.Request
}

// pickQueue is a heap of scheduled picks, earliest first.
type pickQueue []scheduledPick

// Len implements heap.Interface.
func (q pickQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q pickQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q pickQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *pickQueue) Push(x any) { *q = append(*q, x.(scheduledPick)) }

// Pop implements heap.Interface.
func (q *pickQueue) Pop() any {
	last := len(*q) - 1
	pick := (*q)[last]
	*q = (*q)[:last]
	return pick
}

// isDue reports whether the earliest pick is due.
func (q pickQueue) isDue(now float64) bool { return len(q) > 0 && q[0].at <= now+timerTolerance }

func (i *instance) schedulePick(request *policy.Request, at float64) {
	i.pickSequence++
	heap.Push(&i.picks, scheduledPick{at: at, sequence: i.pickSequence, request: request})
}

// setPickTimer sets a timer for the earliest pick, unless a timer for that time or earlier is already set.
func (i *instance) setPickTimer() {
	for len(i.picks) > 0 && i.picks[0].request.Completed {
		heap.Pop(&i.picks)
	}
	if len(i.picks) == 0 || i.pickTimerAt > 0 && i.pickTimerAt <= i.picks[0].at {
		return
	}
	i.pickTimerAt = i.picks[0].at
	i.pickTimerMark++
	i.actions.setTimer(i.id, max(0, i.pickTimerAt-i.now), i.pickTimerMark)
}
