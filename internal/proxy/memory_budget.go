package proxy

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"flintspread/internal/loadshed"
)

const (
	// connOverheadBytes is the memory of a connection apart from its messages: its buffers and its goroutine's stack.
	connOverheadBytes = loadshed.ConnBytes

	// requestOverheadBytes is the memory of a request apart from the bytes of its message.
	requestOverheadBytes = loadshed.RequestBytes

	// defaultConnMemoryShare is the share of the budget that connections may use if the settings do not tell.
	defaultConnMemoryShare = 0.5
)

// errMemoryRefused is the error of reading a message for which there is no memory.
var errMemoryRefused = errors.New("no memory for the message")

// memoryBudget counts the bytes held by connections and by messages against a limit each. The runtime's own overhead is
// not counted; docs/overload.md says how to allow for it. It is safe for concurrent use.
type memoryBudget struct {
	connLimitBytes    int64 // 0: no limit
	messageLimitBytes int64 // 0: no limit
	connBytes         atomic.Int64
	messageBytes      atomic.Int64
	peakBytes         atomic.Int64
	readsPaused       atomic.Uint64 // reads that waited for memory

	mu        sync.Mutex
	available chan struct{} // closed and set to nil when message memory is released; nil: no reader waits
}

// setLimits sets the limit on the bytes of connections and messages together, 0 for none, and the part of it that is for
// connections, 0 for the default. It must be called before the budget is used.
func (m *memoryBudget) setLimits(bytes, connBytes int64) {
	if connBytes == 0 {
		connBytes = int64(defaultConnMemoryShare * float64(bytes))
	}
	m.connLimitBytes, m.messageLimitBytes = connBytes, bytes-connBytes
}

// messages returns the present use of the memory for messages.
func (m *memoryBudget) messages() loadshed.MessageMemory {
	return loadshed.MessageMemory{LimitBytes: m.messageLimitBytes, UsedBytes: m.messageBytes.Load()}
}

// usedBytes returns the bytes of connections and messages.
func (m *memoryBudget) usedBytes() int64 { return m.connBytes.Load() + m.messageBytes.Load() }

// usedShare returns the used share of the message memory, or 0 without a limit.
func (m *memoryBudget) usedShare() float64 {
	if m.messageLimitBytes <= 0 {
		return 0
	}
	return float64(m.messageBytes.Load()) / float64(m.messageLimitBytes)
}

// addConn counts one more connection.
func (m *memoryBudget) addConn() {
	m.connBytes.Add(connOverheadBytes)
	m.notePeak()
}

// removeConn ends the count of a connection.
func (m *memoryBudget) removeConn() { m.connBytes.Add(-connOverheadBytes) }

// allowsConn reports whether there is memory for one more connection.
func (m *memoryBudget) allowsConn() bool {
	return m.connLimitBytes <= 0 || m.connBytes.Load()+connOverheadBytes <= m.connLimitBytes
}

// connsOverCapacity reports whether connections exceed their memory by more than those that are about to close may.
func (m *memoryBudget) connsOverCapacity() bool {
	return m.connLimitBytes > 0 && loadshed.OverCapacity(int(m.connBytes.Load()/connOverheadBytes), int(m.connLimitBytes/connOverheadBytes))
}

// tryAddMessage counts n more bytes of messages if allows agrees, and reports whether it did.
func (m *memoryBudget) tryAddMessage(n int64, allows func(loadshed.MessageMemory) bool) bool {
	for {
		memory := m.messages()
		if !allows(memory) {
			return false
		}
		if m.messageBytes.CompareAndSwap(memory.UsedBytes, memory.UsedBytes+n) {
			m.notePeak()
			return true
		}
	}
}

// addMessage counts n more bytes of messages, even above the limit.
func (m *memoryBudget) addMessage(n int64) {
	m.messageBytes.Add(n)
	m.notePeak()
}

// removeMessage ends the count of n bytes of messages and wakes waiting readers.
func (m *memoryBudget) removeMessage(n int64) {
	m.messageBytes.Add(-n)
	if m.messageLimitBytes > 0 {
		m.wakeWaiting()
	}
}

func (m *memoryBudget) notePeak() {
	used := m.usedBytes()
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

func (m *memoryBudget) availableChan() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.available == nil {
		m.available = make(chan struct{})
	}
	return m.available
}

