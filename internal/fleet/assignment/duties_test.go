package assignment

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

func seats(n int) (all []Seat) {
	for i := range n {
		all = append(all, Seat{fmt.Sprintf("c%03d", i), 1})
	}
	return all
}

// Few slices move when one comes or goes, each gets some by its weight, and all agree who.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(r, "controllers")
		all := seats(n)
		gone := rapid.IntRange(0, n-1).Draw(r, "gone")
		left := slices.Delete(slices.Clone(all), gone, gone+1)
		for slice := range 200 {
			was, is := all[Choose("probe", slice, all)].Name, left[Choose("probe", slice, left)].Name
			if was != all[gone].Name && was != is {
				r.Fatalf("slice %d went from %s to %s though %s went", slice, was, is, all[gone].Name)
			}
		}
	})
	heavy := seats(4)
	heavy[1].Weight, heavy[2].Weight = 2, 0
	count := map[string]int{}
	for slice := range 4000 {
		count[heavy[Choose("jobs", slice, heavy)].Name]++
	}
	if x := float64(count["c001"]) / float64(count["c000"]); x < 1.7 || x > 2.3 || count["c002"] > 0 {
		t.Errorf("weights of 1, 2, 0, 1 gave %v", count)
	}
	if Choose("jobs", 1, nil) != -1 {
		t.Error("nobody was chosen")
	}
}

// A thousand slices and three hundred controllers, of which a tenth goes and comes each second: each slice is moved no more
// often than its owner changes, and no more are asked back at once than are allowed.
func TestMovesAtSize(t *testing.T) {
	all := seats(300)
	held := make([]Held, 1000)
	for i := range held {
		held[i] = Held{Owner: -1, Free: true}
	}
	moved := 0
	for round := range 30 {
		dead := map[int]bool{}
		for i := range 30 {
			dead[(round*37+i*7)%300] = true
		}
		var live []Seat
		var at []int
		for i, s := range all {
			if !dead[i] {
				live, at = append(live, s), append(at, i)
			}
		}
		seen := make([]Held, len(held))
		for i, h := range held {
			seen[i] = Held{Owner: slices.Index(at, h.Owner), Free: h.Free || dead[h.Owner], Recalled: h.Recalled}
		}
		recalls := 0
		for _, m := range Moves("probe", seen, live, 125) {
			if m.Recall {
				recalls++
				held[m.Slice].Recalled = true
				continue
			}
			held[m.Slice] = Held{Owner: at[m.To]}
			moved++
		}
		for i := range held { // what was asked back is given back
			if held[i].Recalled {
				held[i] = Held{Owner: -1, Free: true}
			}
		}
		if recalls > 125 {
			t.Fatalf("%d slices asked back at once", recalls)
		}
	}
	if moved > 1000+30*300 { // each round a tenth's slices go, and those of the tenth before come back
		t.Errorf("%d moves", moved)
	}
}

// What an owner may do: with a lease, at its end, after a standstill, when asked back, with an older answer.
func TestOwn(t *testing.T) {
	o := NewOwn(0.1, 0.25)
	a, b := Slot{"jobs", 1}, Slot{"jobs", 2}
	var lines []string
	now := 0.0
	say := func(what string) {
		fa, oka := o.May(now, a)
		fb, okb := o.May(now, b)
		lines = append(lines, fmt.Sprintf("%.2f %s: a %v under %d, b %v under %d, rest %.2f, back %v", now, what, oka, fa, okb, fb, o.Rest(now), o.Back()))
	}
	at := func(to float64) {
		for now < to-1e-9 {
			now = min(now+0.1, to)
			o.Beat(now)
		}
	}
	say("new")
	o.Update(now, 0, 1, []Grant{{a, 5, false}, {b, 6, false}})
	say("given both up to 1")
	at(0.85)
	say("later")
	at(0.95)
	say("within the margin")
	o.Update(now, 0.9, 1.9, []Grant{{a, 5, true}, {b, 6, false}})
	say("renewed, a asked back")
	o.Update(now, 0.9, 2.0, []Grant{{b, 6, false}, {a, 4, false}})
	say("an older word of a")
	fence, _ := o.Begin(now, b)
	o.Update(now, 0.95, 2.0, []Grant{{b, 6, true}})
	say("a gone, b asked back with something under way")
	lines = append(lines, fmt.Sprintf("it may still finish: %v", o.Still(now, b, fence)))
	o.End(b, fence)
	say("that is over")
	o.Update(now, 1, 2.1, []Grant{{b, 9, false}})
	say("b given anew")
	now += 0.5 // no beat meanwhile
	lines = append(lines, fmt.Sprintf("before the next beat it may: %v", o.Still(now, b, 9)))
	lines = append(lines, fmt.Sprintf("stood still: %v", o.Beat(now)))
	o.Update(now, 1.2, 2.5, []Grant{{b, 9, false}})
	say("an answer to an ask from before")
	o.Update(now, now, now+1, []Grant{{b, 9, false}})
	say("one from after")
	testutil.Check(t, lines)
}

// Occurrences: on time, late by each of the ways, one longer than its interval, one that may have run, one that did not.
func TestDecide(t *testing.T) {
	var lines []string
	none := func(int64) bool { return false }
	never := func(int64) int64 { return math.MinInt32 }
	say := func(what string, s Spec, v View, now int64, mine func(int64) bool, tried func(int64) int64) {
		var due []int64
		for when := v.Last/10*10 + 10; when <= now; when += 10 {
			due = append(due, when)
		}
		lines = append(lines, fmt.Sprintf("%s: %+v", what, Decide(s, v, due, now, 7, mine, tried)))
	}
	say("on time", Spec{Grace: 5}, View{Last: 100}, 111, none, never)
	say("not due yet", Spec{Grace: 5}, View{Last: 110}, 111, none, never)
	for _, late := range []Late{Skip, Latest, Each} {
		say(fmt.Sprintf("three late, way %d", late), Spec{Late: late, Grace: 5}, View{Last: 100}, 136, none, never)
	}
	mine := func(when int64) bool { return when == 110 }
	say("longer than the interval, next skipped", Spec{Grace: 5}, View{Last: 110, Open: []Occurrence{{When: 110, Sent: true}}}, 127, mine, never)
	say("longer than the interval, each", Spec{Late: Each}, View{Last: 110, Open: []Occurrence{{When: 110, Sent: true}}}, 127, mine, never)
	say("sent by another, run-once", Spec{Grace: 5, Once: true}, View{Last: 110, Open: []Occurrence{{When: 110, Sent: true, Fence: 3}}}, 112, none, never)
	say("sent by another, restartable", Spec{Grace: 5}, View{Last: 110, Open: []Occurrence{{When: 110, Sent: true, Fence: 3}}}, 112, none, never)
	say("taken by another, run-once", Spec{Grace: 5, Once: true}, View{Last: 110, Open: []Occurrence{{When: 110, Fence: 3}}}, 112, none, never)
	say("waits for a person, the next is due", Spec{Grace: 5, Once: true}, View{Last: 110, Open: []Occurrence{{When: 110, Doubt: true}}}, 121, none, never)
	say("did not run a moment ago", Spec{Grace: 5, Rest: 3}, View{Last: 110, Open: []Occurrence{{When: 110}}}, 112, none, func(int64) int64 { return 111 })
	say("did not run in any try", Spec{Grace: 5, Tries: 2}, View{Last: 110, Open: []Occurrence{{When: 110, Tries: 2}}}, 112, none, never)
	testutil.Check(t, lines)
}
