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

var verdicts = []string{"fresh", "again", "answered", "joined", "may have run", "no room"}

// desk drives one past and keeps its records as a disk would.
type desk struct {
	*Index
	at      float64
	rules   Limits
	records [][]byte // each with its kind in front
	synced  int
}

func newDesk(rules Limits) *desk { return &desk{Index: New(rules), rules: rules} }

// wrote takes what was written.
func (d *desk) wrote() {
	for b := d.DrainLog(); len(b) > 0; {
		size, n := binary.Uvarint(b)
		d.records = append(d.records, b[n:n+int(size)])
		b = b[n+int(size):]
	}
}

// again begins another life on the first records.
func (d *desk) again(keep int, machine bool) error {
	d.wrote()
	d.records = d.records[:keep]
	d.Index = New(d.rules)
	for _, r := range d.records {
		if err := d.Replay(r[0], r[1:]); err != nil {
			return err
		}
	}
	d.synced = len(d.records)
	d.Resume(max(d.at, d.LatestTime()), machine)
	return nil
}

// What a job may do after each way in which an earlier try of its key may have ended, by its type, in the same life and in
// the next.
func TestWhatMayCome(t *testing.T) {
	var lines []string
	for _, effect := range []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent} {
		for _, c := range []struct {
			name string
			do   func(d *desk, e *Record)
		}{
			{"throttled before any dispatch", func(d *desk, e *Record) { d.Finish(d.at, e, Pending, nil, false) }},
			{"taken, no more", func(*desk, *Record) {}},
			{"sent, no more", func(d *desk, e *Record) { d.StartAttempt(d.at, e, "e1", 1, 2) }},
			{"sent, did not run", func(d *desk, e *Record) { d.EndAttempt(d.at, e, d.StartAttempt(d.at, e, "e1", 1, 2), false) }},
			{"sent, ran, no answer", func(d *desk, e *Record) { d.EndAttempt(d.at, e, d.StartAttempt(d.at, e, "e1", 1, 2), true) }},
			{"done", func(d *desk, e *Record) {
				d.EndAttempt(d.at, e, d.StartAttempt(d.at, e, "e1", 1, 2), true)
				d.Finish(d.at, e, Succeeded, []byte("rows"), true)
			}},
			{"done, rows too many", func(d *desk, e *Record) {
				d.EndAttempt(d.at, e, d.StartAttempt(d.at, e, "e1", 1, 2), true)
				d.Finish(d.at, e, Succeeded, nil, false)
			}},
			{"ran and failed", func(d *desk, e *Record) {
				d.EndAttempt(d.at, e, d.StartAttempt(d.at, e, "e1", 1, 2), true)
				d.Finish(d.at, e, Failed, nil, false)
			}},
			{"given up while it may run", func(d *desk, e *Record) {
				d.StartAttempt(d.at, e, "e1", 1, 2)
				d.Finish(d.at, e, Failed, nil, false)
			}},
			{"its client left while it may run", func(d *desk, e *Record) {
				d.StartAttempt(d.at, e, "e1", 1, 2)
				d.Finish(d.at, e, Pending, nil, false)
			}},
		} {
			line := fmt.Sprintf("%s, %s:", []string{"restartable", "keyed", "run-once"}[effect], c.name)
			for _, life := range []string{"same life", "next", "next, the machine was started"} {
				d := newDesk(Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20})
				d.at = 1000
				_, e := d.Admit(d.at, "k", effect, 10, false)
				c.do(d, e)
				d.at += 5
				if life != "same life" {
					d.wrote()
					if err := d.again(len(d.records), life != "next"); err != nil {
						t.Fatal(err)
					}
				}
				v, e := d.Admit(d.at, "k", effect, 10, false)
				line += fmt.Sprintf(" %s %s", life, verdicts[v])
				if v == Retry {
					line += fmt.Sprintf(" (%d before, the first of zone %d)", len(e.Attempts), e.Attempts[0].Zone)
				}
				if v == Answered {
					line += fmt.Sprintf(" (outcome %d, %q)", e.Outcome, e.Rows)
				}
				line += ";"
			}
			lines = append(lines, strings.TrimSuffix(line, ";"))
		}
	}
	late := newDesk(Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20})
	_, e := late.Admit(0, "k", IdempotentWithKey, 10, false)
	late.Finish(0, e, Failed, nil, false) // nothing ran
	_, e = late.Admit(1, "k", IdempotentWithKey, 10, false)
	late.StartAttempt(1, e, "e1", 1, 2)
	late.Finish(2, e, Pending, nil, false)
	v, e := late.Admit(10.9, "k", IdempotentWithKey, 10, false)
	late.Finish(10.9, e, Pending, nil, false)
	again, _ := late.Admit(11.1, "k", IdempotentWithKey, 10, false)
	lines = append(lines, fmt.Sprintf("keyed, 10 s after its first dispatch at 1: at 10.9 %s, at 11.1 %s", verdicts[v], verdicts[again]))
	// Bounds, windows, gaps.
	d := newDesk(Limits{Retention: 60, MaxRecords: 3, MaxBytes: 1 << 20})
	take := func(key string, effect Idempotency, first bool) string {
		v, e := d.Admit(d.at, key, effect, 10, first)
		if e != nil && v == Proceed && effect == Idempotent {
			d.Finish(d.at, e, Succeeded, []byte("rows"), true)
		}
		return fmt.Sprintf("%s %s", key, verdicts[v])
	}
	lines = append(lines, "three may be kept: "+strings.Join([]string{take("a", NonIdempotent, false), take("b", Idempotent, false), take("c", NonIdempotent, false), take("d", NonIdempotent, false),
		take("e", NonIdempotent, false), take("f", Idempotent, false)}, ", "))
	d = newDesk(Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20})
	d.at = 10
	d.RecordsLost(d.at)
	lines = append(lines, "records were lost: "+strings.Join([]string{take("a", NonIdempotent, false), take("b", NonIdempotent, true), take("c", Idempotent, false), take("d", IdempotentWithKey, false)}, ", "))
	d.at = 71
	lines = append(lines, "a window later: "+take("a", NonIdempotent, false))
	testutil.Check(t, lines)
}

