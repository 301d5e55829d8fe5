package sharedwork

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

const (
	// scheduleResolution is the interval between evaluations of the jobs, and so the delay with which an occurrence may begin.
	scheduleResolution = 100 * time.Millisecond

	// maxDueTimes is the largest number of occurrences of a job that are considered in one evaluation; later ones follow.
	maxDueTimes = 50
)

// scheduler runs the scheduled jobs in this controller's shards. Each occurrence is recorded in the fleet's state: it is
// claimed, recorded as sent before its first byte is sent, and recorded as finished.
type scheduler struct {
	options   *Options
	fleet     Fleet
	gateway   Gateway
	log       zerolog.Logger
	startedAt time.Time // a job that is new to the fleet, or has been put back, has no occurrences before this time

	shutdown chan struct{} // closed when no more occurrences are to be started
	drained  chan struct{} // closed after shutdown, once all occurrences have ended and been reported

	mu           sync.Mutex
	synced       bool                             // whether the fleet's state has been received
	histories    map[string]assignment.JobHistory // latest known state of the jobs in own shards, by name
	restored     map[string]bool                  // names of the jobs among them that were put back into the settings
	running      map[occurrence]bool              // occurrences that this process works on
	lastAttempts map[occurrence]int64             // time of the latest attempt in this process, in Unix seconds
	goroutines   sync.WaitGroup                   // goroutines of the running occurrences
}

// occurrence is one time at which a job is due.
type occurrence struct {
	job   string
	dueAt int64 // Unix seconds
}

func newScheduler(options *Options, f Fleet, g Gateway, log zerolog.Logger) *scheduler {
	return &scheduler{
		options:      options,
		fleet:        f,
		gateway:      g,
		log:          log,
		startedAt:    time.Now(),
		shutdown:     make(chan struct{}),
		drained:      make(chan struct{}),
		histories:    map[string]assignment.JobHistory{},
		restored:     map[string]bool{},
		running:      map[occurrence]bool{},
		lastAttempts: map[occurrence]int64{},
	}
}

// update replaces the known state of the jobs in own shards by that of the fleet's state, and forgets the attempts of
// occurrences that are over.
func (s *scheduler) update(jobs []consensus.ScheduledJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = true
	clear(s.histories)
	clear(s.restored)
	for _, j := range jobs {
		s.histories[j.Name] = historyOf(j)
		s.restored[j.Name] = j.Restored
	}
	for o := range s.lastAttempts {
		history, known := s.histories[o.job]
		over := !known || o.dueAt <= history.LastDue && !isOpen(history, o.dueAt)
		if over && !s.running[o] {
			delete(s.lastAttempts, o)
		}
	}
}

func historyOf(j consensus.ScheduledJob) assignment.JobHistory {
	history := assignment.JobHistory{LastDue: j.LastDue}
	for _, r := range j.OpenRuns {
		history.OpenRuns = append(history.OpenRuns, assignment.OpenRun{
			Due:       r.Due,
			Sent:      r.State == state.RunSent,
			Uncertain: r.State == state.RunUncertain,
			Fence:     r.Fence,
			Attempts:  r.Attempts,
		})
	}
	return history
}

func isOpen(history assignment.JobHistory, dueAt int64) bool {
	for _, o := range history.OpenRuns {
		if o.Due == dueAt {
			return true
		}
	}
	return false
}

// run evaluates all jobs until the shutdown begins or ctx ends, and then waits for the running occurrences. It returns when
// ctx has ended.
func (s *scheduler) run(ctx context.Context) error {
	ticker := time.NewTicker(scheduleResolution)
	defer ticker.Stop()
	defer s.goroutines.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.shutdown:
			s.goroutines.Wait()
			close(s.drained)
			<-ctx.Done()
			return ctx.Err()
		case now := <-ticker.C:
			for i := range s.options.Jobs {
				s.evaluate(ctx, &s.options.Jobs[i], now)
			}
		}
	}
}

// evaluate decides what to do about one job, if this controller owns its shard, and starts it.
func (s *scheduler) evaluate(ctx context.Context, j *Job, now time.Time) {
	shard := assignment.ShardID{
		Task:  assignment.ScheduledJobs,
		Index: assignment.ShardOf(j.Name, assignment.ShardCounts[assignment.ScheduledJobs]),
	}
	fence, owned := s.fleet.BeginWork(shard)
	if !owned {
		return
	}
	defer s.fleet.EndWork(shard, fence)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.synced {
		return
	}
	history := s.history(j)
	local := assignment.LocalRuns{
		IsRunning:   func(dueAt int64) bool { return s.running[occurrence{j.Name, dueAt}] },
		LastAttempt: func(dueAt int64) int64 { return s.lastAttempts[occurrence{j.Name, dueAt}] },
	}
	due := dueTimes(j, history.LastDue, now)
	for _, action := range assignment.NextActions(j.JobSpec, history, now.Unix(), due, local) {
		o := occurrence{j.Name, action.Due}
		if !s.running[o] {
			s.running[o], s.lastAttempts[o] = true, now.Unix()
			s.start(ctx, o, &step{scheduler: s, job: j, shard: shard, action: action, rerun: wasSent(history, action.Due)})
		}
	}
}

// history returns the state of a job. A job that is new to the fleet, or that was put back into the settings, is due only
// after the start of this process: what it missed meanwhile is not made up for. The caller holds mu.
func (s *scheduler) history(j *Job) assignment.JobHistory {
	history, known := s.histories[j.Name]
	if !known || s.restored[j.Name] {
		history.LastDue = max(history.LastDue, s.startedAt.Unix())
	}
	return history
}

// start carries out a step for an occurrence in a new goroutine. The caller holds mu.
func (s *scheduler) start(ctx context.Context, o occurrence, next *step) {
	s.goroutines.Go(func() {
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.running, o)
		}()
		next.carryOut(ctx)
	})
}

// wasSent reports whether an attempt of an open occurrence may have been sent.
func wasSent(history assignment.JobHistory, dueAt int64) bool {
	for _, o := range history.OpenRuns {
		if o.Due == dueAt && o.Sent {
			return true
		}
	}
	return false
}

// dueTimes returns the times, in Unix seconds, at which a job is due later than after and up to now.
func dueTimes(j *Job, after int64, now time.Time) []int64 {
	var due []int64
	last := time.Unix(after, 0)
	for len(due) < maxDueTimes {
		next := j.Schedule.Next(last)
		if next.IsZero() || next.After(now) {
			break
		}
		due = append(due, next.Unix())
		last = next
	}
	return due
}
