package simprotocol

import (
	"encoding/binary"
	"fmt"
	"math"
)

// record reads the fields of one record by their offset, and the parts of the tail that the record refers to.
type record struct {
	data, tail []byte
}

func (r record) u8(offset int) uint8    { return r.data[offset] }
func (r record) u16(offset int) uint16  { return binary.BigEndian.Uint16(r.data[offset:]) }
func (r record) u32(offset int) uint32  { return binary.BigEndian.Uint32(r.data[offset:]) }
func (r record) u64(offset int) uint64  { return binary.BigEndian.Uint64(r.data[offset:]) }
func (r record) f32(offset int) float64 { return float64(math.Float32frombits(r.u32(offset))) }
func (r record) f64(offset int) float64 { return math.Float64frombits(r.u64(offset)) }

// ref returns the part of the tail that a field refers to by its start in bytes and its length in units of unitSize bytes.
func (r record) ref(offset int, unitSize int64) ([]byte, error) {
	start, size := int64(r.u32(offset)), int64(r.u32(offset+4))*unitSize
	if start+size > int64(len(r.tail)) {
		return nil, fmt.Errorf("tail reference %d+%d passes the tail's %d bytes", start, size, len(r.tail))
	}
	return r.tail[start : start+size], nil
}
