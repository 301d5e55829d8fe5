package discovery

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// trackerHarness stands in for package file: it simulates the clock, the file's content, notifications and polls.
type trackerHarness struct {
	tracker      *Tracker
	now          float64
	nextPoll     float64 // time of the next poll
	content      Content
	contentSince float64 // time at which content was written
	reads        []readRecord
	notified     bool // whether the tracker was notified of content
	onDecision   func(Decision)
}

// readRecord is the time and the result of a read.
type readRecord struct {
	at          float64
	fingerprint string
}

const pollInterval = 2.0

func newTracker(now float64) *Tracker {
	tracker := &Tracker{File: "engines.jsonc", Bounds: testBounds, SettleTime: 0.1, UnsettledWarning: 3, MaxRemovedFraction: 0.5,
		HoldDownTime: 30}
	tracker.FileChanged(now)
	return tracker
}

func newTrackerHarness(onDecision func(Decision)) *trackerHarness {
	return &trackerHarness{tracker: newTracker(0), nextPoll: pollInterval, onDecision: onDecision,
		content: Content{Problem: "can't be read: no such file"}}
}

// write replaces the file's content, and notifies the tracker of it if notify is true.
func (h *trackerHarness) write(c Content, notify bool) {
	if c.fingerprint() != h.content.fingerprint() {
		h.contentSince, h.notified = h.now, notify
	}
	h.content = c
	if notify {
		h.tracker.FileChanged(h.now)
	}
}

func (h *trackerHarness) read() Decision {
	h.reads = append(h.reads, readRecord{h.now, h.content.fingerprint()})
	return h.tracker.Observe(h.now, h.content)
}

// advance moves the clock forward and carries out the polls and ticks that are due.
func (h *trackerHarness) advance(by float64) {
	for end := h.now + by; ; {
		next := min(h.tracker.NextTick(), h.nextPoll)
		if next > end {
			h.now = end
			return
		}
		h.now = max(h.now, next)
		var decision Decision
		if h.now >= h.nextPoll {
			h.nextPoll += pollInterval
			decision = h.read()
		} else if read, due := h.tracker.Tick(h.now); read {
			decision = h.read()
		} else {
			decision = due
		}
		if decision.Verdict != NoChange {
			h.onDecision(decision)
		}
	}
}

// Which versions of a file are applied, rejected and held down, and when, over a sequence of typical changes.
func TestTracker(t *testing.T) {
	var lines []string
	var h *trackerHarness
	record := func(format string, args ...any) {
		lines = append(lines, fmt.Sprintf("%6.2f ", h.now)+fmt.Sprintf(format, args...))
	}
	h = newTrackerHarness(func(d Decision) {
		record("    -> %s generation %d %v %v", []string{"", "apply", "refuse", "hold"}[d.Verdict], d.List.Generation,
			d.Difference.Lines(), d.Reason)
	})
	write := func(description string, text string) {
		record("%s", description)
		h.write(Content{Text: []byte(text)}, true)
	}
	h.advance(1)
	write("first version", listText(1, "a", "b", "c", "d"))
	h.advance(1)
	write("in pieces: the first", listText(2, "a", "b", "c", "d")[:100])
	h.advance(0.06)
	write("in pieces: all", listText(2, "a", "b", "c", "d", "e"))
	h.advance(1)
	record("a burst")
	for i := range 20 {
		h.write(Content{Text: []byte(listText(int64(3+i), "a", "b", "c", "d"))}, true)
		h.advance(0.03)
	}
	h.advance(1)
	write("torn, and it stays so", listText(30, "a", "b", "c", "d")[:150])
	h.advance(10)
	write("the same once more", listText(30, "a", "b", "c", "d")[:150])
	h.advance(10)
	record("a change that nobody tells of")
	h.write(Content{Text: []byte(listText(31, "a", "b", "c", "z"))}, false)
	h.advance(3)
	write("an old version comes back", listText(30, "a", "b", "c", "z"))
	h.advance(1)
	write("the same number, other engines", listText(31, "a", "b", "c"))
	h.advance(1)
	write("what holds", listText(31, "a", "b", "c", "z"))
	h.advance(1)
	write("most engines gone", listText(32, "a"))
	h.advance(20)
	write("the operator thinks again", listText(33, "a", "b", "c"))
	h.advance(20)
	write("most engines gone", listText(34, "c"))
	h.advance(40)
	write("no engine at all, confirmed", strings.Replace(listText(35), `"engines"`, `"confirmed": true, "engines"`, 1))
	h.advance(1)
	record("gone")
	h.write(Content{Problem: "can't be read: no such file"}, true)
	h.advance(20)
	write("back", listText(36, "a", "b"))
	h.advance(1)
	record("restless")
	for i := range 100 {
		h.write(Content{Text: []byte(listText(int64(40+i), "a", "b"))}, true)
		h.advance(0.05)
	}
	h.advance(5)
	record("restart with what held")
	current, _ := h.tracker.Current()
	h.tracker = newTracker(h.now)
	h.tracker.Restore(current)
	write("with a lower version", listText(1, "a"))
	h.advance(1)
	testutil.CheckTrace(t, lines)
}

