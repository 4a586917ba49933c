package loadshed

// How a small machine's limits are parted, and which client's connection makes room for another.

const (
	forClients = 0.55    // of the descriptors
	forUnits   = 0.3     // the rest is for the listener, the services, and what is just closing
	keepIdle   = 1.0 / 6 // from which on one goes for each that comes: clients hold a third for commands at most
	forHeap    = 0.6     // of the memory
	forBuffers = 0.2
	below      = 0.8 // of the time after which units close an idle connection

	speakSoon = 0.3  // s after connecting in which a client is about to send its first command
	goingTime = 0.05 // s in which a command must have come whole on a connection that is to make room
	askAhead  = 64   // answers owed to a client, above which nothing more is read from it
	untaken   = 256 << 10
)

// ConnReuseDelaySeconds is the s after a unit's answer in which its connection is not used again, where answers name no command: the platform's units
// may send a second one some milliseconds late, which would be taken for the next command's.
const ConnReuseDelaySeconds = 0.025

// ResourceLimits is what a machine's limits come to.
type ResourceLimits struct {
	ClientConns, IdleEvictionThreshold, EndpointConns int   // connections; Keep: of clients, from which idle ones go
	HeapBytes, BufferBytes                            int64 // bytes
}

// SplitLimits shares out descriptors and bytes.
func SplitLimits(descriptors int, memory int64) ResourceLimits {
	of := func(share float64) int { return int(share * float64(descriptors)) }
	return ResourceLimits{of(forClients), of(keepIdle), of(forUnits), int64(forHeap * float64(memory)), int64(forBuffers * float64(memory))}
}

// EndpointIdleSeconds is how long a connection to a unit may stand idle here, where the unit closes it after a time: what is written to it from
// then on may have run.
func EndpointIdleSeconds(theirs float64) float64 { return below * theirs }

// OverCapacity tells whether even the room for connections that are just going is used up: without a bound descriptors would run out,
// and units could not be reached either.
func OverCapacity(connections, most int) bool { return connections >= most+max(2, most/8) }

// ClientConn is a client's connection, as far as its place matters.
type ClientConn struct {
	Busy           bool    // it has a command in hand
	Reading        bool    // a command is on its way
	HasSentRequest bool    // one came before
	IdleSince      float64 // idle since, s
}

// EvictBefore tells whether a connection is to make room before another: first those that never sent a command though they had time
// to, then idle ones, the longest idle ahead; then one that has just come, last one whose first command is on its way.
func (g ClientConn) EvictBefore(now float64, than ClientConn) bool {
	if a, b := g.rank(now), than.rank(now); a != b {
		return a < b
	}
	return g.IdleSince < than.IdleSince
}

// Pinned tells whether a connection never makes room.
func (g ClientConn) Pinned() bool { return g.Busy || g.Reading && g.HasSentRequest }

func (g ClientConn) rank(now float64) int {
	switch {
	case g.Reading:
		return 3
	case g.HasSentRequest:
		return 1
	case now-g.IdleSince < speakSoon:
		return 2
	}
	return 0
}

// ReadTimeoutSeconds is how long a command may take to come on a connection, s, where most is usual: half a one must not keep the room that
// others wait for.
func ReadTimeoutSeconds(most float64, going bool) float64 {
	if going {
		return min(most, goingTime)
	}
	return most
}

// MayPipeline tells whether a client to whom so many answers are owed, and which has not taken so many bytes, may send further commands.
func MayPipeline(owed, bytes int) bool { return owed < askAhead && bytes < untaken }
