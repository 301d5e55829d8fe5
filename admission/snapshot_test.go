package admission

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// After a restart nothing goes to an engine that warms up for its window, ordered keys are blocked for their time, and the
// retries of the earlier process count.
func TestRestarted(t *testing.T) {
	set := Settings{SlowStartWindow: 20, SlowStartInitialFactor: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1, OrderedKeyBackoff: 2, RetryBudgetWindow: 10, RetryBudgetFree: 3}
	x := newTrace(t, set, Class{Ordered: true, LatencyObjective: 30})
	x.at = 5
	x.Restarted(5, 3)
	x.listStarted(4.5, 1)
	x.arrive(Request{ID: 1, Work: 0.1, Memory: 100})
	x.pass(5.9)
	x.say("a window later")
	x.pass(6.2)
	x.arrive(Request{ID: 2, OrderKey: 7, Work: 0.1, Memory: 100})
	x.say("its key is blocked")
	x.pass(7.2)
	x.endAttempt(1, 0, Failed)
	x.say("no retry is left in this window")
	x.pass(9)
	x.check()
}

// What was learned is restored, fading with its age; a state with damaged values or of another version is not; what was held
// against an engine ends with its process.
func TestLearnedState(t *testing.T) {
	set := Settings{GatewayCount: 4}
	newGateway := func() *trace {
		x := newTrace(t, set, Class{}, Class{LatencyObjective: 30})
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
	describe := func(what string, x *trace, restored bool) string {
		class, e := x.classes[0], x.endpoints.engines[2]
		return fmt.Sprintf("%s: restored %v; mean work %.3f, slowdown %.3f, answers %.1f, memory margin %.2f; engine 2 slowdown %.2f, suspected %v",
			what, restored, class.meanWork, class.slowdown, class.answers, class.memoryMargin(), e.slowdown, e.suspected)
	}
	lines := []string{describe("nothing learned", newGateway(), false), describe("before", before, false)}
	for _, c := range []struct {
		what   string
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
		lines = append(lines, describe(c.what, x, restored))
	}
	testutil.CheckTrace(t, lines)
	if !strings.Contains(lines[2], "slowdown 3.00, suspected true") {
		t.Error(lines[2])
	}
}
