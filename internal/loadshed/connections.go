package loadshed

// Shares of a machine's limits. Descriptors that are left over are for the listener, the control services, and connections
// that are just closing; memory that is left over is for all but the heap's objects and the buffers.
const (
	clientDescriptors     = 0.55
	endpointDescriptors   = 0.3
	evictIdleDescriptors  = 1.0 / 6 // held by clients, from which an idle client goes for each that comes
	heapMemory            = 0.6
	bufferMemory          = 0.2
	closingReserveDivisor = 8 // of the client connections, the part that may be open above them while others close,
	minClosingReserve     = 2 // and at least so many
)

const (
	endpointIdleShare    = 0.8       // of the time after which endpoints close an idle connection
	firstRequestSeconds  = 0.3       // after connecting in which a client is about to send its first request
	evictionReadSeconds  = 0.05      // in which a request must have come whole on a connection that is to be evicted
	maxPipelinedAnswers  = 64        // answers pending for a client, from which nothing more is read from it
	maxUnreadAnswerBytes = 256 << 10 // bytes that a client has not read, from which nothing more is read from it
)

// The order of eviction.
const (
	evictSilent  = iota // clients that never sent a request though they had time to
	evictIdle           // idle ones
	evictNew            // those that have just connected
	evictReading        // those whose first request is on its way
)

// ConnReuseDelaySeconds is the time after an endpoint's answer in which its connection is not used again, where answers do not
// name their request: the platform's endpoints may send a second answer some milliseconds late, which would be taken for the
// next request's.
const ConnReuseDelaySeconds = 0.025

// ResourceLimits is how a machine's limits are divided.
type ResourceLimits struct {
	ClientConns           int   // connections of clients
	IdleEvictionThreshold int   // connections of clients, from which idle ones are evicted
	EndpointConns         int   // connections to endpoints
	HeapBytes             int64 // of the heap
	BufferBytes           int64 // of the buffers
}

// SplitLimits divides a machine's descriptors and its memory, in bytes.
func SplitLimits(descriptors int, memory int64) ResourceLimits {
	of := func(share float64) int { return int(share * float64(descriptors)) }
	return ResourceLimits{
		ClientConns:           of(clientDescriptors),
		IdleEvictionThreshold: of(evictIdleDescriptors),
		EndpointConns:         of(endpointDescriptors),
		HeapBytes:             int64(heapMemory * float64(memory)),
		BufferBytes:           int64(bufferMemory * float64(memory)),
	}
}

// OverCapacity tells whether even the reserve for connections that are just closing is used up. Without this bound descriptors
// would run out, and endpoints could not be reached either.
func OverCapacity(connections, limit int) bool {
	return connections >= limit+max(minClosingReserve, limit/closingReserveDivisor)
}

// EndpointIdleSeconds gives how long a connection to an endpoint may stand idle here, where the endpoint closes it after
// closesAfterSeconds: a request written to it as it closes may or may not have run.
func EndpointIdleSeconds(closesAfterSeconds float64) float64 {
	return endpointIdleShare * closesAfterSeconds
}

// ReadTimeoutSeconds gives how long a request may take to come whole on a connection. One that comes on a connection that is
// to be evicted must not hold the place that others wait for.
func ReadTimeoutSeconds(normalSeconds float64, evicting bool) float64 {
	if evicting {
		return min(normalSeconds, evictionReadSeconds)
	}
	return normalSeconds
}

// MayPipeline tells whether a client for which so many answers are pending, and has not read so many bytes of answers, may send further
// requests.
func MayPipeline(answersPending, unreadBytes int) bool {
	return answersPending < maxPipelinedAnswers && unreadBytes < maxUnreadAnswerBytes
}

// ClientConn is what decides whether a client's connection is evicted for another's sake.
type ClientConn struct {
	Busy           bool    // a request of it is being served
	Reading        bool    // a request is on its way
	HasSentRequest bool    // it has sent a request before
	IdleSince      float64 // when it became idle, in seconds on the caller's clock
}

// EvictBefore tells whether a connection is evicted before another: by the order of eviction, among equals the longest idle
// first.
func (c ClientConn) EvictBefore(now float64, other ClientConn) bool {
	if a, b := c.evictionRank(now), other.evictionRank(now); a != b {
		return a < b
	}
	return c.IdleSince < other.IdleSince
}

// Pinned tells whether a connection is never evicted.
func (c ClientConn) Pinned() bool { return c.Busy || c.Reading && c.HasSentRequest }

func (c ClientConn) evictionRank(now float64) int {
	switch {
	case c.Reading:
		return evictReading
	case c.HasSentRequest:
		return evictIdle
	case now-c.IdleSince < firstRequestSeconds:
		return evictNew
	}
	return evictSilent
}
