package admission

import "testing"

// A request that can no longer finish within its objective is rejected.
func TestLateRequestIsShed(t *testing.T) {
	x := newTrace(t, Settings{MaxRetryAfter: 2}, Class{LatencyObjective: 2})
	x.listUnready(Snapshot, 1)
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.advanceTo(3)
	x.tallies()
	x.checkGolden()
}

// If a queued request would be late by its turn, the request with the least priority weight for its work is rejected among
// those up to it.
func TestLeastWorthIsShed(t *testing.T) {
	x := newTrace(t, Settings{}, Class{LatencyObjective: 4})
	x.listReady(Snapshot, 1)
	for id := range uint32(4) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 5000})
	}
	x.advanceTo(0.5)
	x.endAttempt(1, 0, Succeeded) // work now completes at a rate of 1 s per second
	x.arrive(Request{ID: 5, Work: 1, Memory: 5000})
	x.arrive(Request{ID: 6, Work: 4, Memory: 5000})
	x.arrive(Request{ID: 7, Work: 1, Memory: 5000})
	x.arrive(Request{ID: 8, Work: 1, Memory: 5000})
	x.advanceTo(0.6)
	x.checkGolden()
}

// Requests that exceed their tenant's quota are rejected first.
func TestOverQuotaIsShed(t *testing.T) {
	x := newTrace(t, Settings{OverQuotaWeight: 0.1, TenantQuotas: []float64{1}}, Class{LatencyObjective: 3})
	x.listReady(Snapshot, 1)
	x.arrive(Request{ID: 1, Work: 1, Memory: 5000})
	x.advanceTo(0.5)
	x.endAttempt(1, 0, Succeeded)
	for id := range uint32(8) {
		x.arrive(Request{ID: id + 2, Work: 1, Memory: 5000})
	}
	x.advanceTo(0.6)
	x.checkGolden()
}
