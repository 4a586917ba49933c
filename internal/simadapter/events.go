package simadapter

// The events below are decoded from fixed-size records. This file is the only place that knows their field offsets.
// Every record begins with its code (u8), followed by the instance (u32) except in an endpoint table.

func eventCode(r record) uint8      { return r.u8(0) }
func eventInstance(r record) uint32 { return r.u32(1) }

// requestID reads the ID of the request that an event refers to.
func requestID(r record) uint32 { return r.u32(5) }

// timerMark reads the mark of the timer that fired.
func timerMark(r record) uint64 { return r.u64(5) }

// startEvent starts an instance. Its settings are a text in the tail.
type startEvent struct {
	seed     uint64
	settings string
}

func readStart(r record, tail []byte) (startEvent, error) {
	text, err := r.tail(13, tail, 1)
	return startEvent{seed: r.u64(5), settings: string(text)}, err
}

// endpointTableEvent defines a table of endpoints, given in the tail. Endpoint lists refer to the table by its number.
type endpointTableEvent struct {
	table   uint16
	entries []byte // encoded, endpointBytes per entry
}

func readEndpointTable(r record, tail []byte) (endpointTableEvent, error) {
	entries, err := r.tail(3, tail, endpointBytes)
	return endpointTableEvent{table: r.u16(1), entries: entries}, err
}

// endpointEntry is one endpoint of a table.
type endpointEntry struct {
	id         uint32
	zone, cell uint16
	build      int
	stateCode  uint8
	weight     float64
	startedAt  float64
}

func readEndpointEntry(r record) endpointEntry {
	return endpointEntry{
		id:        r.u32(0),
		zone:      r.u16(4),
		cell:      r.u16(12),
		build:     int(r.f32(8)),
		stateCode: r.u8(14),
		weight:    r.f32(15),
		startedAt: r.seconds(19),
	}
}

// endpointListEvent is an endpoint list, or the failure to get one.
type endpointListEvent struct {
	kind  uint8
	table uint16
}

func readEndpointList(r record) endpointListEvent {
	return endpointListEvent{kind: r.u8(5), table: r.u16(10)}
}

// requestEvent is a new client request.
type requestEvent struct {
	id             uint32
	class          int
	key            uint64
	timeoutSeconds float64
	workSeconds    float64 // 0: unknown
	clientRetry    bool
}

func readRequest(r record) requestEvent {
	const (
		flagWorkKnown   = 1 << 0
		flagClientRetry = 1 << 1
	)
	flags := r.u8(26)
	event := requestEvent{
		id:             requestID(r),
		class:          int(r.u8(17)),
		key:            r.u64(18),
		timeoutSeconds: r.seconds(9),
		clientRetry:    flags&flagClientRetry != 0,
	}
	if flags&flagWorkKnown != 0 {
		event.workSeconds = r.seconds(31)
	}
	return event
}

// attemptDoneEvent is the outcome of an attempt.
type attemptDoneEvent struct {
	requestID      uint32
	attempt        int // index among the request's attempts
	outcomeCode    int
	latencySeconds float64
	requestEnded   bool
}

func readAttemptDone(r record) attemptDoneEvent {
	return attemptDoneEvent{
		requestID:      requestID(r),
		attempt:        int(r.u16(9)),
		outcomeCode:    int(r.u16(15)),
		latencySeconds: r.seconds(17),
		requestEnded:   r.u8(25) != 0,
	}
}

// releaseEvent is a release update, sent on its own or in the reply to a vote.
type releaseEvent struct {
	build, stage int
	phase        uint8
	isVoteReply  bool
	status       uint16 // the release fields are valid only if it is statusOK
	canaryLimit  float64
	ageSeconds   float64
}

func readRelease(r record) releaseEvent {
	return releaseEvent{
		build:       int(r.u16(5)),
		stage:       int(r.u8(7)),
		phase:       r.u8(8),
		isVoteReply: r.u8(9) == 1,
		status:      r.u16(10),
		canaryLimit: r.f32(12),
		ageSeconds:  r.seconds(16),
	}
}

// wrongAnswerEvent is a client's report that an endpoint gave a wrong answer ageSeconds ago.
type wrongAnswerEvent struct {
	endpoint   uint32
	ageSeconds float64
}

func readWrongAnswer(r record) wrongAnswerEvent {
	return wrongAnswerEvent{endpoint: r.u32(5), ageSeconds: r.seconds(10)}
}
