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
	*Past
	at      float64
	rules   Rules
	records [][]byte // each with its kind in front
	synced  int
}

func newDesk(rules Rules) *desk { return &desk{Past: New(rules), rules: rules} }

// wrote takes what was written.
func (d *desk) wrote() {
	for b := d.Written(); len(b) > 0; {
		size, n := binary.Uvarint(b)
		d.records = append(d.records, b[n:n+int(size)])
		b = b[n+int(size):]
	}
}

// again begins another life on the first records.
func (d *desk) again(keep int, machine bool) error {
	d.wrote()
	d.records = d.records[:keep]
	d.Past = New(d.rules)
	for _, r := range d.records {
		if err := d.Replay(r[0], r[1:]); err != nil {
			return err
		}
	}
	d.synced = len(d.records)
	d.Resumed(max(d.at, d.Latest()), machine)
	return nil
}

// What a job may do after each way in which an earlier try of its key may have ended, by its type, in the same life and in
// the next.
func TestWhatMayCome(t *testing.T) {
	var lines []string
	for _, effect := range []Effect{Restartable, Keyed, RunOnce} {
		for _, c := range []struct {
			name string
			do   func(d *desk, e *Entry)
		}{
			{"throttled before any dispatch", func(d *desk, e *Entry) { d.Answer(d.at, e, Open, nil, false) }},
			{"taken, no more", func(d *desk, e *Entry) {}},
			{"sent, no more", func(d *desk, e *Entry) { d.Sends(d.at, e, "e1", 1, 2) }},
			{"sent, did not run", func(d *desk, e *Entry) { d.Ends(d.at, e, d.Sends(d.at, e, "e1", 1, 2), false) }},
			{"sent, ran, no answer", func(d *desk, e *Entry) { d.Ends(d.at, e, d.Sends(d.at, e, "e1", 1, 2), true) }},
			{"done", func(d *desk, e *Entry) {
				d.Ends(d.at, e, d.Sends(d.at, e, "e1", 1, 2), true)
				d.Answer(d.at, e, Done, []byte("rows"), true)
			}},
			{"done, rows too many", func(d *desk, e *Entry) {
				d.Ends(d.at, e, d.Sends(d.at, e, "e1", 1, 2), true)
				d.Answer(d.at, e, Done, nil, false)
			}},
			{"ran and failed", func(d *desk, e *Entry) {
				d.Ends(d.at, e, d.Sends(d.at, e, "e1", 1, 2), true)
				d.Answer(d.at, e, Failed, nil, false)
			}},
			{"given up while it may run", func(d *desk, e *Entry) {
				d.Sends(d.at, e, "e1", 1, 2)
				d.Answer(d.at, e, Failed, nil, false)
			}},
			{"its client left while it may run", func(d *desk, e *Entry) {
				d.Sends(d.at, e, "e1", 1, 2)
				d.Answer(d.at, e, Open, nil, false)
			}},
		} {
			line := fmt.Sprintf("%s, %s:", []string{"restartable", "keyed", "run-once"}[effect], c.name)
			for _, life := range []string{"same life", "next", "next, the machine was started"} {
				d := newDesk(Rules{Window: 60, Most: 100, Room: 1 << 20})
				d.at = 1000
				_, e := d.Take(d.at, "k", effect, 10, false)
				c.do(d, e)
				d.at += 5
				if life != "same life" {
					d.wrote()
					if err := d.again(len(d.records), life != "next"); err != nil {
						t.Fatal(err)
					}
				}
				v, e := d.Take(d.at, "k", effect, 10, false)
				line += fmt.Sprintf(" %s %s", life, verdicts[v])
				if v == Again {
					line += fmt.Sprintf(" (%d before, the first of zone %d)", len(e.Dispatches), e.Dispatches[0].Zone)
				}
				if v == Answered {
					line += fmt.Sprintf(" (outcome %d, %q)", e.Outcome, e.Answer)
				}
				line += ";"
			}
			lines = append(lines, strings.TrimSuffix(line, ";"))
		}
	}
	late := newDesk(Rules{Window: 60, Most: 100, Room: 1 << 20})
	_, e := late.Take(0, "k", Keyed, 10, false)
	late.Answer(0, e, Failed, nil, false) // nothing ran
	_, e = late.Take(1, "k", Keyed, 10, false)
	late.Sends(1, e, "e1", 1, 2)
	late.Answer(2, e, Open, nil, false)
	v, e := late.Take(10.9, "k", Keyed, 10, false)
	late.Answer(10.9, e, Open, nil, false)
	again, _ := late.Take(11.1, "k", Keyed, 10, false)
	lines = append(lines, fmt.Sprintf("keyed, 10 s after its first dispatch at 1: at 10.9 %s, at 11.1 %s", verdicts[v], verdicts[again]))
	// Bounds, windows, gaps.
	d := newDesk(Rules{Window: 60, Most: 3, Room: 1 << 20})
	take := func(key string, effect Effect, first bool) string {
		v, e := d.Take(d.at, key, effect, 10, first)
		if e != nil && v == Fresh && effect == Restartable {
			d.Answer(d.at, e, Done, []byte("rows"), true)
		}
		return fmt.Sprintf("%s %s", key, verdicts[v])
	}
	lines = append(lines, "three may be kept: "+strings.Join([]string{take("a", RunOnce, false), take("b", Restartable, false), take("c", RunOnce, false), take("d", RunOnce, false),
		take("e", RunOnce, false), take("f", Restartable, false)}, ", "))
	d = newDesk(Rules{Window: 60, Most: 100, Room: 1 << 20})
	d.at = 10
	d.Lost(d.at)
	lines = append(lines, "records were lost: "+strings.Join([]string{take("a", RunOnce, false), take("b", RunOnce, true), take("c", Restartable, false), take("d", Keyed, false)}, ", "))
	d.at = 71
	lines = append(lines, "a window later: "+take("a", RunOnce, false))
	testutil.Check(t, lines)
}

