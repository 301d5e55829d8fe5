package admission

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// After a restart, nothing is sent to an engine that is warming up for its budget window, ordered keys are blocked for their
// backoff, and the retries of the earlier process count.
func TestRestarted(t *testing.T) {
	settings := Settings{SlowStartWindow: 20, SlowStartInitialFactor: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1, OrderedKeyBackoff: 2, RetryBudgetWindow: 10, RetryBudgetFree: 3}
	x := newTrace(t, settings, Class{Ordered: true, LatencyObjective: 30})
	x.at = 5
	x.Restarted(5, 3)
	x.listStarted(4.5, 1)
	x.arrive(Request{ID: 1, Work: 0.1, Memory: 100})
	x.advanceTo(5.9)
	x.logEvent("a window later")
	x.advanceTo(6.2)
	x.arrive(Request{ID: 2, OrderKey: 7, Work: 0.1, Memory: 100})
	x.logEvent("its key is blocked")
	x.advanceTo(7.2)
	x.endAttempt(1, 0, Failed)
	x.logEvent("no retry is left in this window")
	x.advanceTo(9)
	x.checkGolden()
}

// Learned state is restored, and counts less the older it is. A state with damaged values or of another version is not
// restored. What was held against an engine ends with its process.
func TestLearnedState(t *testing.T) {
	settings := Settings{GatewayCount: 4}
	newGateway := func() *trace {
		x := newTrace(t, settings, Class{}, Class{LatencyObjective: 30})
		x.at = 5
		x.listStarted(2, 1, 2, 3, 4)
		return x
	}
	before := newGateway()
	for id := range uint32(30) {
		before.arrive(Request{ID: id, Class: int(id) % 2, Work: 0.5, Memory: 100})
		if before.requests[id].inFlight > 0 {
			before.AttemptEnded(before.at+0.1, id, 0, AttemptResult{Status: Succeeded, Duration: 3, Final: true, Work: 1, Memory: 900})
		}
	}
	e := before.endpoints.engines[2]
	e.suspected, e.ejectedUntil, e.ejectionLength, e.slowdown = true, before.now+4, 4, 3
	learned := before.ExportLearned(before.now)
	describe := func(name string, x *trace, restored bool) string {
		class, e := x.classes[0], x.endpoints.engines[2]
		return fmt.Sprintf("%s: restored %v; mean work %.3f, slowdown %.3f, answers %.1f, memory margin %.2f; engine 2 slowdown %.2f, suspected %v",
			name, restored, class.meanWork, class.slowdown, class.answers, class.memoryMargin(), e.slowdown, e.suspected)
	}
	lines := []string{describe("nothing learned", newGateway(), false), describe("before", before, false)}
	for _, c := range []struct {
		name   string
		age    float64
		damage func(l *LearnedState)
	}{
		{"at once", 0, nil},
		{"half a minute later", 30, nil},
		{"an hour later", 3600, nil},
		{"another version", 0, func(l *LearnedState) { l.Version = 2 }},
		{"other classes", 0, func(l *LearnedState) { l.Classes = l.Classes[:1] }},
		{"no number", 0, func(l *LearnedState) { l.Classes[1].MeanWork = math.NaN() }},
		{"below nothing", 0, func(l *LearnedState) { l.Classes[0].Slowdown = -1 }},
		{"the engine was started again", 0, func(l *LearnedState) {
			for i := range l.Engines {
				l.Engines[i].StartedAt = 1
			}
		}},
	} {
		x := newGateway()
		state := learned
		state.Classes = slices.Clone(learned.Classes)
		state.Engines = slices.Clone(learned.Engines)
		if c.damage != nil {
			c.damage(&state)
		}
		restored := x.RestoreLearned(x.at, c.age, 30, state)
		lines = append(lines, describe(c.name, x, restored))
	}
	testutil.CheckTrace(t, lines)
	if !strings.Contains(lines[2], "slowdown 3.00, suspected true") {
		t.Errorf("state restored at once: got %q, want the exported slowdown and suspicion", lines[2])
	}
}
