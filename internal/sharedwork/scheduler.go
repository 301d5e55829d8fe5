package sharedwork

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/gateway"
)

// scheduler runs scheduled jobs in this controller's slices. The ledger knows every occurrence: it is taken there, said
// to be sent there before its first byte goes, and ended there.
type scheduler struct {
	*Worker
	startedAt time.Time // no occurrence of a job that the fleet never knew is due before

	mu         sync.Mutex
	histories  map[string]assignment.JobHistory // of jobs in own slices, as the ledger had them last
	synced     bool                             // an answer has come
	running    map[occurrence]bool              // under way here
	lastTried  map[occurrence]int64             // when one that did not run was tried here
	goroutines sync.WaitGroup
}

type occurrence struct {
	job   string
	dueAt int64
}

func newScheduler(d *Worker) *scheduler {
	return &scheduler{Worker: d, startedAt: time.Now(), histories: map[string]assignment.JobHistory{}, running: map[occurrence]bool{}, lastTried: map[occurrence]int64{}}
}

// update takes the ledger's word on the jobs in own slices.
func (t *scheduler) update(jobs []consensus.ScheduledJob) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.histories)
	t.synced = true
	for _, j := range jobs {
		v := assignment.JobHistory{LastDue: j.LastDue}
		for _, r := range j.OpenRuns {
			v.Open = append(v.Open, assignment.Occurrence{Due: r.Due, Sent: r.State == state.RunSent, Uncertain: r.State == state.RunUncertain, Fence: r.Fence, Attempts: r.Attempts})
		}
		t.histories[j.Name] = v
	}
	for o := range t.lastTried { // of what is over
		if v, there := t.histories[o.job]; !t.running[o] && (!there || o.dueAt <= v.LastDue && !isOpen(v, o.dueAt)) {
			delete(t.lastTried, o)
		}
	}
}

func isOpen(v assignment.JobHistory, when int64) bool {
	for _, o := range v.Open {
		if o.Due == when {
			return true
		}
	}
	return false
}

// run looks at all jobs several times a second. What is under way at the end is waited for, as long as ctx of the
// process lets it.
func (t *scheduler) run(ctx context.Context) error {
	look := time.NewTicker(100 * time.Millisecond) // an occurrence is on time to that
	defer look.Stop()
	defer t.goroutines.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-look.C:
			for i := range t.options.Jobs {
				t.evaluate(ctx, &t.options.Jobs[i], now)
			}
		}
	}
}

// evaluate decides on one job, if its slice is this controller's.
func (t *scheduler) evaluate(ctx context.Context, j *Job, now time.Time) {
	slot := assignment.ShardID{Task: assignment.ScheduledJobs, Index: assignment.ShardOf(j.Name, assignment.ShardCounts[assignment.ScheduledJobs])}
	fence, ok := t.fleet.BeginWork(slot)
	if !ok {
		return
	}
	defer t.fleet.EndWork(slot, fence)
	t.mu.Lock()
	view, known := t.histories[j.Name]
	if !t.synced {
		t.mu.Unlock()
		return
	}
	if !known { // the fleet has never had it: it begins now
		view.LastDue = t.startedAt.Unix()
	}
	mine := func(when int64) bool { return t.running[occurrence{j.Name, when}] }
	tried := func(when int64) int64 { return t.lastTried[occurrence{j.Name, when}] }
	actions := assignment.NextActions(j.JobSpec, view, dueTimes(j, view.LastDue, now), now.Unix(), fence, mine, tried)
	for _, a := range actions {
		o := occurrence{j.Name, a.Due}
		if t.running[o] {
			continue
		}
		again := false
		for _, open := range view.Open {
			again = again || open.Due == a.Due && open.Sent
		}
		t.running[o], t.lastTried[o] = true, now.Unix()
		t.goroutines.Go(func() {
			defer func() {
				t.mu.Lock()
				delete(t.running, o)
				t.mu.Unlock()
			}()
			t.carryOut(ctx, j, slot, a, again)
		})
	}
	t.mu.Unlock()
}

// maxDue bounds how many occurrences are looked at together; the rest follows.
const maxDue = 50

