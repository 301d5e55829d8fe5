package requestlog

import (
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/storage/idempotency"
)

// Two clients send requests with one key at once: the second gets the answer of the first, or is rejected.
func TestConcurrentRepeats(t *testing.T) {
	for _, onRepeat := range []string{joinRepeat, rejectRepeat} {
		t.Run(onRepeat, func(t *testing.T) {
			o := options()
			o.OnRepeat = onRepeat
			p := startProcess(t, o, crashfs.New(1), (&clock{bootID: "one", now: 100}).clock())
			first := p.Admit("k", idempotency.NonIdempotent, 60, true)
			second := p.Admit("k", idempotency.NonIdempotent, 60, false)
			if second.Decision != idempotency.InProgress || (second.Joined != nil) != (onRepeat == joinRepeat) {
				t.Errorf("second request: got %+v", second)
			}
			number, err := first.Request.StartAttempt("e1", 0, 0, testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			first.Request.EndAttempt(number, true)
			first.Request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: []byte("rows"), RowsComplete: true})
			if onRepeat == joinRepeat {
				if answer := <-second.Joined; answer.Outcome != idempotency.Succeeded || string(answer.Rows) != "rows" {
					t.Errorf("joined request: got answer %+v", answer)
				}
			}
			if p.JoinedRequests() != 0 {
				t.Error("a request is still joined after the answer")
			}
			p.stop()
		})
	}
}
