package loadshed

// Shares of the memory for messages, and what follows when they are used.
const (
	pressureMemoryShare = 0.5     // share in use above which a client is limited to its fair share
	sharedMemoryShare   = 0.65    // share that is divided fairly under pressure
	requestMemoryShare  = 0.75    // share that requests may use; the rest is for answers to them
	fairShareDivisor    = 8       // a client's fair share is what is free of the divided memory, divided by this
	smallClientBytes    = 3 << 10 // a client that holds no more than this is not limited to its fair share

	pressureReadSeconds = 0.25 // time to receive a complete request under pressure
)

// MaxReadPauseSeconds is the maximum time for which a client above its fair share waits for memory; its request may then
// be rejected.
const MaxReadPauseSeconds = 0.25

// RequestBytes is the memory of a request apart from the bytes of its message: its state, its attempts and its place in
// the queues.
const RequestBytes = 2 << 10

// MessageMemory is the use of the memory for messages: requests until they have ended, and answers until the kernel has
// accepted them. A limit of 0 means that there is none.
type MessageMemory struct {
	LimitBytes int64
	UsedBytes  int64
}

// UnderPressure reports whether so much memory is in use that each client is limited to its fair share.
func (m MessageMemory) UnderPressure() bool {
	return m.LimitBytes > 0 && float64(m.UsedBytes) > pressureMemoryShare*float64(m.LimitBytes)
}

// AllowsRequest reports whether a client that holds clientBytes may hold moreBytes for a request. Under pressure, the
// fair share shrinks with the free memory, and a part of the memory is left to clients that hold little: they can send
// small requests however many others hold as much as they can get.
func (m MessageMemory) AllowsRequest(clientBytes, moreBytes int64) bool {
	if m.LimitBytes <= 0 {
		return true
	}
	after := MessageMemory{m.LimitBytes, m.UsedBytes + moreBytes}
	switch {
	case !after.UnderPressure():
		return true
	case clientBytes+moreBytes <= smallClientBytes:
		return float64(after.UsedBytes) <= requestMemoryShare*float64(m.LimitBytes)
	}
	return float64(clientBytes+moreBytes) <= m.fairShareBytes()
}

// AllowsAnswer reports whether moreBytes may be held for an endpoint's answer. Answers may use the whole limit, since
// the request that each of them ends holds memory too.
func (m MessageMemory) AllowsAnswer(moreBytes int64) bool {
	return m.LimitBytes <= 0 || m.UsedBytes+moreBytes <= m.LimitBytes
}

// PauseSeconds returns the maximum time for which a client that holds clientBytes must not send another request; 0: it
// may send one now.
func (m MessageMemory) PauseSeconds(clientBytes int64) float64 {
	if m.UnderPressure() && clientBytes >= smallClientBytes && float64(clientBytes) >= m.fairShareBytes() {
		return MaxReadPauseSeconds
	}
	return 0
}

// fairShareBytes returns the bytes that a client may hold under pressure.
func (m MessageMemory) fairShareBytes() float64 {
	return max(0, sharedMemoryShare*float64(m.LimitBytes)-float64(m.UsedBytes)) / fairShareDivisor
}

// ReadOverdue reports whether a request that has been arriving for readingSeconds must be given up under pressure,
// because it holds memory.
func ReadOverdue(readingSeconds float64) bool { return readingSeconds > pressureReadSeconds }