// K1 to K3 hold on random histories, and after a pause the tracker has the list that a simple model predicts.
func TestTrackerOnRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h *trackerHarness
		var latestDecision string // since the latest change
		appliedGeneration := int64(0)
		onDecision := func(d Decision) {
			unsettled := strings.Contains(fmt.Sprint(d.Reason), "has not stood still")
			if !unsettled && h.notified && h.now-h.contentSince < h.tracker.SettleTime-1e-9 {
				t.Fatalf("decision at %v on content written at %v, want at least SettleTime in between", h.now, h.contentSince)
			}
			if !unsettled && !h.notified { // two reads at least half the settle time apart must agree
				fingerprint := ""
				for _, r := range h.reads {
					if r.at <= h.now-h.tracker.SettleTime/2+1e-9 {
						fingerprint = r.fingerprint
					}
				}
				if fingerprint != h.content.fingerprint() {
					t.Fatalf("decision at %v, but the last read at least SettleTime/2 earlier returned different content", h.now)
				}
			}
			if d.Verdict == Apply {
				if d.List.Generation <= appliedGeneration {
					t.Fatalf("applied generation %d after generation %d", d.List.Generation, appliedGeneration)
				}
				appliedGeneration = d.List.Generation
				l, err := Parse("", h.content.Text, testBounds)
				if err != nil || !l.SameEndpoints(d.List) || l.Generation != d.List.Generation {
					t.Fatalf("applied list: got %v, want %v, which the file contains", d.List, l)
				}
			}
			if decision := fmt.Sprint(d.Verdict, d.Reason); decision == latestDecision && !unsettled {
				t.Fatalf("same decision twice: %s", decision)
			} else {
				latestDecision = decision
			}
		}
		h = newTrackerHarness(onDecision)
		h.content = Content{Text: []byte(listText(1, "a", "b", "c"))}
		names := []string{"a", "b", "c", "d", "e", "f"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			latestDecision = ""
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2: // a version, valid or not
				generation := appliedGeneration + int64(rapid.IntRange(-1, 3).Draw(t, "generation"))
				version := listText(max(generation, 1), names[:rapid.IntRange(0, 6).Draw(t, "engines")]...)
				if rapid.Bool().Draw(t, "confirmed") {
					version = strings.Replace(version, `"engines"`, `"confirmed": true, "engines"`, 1)
				}
				if rapid.IntRange(0, 3).Draw(t, "truncated") == 0 {
					version = version[:rapid.IntRange(0, len(version)-3).Draw(t, "at")]
				}
				h.write(Content{Text: []byte(version)}, rapid.Bool().Draw(t, "notify"))
			case 3:
				h.write(Content{Problem: rapid.SampledFrom([]string{"is a folder", "can't be read"}).Draw(t, "problem")}, true)
			case 4: // a notification without a change
				h.tracker.FileChanged(h.now)
			case 5: // a restart
				current, hasCurrent := h.tracker.Current()
				if h.tracker = newTracker(h.now); hasCurrent {
					h.tracker.Restore(current)
				}
			case 6: // nothing happens
			}
			h.advance(rapid.SampledFrom([]float64{0, 0.01, 0.06, 0.2, 1, 5, 40}).Draw(t, "time"))
		}
		before, hadCurrent := h.tracker.Current()
		latestDecision = ""
		h.advance(pollInterval + 1 + h.tracker.HoldDownTime)
		after, _ := h.tracker.Current()
		// The model: the file's content is applied if it is a valid, newer version, since every hold-down has ended by now.
		want := before
		if l, err := Parse("", h.content.Text, testBounds); h.content.Problem == "" && err == nil && (!hadCurrent || l.Generation > before.Generation) {
			want = l
		}
		if !want.SameEndpoints(after) || want.Generation != after.Generation {
			t.Fatalf("current list: got %v, want %v", after, want)
		}
	})
}
