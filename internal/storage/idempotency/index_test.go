package idempotency

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

var decisionWords = []string{"fresh", "again", "answered", "joined", "may have run", "no room"}

// loggedIndex drives one past and keeps its records as a disk would.
type loggedIndex struct {
	*Index
	now     float64
	limits  Limits
	records [][]byte // each with its kind in front
	synced  int
}

func newLoggedIndex(rules Limits) *loggedIndex { return &loggedIndex{Index: New(rules), limits: rules} }

// drain takes what was written.
func (d *loggedIndex) drain() {
	for b := d.DrainLog(); len(b) > 0; {
		size, n := binary.Uvarint(b)
		d.records = append(d.records, b[n:n+int(size)])
		b = b[n+int(size):]
	}
}

// restart begins another life on the first records.
func (d *loggedIndex) restart(keep int, machine bool) error {
	d.drain()
	d.records = d.records[:keep]
	d.Index = New(d.limits)
	for _, r := range d.records {
		if err := d.Replay(r[0], r[1:]); err != nil {
			return err
		}
	}
	d.synced = len(d.records)
	d.Resume(max(d.now, d.LatestTime()), machine)
	return nil
}

// What a job may do after each way in which an earlier try of its key may have ended, by its type, in the same life and in
// the next.
func TestDecisions(t *testing.T) {
	var lines []string
	for _, effect := range []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent} {
		for _, c := range []struct {
			name string
			do   func(index *loggedIndex, record *Record)
		}{
			{"throttled before any dispatch", func(index *loggedIndex, record *Record) { index.Finish(index.now, record, Pending, nil, false) }},
			{"taken, no more", func(*loggedIndex, *Record) {}},
			{"sent, no more", func(index *loggedIndex, record *Record) { index.StartAttempt(index.now, record, "e1", 1, 2) }},
			{"sent, did not run", func(index *loggedIndex, record *Record) {
				index.EndAttempt(index.now, record, index.StartAttempt(index.now, record, "e1", 1, 2), false)
			}},
			{"sent, ran, no answer", func(index *loggedIndex, record *Record) {
				index.EndAttempt(index.now, record, index.StartAttempt(index.now, record, "e1", 1, 2), true)
			}},
			{"done", func(index *loggedIndex, record *Record) {
				index.EndAttempt(index.now, record, index.StartAttempt(index.now, record, "e1", 1, 2), true)
				index.Finish(index.now, record, Succeeded, []byte("rows"), true)
			}},
			{"done, rows too many", func(index *loggedIndex, record *Record) {
				index.EndAttempt(index.now, record, index.StartAttempt(index.now, record, "e1", 1, 2), true)
				index.Finish(index.now, record, Succeeded, nil, false)
			}},
			{"ran and failed", func(index *loggedIndex, record *Record) {
				index.EndAttempt(index.now, record, index.StartAttempt(index.now, record, "e1", 1, 2), true)
				index.Finish(index.now, record, Failed, nil, false)
			}},
			{"given up while it may run", func(index *loggedIndex, record *Record) {
				index.StartAttempt(index.now, record, "e1", 1, 2)
				index.Finish(index.now, record, Failed, nil, false)
			}},
			{"its client left while it may run", func(index *loggedIndex, record *Record) {
				index.StartAttempt(index.now, record, "e1", 1, 2)
				index.Finish(index.now, record, Pending, nil, false)
			}},
		} {
			line := fmt.Sprintf("%s, %s:", []string{"restartable", "keyed", "run-once"}[effect], c.name)
			for _, life := range []string{"same life", "next", "next, the machine was started"} {
				index := newLoggedIndex(Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20})
				index.now = 1000
				_, record := index.Admit(index.now, "k", effect, 10, false)
				c.do(index, record)
				index.now += 5
				if life != "same life" {
					index.drain()
					if err := index.restart(len(index.records), life != "next"); err != nil {
						t.Fatal(err)
					}
				}
				decision, record := index.Admit(index.now, "k", effect, 10, false)
				line += fmt.Sprintf(" %s %s", life, decisionWords[decision])
				if decision == Retry {
					line += fmt.Sprintf(" (%d before, the first of zone %d)", len(record.Attempts), record.Attempts[0].Zone)
				}
				if decision == Answered {
					line += fmt.Sprintf(" (outcome %d, %q)", record.Outcome, record.Rows)
				}
				line += ";"
			}
			lines = append(lines, strings.TrimSuffix(line, ";"))
		}
	}
	late := newLoggedIndex(Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20})
	_, record := late.Admit(0, "k", IdempotentWithKey, 10, false)
	late.Finish(0, record, Failed, nil, false) // nothing ran
	_, record = late.Admit(1, "k", IdempotentWithKey, 10, false)
	late.StartAttempt(1, record, "e1", 1, 2)
	late.Finish(2, record, Pending, nil, false)
	decision, record := late.Admit(10.9, "k", IdempotentWithKey, 10, false)
	late.Finish(10.9, record, Pending, nil, false)
	again, _ := late.Admit(11.1, "k", IdempotentWithKey, 10, false)
	lines = append(lines, fmt.Sprintf("keyed, 10 s after its first dispatch at 1: at 10.9 %s, at 11.1 %s", decisionWords[decision], decisionWords[again]))
	// Bounds, windows, gaps.
	index := newLoggedIndex(Limits{Retention: 60, MaxRecords: 3, MaxBytes: 1 << 20})
	take := func(key string, effect Idempotency, first bool) string {
		decision, record := index.Admit(index.now, key, effect, 10, first)
		if record != nil && decision == Proceed && effect == Idempotent {
			index.Finish(index.now, record, Succeeded, []byte("rows"), true)
		}
		return fmt.Sprintf("%s %s", key, decisionWords[decision])
	}
	lines = append(lines, "three may be kept: "+strings.Join([]string{take("a", NonIdempotent, false), take("b", Idempotent, false), take("c", NonIdempotent, false), take("d", NonIdempotent, false),
		take("e", NonIdempotent, false), take("f", Idempotent, false)}, ", "))
	index = newLoggedIndex(Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20})
	index.now = 10
	index.RecordsLost(index.now)
	lines = append(lines, "records were lost: "+strings.Join([]string{take("a", NonIdempotent, false), take("b", NonIdempotent, true), take("c", Idempotent, false), take("d", IdempotentWithKey, false)}, ", "))
	index.now = 71
	lines = append(lines, "a window later: "+take("a", NonIdempotent, false))
	testutil.Check(t, lines)
}

