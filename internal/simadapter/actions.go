package simadapter

import (
	"encoding/binary"
	"io"

	"flintspread/internal/policy"
)

// actionFrame collects the action records of one frame to the simulator.
type actionFrame struct {
	buf   []byte
	count uint32
}

func (f *actionFrame) reset() {
	f.buf, f.count = append(f.buf[:0], make([]byte, actionHeaderBytes)...), 0
}

func (f *actionFrame) writeTo(out io.Writer) error {
	binary.LittleEndian.PutUint32(f.buf, uint32(len(f.buf)-actionHeaderBytes))
	binary.LittleEndian.PutUint32(f.buf[lengthBytes:], f.count)
	_, err := out.Write(f.buf)
	return err
}

// add appends a record with the given code and instance, and returns it so that the caller can set its other fields.
// The returned record is valid until the next call of add.
func (f *actionFrame) add(code uint8, instance uint32) record {
	var empty [actionBytes]byte
	start := len(f.buf)
	f.buf = append(f.buf, empty[:]...)
	f.count++
	action := record(f.buf[start:])
	action.putU8(0, code)
	action.putU32(1, instance)
	return action
}

// subscribe subscribes to changes of the endpoint list.
func (f *actionFrame) subscribe(instance uint32) {
	f.add(actionSubscribe, instance).putU8(5, 1)
}

func (f *actionFrame) vote(instance uint32, build, stage int, verdict policy.Verdict) {
	action := f.add(actionVote, instance)
	action.putU16(5, uint16(build))
	action.putU8(7, uint8(stage))
	action.putU8(8, uint8(verdict))
}

// setTimer requests a timer event after the given time. The event will contain the mark.
func (f *actionFrame) setTimer(instance uint32, seconds float64, mark uint64) {
	action := f.add(actionSetTimer, instance)
	action.putSeconds(5, seconds)
	action.putU64(13, mark)
}

// send starts an attempt of a request at an endpoint.
func (f *actionFrame) send(instance, request, endpoint uint32, deadline float64) {
	action := f.add(actionSend, instance)
	action.putU32(5, request)
	action.putU32(9, endpoint)
	action.putSeconds(13, deadline)
}

// cancel cancels an attempt, given by its index among the request's attempts.
func (f *actionFrame) cancel(instance, request uint32, attempt int) {
	action := f.add(actionCancel, instance)
	action.putU32(5, request)
	action.putU16(9, uint16(attempt))
}

func (f *actionFrame) reject(instance, request uint32, retryAfterSeconds float64) {
	action := f.add(actionReject, instance)
	action.putU32(5, request)
	action.putSeconds(9, retryAfterSeconds)
}

func (f *actionFrame) fail(instance, request uint32) {
	f.add(actionFail, instance).putU32(5, request)
}
