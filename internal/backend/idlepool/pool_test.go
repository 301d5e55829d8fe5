package idlepool

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Who gives way, step by step.
func TestEviction(t *testing.T) {
	var lines []string
	pool := New[int, string]()
	step := func(what string, evicted []int) {
		lines = append(lines, fmt.Sprintf("%s: %v close, %d rest", what, evicted, pool.Len()))
	}
	step("no bound, 1 at a", pool.Add(1, "a"))
	step("2 at b", pool.Add(2, "b"))
	step("3 at a", pool.Add(3, "a"))
	step("3 may rest", pool.SetLimit(3))
	step("4 at c: the older of a's two", pool.Add(4, "c"))
	step("5 at d: each is alone, 2 has rested longest", pool.Add(5, "d"))
	pool.Remove(3)
	step("3 is used; 6 at e", pool.Add(6, "e"))
	step("3 rests again", pool.Add(3, "a"))
	step("6 rests once more, which is no second one", pool.Add(6, "e"))
	step("1 may rest", pool.SetLimit(1))
	step("none", pool.SetLimit(0))
	step("7 at a while none may", pool.Add(7, "a"))
	for _, n := range [][3]int{{20, 60, 300}, {20, 10, 300}, {20, 30, 7}, {0, 30, 7}, {20, 0, 7}, {1, 3, 100}} {
		sum, parts := 0, []int{}
		for i := range n[2] {
			part := Quota(n[0], n[1], i, n[2])
			sum += part
			if !slices.Contains(parts, part) {
				parts = append(parts, part)
			}
		}
		slices.Sort(parts)
		lines = append(lines, fmt.Sprintf("%d at each of %d engines, %d controllers: %v each, %d in all", n[0], n[1], n[2], parts, sum))
	}
	lines = append(lines, fmt.Sprint("without a number: ", Quota(20, 10, -1, 300)))
	testutil.CheckTrace(t, lines)
}

// Whatever comes, no more rest than may, each closes once, and nothing is kept of those that have left.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := New[int, int]()
		limit, idle := -1, map[int]bool{}
		closed := func(evicted []int) {
			for _, c := range evicted {
				if !idle[c] {
					t.Fatalf("%d closes and did not rest", c)
				}
				delete(idle, c)
			}
			if limit >= 0 && len(idle) > limit || len(idle) != pool.Len() {
				t.Fatalf("%d rest, %d known, %d may", len(idle), pool.Len(), limit)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := rapid.IntRange(0, 20).Draw(t, "connection")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				limit = rapid.IntRange(-1, 10).Draw(t, "most")
				closed(pool.SetLimit(limit))
			case 1, 2:
				pool.Remove(c)
				delete(idle, c)
			default:
				idle[c] = true
				closed(pool.Add(c, c%5))
			}
		}
		for c := range 21 {
			pool.Remove(c)
		}
		if pool.Len()+len(pool.perEngine) != 0 {
			t.Fatalf("%d connections and %d engines are still kept", pool.Len(), len(pool.perEngine))
		}
	})
}
