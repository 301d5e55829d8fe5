package simprotocol

import (
	"encoding/binary"
	"fmt"
	"math"
)

// record reads the fields of one record, by their place in it, and what it refers to in the tail.
type record struct {
	data, tail []byte
}

func (r record) u8(at int) uint8    { return r.data[at] }
func (r record) u16(at int) uint16  { return binary.BigEndian.Uint16(r.data[at:]) }
func (r record) u32(at int) uint32  { return binary.BigEndian.Uint32(r.data[at:]) }
func (r record) u64(at int) uint64  { return binary.BigEndian.Uint64(r.data[at:]) }
func (r record) f32(at int) float64 { return float64(math.Float32frombits(r.u32(at))) }
func (r record) f64(at int) float64 { return math.Float64frombits(r.u64(at)) }

// ref reads a reference to the tail: where it starts, and how many units of so many bytes it has.
func (r record) ref(at int, unit int64) ([]byte, error) {
	from, size := int64(r.u32(at)), int64(r.u32(at+4))*unit
	if from+size > int64(len(r.tail)) {
		return nil, fmt.Errorf("tail reference %d+%d passes the tail's %d bytes", from, size, len(r.tail))
	}
	return r.tail[from : from+size], nil
}
