package idempotency

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// knownKey is what the clients and engines know of a key, which the index must not contradict.
type knownKey struct {
	idempotency Idempotency
	ranAt       []float64 // when attempts started that did run
	succeeded   bool      // its clients were given that answer
	lastRepeat  float64   // when its clients may last have come with it
}

// crashModel plays requests and crashes against an index.
type crashModel struct {
	*rapid.T
	index    *loggedIndex
	known    map[string]*knownKey
	inFlight map[string]*Record
}

// Any requests and crashes: each crash loses any log records that nobody had waited for. A non-idempotent request that did
// run, or may have, never runs again while its client may repeat it (P1); an answer is the same each time (P2); what a
// request with an idempotency key is told of its first attempt is no later than it was (P3); sizes add up.
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

// step plays one event of a key, or of all.
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

// mayRepeat reports whether a client may still come with a key.
func (m *crashModel) mayRepeat(known *knownKey) bool {
	return m.index.now < known.lastRepeat+m.index.limits.Retention
}

// admit has a client come with a key.
func (m *crashModel) admit(key string, known *knownKey) {
	mayRepeat := m.mayRepeat(known)
	if !mayRepeat && m.inFlight[key] == nil { // nobody may repeat it any more: it is another request
		known.ranAt, known.succeeded = nil, false
	}
	limits, before := m.index.limits, m.index.Len()
	decision, record := m.index.Admit(m.index.now, key, known.idempotency, limits.Retention, false)
	switch {
	case decision == Proceed && mayRepeat && known.succeeded && known.idempotency != Idempotent:
		m.Fatalf("%s has succeeded, and is new", key)
	case decision == Answered && record.RowsComplete && string(record.Rows) != "rows":
		m.Fatalf("%s is answered %q", key, record.Rows)
	case decision == InProgress && m.inFlight[key] == nil:
		m.Fatalf("%s is in progress, and is not open", key)
	case decision == Proceed && record != nil && m.index.Len() > max(limits.MaxRecords, before):
		m.Fatalf("%d keys, %d at most", m.index.Len(), limits.MaxRecords)
	}
	if (decision == Proceed || decision == Retry) && record != nil {
		if m.inFlight[key] != nil {
			m.Fatalf("%s is open twice", key)
		}
		m.inFlight[key] = record
		if decision == Retry && mayRepeat {
			m.checkFirstAttempt(key, known, record)
		}
	}
	known.lastRepeat = m.index.now
}

// checkFirstAttempt checks that the first attempt which is told of is no later than the first one that ran (P3).
func (m *crashModel) checkFirstAttempt(key string, known *knownKey, record *Record) {
	if known.idempotency != IdempotentWithKey || len(known.ranAt) == 0 {
		return
	}
	ran, told := slices.Min(known.ranAt), record.firstThatMayHaveRun().StartedAt
	const rounding = 1e-9
	if told > ran+rounding && m.index.now < ran+m.index.limits.Retention {
		m.Fatalf("%s ran first at %g, the admission module hears of %g", key, ran, told)
	}
}

// attempt sends a request to an engine, unless its record can't be had.
func (m *crashModel) attempt(key string, known *knownKey, record *Record) {
	if known.idempotency == NonIdempotent && record.firstThatMayHaveRun() != nil {
		return // the admission controller would not
	}
	if known.idempotency == NonIdempotent && len(known.ranAt) > 0 && m.mayRepeat(known) {
		m.Fatalf("P1: %s ran at %v and runs again at %g", key, known.ranAt, m.index.now)
	}
	number := m.index.StartAttempt(m.index.now, record, "e1", 1, 1)
	m.index.drain()
	if known.idempotency.NeedsRecord() {
		if rapid.IntRange(0, 4).Draw(m.T, "disk") == 0 { // the record can't be had
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

// finish answers a request.
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

// crash kills the controller, or the machine. Then the word of an answer may be lost: the request may have run.
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

// checkSizes checks that what the index tells of itself adds up.
func (m *crashModel) checkSizes() {
	sum := 0
	for _, record := range m.index.byKey {
		sum += record.memorySize()
	}
	if sum != m.index.Size() || len(m.index.byExpiry) != m.index.Len() {
		m.Fatalf("%d bytes and %d keys are kept, told are %d and %d", sum, len(m.index.byExpiry), m.index.Size(), m.index.Len())
	}
}

// checkNothingStays checks that once nobody may repeat anything nothing is kept.
func (m *crashModel) checkNothingStays() {
	for key, record := range m.inFlight {
		m.index.Finish(m.index.now, record, Pending, nil, false)
		delete(m.inFlight, key)
	}
	m.index.now += 2*m.index.limits.Retention + 1
	if next := m.index.Expire(m.index.now); m.index.Len() != 0 || m.index.Size() != 0 || !math.IsInf(next, 1) {
		m.Fatalf("%d keys and %d bytes are kept for good", m.index.Len(), m.index.Size())
	}
}