// Any jobs and crashes: each crash loses any records that nobody had waited for. A run-once job that did run, or may have,
// never goes again while its client may repeat it (P1); an answer is the same each time (P2); what a keyed job is told of
// its first dispatch is no later than it was (P3); sizes add up.
func TestAnyCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Limits{Retention: 30, MaxRecords: rapid.SampledFrom([]int{4, 100}).Draw(t, "most"), MaxBytes: rapid.SampledFrom([]int{2000, 1 << 20}).Draw(t, "room")}
		d := newDesk(rules)
		type truth struct {
			effect Idempotency
			ran    []float64 // when dispatches went that did run
			answer string    // that its clients were given
			word   float64   // its client's latest
		}
		keys := map[string]*truth{}
		open := map[string]*Record{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			d.at += rapid.SampledFrom([]float64{0, 0.1, 1, 1, 5}).Draw(t, "time")
			key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
			x := keys[key]
			if x == nil {
				x = &truth{effect: Idempotency(rapid.IntRange(0, 2).Draw(t, "effect"))}
				keys[key] = x
			}
			within := d.at < x.word+rules.Retention
			switch e := open[key]; rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2: // a client comes with it
				if !within && e == nil { // nobody may repeat it any more: it is another job
					x.ran, x.answer = nil, ""
				}
				before := d.Len()
				v, got := d.Admit(d.at, key, x.effect, rules.Retention, false)
				if v == Answered && within && x.answer != "" && got.Outcome == Succeeded && x.answer != "done" {
					t.Fatalf("%s is answered done, it was %s", key, x.answer)
				}
				if v == Proceed && within && x.answer == "done" && x.effect != Idempotent {
					t.Fatalf("%s was done, and is fresh", key)
				}
				if v == InProgress && open[key] == nil {
					t.Fatalf("%s is joined, and is not open", key)
				}
				if v == Proceed && got != nil && d.Len() > max(rules.MaxRecords, before) {
					t.Fatalf("%d keys, %d at most", d.Len(), rules.MaxRecords)
				}
				if (v == Proceed || v == Retry) && got != nil {
					if open[key] != nil {
						t.Fatalf("%s is open twice", key)
					}
					open[key] = got
					if v == Retry && len(x.ran) > 0 && x.effect == IdempotentWithKey && within && got.firstThatMayHaveRun().StartedAt > slices.Min(x.ran)+1e-9 && d.at < slices.Min(x.ran)+rules.Retention {
						t.Fatalf("%s ran first at %g, the module hears of %g", key, slices.Min(x.ran), got.firstThatMayHaveRun().StartedAt)
					}
				}
				x.word = d.at
			case 3: // it is dispatched
				if e == nil {
					continue
				}
				if x.effect == NonIdempotent && e.firstThatMayHaveRun() != nil {
					continue // the module would not
				}
				if x.effect == NonIdempotent && len(x.ran) > 0 && within {
					t.Fatalf("P1: %s ran at %v and goes again at %g", key, x.ran, d.at)
				}
				n := d.StartAttempt(d.at, e, "e1", 1, 1)
				d.wrote()
				if x.effect.NeedsRecord() && rapid.IntRange(0, 4).Draw(t, "disk") == 0 { // the record can't be had
					d.EndAttempt(d.at, e, n, false)
					d.wrote()
					continue
				}
				if x.effect.NeedsRecord() {
					d.synced = len(d.records)
				}
				ran := rapid.Bool().Draw(t, "ran")
				if ran {
					x.ran = append(x.ran, d.at)
				}
				if rapid.Bool().Draw(t, "told") {
					d.EndAttempt(d.at, e, n, ran)
				}
				x.word = d.at
			case 4: // it is answered
				if e == nil {
					continue
				}
				o, rows := rapid.SampledFrom([]Outcome{Pending, Succeeded, Failed}).Draw(t, "outcome"), []byte("rows")
				if o == Succeeded && e.firstThatMayHaveRun() == nil {
					o = Pending
				}
				d.Finish(d.at, e, o, rows, true)
				if o == Succeeded {
					x.answer = "done"
				}
				delete(open, key)
				x.word = d.at
			case 5: // the controller is killed, or the machine crashes
				d.wrote()
				if err := d.again(rapid.IntRange(d.synced, len(d.records)).Draw(t, "kept"), rapid.Bool().Draw(t, "machine")); err != nil {
					t.Fatal(err)
				}
				clear(open)
				for _, x := range keys {
					if x.effect != Idempotent && x.answer == "done" && len(x.ran) == 0 {
						x.answer = ""
					}
					if x.answer == "done" { // the word of it may be lost: then it may have run
						x.answer = ""
					}
				}
			case 6: // all is written anew
				d.wrote()
				d.records = nil
				b := d.AppendSnapshotHeader(nil)
				for _, key := range d.Keys() {
					b = d.AppendSnapshot(b, key)
				}
				d.pendingLog = b
				d.wrote()
				d.synced = len(d.records)
			}
			sum := 0
			for _, e := range d.byKey {
				sum += e.memorySize()
			}
			if sum != d.Size() || len(d.byExpiry) != d.Len() {
				t.Fatalf("%d bytes and %d keys are kept, told are %d and %d", sum, len(d.byExpiry), d.Size(), d.Len())
			}
		}
		// Once nobody may repeat anything nothing is kept.
		for key, e := range open {
			d.Finish(d.at, e, Pending, nil, false)
			delete(open, key)
		}
		d.at += 2*rules.Retention + 1
		if next := d.Expire(d.at); d.Len() != 0 || d.Size() != 0 || !math.IsInf(next, 1) {
			t.Fatalf("%d keys and %d bytes are kept for good", d.Len(), d.Size())
		}
	})
}

// Any bytes are a record or an error, and what they are read as stays within bounds.
func FuzzReplay(f *testing.F) {
	d := newDesk(Limits{Retention: 60, MaxRecords: 100, MaxBytes: 1 << 20})
	_, e := d.Admit(1, "k", IdempotentWithKey, 10, false)
	d.EndAttempt(2, e, d.StartAttempt(1, e, "engine", 1, 2), true)
	d.Finish(3, e, Succeeded, []byte("rows"), true)
	d.wrote()
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
