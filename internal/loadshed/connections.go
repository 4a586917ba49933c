package loadshed

// Shares of the machine's file descriptors and memory. The remaining descriptors are for the listener, the control
// services, and connections that are closing; the remaining memory is for everything except heap objects and buffers.
const (
	clientDescriptorShare    = 0.55
	endpointDescriptorShare  = 0.3
	evictIdleDescriptorShare = 1.0 / 6 // share used by clients above which each new client evicts an idle one
	heapMemoryShare          = 0.7
	connMemoryShare          = 0.42 // share of all connections, without their messages
	messageMemoryShare       = 0.14
	listMemoryShare          = 0.1
	kernelMemoryShare        = 0.2 // share of the kernel's buffers of all client connections
	closingReserveDivisor    = 8   // while connections close, others may exceed the client limit by the limit divided by this
	minClosingReserve        = 2   // minimum of that excess, in connections
)

// ConnBytes is the memory of a connection apart from its messages: buffers, goroutine, state, and the garbage of as much
// again that the runtime keeps.
const ConnBytes = 16 << 10

const (
	endpointIdleShare    = 0.8       // the router's idle timeout for endpoint connections, as a share of the endpoint's own
	firstRequestSeconds  = 0.3       // time after connecting in which a client is expected to send its first request
	harmfulReadSeconds   = 1.0       // time in which a request of a usual client arrives, also over a slow network
	minIdleSeconds       = 0.25      // idle time from which a connection is evicted while there is still room
	evictionReadSeconds  = 0.05      // time to receive a complete request on a connection that is or may be evicted
	maxPipelinedAnswers  = 64        // pending answers at which reading from a client stops
	maxUnreadAnswerBytes = 256 << 10 // unread answer bytes at which reading from a client stops
	minSocketBufferBytes = 8 << 10   // a smaller buffer slows large values down
	maxSocketBufferBytes = 256 << 10 // a larger buffer does not make large values faster
)

// The order of eviction, first to last.
const (
	evictLingering = iota // connections that have ended but for the bytes that their client still sends
	evictSilent           // clients that have sent no request within firstRequestSeconds
	evictSlow             // clients whose request arrives slowly, or that are delayed for their invalid requests
	evictIdle             // idle clients that have sent a request before
	evictNew              // clients that connected less than firstRequestSeconds ago
	evictReading          // clients whose first request is being received
)

// ConnReuseDelaySeconds is the time after an endpoint's answer during which its connection is not reused, in protocols
// whose answers do not identify their request: the platform's endpoints may send a second answer a few milliseconds
// late, which would be mistaken for the answer to the next request.
const ConnReuseDelaySeconds = 0.025

// clientCheckSeconds is the age from which a request's client is looked at again before an attempt is written.
const clientCheckSeconds = 0.02

// ClientCheckDue reports whether a request was received so long ago that its client may have left unnoticed, and must be
// looked at before an attempt is written.
func ClientCheckDue(ageSeconds float64) bool { return ageSeconds > clientCheckSeconds }

// ResourceLimits holds the limits that SplitLimits derives from a machine's resources.
type ResourceLimits struct {
	ClientConns           int   // client connections
	IdleEvictionThreshold int   // client connections at which idle ones are evicted
	EndpointConns         int   // connections to endpoints
	HeapBytes             int64 // limit of the heap
	ConnBytes             int64 // limit of all connections, without their messages
	MessageBytes          int64 // limit of requests and answers
	ListBytes             int64 // limit of one message of a service
	SocketBufferBytes     int   // limit of the kernel's buffer of a client connection, in each direction
}

// SplitLimits divides a machine's file descriptors and its memory, in bytes.
func SplitLimits(descriptors int, memory int64) ResourceLimits {
	descriptorCount := func(share float64) int { return int(share * float64(descriptors)) }
	connsInMemory := connMemoryShare * float64(memory) / ConnBytes
	connCount := func(share float64) int {
		return min(descriptorCount(share), int(connsInMemory*share/(clientDescriptorShare+endpointDescriptorShare)))
	}
	clientConns := connCount(clientDescriptorShare)
	return ResourceLimits{
		ClientConns:           clientConns,
		IdleEvictionThreshold: min(descriptorCount(evictIdleDescriptorShare), clientConns),
		EndpointConns:         connCount(endpointDescriptorShare),
		HeapBytes:             int64(heapMemoryShare * float64(memory)),
		ConnBytes:             int64(connMemoryShare * float64(memory)),
		MessageBytes:          int64(messageMemoryShare * float64(memory)),
		ListBytes:             int64(listMemoryShare * float64(memory)),
		SocketBufferBytes:     socketBufferBytes(memory, clientConns),
	}
}

