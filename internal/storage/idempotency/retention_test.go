package idempotency

import "testing"

// mayHaveRun leaves a key of which an attempt may have run.
func (x *loggedIndex) mayHaveRun(key string) {
	_, record := x.Admit(x.now, key, NonIdempotent, 10, false)
	x.StartAttempt(x.now, record, "e1", 1, 2)
	x.Finish(x.now, record, Pending, nil, false)
}

// A client's repeat keeps a record longer, also over a replay whose clock goes on by other keys' records.
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
		t.Errorf("decision %d", decision)
	}
}

// What may have run stays for the retention time from the start of the next process on, however long none ran.
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
			t.Errorf("at %g: decision %d, not %d", c.at, decision, c.want)
		}
	}
}
