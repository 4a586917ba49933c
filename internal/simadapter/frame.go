package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// A frame from the simulator consists of the length of its records and tail (u32), the clock in milliseconds (f64), the
// number of records (u32), the records, and a tail of bytes that records refer to. A frame to the simulator consists of
// the length of its records (u32), their number (u32), and the records. All numbers are little-endian.
const (
	lengthBytes       = 4
	eventHeaderBytes  = 12 // of the clock and the number of records in a frame from the simulator
	eventBytes        = 48 // of a record from the simulator
	actionBytes       = 24 // of a record to it
	endpointBytes     = 27 // of an endpoint in the tail
	actionHeaderBytes = 8  // of the length and the number of records in a frame to it
)

const (
	maxBodyBytes      = 1 << 30 // of the records and the tail; a frame that states more is malformed
	bufferGrowthBytes = 1 << 20 // step by which the buffer of a frame grows
)

const millisecondsPerSecond = 1000

// readFrame reads a frame, into buf if it is large enough, and returns it without the length field. The error is io.EOF
// if the input ended between two frames.
func readFrame(in io.Reader, buf []byte) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = errors.New("input ended within the length of a frame")
		}
		return nil, err
	}
	n := int(binary.LittleEndian.Uint32(length[:]))
	if n > maxBodyBytes {
		return nil, fmt.Errorf("frame of %d bytes is larger than %d bytes", n, maxBodyBytes)
	}
	n += eventHeaderBytes
	if cap(buf) < n {
		return readGrowing(in, n)
	}
	buf = buf[:n]
	if _, err := io.ReadFull(in, buf); err != nil {
		return nil, errTruncatedFrame(n)
	}
	return buf, nil
}

// readGrowing reads n bytes into a new buffer that grows as they arrive, so that a wrong length alone does not allocate
// much memory.
func readGrowing(in io.Reader, n int) ([]byte, error) {
	var buf []byte
	for len(buf) < n {
		filled := len(buf)
		buf = append(buf, make([]byte, min(n-filled, bufferGrowthBytes))...)
		if _, err := io.ReadFull(in, buf[filled:]); err != nil {
			return nil, errTruncatedFrame(n)
		}
	}
	return buf, nil
}

func errTruncatedFrame(n int) error { return fmt.Errorf("input ended within a frame of %d bytes", n) }

// record is one fixed-size record. Its fields are accessed by offset.
type record []byte

func (r record) u8(at int) uint8    { return r[at] }
func (r record) u16(at int) uint16  { return binary.LittleEndian.Uint16(r[at:]) }
func (r record) u32(at int) uint32  { return binary.LittleEndian.Uint32(r[at:]) }
func (r record) u64(at int) uint64  { return binary.LittleEndian.Uint64(r[at:]) }
func (r record) f32(at int) float64 { return float64(math.Float32frombits(r.u32(at))) }
func (r record) f64(at int) float64 { return math.Float64frombits(r.u64(at)) }

// seconds reads a time in milliseconds and returns it in seconds.
func (r record) seconds(at int) float64 { return r.f64(at) / millisecondsPerSecond }

func (r record) putU8(at int, v uint8)   { r[at] = v }
func (r record) putU16(at int, v uint16) { binary.LittleEndian.PutUint16(r[at:], v) }
func (r record) putU32(at int, v uint32) { binary.LittleEndian.PutUint32(r[at:], v) }
func (r record) putU64(at int, v uint64) { binary.LittleEndian.PutUint64(r[at:], v) }

// putSeconds writes a time in seconds as milliseconds.
func (r record) putSeconds(at int, seconds float64) {
	r.putU64(at, math.Float64bits(seconds*millisecondsPerSecond))
}

// tail returns the part of the tail to which a record refers by a position in bytes and a number of items, both stored
// from the given offset on. itemBytes is the size of one item.
func (r record) tail(at int, tail []byte, itemBytes int) ([]byte, error) {
	start, length := uint64(r.u32(at)), uint64(r.u32(at+4))*uint64(itemBytes)
	if start+length > uint64(len(tail)) {
		return nil, fmt.Errorf("reference to %d bytes at %d exceeds the tail of %d bytes", length, start, len(tail))
	}
	return tail[start : start+length], nil
}
