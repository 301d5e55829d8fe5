package admission

import (
	"encoding/binary"
	"hash/fnv"
)

// randomSource generates numbers from a seed and a counter, so that a run can be repeated.
type randomSource struct {
	seed, counter uint64
}

// next returns a number in [0, 1).
func (s *randomSource) next() float64 {
	h := fnv.New64a()
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:], s.seed)
	binary.BigEndian.PutUint64(buf[8:], s.counter)
	s.counter++
	h.Write(buf[:])
	return unitFloat(mix(h.Sum64()))
}

// unitFloat maps a hash to a number in [0, 1).
func unitFloat(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// mix spreads a hash over all bits. FNV alone yields nearly the same high bits for consecutive counters.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
