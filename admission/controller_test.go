package admission

import (
	"testing"
)

func TestUnusualSettings(t *testing.T) {
	x := start(t, Settings{GatewayCount: 2, GatewayIndex: 7, EnginesReportMemory: true, MayCancel: true}, Class{})
	x.arrive(1, 0, 0, 1, 100) // no roster yet
	x.list(CachedSnapshot, true, 0)
	x.arrive(2, 0, 0, 0, 0)
	x.list(Delta, true, 0, 901) // of a kind that is not told
	x.pass(0.1)
	x.outcome(2, 0, TimedOut)
	x.pass(6)
	x.check()
}
