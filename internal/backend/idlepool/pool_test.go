package idlepool

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Records which connections are evicted at each step of a sequence, and the quotas of some fleets.
func TestEviction(t *testing.T) {
	var lines []string
	pool := New[int, string]()
	step := func(name string, evicted []int) {
		lines = append(lines, fmt.Sprintf("%s: %v close, %d rest", name, evicted, pool.Len()))
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
	// Connections at each engine, engines, controllers.
	for _, n := range [][3]int{{20, 60, 300}, {20, 10, 300}, {20, 30, 7}, {0, 30, 7}, {20, 0, 7}, {1, 3, 100}} {
		sum, quotas := 0, []int{}
		for i := range n[2] {
			quota := Quota(n[0], n[1], i, n[2])
			sum += quota
			if !slices.Contains(quotas, quota) {
				quotas = append(quotas, quota)
			}
		}
		slices.Sort(quotas)
		lines = append(lines, fmt.Sprintf("%d at each of %d engines, %d controllers: %v each, %d in all", n[0], n[1], n[2], quotas, sum))
	}
	lines = append(lines, fmt.Sprint("without a number: ", Quota(20, 10, -1, 300)))
	testutil.CheckTrace(t, lines)
}

// After any sequence of calls, at most the limit of connections are idle, each is evicted once, and nothing is left of those
// that were removed.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := New[int, int]()
		limit, idle := -1, map[int]bool{}
		checkEvicted := func(evicted []int) {
			for _, c := range evicted {
				if !idle[c] {
					t.Fatalf("connection %d was evicted but was not idle", c)
				}
				delete(idle, c)
			}
			if limit >= 0 && len(idle) > limit || len(idle) != pool.Len() {
				t.Fatalf("got %d idle connections, want Len %d and at most %d", len(idle), pool.Len(), limit)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := rapid.IntRange(0, 20).Draw(t, "connection")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				limit = rapid.IntRange(-1, 10).Draw(t, "most")
				checkEvicted(pool.SetLimit(limit))
			case 1, 2:
				pool.Remove(c)
				delete(idle, c)
			default:
				idle[c] = true
				checkEvicted(pool.Add(c, c%5))
			}
		}
		for c := range 21 {
			pool.Remove(c)
		}
		if pool.Len()+len(pool.perEngine) != 0 {
			t.Fatalf("got %d connections and %d engines left, want none", pool.Len(), len(pool.perEngine))
		}
	})
}
