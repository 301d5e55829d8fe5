package main

import (
	"testing"
	"time"

	"copperrock.example/copperrock/internal/fleet/state"
)

// A controller is asked to exit while one of its scheduled runs is in progress: at each step of the run, by one signal or
// two, as leader of the fleet or not. Guards against runs whose outcome was known but not reported, which leaves a
// non-idempotent run permanently uncertain, and against processes that outlive their grace period because of such a run.
func TestShutdownDuringScheduledRuns(t *testing.T) {
	t.Parallel()
	const job, grace = "load-a", 4 * time.Second // a request's deadline is 1.5 s; the rest is for a busy machine
	b := newFleetTestWithDuties(t, 5, 600, everySecondDuties)
	b.waitFor("every shard has an owner", b.ownedOnlyBy(b.names...))
	b.waitFor("the job has been run", func() bool { return b.lastDone(job) > 0 })
	// Offsets within the second: run claimed, sent, in progress (twice), answered, reported.
	for round, offset := range []time.Duration{10, 60, 150, 300, 420, 480} {
		offset *= time.Millisecond
		exiting := b.jobOwner(job)
		if leader, _ := b.waitForLeader(); round%2 == 1 && leader != exiting { // every other time the leader instead of the job's owner
			exiting = leader
		}
		now := time.Now()
		time.Sleep(now.Truncate(time.Second).Add(time.Second + offset).Sub(now))
		due := time.Now().Unix()
		began := time.Now()
		b.Process(exiting).RequestExit()
		if round%3 == 2 {
			time.Sleep(20 * time.Millisecond)
			b.Process(exiting).RequestExit()
		}
		b.waitFor("the process has exited", func() bool { return !b.Process(exiting).Running() })
		if took := time.Since(began); took > grace {
			t.Errorf("%v into the run: exit took %v, want at most %v", offset, took, grace)
		}
		b.waitFor("the job runs again", func() bool { return b.lastDone(job) > due })
		for _, name := range []string{job, "load-b"} {
			for _, run := range b.jobRuns(name) {
				if run.State == state.RunUncertain {
					t.Errorf("%v into the run: %s, due at %d, is uncertain", offset, name, run.Due)
				}
			}
		}
		if err := b.Process(exiting).Start(); err != nil {
			t.Fatal(err)
		}
		b.waitFor("every shard has an owner", b.ownedOnlyBy(b.names...))
	}
}