// Any jobs and crashes: each crash loses any records that nobody had waited for. A run-once job that did run, or may have,
// never goes again while its client may repeat it (P1); an answer is the same each time (P2); what a keyed job is told of
// its first dispatch is no later than it was (P3); sizes add up.
func TestAnyCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{Window: 30, Most: rapid.SampledFrom([]int{4, 100}).Draw(t, "most"), Room: rapid.SampledFrom([]int{2000, 1 << 20}).Draw(t, "room")}
		d := newDesk(rules)
		type truth struct {
			effect Effect
			ran    []float64 // when dispatches went that did run
			answer string    // that its clients were given
			word   float64   // its client's latest
		}
		keys := map[string]*truth{}
		open := map[string]*Entry{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			d.at += rapid.SampledFrom([]float64{0, 0.1, 1, 1, 5}).Draw(t, "time")
			key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
			x := keys[key]
			if x == nil {
				x = &truth{effect: Effect(rapid.IntRange(0, 2).Draw(t, "effect"))}
				keys[key] = x
			}
			within := d.at < x.word+rules.Window
			switch e := open[key]; rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2: // a client comes with it
				if !within && e == nil { // nobody may repeat it any more: it is another job
					x.ran, x.answer = nil, ""
				}
				before := d.Len()
				v, got := d.Take(d.at, key, x.effect, rules.Window, false)
				if v == Answered && within && x.answer != "" && got.Outcome == Done && x.answer != "done" {
					t.Fatalf("%s is answered done, it was %s", key, x.answer)
				}
				if v == Fresh && within && x.answer == "done" && x.effect != Restartable {
					t.Fatalf("%s was done, and is fresh", key)
				}
				if v == Joined && open[key] == nil {
					t.Fatalf("%s is joined, and is not open", key)
				}
				if v == Fresh && got != nil && d.Len() > max(rules.Most, before) {
					t.Fatalf("%d keys, %d at most", d.Len(), rules.Most)
				}
				if (v == Fresh || v == Again) && got != nil {
					if open[key] != nil {
						t.Fatalf("%s is open twice", key)
					}
					open[key] = got
					if v == Again && len(x.ran) > 0 && x.effect == Keyed && within && got.mayHaveRun().At > slices.Min(x.ran)+1e-9 && d.at < slices.Min(x.ran)+rules.Window {
						t.Fatalf("%s ran first at %g, the module hears of %g", key, slices.Min(x.ran), got.mayHaveRun().At)
					}
				}
				x.word = d.at
			case 3: // it is dispatched
				if e == nil {
					continue
				}
				if x.effect == RunOnce && e.mayHaveRun() != nil {
					continue // the module would not
				}
				if x.effect == RunOnce && len(x.ran) > 0 && within {
					t.Fatalf("P1: %s ran at %v and goes again at %g", key, x.ran, d.at)
				}
				n := d.Sends(d.at, e, "e1", 1, 1)
				d.wrote()
				if Needs(x.effect) && rapid.IntRange(0, 4).Draw(t, "disk") == 0 { // the record can't be had
					d.Ends(d.at, e, n, false)
					d.wrote()
					continue
				}
				if Needs(x.effect) {
					d.synced = len(d.records)
				}
				ran := rapid.Bool().Draw(t, "ran")
				if ran {
					x.ran = append(x.ran, d.at)
				}
				if rapid.Bool().Draw(t, "told") {
					d.Ends(d.at, e, n, ran)
				}
				x.word = d.at
			case 4: // it is answered
				if e == nil {
					continue
				}
				o, rows := rapid.SampledFrom([]Outcome{Open, Done, Failed}).Draw(t, "outcome"), []byte("rows")
				if o == Done && e.mayHaveRun() == nil {
					o = Open
				}
				d.Answer(d.at, e, o, rows, true)
				if o == Done {
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
					if x.effect != Restartable && x.answer == "done" && len(x.ran) == 0 {
						x.answer = ""
					}
					if x.answer == "done" { // the word of it may be lost: then it may have run
						x.answer = ""
					}
				}
			case 6: // all is written anew
				d.wrote()
				d.records = nil
				b := d.Begins(nil)
				for _, key := range d.Keys() {
					b = d.Whole(b, key)
				}
				d.written = b
				d.wrote()
				d.synced = len(d.records)
			}
			sum := 0
			for _, e := range d.entries {
				sum += e.weighs()
			}
			if sum != d.Size() || len(d.byUntil) != d.Len() {
				t.Fatalf("%d bytes and %d keys are kept, told are %d and %d", sum, len(d.byUntil), d.Size(), d.Len())
			}
		}
		// Once nobody may repeat anything nothing is kept.
		for key, e := range open {
			d.Answer(d.at, e, Open, nil, false)
			delete(open, key)
		}
		d.at += 2*rules.Window + 1
		if next := d.Expire(d.at); d.Len() != 0 || d.Size() != 0 || !math.IsInf(next, 1) {
			t.Fatalf("%d keys and %d bytes are kept for good", d.Len(), d.Size())
		}
	})
}

// Any bytes are a record or an error, and what they are read as stays within bounds.
func FuzzReplay(f *testing.F) {
	d := newDesk(Rules{Window: 60, Most: 100, Room: 1 << 20})
	_, e := d.Take(1, "k", Keyed, 10, false)
	d.Ends(2, e, d.Sends(1, e, "engine", 1, 2), true)
	d.Answer(3, e, Done, []byte("rows"), true)
	d.wrote()
	for _, r := range d.records {
		f.Add(r[0], r[1:])
	}
	f.Add(byte(entry), d.Whole(nil, "k")[3:])
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		p := New(Rules{Window: 60, Most: 100, Room: 1 << 20})
		if p.Replay(kind, body) == nil {
			p.Resumed(p.Latest(), true)
			for _, key := range p.Keys() {
				if len(p.entries[key].Dispatches) > mostDispatches {
					t.Fatalf("%d dispatches", len(p.entries[key].Dispatches))
				}
				p.Take(p.Latest(), key, Keyed, 10, false)
			}
		}
	})
}