// memoryAccount counts the bytes of messages that are held on behalf of one client connection. It is safe for concurrent
// use.
type memoryAccount struct {
	budget    *memoryBudget
	heldBytes atomic.Int64
}

// tryHoldRequest counts n more bytes of a request, unless the client may not hold them.
func (a *memoryAccount) tryHoldRequest(n int) bool {
	more := int64(n)
	ok := a.budget.tryAddMessage(more, func(memory loadshed.MessageMemory) bool {
		return memory.AllowsRequest(a.heldBytes.Load(), more)
	})
	if ok {
		a.heldBytes.Add(more)
	}
	return ok
}

// tryHoldAnswer counts n more bytes of an answer from an endpoint, unless they would exceed the limit.
func (a *memoryAccount) tryHoldAnswer(n int) bool {
	more := int64(n)
	ok := a.budget.tryAddMessage(more, func(memory loadshed.MessageMemory) bool { return memory.AllowsAnswer(more) })
	if ok {
		a.heldBytes.Add(more)
	}
	return ok
}

// hold counts n more bytes, even above the limit: they are held already.
func (a *memoryAccount) hold(n int) {
	a.heldBytes.Add(int64(n))
	a.budget.addMessage(int64(n))
}

// release ends the count of n bytes.
func (a *memoryAccount) release(n int) {
	if n == 0 {
		return
	}
	a.heldBytes.Add(-int64(n))
	a.budget.removeMessage(int64(n))
}

// pauseSeconds returns the maximum time for which the client must not send another request; 0: it may send one now.
func (a *memoryAccount) pauseSeconds() float64 {
	return a.budget.messages().PauseSeconds(a.heldBytes.Load())
}

// beginPause is like pauseSeconds, and counts the pause in readsPaused.
func (a *memoryAccount) beginPause() float64 {
	seconds := a.pauseSeconds()
	if seconds > 0 {
		a.budget.readsPaused.Add(1)
	}
	return seconds
}

// waitToHoldRequest is like tryHoldRequest, but blocks for up to loadshed.MaxReadPauseSeconds while the client may not hold
// the bytes, or until stop is closed. The client's bytes stay in the kernel meanwhile, so that TCP flow control slows the
// client down.
func (a *memoryAccount) waitToHoldRequest(n int, stop <-chan struct{}) bool {
	if a.tryHoldRequest(n) {
		return true
	}
	a.budget.readsPaused.Add(1)
	timer := time.NewTimer(secondsToDuration(loadshed.MaxReadPauseSeconds))
	defer timer.Stop()
	for {
		available := a.budget.availableChan()
		if a.tryHoldRequest(n) { // memory that was released before availableChan does not close the channel
			return true
		}
		select {
		case <-available:
		case <-stop:
			return false
		case <-timer.C:
			return a.tryHoldRequest(n)
		}
	}
}

// memoryHold is a part of an account's bytes that is released as one. It is not safe for concurrent use.
type memoryHold struct {
	account *memoryAccount
	bytes   int
}

// tryGrowRequest adds n bytes for a request, unless the client may not hold them.
func (h *memoryHold) tryGrowRequest(n int) bool {
	if !h.account.tryHoldRequest(n) {
		return false
	}
	h.bytes += n
	return true
}

// tryGrowAnswer adds n bytes for an answer, unless they would exceed the limit.
func (h *memoryHold) tryGrowAnswer(n int) bool {
	if !h.account.tryHoldAnswer(n) {
		return false
	}
	h.bytes += n
	return true
}

// adopt adds n bytes that the account holds already, and returns true.
func (h *memoryHold) adopt(n int) bool {
	h.bytes += n
	return true
}

// move returns the hold and leaves an empty one of the same account in its place.
func (h *memoryHold) move() memoryHold {
	moved := *h
	h.bytes = 0
	return moved
}

// resize sets the bytes to n, even above the limit: they are held already.
func (h *memoryHold) resize(n int) {
	if n > h.bytes {
		h.account.hold(n - h.bytes)
	} else {
		h.account.release(h.bytes - n)
	}
	h.bytes = n
}

// release ends the count of the bytes. It may be called more than once.
func (h *memoryHold) release() {
	if h.account != nil {
		h.account.release(h.bytes)
	}
	h.bytes = 0
}