// Any jobs and crashes: each crash loses any records that nobody had waited for. A run-once job that did run, or may have,
// never goes again while its client may repeat it (P1); an answer is the same each time (P2); what a keyed job is told of
// its first dispatch is no later than it was (P3); sizes add up.
func TestRandomCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Limits{Retention: 30, MaxRecords: rapid.SampledFrom([]int{4, 100}).Draw(t, "most"), MaxBytes: rapid.SampledFrom([]int{2000, 1 << 20}).Draw(t, "room")}
		index := newLoggedIndex(rules)
		type truth struct {
			effect Idempotency
			ran    []float64 // when dispatches went that did run
			answer string    // that its clients were given
			word   float64   // its client's latest
		}
		keys := map[string]*truth{}
		open := map[string]*Record{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			index.now += rapid.SampledFrom([]float64{0, 0.1, 1, 1, 5}).Draw(t, "time")
			key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
			known := keys[key]
			if known == nil {
				known = &truth{effect: Idempotency(rapid.IntRange(0, 2).Draw(t, "effect"))}
				keys[key] = known
			}
			within := index.now < known.word+rules.Retention
			switch e := open[key]; rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2: // a client comes with it
				if !within && e == nil { // nobody may repeat it any more: it is another job
					known.ran, known.answer = nil, ""
				}
				before := index.Len()
				decision, got := index.Admit(index.now, key, known.effect, rules.Retention, false)
				if decision == Answered && within && known.answer != "" && got.Outcome == Succeeded && known.answer != "done" {
					t.Fatalf("%s is answered done, it was %s", key, known.answer)
				}
				if decision == Proceed && within && known.answer == "done" && known.effect != Idempotent {
					t.Fatalf("%s was done, and is fresh", key)
				}
				if decision == InProgress && open[key] == nil {
					t.Fatalf("%s is joined, and is not open", key)
				}
				if decision == Proceed && got != nil && index.Len() > max(rules.MaxRecords, before) {
					t.Fatalf("%d keys, %d at most", index.Len(), rules.MaxRecords)
				}
				if (decision == Proceed || decision == Retry) && got != nil {
					if open[key] != nil {
						t.Fatalf("%s is open twice", key)
					}
					open[key] = got
					if decision == Retry && len(known.ran) > 0 && known.effect == IdempotentWithKey && within && got.firstThatMayHaveRun().StartedAt > slices.Min(known.ran)+1e-9 && index.now < slices.Min(known.ran)+rules.Retention {
						t.Fatalf("%s ran first at %g, the module hears of %g", key, slices.Min(known.ran), got.firstThatMayHaveRun().StartedAt)
					}
				}
				known.word = index.now
			case 3: // it is dispatched
				if e == nil {
					continue
				}
				if known.effect == NonIdempotent && e.firstThatMayHaveRun() != nil {
					continue // the module would not
				}
				if known.effect == NonIdempotent && len(known.ran) > 0 && within {
					t.Fatalf("P1: %s ran at %v and goes again at %g", key, known.ran, index.now)
				}
				n := index.StartAttempt(index.now, e, "e1", 1, 1)
				index.drain()
				if known.effect.NeedsRecord() && rapid.IntRange(0, 4).Draw(t, "disk") == 0 { // the record can't be had
					index.EndAttempt(index.now, e, n, false)
					index.drain()
					continue
				}
				if known.effect.NeedsRecord() {
					index.synced = len(index.records)
				}
				ran := rapid.Bool().Draw(t, "ran")
				if ran {
					known.ran = append(known.ran, index.now)
				}
				if rapid.Bool().Draw(t, "told") {
					index.EndAttempt(index.now, e, n, ran)
				}
				known.word = index.now
			case 4: // it is answered
				if e == nil {
					continue
				}
				o, rows := rapid.SampledFrom([]Outcome{Pending, Succeeded, Failed}).Draw(t, "outcome"), []byte("rows")
				if o == Succeeded && e.firstThatMayHaveRun() == nil {
					o = Pending
				}
				index.Finish(index.now, e, o, rows, true)
				if o == Succeeded {
					known.answer = "done"
				}
				delete(open, key)
				known.word = index.now
			case 5: // the controller is killed, or the machine crashes
				index.drain()
				if err := index.restart(rapid.IntRange(index.synced, len(index.records)).Draw(t, "kept"), rapid.Bool().Draw(t, "machine")); err != nil {
					t.Fatal(err)
				}
				clear(open)
				for _, known := range keys {
					if known.effect != Idempotent && known.answer == "done" && len(known.ran) == 0 {
						known.answer = ""
					}
					if known.answer == "done" { // the word of it may be lost: then it may have run
						known.answer = ""
					}
				}
			case 6: // all is written anew
				index.drain()
				index.records = nil
				b := index.AppendSnapshotHeader(nil)
				for _, key := range index.Keys() {
					b = index.AppendSnapshot(b, key)
				}
				index.pendingLog = b
				index.drain()
				index.synced = len(index.records)
			}
			sum := 0
			for _, e := range index.byKey {
				sum += e.memorySize()
			}
			if sum != index.Size() || len(index.byExpiry) != index.Len() {
				t.Fatalf("%d bytes and %d keys are kept, told are %d and %d", sum, len(index.byExpiry), index.Size(), index.Len())
			}
		}
		// Once nobody may repeat anything nothing is kept.
		for key, e := range open {
			index.Finish(index.now, e, Pending, nil, false)
			delete(open, key)
		}
		index.now += 2*rules.Retention + 1
		if next := index.Expire(index.now); index.Len() != 0 || index.Size() != 0 || !math.IsInf(next, 1) {
			t.Fatalf("%d keys and %d bytes are kept for good", index.Len(), index.Size())
		}
	})
}

// Any bytes are a record or an error, and what they are read as stays within bounds.
func FuzzReplay(f *testing.F) {
	d := newLoggedIndex(Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20})
	_, e := d.Admit(1, "k", IdempotentWithKey, 10, false)
	d.EndAttempt(2, e, d.StartAttempt(1, e, "engine", 1, 2), true)
	d.Finish(3, e, Succeeded, []byte("rows"), true)
	d.drain()
	for _, r := range d.records {
		f.Add(r[0], r[1:])
	}
	f.Add(kindRecord, d.AppendSnapshot(nil, "k")[3:])
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		p := New(Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20})
		if p.Replay(kind, body) == nil {
			p.Resume(p.LatestTime(), true)
			for _, key := range p.Keys() {
				if len(p.byKey[key].Attempts) > maxAttempts {
					t.Fatalf("%d dispatches", len(p.byKey[key].Attempts))
				}
				p.Admit(p.LatestTime(), key, IdempotentWithKey, 10, false)
			}
		}
	})
}
