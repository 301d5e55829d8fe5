package admission

import "testing"

// A request without tables has no preferred engines: else all gateways would send such requests to the same two.
func TestNoAffinityWithoutTables(t *testing.T) {
	x := newTrace(t, Settings{}, Class{})
	x.listReady(Snapshot, 1, 2, 3, 4, 5, 6, 7, 8)
	x.classes[0].slowdown = 1 // that of the results below
	count := map[uint32]int{}
	for id := range uint32(160) {
		x.arrive(Request{ID: id, Work: 0.1, Memory: 100})
		count[x.requests[id].attempts[0].engine.id]++
		x.endAttempt(id, 0, Succeeded)
	}
	for id, n := range count {
		if n < 8 || n > 40 {
			t.Errorf("engine %d had %d of 160 requests, an even part is 20", id, n)
		}
	}
	if len(count) != 8 {
		t.Errorf("only %d of 8 engines had a request", len(count))
	}
}
