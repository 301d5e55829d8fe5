package admission

import (
	"testing"
)

func TestDrainAndCachedList(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(CachedSnapshot, true, 0, 1, 2)
	x.list(Delta, false, 0, 1)
	for id := range uint32(3) {
		x.arrive(id+1, 0, 0, 1, 100)
	}
	x.list(Snapshot, true, 0, 3)
	x.arrive(4, 0, 0, 1, 100)
	x.check()
}

func TestEndpointsOnRequest(t *testing.T) {
	x := start(t, Settings{EndpointsOnRequest: true}, Class{})
	x.list(CachedSnapshot, true, 0, 1)
	x.list(ListUnavailable, true, 0)
	x.pass(2.5)
	x.list(Delta, true, 0, 2)
	x.pass(6)
	x.check()
}

// Engines that come under ever new names are forgotten once they are gone and nothing of theirs is open.
func TestGoneEnginesAreForgotten(t *testing.T) {
	x := start(t, Settings{SlowStartBudgetWindow: 1}, Class{})
	x.list(Snapshot, true, 0, 1)
	x.arrive(1, 0, 0, 1, 100)
	for id := range uint32(20) {
		x.list(Delta, true, 0, id+2)
		x.list(Delta, false, 0, id+1)
	}
	x.say("known: %d", len(x.endpoints.engines))
	x.outcome(1, 0, Succeeded)
	x.pass(2)
	x.list(Delta, true, 0, 21)
	x.say("known: %d", len(x.endpoints.engines))
	x.check()
}
