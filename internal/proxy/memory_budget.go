package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/loadshed"
)

// connOverheadBytes is what a connection holds besides messages: its buffers and its goroutine's stack.
const connOverheadBytes = 12 << 10

// memoryBudget counts the bytes that connections and messages hold against a limit. The runtime's own overhead is not
// counted; the operators' page says how to allow for it. Its methods may be called from any goroutine.
type memoryBudget struct {
	limitBytes  int64 // 0: none
	usedBytes   atomic.Int64
	peakBytes   atomic.Int64
	readsPaused atomic.Uint64 // reads that waited for memory

	mu        sync.Mutex
	available chan struct{} // closed, and forgotten, once the budget is not under pressure; nil: nobody waits
}

// add counts n more bytes; negative gives bytes back.
func (m *memoryBudget) add(n int) {
	m.notePeak(m.usedBytes.Add(int64(n)))
	if n < 0 && m.limitBytes > 0 && !m.underPressure() {
		m.wakeWaiting()
	}
}

func (m *memoryBudget) notePeak(used int64) {
	for {
		peak := m.peakBytes.Load()
		if used <= peak || m.peakBytes.CompareAndSwap(peak, used) {
			return
		}
	}
}

func (m *memoryBudget) wakeWaiting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.available != nil {
		close(m.available)
		m.available = nil
	}
}

// usedShare is the used share of the budget, 0 if there is none.
func (m *memoryBudget) usedShare() float64 {
	if m.limitBytes <= 0 {
		return 0
	}
	return float64(m.usedBytes.Load()) / float64(m.limitBytes)
}

// underPressure tells whether so much is used that reading is to pause.
func (m *memoryBudget) underPressure() bool { return loadshed.ReadPauseSeconds(m.usedShare()) > 0 }

// wouldExceed tells whether n more bytes would exceed the budget.
func (m *memoryBudget) wouldExceed(n int) bool {
	return m.limitBytes > 0 && m.usedBytes.Load()+int64(n) > m.limitBytes
}

// beginPause gives the seconds for which a reader is to pause at most, 0: it need not. It counts pauses.
func (m *memoryBudget) beginPause() float64 {
	seconds := loadshed.ReadPauseSeconds(m.usedShare())
	if seconds > 0 {
		m.readsPaused.Add(1)
	}
	return seconds
}

// waitAvailable holds up a reader while the budget is under pressure, for a bounded time: its client's bytes stay in the
// kernel, and its client's kernel stops sending. It ends early when stop is closed.
func (m *memoryBudget) waitAvailable(stop <-chan struct{}) {
	seconds := m.beginPause()
	if seconds == 0 {
		return
	}
	available := m.availableChan()
	if !m.underPressure() { // given back meanwhile, and nobody else may close the channel
		return
	}
	timer := time.NewTimer(secondsToDuration(seconds))
	defer timer.Stop()
	select {
	case <-available:
	case <-stop:
	case <-timer.C:
	}
}

func (m *memoryBudget) availableChan() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.available == nil {
		m.available = make(chan struct{})
	}
	return m.available
}
