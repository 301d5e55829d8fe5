package idempotency

import "testing"

// mayHaveRun stores a key with an attempt that may have run.
func (x *loggedIndex) mayHaveRun(key string) {
	_, record := x.Admit(x.now, key, NonIdempotent, 10, false)
	x.StartAttempt(x.now, record, "e1", 1, 2)
	x.Finish(x.now, record, Pending, nil, false)
}

// A client's repeat extends the retention of a record, also when the log is replayed and records of other keys advance its
// clock.
func TestRepeatExtendsOverReplay(t *testing.T) {
	x := newLoggedIndex(usualLimits)
	x.mayHaveRun("k")
	x.now = 50
	x.Admit(x.now, "k", NonIdempotent, 10, false)
	x.now = 100
	x.Admit(x.now, "other", NonIdempotent, 10, false)
	x.drain()
	if err := x.restart(len(x.log), false); err != nil {
		t.Fatal(err)
	}
	if decision, _ := x.Admit(x.now, "k", NonIdempotent, 10, false); decision != MayHaveRun {
		t.Errorf("got decision %d, want %d", decision, MayHaveRun)
	}
}

// A request that may have run is retained for the retention time after the start of the next process, however long no process
// was running.
func TestRestartExtends(t *testing.T) {
	x := newLoggedIndex(usualLimits)
	x.mayHaveRun("k")
	x.drain()
	x.now = 1000
	if err := x.restart(len(x.log), false); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		at   float64
		want Decision
	}{{1059, MayHaveRun}, {1059 + 61, Proceed}} {
		if decision, _ := x.Admit(c.at, "k", NonIdempotent, 10, false); decision != c.want {
			t.Errorf("at %g: got decision %d, want %d", c.at, decision, c.want)
		}
	}
}
