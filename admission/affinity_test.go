package admission

import "testing"

// A request without tables has no preferred engines. Otherwise all gateways would send such requests to the same two engines.
func TestNoAffinityWithoutTables(t *testing.T) {
	x := newTrace(t, Settings{}, Class{})
	x.listReady(Snapshot, 1, 2, 3, 4, 5, 6, 7, 8)
	x.classes[0].slowdown = 1 // matches the results below
	count := map[uint32]int{}
	for id := range uint32(160) {
		x.arrive(Request{ID: id, Work: 0.1, Memory: 100})
		count[x.requests[id].attempts[0].engine.id]++
		x.endAttempt(id, 0, Succeeded)
	}
	for id, n := range count {
		if n < 8 || n > 40 {
			t.Errorf("engine %d got %d of 160 requests, want 8 to 40", id, n)
		}
	}
	if len(count) != 8 {
		t.Errorf("%d engines got a request, want 8", len(count))
	}
}
