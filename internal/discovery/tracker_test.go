package discovery

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// trackerHarness plays the shell: it keeps the time, the file's content and the polls.
type trackerHarness struct {
	tracker      *Tracker
	now          float64
	nextPoll     float64 // the next
	content      Content
	contentSince float64 // of the content
	reads        []readRecord
	notified     bool // of the content
	onDecision   func(Decision)
}

// readRecord is what a read found.
type readRecord struct {
	at          float64
	fingerprint string
}

const pollInterval = 2.0

func newTracker(now float64) *Tracker {
	k := &Tracker{File: "engines.jsonc", Bounds: testBounds, SettleTime: 0.1, UnsettledWarning: 3, MaxRemovedFraction: 0.5, HoldDownTime: 30}
	k.FileChanged(now)
	return k
}

func newTrackerHarness(decided func(Decision)) *trackerHarness {
	return &trackerHarness{tracker: newTracker(0), nextPoll: pollInterval, onDecision: decided, content: Content{Problem: "can't be read: no such file"}}
}

func (d *trackerHarness) write(c Content, noticed bool) {
	if c.fingerprint() != d.content.fingerprint() {
		d.contentSince, d.notified = d.now, noticed
	}
	d.content = c
	if noticed {
		d.tracker.FileChanged(d.now)
	}
}

func (d *trackerHarness) read() Decision {
	d.reads = append(d.reads, readRecord{d.now, d.content.fingerprint()})
	return d.tracker.Observe(d.now, d.content)
}

// advance lets time pass, with all that falls due.
func (d *trackerHarness) advance(by float64) {
	for end := d.now + by; ; {
		next := min(d.tracker.NextTick(), d.nextPoll)
		if next > end {
			d.now = end
			return
		}
		d.now = max(d.now, next)
		var out Decision
		if d.now >= d.nextPoll {
			d.nextPoll += pollInterval
			out = d.read()
		} else if look, due := d.tracker.Tick(d.now); look {
			out = d.read()
		} else {
			out = due
		}
		if out.Verdict != NoChange {
			d.onDecision(out)
		}
	}
}

// The life of a file: what is taken, refused and held back, and when.
func TestTracker(t *testing.T) {
	var lines []string
	var d *trackerHarness
	say := func(format string, args ...any) {
		lines = append(lines, fmt.Sprintf("%6.2f ", d.now)+fmt.Sprintf(format, args...))
	}
	d = newTrackerHarness(func(o Decision) {
		say("    -> %s generation %d %v %v", []string{"", "apply", "refuse", "hold"}[o.Verdict], o.List.Generation, o.Difference.Lines(), o.Reason)
	})
	put := func(what string, text string) {
		say("%s", what)
		d.write(Content{Text: []byte(text)}, true)
	}
	d.advance(1)
	put("first version", listText(1, "a", "b", "c", "d"))
	d.advance(1)
	put("in pieces: the first", listText(2, "a", "b", "c", "d")[:100])
	d.advance(0.06)
	put("in pieces: all", listText(2, "a", "b", "c", "d", "e"))
	d.advance(1)
	say("a burst")
	for i := range 20 {
		d.write(Content{Text: []byte(listText(int64(3+i), "a", "b", "c", "d"))}, true)
		d.advance(0.03)
	}
	d.advance(1)
	put("torn, and it stays so", listText(30, "a", "b", "c", "d")[:150])
	d.advance(10)
	put("the same once more", listText(30, "a", "b", "c", "d")[:150])
	d.advance(10)
	say("a change that nobody tells of")
	d.write(Content{Text: []byte(listText(31, "a", "b", "c", "z"))}, false)
	d.advance(3)
	put("an old version comes back", listText(30, "a", "b", "c", "z"))
	d.advance(1)
	put("the same number, other engines", listText(31, "a", "b", "c"))
	d.advance(1)
	put("what holds", listText(31, "a", "b", "c", "z"))
	d.advance(1)
	put("most engines gone", listText(32, "a"))
	d.advance(20)
	put("the operator thinks again", listText(33, "a", "b", "c"))
	d.advance(20)
	put("most engines gone", listText(34, "c"))
	d.advance(40)
	put("no engine at all, confirmed", strings.Replace(listText(35), `"engines"`, `"confirmed": true, "engines"`, 1))
	d.advance(1)
	say("gone")
	d.write(Content{Problem: "can't be read: no such file"}, true)
	d.advance(20)
	put("back", listText(36, "a", "b"))
	d.advance(1)
	say("restless")
	for i := range 100 {
		d.write(Content{Text: []byte(listText(int64(40+i), "a", "b"))}, true)
		d.advance(0.05)
	}
	d.advance(5)
	say("restart with what held")
	held, _ := d.tracker.Current()
	d.tracker = newTracker(d.now)
	d.tracker.Restore(held)
	put("with a lower version", listText(1, "a"))
	d.advance(1)
	testutil.CheckTrace(t, lines)
}