// dueTimes lists the times after one up to another.
func dueTimes(j *Job, last int64, now time.Time) (list []int64) {
	at := time.Unix(last, 0)
	for len(list) < maxDue {
		next := j.Schedule.Next(at)
		if next.IsZero() || next.After(now) {
			break
		}
		list = append(list, next.Unix())
		at = next
	}
	return list
}

// carryOut does one step for an occurrence.
func (t *scheduler) carryOut(ctx context.Context, j *Job, slot assignment.ShardID, a assignment.Action, again bool) {
	fence, ok := t.fleet.BeginWork(slot)
	if !ok {
		return
	}
	defer t.fleet.EndWork(slot, fence)
	log := t.log.With().Str("job", j.Name).Time("due", time.Unix(a.Due, 0)).Uint64("fence", fence).Logger()
	word := func(op state.Op) state.Command {
		return state.Command{Op: op, Subject: j.Name, Time: a.Due, Task: slot.Task, Shard: slot.Index, Number: fence, NonIdempotent: j.NonIdempotent, Rerun: again, Text: a.Reason}
	}
	// While the lease holds: what the ledger takes later is of no use to this owner.
	brief := func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, time.Duration(max(t.fleet.RemainingLease(), 0.05)*float64(time.Second)))
	}
	say := func(op state.Op) error {
		within, done := brief()
		defer done()
		return t.fleet.Propose(within, word(op))
	}
	switch a.Kind {
	case assignment.ActionSkip:
		if say(state.OpSkipRun) == nil {
			log.Warn().Str("why", a.Reason).Msg("an occurrence is missed")
		}
		return
	case assignment.ActionMarkUncertain:
		if say(state.OpMarkRunUncertain) == nil {
			log.Error().Msg("an occurrence may have run: say which with copperrock duties settle")
		}
		return
	case assignment.ActionGiveUp:
		c := word(state.OpFinishRun)
		c.State = state.RunFailed
		within, done := brief()
		defer done()
		if t.fleet.Propose(within, word(state.OpClaimRun)) == nil && t.fleet.Propose(within, c) == nil {
			log.Error().Str("why", a.Reason).Msg("an occurrence is given up")
		}
		return
	}
	// Taken.
	if err := say(state.OpClaimRun); err != nil {
		log.Debug().Err(err).Msg("an occurrence is not taken")
		return
	}
	// Said to be sent, before its first byte goes.
	if err := say(state.OpStartRun); err != nil {
		log.Debug().Err(err).Msg("an occurrence is not sent")
		return
	}
	o := gateway.InternalRequest{ID: requestID(j.Name, a.Due), Class: j.Class, Team: j.Team, Statement: j.Statement, Timeout: j.Timeout, Work: j.Work, Memory: j.Memory,
		FencingToken: func() (string, bool) {
			text := ""
			if t.options.SendFencingToken {
				text = fmt.Sprintf("%s:%d", requestID(j.Name, a.Due), fence)
			}
			return text, t.fleet.Owns(slot, fence)
		}}
	outcome, why := gateway.OutcomeNotRun, "the lease was over before it was sent"
	if t.fleet.Owns(slot, fence) {
		outcome, why = t.gateway.Execute(ctx, o)
	}
	c := word(state.OpFinishRun)
	c.Text = why
	switch outcome {
	case gateway.OutcomeDone:
		c.State = state.RunDone
	case gateway.OutcomeNotRun:
		c.State = state.RunClaimed
	case gateway.OutcomeFailed:
		c.State = state.RunFailed
	default:
		if c.State = state.RunUncertain; !j.NonIdempotent { // it may go again whatever became of this dispatch
			c.State = state.RunClaimed
		}
	}
	log.Info().Str("as", c.State.String()).Str("why", why).Msg("an occurrence ended")
	// The sender's word counts whoever owns the slice by now; it is said for as long as it may still matter.
	within, done := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer done()
	if err := t.fleet.Propose(within, c); err != nil && !errors.Is(err, fleet.ErrRejected) {
		log.Warn().Err(err).Msg("the fleet was not told how an occurrence ended")
	}
}

// reportTimeout is how long the fleet is told how an occurrence ended; after it the next owner says that it may have run.
const reportTimeout = 30 * time.Second

// requestID names an occurrence to engines, the same from every owner.
func requestID(job string, when int64) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", job, when)
	return fmt.Sprintf("%016x", h.Sum64())
}
