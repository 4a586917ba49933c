package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/loadshed"
)

// connOverheadBytes is the memory of a connection apart from its messages: its buffers and its goroutine's stack.
const connOverheadBytes = 12 << 10

// memoryBudget counts the bytes held by connections and messages against a limit. The runtime's own overhead is not
// counted; docs/overload.md says how to allow for it. It is safe for concurrent use.
type memoryBudget struct {
	limitBytes  int64 // 0: no limit
	usedBytes   atomic.Int64
	peakBytes   atomic.Int64
	readsPaused atomic.Uint64 // reads that waited for memory

	mu        sync.Mutex
	available chan struct{} // closed and set to nil when pressure ends; nil: no reader waits
}

// add counts n more bytes. A negative n releases bytes and may wake waiting readers.
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

// usedShare returns the used share of the budget, or 0 without a limit.
func (m *memoryBudget) usedShare() float64 {
	if m.limitBytes <= 0 {
		return 0
	}
	return float64(m.usedBytes.Load()) / float64(m.limitBytes)
}

// underPressure reports whether so much of the budget is used that readers must pause.
func (m *memoryBudget) underPressure() bool { return loadshed.ReadPauseSeconds(m.usedShare()) > 0 }

// wouldExceed reports whether n more bytes would exceed the budget.
func (m *memoryBudget) wouldExceed(n int) bool {
	return m.limitBytes > 0 && m.usedBytes.Load()+int64(n) > m.limitBytes
}

// beginPause returns a reader's maximum pause in seconds, 0 if it need not pause. It counts the pause in readsPaused.
func (m *memoryBudget) beginPause() float64 {
	seconds := loadshed.ReadPauseSeconds(m.usedShare())
	if seconds > 0 {
		m.readsPaused.Add(1)
	}
	return seconds
}

// waitAvailable blocks a reader while the budget is under pressure, for a bounded time. The client's bytes stay in the
// kernel, so that TCP flow control slows the client down. It returns early when stop is closed.
func (m *memoryBudget) waitAvailable(stop <-chan struct{}) {
	seconds := m.beginPause()
	if seconds == 0 {
		return
	}
	available := m.availableChan()
	if !m.underPressure() { // memory was released meanwhile; the channel may never be closed
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
