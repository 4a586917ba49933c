package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/loadshed"
)

// memoryBudget counts the bytes that connections and messages hold, against a budget. It is approximate by what the runtime adds, which
// the operators' page says how to allow for.
type memoryBudget struct {
	limitBytes int64 // 0: none
	usedBytes   atomic.Int64
	peakBytes   atomic.Int64
	readsPaused atomic.Uint64 // readings that waited for room

	mu    sync.Mutex
	available chan struct{} // closed when there is room again
}

const (
	connOverheadBytes = 12 << 10 // a connection's buffers and stack
)

func (m *memoryBudget) add(n int) {
	now := m.usedBytes.Add(int64(n))
	for {
		p := m.peakBytes.Load()
		if now <= p || m.peakBytes.CompareAndSwap(p, now) {
			break
		}
	}
	if n < 0 && m.limitBytes > 0 && !m.underPressure() {
		m.mu.Lock()
		if m.available != nil {
			close(m.available)
			m.available = nil
		}
		m.mu.Unlock()
	}
}

// usedShare is how much of the budget is used.
func (m *memoryBudget) usedShare() float64 {
	if m.limitBytes <= 0 {
		return 0
	}
	return float64(m.usedBytes.Load()) / float64(m.limitBytes)
}

func (m *memoryBudget) underPressure() bool { return loadshed.ReadPauseSeconds(m.usedShare()) > 0 }

// exceededBy tells whether there is no room for so much more.
func (m *memoryBudget) exceededBy(n int) bool { return m.limitBytes > 0 && m.usedBytes.Load()+int64(n) > m.limitBytes }

// beginPause counts a reader that is held up while the budget is tight, and says for how long at most, s; 0: it is not.
func (m *memoryBudget) beginPause() float64 {
	most := loadshed.ReadPauseSeconds(m.usedShare())
	if most > 0 {
		m.readsPaused.Add(1)
	}
	return most
}

// waitAvailable holds up a reader while the budget is tight: its client's bytes stay in the kernel, and its client's kernel stops sending.
func (m *memoryBudget) waitAvailable(stop <-chan struct{}) {
	most := m.beginPause()
	if most == 0 {
		return
	}
	m.mu.Lock()
	if m.available == nil {
		m.available = make(chan struct{})
	}
	freed := m.available
	m.mu.Unlock()
	if !m.underPressure() { // room came meanwhile, and nobody else may close it
		return
	}
	t := time.NewTimer(secondsToDuration(most))
	defer t.Stop()
	select {
	case <-freed:
	case <-stop:
	case <-t.C:
	}
}
