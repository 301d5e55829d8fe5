package admission

import (
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

func TestOrderedKeys(t *testing.T) {
	x := start(t, Settings{OrderedKeyBackoff: 1}, Class{Ordered: true, Idempotency: IdempotentWithKey, LatencyObjective: 9, IdempotencyWindow: 5})
	x.list(Snapshot, true, 0, 1, 2, 3)
	x.arrive(1, 0, 5, 1, 100)
	x.arrive(2, 0, 5, 1, 100)
	x.arrive(3, 0, 6, 1, 100)
	x.arrive(4, 0, 0, 1, 100)
	x.outcome(1, 0, ConnectionReset) // its own further dispatch does not rest
	x.outcome(1, 1, Succeeded)
	x.pass(1.1)
	x.outcome(2, 0, Succeeded)
	x.check()
}

// Lines of keys are forgotten once nothing of them is open and no rest binds them: a client that names ever new keys takes
// no more memory than one that comes back to its own.
func TestIdleKeysAreForgotten(t *testing.T) {
	x := start(t, Settings{OrderedKeyBackoff: 1}, Class{Ordered: true, Idempotency: IdempotentWithKey, LatencyObjective: 9, IdempotencyWindow: 5})
	x.list(Snapshot, true, 0, 1, 2, 3)
	most := 0
	for id := range uint32(10000) {
		x.at += 0.01
		x.arrive(id, 0, uint64(id)+1, 0.1, 10)
		if id%7 == 0 {
			x.outcome(id, 0, ConnectionReset) // it may still run: the key rests
			x.outcome(id, 1, Succeeded)
		} else {
			x.outcome(id, 0, Succeeded)
		}
		most = max(most, len(x.Controller.orderedKeys.byKey))
	}
	x.lines = nil
	x.say("keys kept at most under 200: %v", most < 200)
	testutil.Check(t, x.lines)
}
