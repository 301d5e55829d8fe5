package main

import (
	"fmt"
	"math"
	"sync"

	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// waitReport gathers what clients were told and how long they waited.
type waitReport struct {
	mu                                      sync.Mutex
	firstAttempts                           map[string]float64 // first dispatches, by job, until it is answered
	estimates, accurateStarts, accurateEnds int
}

// observe hears of dispatches.
func (w *waitReport) observe(s fakeengine.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, before := w.firstAttempts[s.RequestID]; s.Kind == "asked" && !before {
		w.firstAttempts[s.RequestID] = s.At
	}
}

// add counts the first wait that a job done was told: up to its first dispatch, and up to its end.
func (w *waitReport) add(ref string, a fakeengine.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent, went := w.firstAttempts[ref]
	delete(w.firstAttempts, ref)
	if len(a.Estimates) == 0 || a.Outcome != fakeengine.Completed || !went {
		return
	}
	w.estimates++
	near := func(told, had float64) bool { return math.Abs(had-told) <= max(0.2*had, 0.05) }
	if near(a.Estimates[0].Start, sent-a.Estimates[0].ReceivedAt) {
		w.accurateStarts++
	}
	if near(a.Estimates[0].Completion, a.ReceivedAt-a.Estimates[0].ReceivedAt) {
		w.accurateEnds++
	}
}

func (w *waitReport) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d jobs were told how long they would wait; %d were dispatched within a fifth, or 50 ms, of that, and %d were done when they were told", w.estimates, w.accurateStarts, w.accurateEnds)
}
