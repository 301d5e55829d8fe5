package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// After a restart nothing goes to a cold engine for its window, keys rest for their time, and what a life before used up of
// the further dispatches counts.
func TestRestarted(t *testing.T) {
	set := Settings{SlowStartWindow: 20, SlowStartInitialPace: 0.5, SlowStartBudgetMultiple: 2, SlowStartBudgetWindow: 1, OrderedKeyBackoff: 2, RetryBudgetWindow: 10, RetryBudgetFree: 3}
	x := start(t, set, Class{Ordered: true, LatencyObjective: 30})
	x.at = 5
	x.Restarted(5, 3)
	x.list(Snapshot, true, 4.5, 1)
	x.arrive(1, 0, 0, 0.1, 100)
	x.pass(5.9)
	x.say("a window later")
	x.pass(6.2)
	x.arrive(2, 0, 7, 0.1, 100)
	x.say("its key is blocked")
	x.pass(7.2)
	x.outcome(1, 0, Failed)
	x.say("no retry is left in this window")
	x.pass(9)
	x.check()
}

// What was learned is taken back, fading with its age; figures that are none, and another version, are passed over whole;
// what was held against an engine ends with its process.
func TestLearnedState(t *testing.T) {
	set := Settings{GatewayCount: 4}
	one := func() *trace {
		x := start(t, set, Class{}, Class{LatencyObjective: 30})
		x.at = 5
		x.list(Snapshot, true, 2, 1, 2, 3, 4)
		return x
	}
	before := one()
	for id := range uint32(30) {
		before.arrive(id, int(id)%2, 0, 0.5, 100)
		if before.requests[id].inFlight > 0 {
			before.AttemptEnded(before.at+0.1, id, 0, AttemptResult{Status: Succeeded, Duration: 3, Final: true, Work: 1, Memory: 900})
		}
	}
	e := before.endpoints.engines[2]
	e.suspected, e.ejectedUntil, e.ejectionLength, e.slowdown = true, before.now+4, 4, 3
	l := before.ExportLearned(before.now)
	tell := func(what string, x *trace, taken bool) string {
		c, e := x.classes[0], x.endpoints.engines[2]
		return fmt.Sprintf("%s: restored %v; mean work %.3f, slowdown %.3f, answers %.1f, memory margin %.2f; engine 2 slowdown %.2f, suspected %v", what, taken, c.meanWork, c.slowdown, c.answers, c.memoryMargin(), e.slowdown, e.suspected)
	}
	lines := []string{tell("nothing learned", one(), false), tell("before", before, false)}
	for _, c := range []struct {
		what string
		age  float64
		bad  func(l *LearnedState)
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
		x := one()
		mine := l
		mine.Classes, mine.Engines = append([]LearnedClass(nil), l.Classes...), append([]LearnedEngine(nil), l.Engines...)
		if c.bad != nil {
			c.bad(&mine)
		}
		taken := x.RestoreLearned(x.at, c.age, 30, mine)
		lines = append(lines, tell(c.what, x, taken))
	}
	testutil.Check(t, lines)
	if !strings.Contains(lines[2], "slowdown 3.00, suspected true") {
		t.Error(lines[2])
	}
}
