package state

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "copperrock.example/copperrock/internal/harness/testutil" // one seed for all properties
)

// Whatever commands come, from however wrong a leader, no invariant breaks after any of them.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := New()
		names := []string{"a", "b", "c"}
		for step := range rapid.IntRange(1, 60).Draw(r, "commands") {
			c := Command{Op: rapid.SampledFrom([]Op{Set, Join, Join, Expire, Move, Move, Move, Settle, Settle}).Draw(r, "op"),
				Holder: Holder{rapid.SampledFrom(names).Draw(r, "name"), rapid.Uint64Range(1, 3).Draw(r, "inc")}, What: rapid.SampledFrom([]string{"m", "p"}).Draw(r, "what"),
				Amount: rapid.Float64Range(-1, 15).Draw(r, "amount"), Most: 4}
			switch c.Op {
			case Set:
				c.Generation = rapid.Uint64Range(0, 5).Draw(r, "generation")
				c.Quantities = []Quantity{{Name: "m", Whole: rapid.Float64Range(0, 12).Draw(r, "whole"), Aside: rapid.Float64Range(0, 2).Draw(r, "aside")},
					{Name: "p", Form: Paced, Whole: 6, Window: 1}}
			case Settle:
				if h := l.Controllers[c.Holder]; h != nil && rapid.Bool().Draw(r, "right number") {
					c.Number = h.Holds[c.What].Number
				}
			}
			was := l.Clone()
			err := l.Apply(c)
			if wrong := l.Check(was); wrong != "" {
				r.Fatalf("step %d, %+v (%v): %s", step, c, err, wrong)
			}
		}
	})
}

// What was given up binds until the holder has settled; what it uses beyond still binds; the rest goes to another.
func TestShrinkFirst(t *testing.T) {
	l := New()
	a, b := Holder{"a", 1}, Holder{"b", 1}
	for _, c := range []Command{{Op: Set, Generation: 1, Quantities: []Quantity{{Name: "m", Whole: 10}}}, {Op: Join, Holder: a}, {Op: Join, Holder: b},
		{Op: Move, Holder: a, What: "m", Amount: 10}, {Op: Move, Holder: a, What: "m", Amount: 4}, {Op: Move, Holder: b, What: "m", Amount: 6}} {
		if err := l.Apply(c); err != nil {
			t.Fatal(c, err)
		}
	}
	has := func(h Holder) float64 { return l.Controllers[h].Holds["m"].Amount }
	if has(a) != 4 || has(b) != 0 || l.Free("m") != 0 {
		t.Errorf("a %g, b %g, free %g before a has settled", has(a), has(b), l.Free("m"))
	}
	number := l.Controllers[a].Holds["m"].Number
	if l.Apply(Command{Op: Settle, Holder: a, What: "m", Number: number - 1}) == nil {
		t.Error("settled an older number")
	}
	l.Apply(Command{Op: Settle, Holder: a, What: "m", Number: number, Amount: 7})
	l.Apply(Command{Op: Move, Holder: b, What: "m", Amount: 6})
	if has(b) != 3 {
		t.Errorf("b has %g while a uses 7 of 10 still", has(b))
	}
	l.Apply(Command{Op: Expire, Holder: a})
	l.Apply(Command{Op: Move, Holder: b, What: "m", Amount: 20})
	if has(b) != 10 {
		t.Errorf("b has %g of 10 once a is gone", has(b))
	}
}

// L5 to L8 hold for any commands, from however wrong a leader and whoever's acts, and the ledger does not grow past its
// bounds.
func TestAnyDuties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := New()
		l.Apply(Command{Op: Set, Generation: 1, Duties: []Duty{{"jobs", 3}, {"engines", 1}}, Jobs: []string{"a"}})
		sent := map[string]int{} // times that a run-once occurrence was allowed to be sent, less those of which nothing ran
		for range rapid.IntRange(1, 120).Draw(r, "commands") {
			h := Holder{rapid.SampledFrom([]string{"x", "y", "z"}).Draw(r, "name"), rapid.Uint64Range(1, 2).Draw(r, "inc")}
			slice := rapid.IntRange(0, 3).Draw(r, "slice")
			fence := uint64(0)
			if s := l.slice("jobs", slice); s != nil && rapid.Bool().Draw(r, "right fence") {
				fence = s.Fence
				if rapid.Bool().Draw(r, "right owner") {
					h = s.Owner
				}
			}
			c := Command{Op: rapid.SampledFrom([]Op{Join, Join, Expire, Assign, Assign, Recall, Release, Take, Take, Take, Send, Send, Over, Doubt, Miss, Clear, Ordering, ForgetOrder, Publish, Set}).Draw(r, "op"),
				Holder: h, What: "jobs", Duty: "jobs", At: slice, Number: fence, Most: 5, When: rapid.Int64Range(1, 9).Draw(r, "when"), Once: true,
				Again: rapid.Bool().Draw(r, "again"), State: RunState(rapid.IntRange(0, 7).Draw(r, "state")), Generation: rapid.Uint64Range(0, 3).Draw(r, "generation"),
				Duties: []Duty{{"jobs", 3}, {"engines", 1}}, Text: "drain", Ends: rapid.Bool().Draw(r, "ends")}
			if c.Op >= Take && c.Op <= Clear {
				c.What = "a"
			}
			was := l.Clone()
			err := l.Apply(c)
			if wrong := l.Check(was); wrong != "" {
				r.Fatalf("%+v: %s", c, wrong)
			}
			key := fmt.Sprint(c.What, c.When)
			state := func(l *Ledger) RunState {
				if run := l.Jobs["a"].run(c.When); run != nil {
					return run.State
				}
				return -1
			}
			before, after := state(was), state(l)
			switch {
			case err != nil && before != after:
				r.Fatalf("%+v was refused and changed the occurrence", c)
			case c.Op == Send && before == RunTaken && after == RunSent:
				if sent[key]++; sent[key] > 1 {
					r.Fatalf("%+v: a run-once occurrence may be sent twice", c)
				}
			case (c.Op == Over || c.Op == Clear) && after == RunTaken && before != RunTaken:
				sent[key]--
			}
		}
		for name := range l.Jobs {
			if n := len(l.Jobs[name].Runs); n > keptRuns+openRuns {
				r.Fatalf("%d occurrences are kept", n)
			}
		}
	})
}
