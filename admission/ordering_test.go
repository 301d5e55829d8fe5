package admission

import (
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Requests with the same ordered key start one after another, and the key is blocked after an attempt that may still be
// running.
func TestOrderedKeys(t *testing.T) {
	x := newTrace(t, Settings{OrderedKeyBackoff: 1}, Class{Ordered: true, Idempotency: IdempotentWithKey, LatencyObjective: 9, IdempotencyWindow: 5})
	x.listReady(Snapshot, 1, 2, 3)
	x.arrive(Request{ID: 1, OrderKey: 5, Work: 1, Memory: 100})
	x.arrive(Request{ID: 2, OrderKey: 5, Work: 1, Memory: 100})
	x.arrive(Request{ID: 3, OrderKey: 6, Work: 1, Memory: 100})
	x.arrive(Request{ID: 4, Work: 1, Memory: 100})
	x.endAttempt(1, 0, ConnectionReset) // its own retry does not wait
	x.endAttempt(1, 1, Succeeded)
	x.advanceTo(1.1)
	x.endAttempt(2, 0, Succeeded)
	x.checkGolden()
}

// Keys are forgotten once they have no open request and no backoff. A client that keeps sending new keys takes no more memory
// than one that reuses its keys.
func TestIdleKeysAreForgotten(t *testing.T) {
	x := newTrace(t, Settings{OrderedKeyBackoff: 1}, Class{Ordered: true, Idempotency: IdempotentWithKey, LatencyObjective: 9, IdempotencyWindow: 5})
	x.listReady(Snapshot, 1, 2, 3)
	maxKeys := 0
	for id := range uint32(10000) {
		x.at += 0.01
		x.arrive(Request{ID: id, OrderKey: uint64(id) + 1, Work: 0.1, Memory: 10})
		if id%7 == 0 {
			x.endAttempt(id, 0, ConnectionReset) // it may still be running: the key is blocked
			x.endAttempt(id, 1, Succeeded)
		} else {
			x.endAttempt(id, 0, Succeeded)
		}
		maxKeys = max(maxKeys, len(x.orderedKeys.byKey))
	}
	x.lines = nil
	x.logEvent("keys kept at most under 200: %v", maxKeys < 200)
	testutil.CheckTrace(t, x.lines)
}
