package admission

import (
	"testing"
)

func TestLateRequestIsShed(t *testing.T) {
	x := start(t, Settings{MaxRetryAfter: 2}, Class{LatencyObjective: 2})
	x.list(Snapshot, false, 0, 1)
	x.arrive(1, 0, 0, 1, 100)
	x.pass(3)
	x.tallies()
	x.check()
}

// Of the held jobs up to one that would end late by its turn, the one of least billed value for its work
// goes.
func TestLeastWorthIsShed(t *testing.T) {
	x := start(t, Settings{}, Class{LatencyObjective: 4})
	x.list(Snapshot, true, 0, 1)
	for id := range uint32(4) {
		x.arrive(id+1, 0, 0, 1, 5000)
	}
	x.pass(0.5)
	x.outcome(1, 0, Succeeded) // one second of work a second is what gets done
	x.arrive(5, 0, 0, 1, 5000)
	x.arrive(6, 0, 0, 4, 5000)
	x.arrive(7, 0, 0, 1, 5000)
	x.arrive(8, 0, 0, 1, 5000)
	x.pass(0.6)
	x.check()
}

func TestOverQuotaIsShed(t *testing.T) {
	x := start(t, Settings{OverQuotaWeight: 0.1, TenantQuotas: []float64{1}}, Class{LatencyObjective: 3})
	x.list(Snapshot, true, 0, 1)
	x.arrive(1, 0, 0, 1, 5000)
	x.pass(0.5)
	x.outcome(1, 0, Succeeded)
	for id := range uint32(8) {
		x.arrive(id+2, 0, 0, 1, 5000)
	}
	x.pass(0.6)
	x.check()
}