// K1 to K3 on random histories, and after a pause the tracker is where a plain model is.
func TestTrackerOnRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d *trackerHarness
		var latest string // decision, since the latest change
		applied := int64(0)
		decided := func(o Decision) {
			restless := strings.Contains(fmt.Sprint(o.Reason), "has not stood still")
			if !restless && d.notified && d.now-d.contentSince < d.tracker.SettleTime-1e-9 {
				t.Fatalf("decided at %v on what is there since %v", d.now, d.contentSince)
			}
			if !restless && !d.notified { // nobody told: two looks with half of that between them must agree
				there := ""
				for _, l := range d.reads {
					if l.at <= d.now-d.tracker.SettleTime/2+1e-9 {
						there = l.fingerprint
					}
				}
				if there != d.content.fingerprint() {
					t.Fatalf("decided at %v on what no look half of its rest before has seen", d.now)
				}
			}
			if o.Verdict == Apply {
				if o.List.Generation <= applied {
					t.Fatalf("generation %d after %d", o.List.Generation, applied)
				}
				applied = o.List.Generation
				l, err := Parse("", d.content.Text, testBounds)
				if err != nil || !l.SameEndpoints(o.List) || l.Generation != o.List.Generation {
					t.Fatalf("%v was taken, %v is there", o.List, l)
				}
			}
			if say := fmt.Sprint(o.Verdict, o.Reason); say == latest && !restless {
				t.Fatalf("twice: %s", say)
			} else {
				latest = say
			}
		}
		d = newTrackerHarness(decided)
		d.content = Content{Text: []byte(listText(1, "a", "b", "c"))}
		names := []string{"a", "b", "c", "d", "e", "f"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			latest = ""
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2: // some version, good or bad
				generation := applied + int64(rapid.IntRange(-1, 3).Draw(t, "generation"))
				version := listText(max(generation, 1), names[:rapid.IntRange(0, 6).Draw(t, "engines")]...)
				if rapid.Bool().Draw(t, "confirmed") {
					version = strings.Replace(version, `"engines"`, `"confirmed": true, "engines"`, 1)
				}
				if rapid.IntRange(0, 3).Draw(t, "torn") == 0 {
					version = version[:rapid.IntRange(0, len(version)-3).Draw(t, "at")]
				}
				d.write(Content{Text: []byte(version)}, rapid.Bool().Draw(t, "noticed"))
			case 3:
				d.write(Content{Problem: rapid.SampledFrom([]string{"is a folder", "can't be read"}).Draw(t, "wrong")}, true)
			case 4: // a notice about nothing
				d.tracker.FileChanged(d.now)
			case 5:
				held, holds := d.tracker.Current()
				if d.tracker = newTracker(d.now); holds {
					d.tracker.Restore(held)
				}
			case 6:
			}
			d.advance(rapid.SampledFrom([]float64{0, 0.01, 0.06, 0.2, 1, 5, 40}).Draw(t, "time"))
		}
		before, holds := d.tracker.Current()
		latest = ""
		d.advance(pollInterval + 1 + d.tracker.HoldDownTime)
		after, _ := d.tracker.Current()
		// The plain model: what is there is taken if it is a good, newer version; time has confirmed it.
		want := before
		if l, err := Parse("", d.content.Text, testBounds); d.content.Problem == "" && err == nil && (!holds || l.Generation > before.Generation) {
			want = l
		}
		if !want.SameEndpoints(after) || want.Generation != after.Generation {
			t.Fatalf("holds %v, should hold %v", after, want)
		}
	})
}
