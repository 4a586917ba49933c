package loadshed

// Shares of a machine's limits. The remaining descriptors are for the listener, the control services, and connections
// that are closing; the remaining memory is for everything except the heap's objects and the buffers.
const (
	clientDescriptors     = 0.55
	endpointDescriptors   = 0.3
	evictIdleDescriptors  = 1.0 / 6 // held by clients; above it, each new client evicts an idle one
	heapMemory            = 0.6
	bufferMemory          = 0.2
	closingReserveDivisor = 8 // divisor of the client connections: how many more may be open while others close,
	minClosingReserve     = 2 // and the minimum of that number
)

const (
	endpointIdleShare    = 0.8       // share of the idle time after which endpoints close a connection
	firstRequestSeconds  = 0.3       // time after connecting in which a client is expected to send its first request
	evictionReadSeconds  = 0.05      // time to receive a whole request on a connection that is being evicted
	maxPipelinedAnswers  = 64        // pending answers at which reading from a client stops
	maxUnreadAnswerBytes = 256 << 10 // unread answer bytes at which reading from a client stops
)

// The order of eviction, first to last.
const (
	evictSilent  = iota // clients that never sent a request although they had time to
	evictIdle           // idle ones
	evictNew            // clients that have just connected
	evictReading        // clients whose first request is being received
)

// ConnReuseDelaySeconds is the time after an endpoint's answer during which its connection is not reused, in protocols
// whose answers do not identify their request: the platform's endpoints may send a second answer a few milliseconds
// late, which would be mistaken for the next request's.
const ConnReuseDelaySeconds = 0.025

// ResourceLimits is the division of a machine's limits.
type ResourceLimits struct {
	ClientConns           int   // client connections
	IdleEvictionThreshold int   // client connections at which idle ones are evicted
	EndpointConns         int   // connections to endpoints
	HeapBytes             int64 // limit of the heap
	BufferBytes           int64 // limit of the buffers
}

// SplitLimits divides a machine's file descriptors and its memory, in bytes.
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

// OverCapacity reports whether client connections fill even the reserve for closing ones. Without this bound the
// process would run out of descriptors, and could not connect to endpoints either.
func OverCapacity(connections, limit int) bool {
	return connections >= limit+max(minClosingReserve, limit/closingReserveDivisor)
}

// EndpointIdleSeconds returns how long the router may keep an idle connection to an endpoint
// that closes it after closesAfterSeconds. It closes first: a request written to a connection as
// the endpoint closes it may or may not have run.
func EndpointIdleSeconds(closesAfterSeconds float64) float64 {
	return endpointIdleShare * closesAfterSeconds
}

// ReadTimeoutSeconds returns the time in which a request must be received whole. It is short on a connection that is
// being evicted, whose place others are waiting for.
func ReadTimeoutSeconds(normalSeconds float64, evicting bool) float64 {
	if evicting {
		return min(normalSeconds, evictionReadSeconds)
	}
	return normalSeconds
}

// MayPipeline reports whether further requests are read from a client, given its pending answers
// and the answer bytes that it has not read yet.
func MayPipeline(answersPending, unreadBytes int) bool {
	return answersPending < maxPipelinedAnswers && unreadBytes < maxUnreadAnswerBytes
}

// ClientConn is the state of a client connection that eviction depends on.
type ClientConn struct {
	Busy           bool    // a request is being served
	Reading        bool    // a request is being received
	HasSentRequest bool    // it has sent a request before
	IdleSince      float64 // when it became idle, in seconds on the caller's clock
}

// EvictBefore reports whether a connection is evicted before another: by the order of
// eviction, and the longest idle first among equals.
func (c ClientConn) EvictBefore(now float64, other ClientConn) bool {
	if a, b := c.evictionRank(now), other.evictionRank(now); a != b {
		return a < b
	}
	return c.IdleSince < other.IdleSince
}

// Pinned reports whether a connection must not be evicted.
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
