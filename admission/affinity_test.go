package admission

import (
	"testing"
)

// Found with hundreds of processes: a job without a data set had homes all the same, the same two at every gateway, and
// all jobs went there.
func TestNoAffinityWithoutTables(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Snapshot, true, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	x.classes[0].slowdown = 1 // the pace of the outcomes below
	count := map[uint32]int{}
	for id := range uint32(160) {
		x.arrive(id, 0, 0, 0.1, 100)
		count[x.requests[id].attempts[0].engine.id]++
		x.outcome(id, 0, Succeeded)
	}
	for id, n := range count {
		if n < 8 || n > 40 {
			t.Errorf("engine %d had %d of 160 jobs, an even part is 20", id, n)
		}
	}
	if len(count) != 8 {
		t.Errorf("only %d of 8 engines had a job", len(count))
	}
}
