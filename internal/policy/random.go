package policy

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
)

// random is a seeded generator: equal sequences of calls return equal numbers.
type random struct {
	seed  uint64
	count uint64
	hash  hash.Hash64
}

func newRandom(seed uint64) random { return random{seed: seed, hash: fnv.New64a()} }

// next returns the next number of the sequence, in [0, 1).
func (r *random) next() float64 {
	r.count++
	return r.numberFor(r.count)
}

// numberFor returns the nth number of the sequence, in [0, 1), without advancing the sequence.
func (r *random) numberFor(n uint64) float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], n)
	binary.LittleEndian.PutUint64(buf[8:], r.seed)
	r.hash.Reset()
	r.hash.Write(buf[:])
	return float64(r.hash.Sum64()>>11) / (1 << 53)
}
