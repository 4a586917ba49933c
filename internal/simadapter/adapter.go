// Package simadapter connects the policy to the simulator: it reads frames of events, passes each event to the policy
// of its instance, and writes the policy's decisions as frames of actions. It makes no decisions itself. Times are
// float64 seconds internally and milliseconds on the wire; the clock is the simulator's.
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
	ioBufferBytes      = 1 << 16
	endpointTableCount = 16 // that the simulator may store
)

// adapter serves all instances of one simulator.
type adapter struct {
	actions        actionFrame
	instances      map[uint32]*instance
	endpointTables [endpointTableCount][]byte
	now            float64
}

// Serve answers frames until the input ends, and then returns nil. It returns an error for a malformed frame or an I/O
// error. It blocks on in and out.
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
	if count*eventBytes > uint64(len(frame)-headerBytes) {
		return fmt.Errorf("frame of %d bytes holds no %d records", len(frame), count)
	}
	events, tail := frame[headerBytes:headerBytes+count*eventBytes], frame[headerBytes+count*eventBytes:]
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
	i := a.instances[id]
	if i == nil {
		return nil // the instance has stopped
	}
	i.now = a.now
	switch code {
	case eventStop:
		delete(a.instances, id)
		return nil
	case eventEndpointList:
		return a.updateEndpoints(i, event)
	case eventRequest:
		return i.onRequest(readRequest(event))
	case eventAttemptDone:
		return i.onAttemptDone(readAttemptDone(event))
	case eventStreaming:
		i.onStreaming(requestID(event))
	case eventClientGone:
		i.onClientGone(requestID(event))
	case eventTimer:
		i.onTimer(timerMark(event))
	case eventRelease:
		if err := i.onRelease(readRelease(event)); err != nil {
			return err
		}
	case eventWrongAnswer:
		wrong := readWrongAnswer(event)
		i.balancer.ReportWrongAnswer(a.now, wrong.endpoint, wrong.ageSeconds)
	}
	i.setPickTimer()
	return nil
}

// storeEndpointTable stores the endpoints of a table for endpoint lists that refer to it.
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

func errUnknownTable(number uint16) error { return fmt.Errorf("table number %d", number) }

// startInstance starts an instance, replacing one with the same ID.
func (a *adapter) startInstance(id uint32, r record, tail []byte) error {
	event, err := readStart(r, tail)
	if err != nil {
		return err
	}
	settings, err := policyconfig.Decode(policyconfig.ParseLines(event.settings))
	if err != nil {
		return err
	}
	i := &instance{
		id:         id,
		now:        a.now,
		balancer:   policy.New(settings, event.seed, a.now),
		classCount: len(settings.Classes),
		requests:   map[uint32]*policy.Request{},
		actions:    &a.actions,
	}
	a.instances[id] = i
	i.tickController()
	return nil
}

// updateEndpoints passes an endpoint list, stored earlier as a table, to an instance.
func (a *adapter) updateEndpoints(i *instance, r record) error {
	event := readEndpointList(r)
	if event.kind > lastListKind {
		return fmt.Errorf("unknown list kind %d", event.kind)
	}
	if event.kind == listFailed {
		i.balancer.EndpointListFailed()
		return nil
	}
	if int(event.table) >= len(a.endpointTables) {
		return errUnknownTable(event.table)
	}
	full := event.kind != listChanges
	return i.updateEndpoints(a.endpointTables[event.table], full)
}
