// Package simadapter connects the policy to the simulator. It reads frames of events, passes each event to the policy of
// its instance, and writes the policy's decisions as frames of actions. It makes no decisions itself. Times are float64
// seconds internally and milliseconds on the wire. The clock is the simulator's.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"flintspread/internal/policy"
	"flintspread/internal/policyconfig"
)

const (
	ioBufferBytes     = 1 << 16
	maxEndpointTables = 16 // number of endpoint tables that the simulator may define
)

// adapter holds the state of all instances of one simulator.
type adapter struct {
	actions        actionFrame
	instances      map[uint32]*instance
	endpointTables [maxEndpointTables][]byte
	now            float64
}

// Serve answers each frame of events with a frame of actions until the input ends, and then returns nil. It returns an
// error if a frame is malformed or if reading or writing fails. It blocks on in and out.
func Serve(in io.Reader, out io.Writer) error {
	a := &adapter{instances: map[uint32]*instance{}}
	reader, writer := bufio.NewReaderSize(in, ioBufferBytes), bufio.NewWriterSize(out, ioBufferBytes)
	var frame []byte
	for {
		var err error
		frame, err = readFrame(reader, frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.actions.reset()
		if err := a.handleFrame(frame); err != nil {
			return err
		}
		if err := a.actions.writeTo(writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

func (a *adapter) handleFrame(frame []byte) error {
	header := record(frame)
	a.now = header.seconds(0)
	count := uint64(header.u32(8))
	if count*eventBytes > uint64(len(frame)-eventHeaderBytes) {
		return fmt.Errorf("frame of %d bytes is too short for %d records", len(frame), count)
	}
	events, tail := frame[eventHeaderBytes:eventHeaderBytes+count*eventBytes], frame[eventHeaderBytes+count*eventBytes:]
	for len(events) > 0 {
		event := record(events[:eventBytes])
		events = events[eventBytes:]
		if err := a.handleEvent(event, tail); err != nil {
			return err
		}
	}
	return nil
}

func (a *adapter) handleEvent(event record, tail []byte) error {
	code := eventCode(event)
	if code < firstEvent || code > lastEvent {
		return fmt.Errorf("unknown event code %d", code)
	}
	if code == eventEndpointTable {
		return a.storeEndpointTable(event, tail)
	}
	id := eventInstance(event)
	if code == eventStart {
		return a.startInstance(id, event, tail)
	}
	target := a.instances[id]
	if target == nil {
		return nil // the instance has stopped
	}
	target.now = a.now
	switch code {
	case eventStop:
		delete(a.instances, id)
		return nil
	case eventEndpointList:
		return a.updateEndpoints(target, event)
	case eventRequest:
		return target.onRequest(readRequest(event))
	case eventAttemptDone:
		return target.onAttemptDone(readAttemptDone(event))
	case eventStreaming:
		target.onStreaming(requestID(event))
	case eventClientGone:
		target.onClientGone(requestID(event))
	case eventTimer:
		target.onTimer(timerMark(event))
	case eventRelease:
		if err := target.onRelease(readRelease(event)); err != nil {
			return err
		}
	case eventWrongAnswer:
		wrong := readWrongAnswer(event)
		target.balancer.ReportWrongAnswer(a.now, wrong.endpoint, wrong.ageSeconds)
	}
	target.setPickTimer()
	return nil
}

// storeEndpointTable stores a table of endpoints, to which later endpoint lists refer by number.
func (a *adapter) storeEndpointTable(r record, tail []byte) error {
	event, err := readEndpointTable(r, tail)
	if int(event.table) >= len(a.endpointTables) {
		return errUnknownTable(event.table)
	}
	if err != nil {
		return err
	}
	a.endpointTables[event.table] = append([]byte{}, event.entries...)
	return nil
}

func errUnknownTable(number uint16) error {
	return fmt.Errorf("endpoint table %d, want 0 to %d", number, maxEndpointTables-1)
}

// startInstance starts an instance. It replaces an instance with the same ID.
func (a *adapter) startInstance(id uint32, r record, tail []byte) error {
	event, err := readStart(r, tail)
	if err != nil {
		return err
	}
	settings, err := policyconfig.Decode(policyconfig.ParseLines(event.settings))
	if err != nil {
		return err
	}
	started := &instance{
		id:         id,
		now:        a.now,
		balancer:   policy.New(settings, event.seed, a.now),
		classCount: len(settings.Classes),
		requests:   map[uint32]*policy.Request{},
		actions:    &a.actions,
	}
	a.instances[id] = started
	started.tick()
	return nil
}

// updateEndpoints passes an endpoint list, whose entries were stored as a table, or the failure to get a list to an
// instance.
func (a *adapter) updateEndpoints(target *instance, r record) error {
	event := readEndpointList(r)
	if event.kind > lastListKind {
		return fmt.Errorf("unknown endpoint list kind %d", event.kind)
	}
	if event.kind == listFailed {
		target.balancer.EndpointListFailed()
		return nil
	}
	if int(event.table) >= len(a.endpointTables) {
		return errUnknownTable(event.table)
	}
	full := event.kind != listChanges
	return target.updateEndpoints(a.endpointTables[event.table], full)
}
