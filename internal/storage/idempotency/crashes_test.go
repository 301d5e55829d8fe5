package idempotency

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// knownKey is what clients and engines know about a key, which the index must not contradict.
type knownKey struct {
	idempotency Idempotency
	ranAt       []float64 // start times of the attempts that ran
	succeeded   bool      // the clients were given a successful answer
	lastRepeat  float64   // latest time at which the clients may have used the key
}

// crashModel runs random requests and crashes against an index.
type crashModel struct {
	*rapid.T
	index    *loggedIndex
	known    map[string]*knownKey
	inFlight map[string]*Record
}

// Random requests and crashes, where a crash loses any of the log records that nobody has waited for. A non-idempotent
// request that ran, or may have run, must never run again while its client may repeat it (P1); an answer must be the same
// each time (P2); the recorded first attempt of a request with an idempotency key must not be later than the real one (P3);
// and sizes must add up.
func TestRandomCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Retention:  30,
			MaxRecords: rapid.SampledFrom([]int{4, 100}).Draw(t, "most"),
			MaxBytes:   rapid.SampledFrom([]int{2000, 1 << 20}).Draw(t, "room"),
		}
		m := &crashModel{T: t, index: newLoggedIndex(limits), known: map[string]*knownKey{}, inFlight: map[string]*Record{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.index.now += rapid.SampledFrom([]float64{0, 0.1, 1, 1, 5}).Draw(t, "time")
			m.step(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key")))
			m.checkSizes()
		}
		m.checkNothingStays()
	})
}

// step runs one random event, of one key or of all keys.
func (m *crashModel) step(key string) {
	known := m.known[key]
	if known == nil {
		known = &knownKey{idempotency: Idempotency(rapid.IntRange(0, 2).Draw(m.T, "effect"))}
		m.known[key] = known
	}
	record := m.inFlight[key]
	switch rapid.IntRange(0, 6).Draw(m.T, "what") {
	case 0, 1, 2:
		m.admit(key, known)
	case 3:
		if record != nil {
			m.attempt(key, known, record)
		}
	case 4:
		if record != nil {
			m.finish(key, known, record)
		}
	case 5:
		m.crash()
	case 6:
		m.index.compact()
	}
}

// mayRepeat reports whether a client may still use a key.
func (m *crashModel) mayRepeat(known *knownKey) bool {
	return m.index.now < known.lastRepeat+m.index.limits.Retention
}

// admit sends a client's request with a key.
func (m *crashModel) admit(key string, known *knownKey) {
	mayRepeat := m.mayRepeat(known)
	if !mayRepeat && m.inFlight[key] == nil { // nobody may repeat the old request any more: this is another one
		known.ranAt, known.succeeded = nil, false
	}
	limits, before := m.index.limits, m.index.Len()
	decision, record := m.index.Admit(m.index.now, key, known.idempotency, limits.Retention, false)
	switch {
	case decision == Proceed && mayRepeat && known.succeeded && known.idempotency != Idempotent:
		m.Fatalf("%s: got Proceed after a success", key)
	case decision == Answered && record.RowsComplete && string(record.Rows) != "rows":
		m.Fatalf("%s: got answer %q, want \"rows\"", key, record.Rows)
	case decision == InProgress && m.inFlight[key] == nil:
		m.Fatalf("%s: got InProgress without a request in flight", key)
	case decision == Proceed && record != nil && m.index.Len() > max(limits.MaxRecords, before):
		m.Fatalf("got %d keys, want at most %d", m.index.Len(), limits.MaxRecords)
	}
	if (decision == Proceed || decision == Retry) && record != nil {
		if m.inFlight[key] != nil {
			m.Fatalf("%s: admitted while another request is in flight", key)
		}
		m.inFlight[key] = record
		if decision == Retry && mayRepeat {
			m.checkFirstAttempt(key, known, record)
		}
	}
	known.lastRepeat = m.index.now
}

