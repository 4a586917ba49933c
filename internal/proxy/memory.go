package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/loadshed"
)

// memory counts the bytes that connections and messages hold, against a budget. It is approximate by what the runtime adds, which
// the operators' page says how to allow for.
type memory struct {
	budget int64 // 0: none
	used   atomic.Int64
	peak   atomic.Int64
	paused atomic.Uint64 // readings that waited for room

	mu    sync.Mutex
	freed chan struct{} // closed when there is room again
}

const (
	connBytes = 12 << 10 // a connection's buffers and stack
)

func (m *memory) add(n int) {
	now := m.used.Add(int64(n))
	for {
		p := m.peak.Load()
		if now <= p || m.peak.CompareAndSwap(p, now) {
			break
		}
	}
	if n < 0 && m.budget > 0 && !m.tight() {
		m.mu.Lock()
		if m.freed != nil {
			close(m.freed)
			m.freed = nil
		}
		m.mu.Unlock()
	}
}

// share is how much of the budget is used.
func (m *memory) share() float64 {
	if m.budget <= 0 {
		return 0
	}
	return float64(m.used.Load()) / float64(m.budget)
}

func (m *memory) tight() bool { return loadshed.ReadPauseSeconds(m.share()) > 0 }

// full tells whether there is no room for so much more.
func (m *memory) full(n int) bool { return m.budget > 0 && m.used.Load()+int64(n) > m.budget }

// pause counts a reader that is held up while the budget is tight, and says for how long at most, s; 0: it is not.
func (m *memory) pause() float64 {
	most := loadshed.ReadPauseSeconds(m.share())
	if most > 0 {
		m.paused.Add(1)
	}
	return most
}

// wait holds up a reader while the budget is tight: its client's bytes stay in the kernel, and its client's kernel stops sending.
func (m *memory) wait(stop <-chan struct{}) {
	most := m.pause()
	if most == 0 {
		return
	}
	m.mu.Lock()
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	freed := m.freed
	m.mu.Unlock()
	if !m.tight() { // room came meanwhile, and nobody else may close it
		return
	}
	t := time.NewTimer(span(most))
	defer t.Stop()
	select {
	case <-freed:
	case <-stop:
	case <-t.C:
	}
}
