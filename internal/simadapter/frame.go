package simadapter

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

const (
	headLen   = 12 // of a batch's header, behind the length
	eventLen  = 48
	actionLen = 24
	entryLen  = 27
	mostBytes = 1 << 30 // a longer frame is taken for a malformed one
)

// readFrame reads a batch: the clock, the number of records and what follows. io.EOF: the input ended between two frames.
func readFrame(in io.Reader, buf []byte) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		if err == io.ErrUnexpectedEOF {
			err = fmt.Errorf("frame cut off in its length")
		}
		return nil, err
	}
	n := int(binary.LittleEndian.Uint32(head[:]))
	if n > mostBytes {
		return nil, fmt.Errorf("frame of %d bytes", n)
	}
	n += headLen
	if cap(buf) < n {
		buf = nil // grown as bytes come: a wrong length reserves nothing
		for len(buf) < n {
			old := len(buf)
			buf = append(buf, make([]byte, min(n-old, 1<<20))...)
			if _, err := io.ReadFull(in, buf[old:]); err != nil {
				return nil, fmt.Errorf("frame of %d bytes cut off", n)
			}
		}
		return buf, nil
	}
	buf = buf[:n]
	if _, err := io.ReadFull(in, buf); err != nil {
		return nil, fmt.Errorf("frame of %d bytes cut off", n)
	}
	return buf, nil
}

// record reads the fields of one fixed-size record.
type record []byte

func (r record) u8(at int) uint8    { return r[at] }
func (r record) u16(at int) uint16  { return binary.LittleEndian.Uint16(r[at:]) }
func (r record) u32(at int) uint32  { return binary.LittleEndian.Uint32(r[at:]) }
func (r record) u64(at int) uint64  { return binary.LittleEndian.Uint64(r[at:]) }
func (r record) f32(at int) float64 { return float64(math.Float32frombits(r.u32(at))) }
func (r record) f64(at int) float64 { return math.Float64frombits(r.u64(at)) }
func (r record) secs(at int) float64 {
	return r.f64(at) / 1000
}

// tail gives the bytes that a field points at; size is that of one counted thing.
func (r record) tail(at int, tail []byte, size int) ([]byte, error) {
	from, n := uint64(r.u32(at)), uint64(r.u32(at+4))*uint64(size)
	if from+n > uint64(len(tail)) {
		return nil, fmt.Errorf("tail reference %d+%d outside a tail of %d bytes", from, n, len(tail))
	}
	return tail[from : from+n], nil
}

// reply gathers actions.
type reply struct {
	buf   []byte
	count uint32
}

func (w *reply) reset() { w.buf, w.count = append(w.buf[:0], make([]byte, 8)...), 0 }

// add appends an action with its code and instance and returns it for its further fields.
func (w *reply) add(code uint8, inst uint32) record {
	var blank [actionLen]byte
	at := len(w.buf)
	w.buf = append(w.buf, blank[:]...)
	w.count++
	rec := record(w.buf[at:])
	rec[0] = code
	rec.put32(1, inst)
	return rec
}

func (r record) put16(at int, v uint16)     { binary.LittleEndian.PutUint16(r[at:], v) }
func (r record) put32(at int, v uint32)     { binary.LittleEndian.PutUint32(r[at:], v) }
func (r record) put64(at int, v uint64)     { binary.LittleEndian.PutUint64(r[at:], v) }
func (r record) putMS(at int, secs float64) { r.put64(at, math.Float64bits(secs*1000)) }

func (w *reply) flush(out io.Writer) error {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)-8))
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	_, err := out.Write(w.buf)
	return err
}
