package requestlog

import (
	"encoding/binary"
	"fmt"
	"math"

	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/wal"
)

// The kinds of log record beside those of package idempotency. docs/notes/store-files.md has their bytes.
const (
	kindRun     = idempotency.NextKind + iota // a process begins: the machine's start, and the store's time over its clock
	kindRetry                                 // a retry was sent: when
	kindLearned                               // what was learned: when, and its bytes
)

// timeSize is how many bytes a time takes in a record.
const timeSize = 8

// runRecord is the record that begins a process.
type runRecord struct {
	bootID string
	offset float64 // of the store's time over the machine's clock
}

func (r runRecord) encode() []byte { return append(appendTime(nil, r.offset), r.bootID...) }

// appendRun appends the record of this process.
func (s *Store) appendRun(records []byte) []byte {
	run := runRecord{bootID: s.clock.BootID, offset: s.offset}
	return wal.AppendRecord(records, kindRun, run.encode())
}

func appendRetry(records []byte, at float64) []byte {
	return wal.AppendRecord(records, kindRetry, appendTime(nil, at))
}

func appendTime(body []byte, at float64) []byte {
	return binary.BigEndian.AppendUint64(body, math.Float64bits(at))
}

func decodeTime(body []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(body)) }

// replayRecord takes a record of the log. last is the latest record that begins a process.
func (s *Store) replayRecord(kind byte, body []byte, last *runRecord) error {
	switch {
	case idempotency.OwnsKind(kind):
		return s.index.Replay(kind, body)
	case kind == kindRun && len(body) >= timeSize:
		*last = runRecord{bootID: string(body[timeSize:]), offset: decodeTime(body)}
	case kind == kindRetry && len(body) == timeSize:
		if at := decodeTime(body); !math.IsNaN(at) {
			s.retries = append(s.retries, at)
		}
	case kind == kindLearned && len(body) >= timeSize:
		s.learned = append([]byte(nil), body...)
	default:
		return fmt.Errorf("a record of kind %d that can't be read", kind)
	}
	return nil
}