// checkFirstAttempt checks that the first recorded attempt that may have run is no later than the first one that ran (P3).
func (m *crashModel) checkFirstAttempt(key string, known *knownKey, record *Record) {
	if known.idempotency != IdempotentWithKey || len(known.ranAt) == 0 {
		return
	}
	ran, recorded := slices.Min(known.ranAt), record.firstThatMayHaveRun().StartedAt
	const rounding = 1e-9
	if recorded > ran+rounding && m.index.now < ran+m.index.limits.Retention {
		m.Fatalf("%s: first attempt recorded at %g, want %g or earlier", key, recorded, ran)
	}
}

// attempt sends a request to an engine, unless its record can't be written.
func (m *crashModel) attempt(key string, known *knownKey, record *Record) {
	if known.idempotency == NonIdempotent && record.firstThatMayHaveRun() != nil {
		return // the admission controller would not send it
	}
	if known.idempotency == NonIdempotent && len(known.ranAt) > 0 && m.mayRepeat(known) {
		m.Fatalf("P1: %s: ran at %v, admitted again at %g", key, known.ranAt, m.index.now)
	}
	number := m.index.StartAttempt(m.index.now, record, "e1", 1, 1)
	m.index.drain()
	if known.idempotency.NeedsRecord() {
		if rapid.IntRange(0, 4).Draw(m.T, "disk") == 0 { // the record can't be written
			m.index.EndAttempt(m.index.now, record, number, false)
			m.index.drain()
			return
		}
		m.index.synced = len(m.index.log)
	}
	ran := rapid.Bool().Draw(m.T, "ran")
	if ran {
		known.ranAt = append(known.ranAt, m.index.now)
	}
	if rapid.Bool().Draw(m.T, "told") {
		m.index.EndAttempt(m.index.now, record, number, ran)
	}
	known.lastRepeat = m.index.now
}

// finish ends a request with a random answer.
func (m *crashModel) finish(key string, known *knownKey, record *Record) {
	outcome := rapid.SampledFrom([]Outcome{Pending, Succeeded, Failed}).Draw(m.T, "outcome")
	if outcome == Succeeded && record.firstThatMayHaveRun() == nil {
		outcome = Pending
	}
	m.index.Finish(m.index.now, record, outcome, []byte("rows"), true)
	if outcome == Succeeded {
		known.succeeded = true
	}
	delete(m.inFlight, key)
	known.lastRepeat = m.index.now
}

// crash kills the process or the machine. A recorded answer may be lost; the request then counts as one that may have run.
func (m *crashModel) crash() {
	m.index.drain()
	keep := rapid.IntRange(m.index.synced, len(m.index.log)).Draw(m.T, "kept")
	if err := m.index.restart(keep, rapid.Bool().Draw(m.T, "machine")); err != nil {
		m.Fatal(err)
	}
	clear(m.inFlight)
	for _, known := range m.known {
		known.succeeded = false
	}
}

// checkSizes checks that the size and length that the index reports match its records.
func (m *crashModel) checkSizes() {
	sum := 0
	for _, record := range m.index.byKey {
		sum += record.memorySize()
	}
	if sum != m.index.Size() || len(m.index.byExpiry) != m.index.Len() {
		m.Fatalf("got %[3]d bytes and %[4]d keys, want %[1]d and %[2]d", sum, len(m.index.byExpiry), m.index.Size(), m.index.Len())
	}
}

// checkNothingStays checks that the index is empty once nobody may repeat any key.
func (m *crashModel) checkNothingStays() {
	for key, record := range m.inFlight {
		m.index.Finish(m.index.now, record, Pending, nil, false)
		delete(m.inFlight, key)
	}
	m.index.now += 2*m.index.limits.Retention + 1
	if next := m.index.Expire(m.index.now); m.index.Len() != 0 || m.index.Size() != 0 || !math.IsInf(next, 1) {
		m.Fatalf("got %d keys and %d bytes after everything expired, want none", m.index.Len(), m.index.Size())
	}
}
