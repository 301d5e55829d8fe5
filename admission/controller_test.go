package admission

import "testing"

// A gateway index beyond the number of gateways, an unknown machine type and requests before the first endpoint list must not
// prevent decisions.
func TestUnusualSettings(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 2, GatewayIndex: 7, EnginesReportMemory: true, MayCancel: true}, Class{})
	x.arrive(Request{ID: 1, Work: 1, Memory: 100}) // no endpoint list yet
	x.listReady(CachedSnapshot)
	x.arrive(Request{ID: 2})
	x.listReady(Delta, 901) // its machine type is not in the settings
	x.advanceTo(0.1)
	x.endAttempt(2, 0, TimedOut)
	x.advanceTo(6)
	x.checkGolden()
}
