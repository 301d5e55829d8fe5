package idempotency

import (
	"encoding/binary"
	"math"

	"copperrock.example/copperrock/internal/storage/wal"
)

// maxAttempts bounds the attempts in the record of a key. The operator's settings allow fewer attempts per request.
const maxAttempts = 1000

// decoder reads values from the body of one log record. A value that is missing or out of bounds is read as zero and sets
// failed, which stays set; the values read after it mean nothing.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) fail() {
	d.failed, d.rest = true, nil
}

func (d *decoder) uvarint() uint64 {
	value, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[size:]
	return value
}

// count reads a number that must not exceed a bound.
func (d *decoder) count(bound int) int {
	value := d.uvarint()
	if value > uint64(bound) {
		d.failed = true
		return 0
	}
	return int(value)
}

func (d *decoder) bytes(size int) []byte {
	if size < 0 || size > len(d.rest) {
		d.fail()
		return nil
	}
	value := d.rest[:size]
	d.rest = d.rest[size:]
	return value
}

func (d *decoder) string() string { return string(d.bytes(d.count(wal.MaxRecordSize))) }

// float reads a finite number.
func (d *decoder) float() float64 {
	bits := d.bytes(8)
	if bits == nil {
		return 0
	}
	value := math.Float64frombits(binary.BigEndian.Uint64(bits))
	if math.IsNaN(value) || math.IsInf(value, 0) {
		d.failed = true
		return 0
	}
	return value
}

func (d *decoder) byte() byte {
	value := d.bytes(1)
	if value == nil {
		return 0
	}
	return value[0]
}

func (d *decoder) attempt() (number int, attempt Attempt) {
	number = d.count(maxAttempts - 1)
	attempt = Attempt{StartedAt: d.float(), Engine: d.string()}
	attempt.Zone, attempt.Cell = d.count(math.MaxInt32), d.count(math.MaxInt32)
	return number, attempt
}

// outcome reads an outcome into a record.
func (d *decoder) outcome(record *Record) {
	outcome := Outcome(d.count(int(Unknown)))
	complete := d.byte() == 1
	d.float() // expiry time, not used: the retention time starts again at each log record of the key, which is no shorter
	rows := d.bytes(d.count(wal.MaxRecordSize))
	if d.failed {
		return
	}
	record.Outcome, record.RowsComplete, record.Rows = outcome, complete, nil
	if len(rows) > 0 {
		record.Rows = append([]byte(nil), rows...)
	}
}
