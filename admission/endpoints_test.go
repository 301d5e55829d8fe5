package admission

import "testing"

// No request starts on an engine that is draining or has left the list.
func TestDrainAndCachedList(t *testing.T) {
	x := newTrace(t, Settings{}, Class{})
	x.listReady(CachedSnapshot, 1, 2)
	x.listUnready(Delta, 1)
	for id := range uint32(3) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 100})
	}
	x.listReady(Snapshot, 3)
	x.arrive(Request{ID: 4, Work: 1, Memory: 100})
	x.checkGolden()
}

// A list that is sent only on request is requested until its changes arrive.
func TestEndpointsOnRequest(t *testing.T) {
	x := newTrace(t, Settings{EndpointsOnRequest: true}, Class{})
	x.listReady(CachedSnapshot, 1)
	x.listReady(ListUnavailable)
	x.advanceTo(2.5)
	x.listReady(Delta, 2)
	x.advanceTo(6)
	x.checkGolden()
}

// Engines that keep appearing under new IDs are forgotten once they have left the list and nothing is in flight there.
func TestGoneEnginesAreForgotten(t *testing.T) {
	x := newTrace(t, Settings{SlowStartBudgetWindow: 1}, Class{})
	x.listReady(Snapshot, 1)
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	for id := range uint32(20) {
		x.listReady(Delta, id+2)
		x.listUnready(Delta, id+1)
	}
	x.logEvent("known: %d", len(x.endpoints.engines))
	x.endAttempt(1, 0, Succeeded)
	x.advanceTo(2)
	x.listReady(Delta, 21)
	x.logEvent("known: %d", len(x.endpoints.engines))
	x.checkGolden()
}
