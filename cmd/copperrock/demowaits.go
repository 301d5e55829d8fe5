package main

import (
	"fmt"
	"math"
	"sync"

	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// waitReport compares the waits that clients were given as estimates with the actual ones.
type waitReport struct {
	mu                                      sync.Mutex
	firstAttempts                           map[string]float64 // Unix time of the first attempt, by request, until its answer
	estimates, accurateStarts, accurateEnds int                // number of estimates, and how many were accurate
}

// observe records the first attempt of each request.
func (w *waitReport) observe(e fakeengine.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, attempted := w.firstAttempts[e.RequestID]; e.Kind == "asked" && !attempted {
		w.firstAttempts[e.RequestID] = e.At
	}
}

// add compares the first estimate of a completed request with its actual waits until the first attempt and until the answer.
func (w *waitReport) add(requestID string, a fakeengine.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	attemptedAt, attempted := w.firstAttempts[requestID]
	delete(w.firstAttempts, requestID)
	if len(a.Estimates) == 0 || a.Outcome != fakeengine.Completed || !attempted {
		return
	}
	w.estimates++
	isAccurate := func(estimate, actual float64) bool { return math.Abs(actual-estimate) <= max(0.2*actual, 0.05) }
	if isAccurate(a.Estimates[0].Start, attemptedAt-a.Estimates[0].ReceivedAt) {
		w.accurateStarts++
	}
	if isAccurate(a.Estimates[0].Completion, a.ReceivedAt-a.Estimates[0].ReceivedAt) {
		w.accurateEnds++
	}
}

func (w *waitReport) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d jobs got an estimate of their wait; %d were dispatched and %d were done as estimated, to within 20%% of the actual time or 50 ms", w.estimates, w.accurateStarts, w.accurateEnds)
}
