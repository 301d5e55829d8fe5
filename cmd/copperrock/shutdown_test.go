package main

import (
	"testing"
	"time"

	"copperrock.example/copperrock/internal/fleet/state"
)

// A controller is told to end while a scheduled run of its is out, at each point of the run, once or twice, where it leads the
// fleet and where it does not: what became of the run is known, and the process ends within its grace. Guards against runs
// whose end was known and not told, which leaves a non-idempotent one uncertain for good, and against processes that
// linger for it.
func TestEndedWhileRunsAreOut(t *testing.T) {
	t.Parallel()
	const job, grace = "load-a", 4 * time.Second // deadlines of 1.5 s; more where the machine is busy
	b := newDuties(t, 5, 600, nightly)
	b.wait("every slice has an owner", b.ownedBy(b.names...))
	b.wait("the job has run", func() bool { return b.last(job) > 0 })
	// Within a second: claimed, sent, under way twice, answered, reported.
	for round, offset := range []time.Duration{10, 60, 150, 300, 420, 480} {
		offset *= time.Millisecond
		owner := b.owner(job)
		if leader, _ := b.leads(); round%2 == 1 && leader != owner { // the leader's own, where that can be had
			owner = leader
		}
		now := time.Now()
		time.Sleep(now.Truncate(time.Second).Add(time.Second + offset).Sub(now))
		due := time.Now().Unix()
		began := time.Now()
		b.Process(owner).RequestExit()
		if round%3 == 2 {
			time.Sleep(20 * time.Millisecond)
			b.Process(owner).RequestExit()
		}
		b.wait("it has ended", func() bool { return !b.Process(owner).Running() })
		if took := time.Since(began); took > grace {
			t.Errorf("%v into the run: ended after %v", offset, took)
		}
		b.wait("the job goes on", func() bool { return b.last(job) > due })
		for _, name := range []string{job, "load-b"} {
			for _, run := range b.runs(name) {
				if run.State == state.RunUncertain {
					t.Errorf("%v into the run: %s, due at %d, is uncertain", offset, name, run.Due)
				}
			}
		}
		if err := b.Process(owner).Start(); err != nil {
			t.Fatal(err)
		}
		b.wait("every slice has an owner", b.ownedBy(b.names...))
	}
}
