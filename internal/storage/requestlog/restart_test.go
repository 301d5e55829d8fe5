package requestlog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/storage/idempotency"
)

// restartTrace is one store that is opened by several processes in turn, with a trace of what each of them found.
type restartTrace struct {
	*testing.T
	disk  *crashfs.Dir
	clock *clock
	lines []string
}

// Traces what processes find when they open a store: clocks, retries, learned state, damage, a store of another controller.
func TestRestarts(t *testing.T) {
	r := &restartTrace{T: t, disk: crashfs.New(1), clock: &clock{bootID: "one", now: 1000}}
	r.firstProcess()
	r.clock.advance(5)
	r.laterProcess()
	r.rebootedProcess()
	r.killedProcess()
	r.damagedProcess()
	r.openedByAnother()
	for i, line := range r.lines {
		r.lines[i] = strings.ReplaceAll(line, "0000000000000", "0")
	}
	testutil.CheckTrace(t, r.lines)
}

func (r *restartTrace) addLinef(format string, arguments ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, arguments...))
}

func (r *restartTrace) open() *process { return openProcess(r.T, options(), r.disk, r.clock.clock()) }

// describe adds a line on what a process found.
func (r *restartTrace) describe(what string, p *process) {
	found, rebooted := p.Replayed()
	count, known := p.RetriesWithin(10)
	state, age := p.LearnedState()
	keys, _, uncertain := p.Usage()
	r.addLinef("%s: records %v, clean %v, damaged %d, rebooted %v; %d keys, uncertain for %.0f s; retries %d, known %v; learned %q %.0f s ago",
		what, found.Records > 0, found.CleanShutdown, len(found.Damaged), rebooted, keys, uncertain, count, known, state, age)
}

// firstProcess records retries, learned state and a request.
func (r *restartTrace) firstProcess() {
	p := r.open()
	r.describe("new", p)
	p.RecordRetry()
	p.RecordRetry()
	p.SnapshotLearned = func() []byte { return []byte("figures") }
	if _, _, err := p.maintenanceStep(taskLearned); err != nil {
		r.Fatal(err)
	}
	request := p.Admit("k", idempotency.NonIdempotent, 60, false).Request
	p.run()
	p.awaitWrites(r.T)
	if _, err := request.StartAttempt("e1", 0, 0, testTimeout); err != nil {
		r.Fatal(err)
	}
	p.stop()
}

func (r *restartTrace) laterProcess() {
	p := r.open()
	p.run()
	r.describe("five seconds later", p)
	r.clock.advance(20)
	count, _ := p.RetriesWithin(10)
	r.addLinef("twenty more: retries %d", count)
	p.stop()
}

// rebootedProcess opens the store after a reboot, with which the clock starts again: for stored records no time may have
// passed.
func (r *restartTrace) rebootedProcess() {
	r.clock = &clock{bootID: "two", now: 10}
	p := r.open()
	r.describe("the machine was started, its clock begins anew", p)
	r.clock.advance(59)
	r.addLinef("59 s later the key is decision %d", p.decide("k", false))
	p.run()
	p.stop()
}

// killedProcess is killed without a clean shutdown.
func (r *restartTrace) killedProcess() {
	p := r.open()
	written := p.RecordRetry()
	p.run()
	if err := <-written; err != nil {
		r.Fatal(err)
	}
	r.disk.Crash()
	p.stop()
	r.disk.Resume()
	p = r.open()
	p.run()
	r.describe("killed", p)
	p.stop()
}

// damagedProcess opens the store after a bit was flipped in the middle of each segment.
func (r *restartTrace) damagedProcess() {
	names, err := r.disk.List()
	if err != nil {
		r.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".log") {
			r.disk.FlipBit(name, r.disk.Size(name)/2)
		}
	}
	p := r.open()
	p.run()
	r.describe("its file is damaged in the middle", p)
	r.addLinef("a key that is not known is decision %d, on its client's word that it is the first %d", p.decide("x", false), p.decide("x", true))
	p.stop()
	p = r.open()
	p.run()
	r.describe("and the next life", p)
	p.stop()
}

func (r *restartTrace) openedByAnother() {
	o := options()
	o.Owner = "c1"
	_, err := Open(o, r.disk, r.clock.clock(), zerolog.Nop())
	r.addLinef("opened by another controller: %v", err)
}

// Learned state is recorded while the store runs, and is there after a restart.
func TestLearnedStateOutlivesProcess(t *testing.T) {
	disk, clock := crashfs.New(1), &clock{bootID: "one", now: 100}
	p := openProcess(t, options(), disk, clock.clock())
	p.SnapshotLearned = func() []byte { return []byte("figures") }
	p.run()
	clock.advance(p.options.LearnedInterval + 1)
	p.RecordRetry() // wakes the writer
	learned := func() bool { state, _ := p.LearnedState(); return string(state) == "figures" }
	waitUntil(t, "the learned state is recorded", learned)
	p.stop()
	p = openProcess(t, options(), disk, clock.clock())
	if !learned() {
		t.Error("got no learned state after the restart")
	}
}
