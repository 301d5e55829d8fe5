package requestlog

import (
	"errors"
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/storage/idempotency"
)

// crashRun sends requests to one process and, after a crash, repeats them at another.
type crashRun struct {
	*testing.T
	crashAt    int // disk operation at which the machine crashes
	clock      *clock
	executions map[string]int  // executions at engines, by key
	succeeded  map[string]bool // keys whose clients got a successful answer
}

// The machine crashes at each of the first hundred disk operations in turn, while requests are admitted, sent and answered;
// then their clients repeat them at another process. No non-idempotent request may be executed twice, no request that has
// succeeded may fail later, and every request has to end.
func TestCrashUnderRequests(t *testing.T) {
	for at := 1; at <= 100; at++ {
		disk := crashfs.New(uint64(at))
		disk.CrashAtOperation = at
		run := &crashRun{T: t, crashAt: at, clock: &clock{bootID: "one", now: 100}, executions: map[string]int{}, succeeded: map[string]bool{}}
		crashed := func() bool { _, err := disk.List(); return errors.Is(err, crashfs.ErrCrashed) }
		if p, err := newProcess(options(), disk, run.clock.clock()); err == nil {
			p.run()
			run.requests(p, crashed)
			p.stop()
		}
		disk.Crash()
		disk.Restart()
		run.clock.bootID = "two"
		p := startProcess(t, options(), disk, run.clock.clock())
		run.requests(p, func() bool { return false })
		p.stop()
		for key, count := range run.executions {
			if count > 1 {
				t.Fatalf("crash at %d: %s: got %d executions, want at most 1", at, key, count)
			}
		}
	}
}

// requests sends the request of each client to a process, until stop returns true.
func (r *crashRun) requests(p *process, stop func() bool) {
	for n := range 14 {
		if stop() {
			return
		}
		answered := n%3 != 0 // otherwise the end of the attempt is never reported
		r.request(p, fmt.Sprint("k", n), answered)
	}
}

func (r *crashRun) request(p *process, key string, answered bool) {
	admission := p.Admit(key, idempotency.NonIdempotent, 60, false)
	switch admission.Decision {
	case idempotency.Answered, idempotency.MayHaveRun:
		if r.succeeded[key] && admission.Answer.Outcome == idempotency.Failed {
			r.Fatalf("crash at %d: %s: got a failure after a success", r.crashAt, key)
		}
		return
	case idempotency.Proceed:
	default:
		r.Fatalf("crash at %d: %s: unexpected decision %d", r.crashAt, key, admission.Decision)
	}
	number, err := admission.Request.StartAttempt("e1", 0, 0, testTimeout)
	if err != nil { // the attempt was never sent
		admission.Request.Finish(Answer{})
		return
	}
	r.executions[key]++
	if answered {
		admission.Request.EndAttempt(number, true)
		admission.Request.Finish(Answer{Outcome: idempotency.Succeeded, Rows: []byte(key), RowsComplete: true})
		r.succeeded[key] = true
	}
	r.clock.advance(0.01)
}