// socketBufferBytes returns the limit of the kernel's buffer of a client connection, in each direction, given the memory
// and the maximum number of connections.
func socketBufferBytes(memory int64, connections int) int {
	bytes := int(kernelMemoryShare * float64(memory) / float64(2*max(1, connections)))
	return min(max(bytes, minSocketBufferBytes), maxSocketBufferBytes)
}

// OverCapacity reports whether client connections use up both the limit and the reserve for closing ones. Without this
// bound the process would run out of descriptors and could not connect to endpoints either.
func OverCapacity(connections, limit int) bool {
	return connections >= limit+max(minClosingReserve, limit/closingReserveDivisor)
}

// EndpointIdleSeconds returns how long the router may keep an idle connection to an endpoint that closes it after
// closesAfterSeconds. The router must close it first: if it wrote a request while the endpoint closed the connection,
// it could not tell whether the request ran.
func EndpointIdleSeconds(closesAfterSeconds float64) float64 {
	return endpointIdleShare * closesAfterSeconds
}

// ReadTimeoutSeconds returns the time within which a complete request must be received. It is short on a connection
// that is being evicted, because another client is waiting for its slot.
func ReadTimeoutSeconds(normalSeconds float64, evicting bool) float64 {
	if evicting {
		return min(normalSeconds, evictionReadSeconds)
	}
	return normalSeconds
}

// MayPipeline reports whether further requests may be read from a client, given the number of its pending answers and
// the answer bytes that it has not read yet.
func MayPipeline(answersPending, unreadBytes int) bool {
	return answersPending < maxPipelinedAnswers && unreadBytes < maxUnreadAnswerBytes
}

// ClientConn holds the state of a client connection that decides about its eviction.
type ClientConn struct {
	Lingering      bool    // it has ended, and waits for its client to read the last answer
	Busy           bool    // a request is being served
	Delayed        bool    // its next request is delayed, because it has sent many invalid ones
	Reading        bool    // a request is being received
	ReadingSince   float64 // when it began to be received, in seconds on the caller's clock
	HasSentRequest bool    // the client has sent a request before
	IdleSince      float64 // when the connection became idle, in seconds on the caller's clock
}

// isUnproven reports whether the client has sent nothing since it connected.
func (c ClientConn) isUnproven() bool { return !c.HasSentRequest && !c.Reading && !c.Lingering }

// EvictionScope tells which connections may be evicted.
type EvictionScope int

// The scopes.
const (
	EvictIdle    EvictionScope = iota // those that have ended or been idle for minIdleSeconds, while there is still room
	EvictHarmful                      // those that have ended, and those whose request arrives for harmfulReadSeconds
	EvictAny                          // all that are not pinned
)

// Evictable reports whether the connection may be evicted in a scope.
func (c ClientConn) Evictable(now float64, scope EvictionScope) bool {
	switch {
	case c.Pinned(now):
		return false
	case scope == EvictIdle:
		return c.Lingering || !c.Delayed && !c.isArriving(now) && now-c.IdleSince >= minIdleSeconds
	case scope == EvictHarmful:
		return c.Lingering || c.Reading && now-c.ReadingSince >= harmfulReadSeconds
	}
	return true
}

// isArriving reports whether a request is being received, or may be about to because the client has just connected.
func (c ClientConn) isArriving(now float64) bool {
	return c.Reading || c.evictionRank(now) == evictNew
}

// EvictBefore reports whether c is evicted before other: in the order of eviction, and among equals the longest idle
// first.
func (c ClientConn) EvictBefore(now float64, other ClientConn) bool {
	if rank, otherRank := c.evictionRank(now), other.evictionRank(now); rank != otherRank {
		return rank < otherRank
	}
	return c.IdleSince < other.IdleSince
}

// Pinned reports whether the connection must not be evicted.
func (c ClientConn) Pinned(now float64) bool {
	return c.Busy || c.Reading && c.HasSentRequest && !c.isSlow(now)
}

// isSlow reports whether the client is delayed, or its request has been arriving for longer than it takes a client that
// sends it at once.
func (c ClientConn) isSlow(now float64) bool {
	return c.Delayed || c.Reading && now-c.ReadingSince > evictionReadSeconds
}

func (c ClientConn) evictionRank(now float64) int {
	switch {
	case c.Lingering:
		return evictLingering
	case c.isSlow(now):
		return evictSlow
	case c.Reading:
		return evictReading
	case c.HasSentRequest:
		return evictIdle
	case now-c.IdleSince < firstRequestSeconds:
		return evictNew
	}
	return evictSilent
}
