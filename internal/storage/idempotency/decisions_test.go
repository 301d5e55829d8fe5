package idempotency

import (
	"fmt"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

var decisionWords = [...]string{Proceed: "proceed", Retry: "retry", Answered: "answered", InProgress: "in progress", MayHaveRun: "may have run", NoCapacity: "no capacity"}

// earlierTries are the ways in which an earlier try of a key may have ended.
var earlierTries = []struct {
	name string
	play func(x *loggedIndex, record *Record)
}{
	{"rejected before any attempt", func(x *loggedIndex, record *Record) { x.Finish(x.now, record, Pending, nil, false) }},
	{"admitted, no more", func(*loggedIndex, *Record) {}},
	{"attempt started, no more", func(x *loggedIndex, record *Record) { x.StartAttempt(x.now, record, "e1", 1, 2) }},
	{"attempt did not run", func(x *loggedIndex, record *Record) { x.attempt(record, false) }},
	{"attempt ran, no answer", func(x *loggedIndex, record *Record) { x.attempt(record, true) }},
	{"succeeded", func(x *loggedIndex, record *Record) {
		x.attempt(record, true)
		x.Finish(x.now, record, Succeeded, []byte("rows"), true)
	}},
	{"succeeded, rows too many", func(x *loggedIndex, record *Record) {
		x.attempt(record, true)
		x.Finish(x.now, record, Succeeded, nil, false)
	}},
	{"ran and failed", func(x *loggedIndex, record *Record) {
		x.attempt(record, true)
		x.Finish(x.now, record, Failed, nil, false)
	}},
	{"timed out while it may run", func(x *loggedIndex, record *Record) {
		x.StartAttempt(x.now, record, "e1", 1, 2)
		x.Finish(x.now, record, Failed, nil, false)
	}},
	{"its client left while it may run", func(x *loggedIndex, record *Record) {
		x.StartAttempt(x.now, record, "e1", 1, 2)
		x.Finish(x.now, record, Pending, nil, false)
	}},
}

// The processes in which the key is used again.
const (
	sameProcess = "same process"
	nextProcess = "next process"
	nextBoot    = "next process, rebooted"
)

// Traces the decision on a request after each way in which an earlier try of its key may have ended, by idempotency, in the
// same process and in the next one; then windows, limits and lost records.
func TestDecisions(t *testing.T) {
	var lines []string
	for _, idempotency := range []Idempotency{Idempotent, IdempotentWithKey, NonIdempotent} {
		for _, earlier := range earlierTries {
			var decisions []string
			for _, process := range []string{sameProcess, nextProcess, nextBoot} {
				decision := decideAfter(t, idempotency, earlier.play, process)
				decisions = append(decisions, fmt.Sprintf(" %s %s", process, decision))
			}
			lines = append(lines, fmt.Sprintf("%s, %s:%s", idempotencyWords[idempotency], earlier.name, strings.Join(decisions, ";")))
		}
	}
	lines = append(lines, windowLine(), boundsLine())
	lines = append(lines, lostLines()...)
	testutil.CheckTrace(t, lines)
}

// decideAfter returns the decision on a request whose key was used before.
func decideAfter(t *testing.T, idempotency Idempotency, earlier func(*loggedIndex, *Record), process string) string {
	t.Helper()
	x := newLoggedIndex(usualLimits)
	x.now = 1000
	_, record := x.Admit(x.now, "k", idempotency, 10, false)
	earlier(x, record)
	x.now += 5
	if process != sameProcess {
		x.drain()
		if err := x.restart(len(x.log), process == nextBoot); err != nil {
			t.Fatal(err)
		}
	}
	decision, record := x.Admit(x.now, "k", idempotency, 10, false)
	switch decision {
	case Retry:
		return fmt.Sprintf("%s (%d before, the first of zone %d)", decisionWords[decision], len(record.Attempts), record.Attempts[0].Zone)
	case Answered:
		return fmt.Sprintf("%s (outcome %d, %q)", decisionWords[decision], record.Outcome, record.Rows)
	default:
		return decisionWords[decision]
	}
}

// windowLine traces the end of the window of a request with an idempotency key.
func windowLine() string {
	x := newLoggedIndex(usualLimits)
	_, record := x.Admit(0, "k", IdempotentWithKey, 10, false)
	x.Finish(0, record, Failed, nil, false) // no attempt ran
	_, record = x.Admit(1, "k", IdempotentWithKey, 10, false)
	x.StartAttempt(1, record, "e1", 1, 2)
	x.Finish(2, record, Pending, nil, false)
	inside, record := x.Admit(10.9, "k", IdempotentWithKey, 10, false)
	x.Finish(10.9, record, Pending, nil, false)
	outside, _ := x.Admit(11.1, "k", IdempotentWithKey, 10, false)
	return fmt.Sprintf("keyed, 10 s after its first attempt at 1: at 10.9 %s, at 11.1 %s", decisionWords[inside], decisionWords[outside])
}

// testRequest is a request for the lines on limits and lost records.
type testRequest struct {
	key         string
	idempotency Idempotency
	first       bool
}

// decide returns the decision on each request. New idempotent requests succeed at once.
func (x *loggedIndex) decide(requests ...testRequest) string {
	var words []string
	for _, request := range requests {
		decision, record := x.Admit(x.now, request.key, request.idempotency, 10, request.first)
		if record != nil && decision == Proceed && request.idempotency == Idempotent {
			x.Finish(x.now, record, Succeeded, []byte("rows"), true)
		}
		words = append(words, request.key+" "+decisionWords[decision])
	}
	return strings.Join(words, ", ")
}

func boundsLine() string {
	x := newLoggedIndex(Limits{Retention: 60, MaxRecords: 3, MaxBytes: 1 << 20})
	return "three may be kept: " + x.decide(testRequest{key: "a", idempotency: NonIdempotent}, testRequest{key: "b"}, testRequest{key: "c", idempotency: NonIdempotent},
		testRequest{key: "d", idempotency: NonIdempotent}, testRequest{key: "e", idempotency: NonIdempotent}, testRequest{key: "f"})
}

func lostLines() []string {
	x := newLoggedIndex(usualLimits)
	x.now = 10
	x.RecordsLost(x.now)
	inWindow := x.decide(testRequest{key: "a", idempotency: NonIdempotent}, testRequest{key: "b", idempotency: NonIdempotent, first: true}, testRequest{key: "c"},
		testRequest{key: "d", idempotency: IdempotentWithKey})
	x.now = 71
	after := x.decide(testRequest{key: "a", idempotency: NonIdempotent})
	return []string{"records were lost: " + inWindow, "a window later: " + after}
}
