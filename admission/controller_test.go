package admission

import "testing"

// An index past the number of gateways, a machine type that is not known, and requests before the first list do no harm.
func TestUnusualSettings(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 2, GatewayIndex: 7, EnginesReportMemory: true, MayCancel: true}, Class{})
	x.arrive(Request{ID: 1, Work: 1, Memory: 100}) // no endpoint list yet
	x.listReady(CachedSnapshot)
	x.arrive(Request{ID: 2})
	x.listReady(Delta, 901) // of a machine type that the settings do not name
	x.pass(0.1)
	x.endAttempt(2, 0, TimedOut)
	x.pass(6)
	x.check()
}
