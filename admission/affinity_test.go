package admission

import (
	"slices"
	"testing"
)

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

// Guards against memory that grows with every new group of tables that clients name. An order is the same after it was dropped.
func TestAffinityOrdersAreBounded(t *testing.T) {
	const engines = 500
	x := newTrace(t, Settings{}, Class{})
	ids := make([]uint32, engines)
	for i := range ids {
		ids[i] = uint32(i) + 1
	}
	x.listReady(Snapshot, ids...)
	list := &x.endpoints
	first := slices.Clone(list.affinityOrder(1))
	for tables := range uint32(maxAffinityEntries/engines + 50) {
		list.affinityOrder(tables)
		if entries := len(list.affinityOrders) * engines; entries > maxAffinityEntries {
			t.Fatalf("%d engines are stored in orders, want at most %d", entries, maxAffinityEntries)
		}
	}
	if !slices.Equal(first, list.affinityOrder(1)) {
		t.Error("an order differs after it was dropped")
	}
}
