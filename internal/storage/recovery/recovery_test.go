package recovery

import (
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Traces every order of events: requests may be taken only once all records were replayed and the endpoints are known, or
// once the store was found unusable.
func TestEventOrders(t *testing.T) {
	var lines []string
	names := []string{"opened", "replayed", "endpoints listed", "failed"}
	var play func(events []Event)
	seen := map[string]bool{}
	play = func(events []Event) {
		tracker := New(0)
		line, ready := "", false
		for i, e := range events {
			now := tracker.Handle(float64(i+1), e)
			if ready && !now {
				t.Errorf("%v: got not ready after ready", events)
			}
			ready = now
			line += fmt.Sprintf("%s: %v %v; ", names[e], tracker.State(), ready)
		}
		if !seen[line] && len(events) == 3 {
			seen[line] = true
			lines = append(lines, line+tracker.Durations())
		}
		if len(events) < 3 {
			for e := Opened; e <= Failed; e++ {
				play(append(events[:len(events):len(events)], e))
			}
		}
	}
	play(nil)
	testutil.CheckTrace(t, lines)
}
