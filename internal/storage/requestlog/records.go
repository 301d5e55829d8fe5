package requestlog

import (
	"encoding/binary"
	"fmt"
	"math"

	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/wal"
)

// The kinds of log record beside those of package idempotency. docs/notes/store-files.md describes their encoding.
const (
	kindRun     = idempotency.NextKind + iota // a process has started: boot ID, and offset of the store's time from the clock
	kindRetry                                 // a retry was sent: its time
	kindLearned                               // learned state: its time and encoding
)

// timeSize is the size of an encoded time, in bytes.
const timeSize = 8

// runRecord is the record that a process writes when it opens the store.
type runRecord struct {
	bootID string
	offset float64 // store's time minus the machine's clock, in seconds
}

func (r runRecord) encode() []byte { return append(appendTime(nil, r.offset), r.bootID...) }

// appendRun appends the runRecord of this process.
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

// replayRecord applies a log record. A runRecord is stored in last.
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
		return fmt.Errorf("malformed record of kind %d", kind)
	}
	return nil
}
