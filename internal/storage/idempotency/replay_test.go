package idempotency

import "testing"

// Arbitrary bytes must decode as a log record or fail, and a decoded record must stay within bounds.
func FuzzReplay(f *testing.F) {
	x := newLoggedIndex(usualLimits)
	_, record := x.Admit(1, "k", IdempotentWithKey, 10, false)
	x.EndAttempt(2, record, x.StartAttempt(1, record, "engine", 1, 2), true)
	x.Finish(3, record, Succeeded, []byte("rows"), true)
	x.drain()
	for _, logged := range x.log {
		f.Add(logged[0], logged[1:])
	}
	f.Add(kindRecord, x.AppendSnapshot(nil, "k")[3:])
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		index := New(usualLimits)
		if index.Replay(kind, body) != nil {
			return
		}
		index.Resume(index.LatestTime(), true)
		for _, key := range index.Keys() {
			if count := len(index.byKey[key].Attempts); count > maxAttempts {
				t.Fatalf("got %d attempts, want at most %d", count, maxAttempts)
			}
			index.Admit(index.LatestTime(), key, IdempotentWithKey, 10, false)
		}
	})
}
