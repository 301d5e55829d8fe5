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
	// scheduleResolution is how late an occurrence may begin.
	scheduleResolution = 100 * time.Millisecond

	// maxDue bounds how many occurrences of a job are considered together; the others follow.
	maxDue = 50
)

// scheduler runs the scheduled jobs in this controller's shards. The fleet's state has every occurrence: it is claimed
// there, recorded as sent before its first byte is, and finished there.
type scheduler struct {
	options   *Options
	fleet     Fleet
	gateway   Gateway
	log       zerolog.Logger
	startedAt time.Time // no occurrence of a job that the fleet has never had is due before

	shutdown chan struct{} // closed when nothing more is to be started
	drained  chan struct{} // closed once nothing is started any more, and all that was has ended and is reported

	mu         sync.Mutex
	synced     bool                             // the fleet's state has been received
	histories  map[string]assignment.JobHistory // by job: of those in own shards, as the fleet's state had them last
	running    map[occurrence]bool              // in this process
	lastTried  map[occurrence]int64             // by occurrence that did not run: Unix seconds
	goroutines sync.WaitGroup                   // of running occurrences
}

// occurrence is one time at which a job is due.
type occurrence struct {
	job   string
	dueAt int64 // Unix seconds
}

func newScheduler(options *Options, f Fleet, g Gateway, log zerolog.Logger) *scheduler {
	return &scheduler{
		options:   options,
		fleet:     f,
		gateway:   g,
		log:       log,
		startedAt: time.Now(),
		shutdown:  make(chan struct{}),
		drained:   make(chan struct{}),
		histories: map[string]assignment.JobHistory{},
		running:   map[occurrence]bool{},
		lastTried: map[occurrence]int64{},
	}
}

// update takes what the fleet's state has of the jobs in own shards.
func (s *scheduler) update(jobs []consensus.ScheduledJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = true
	clear(s.histories)
	for _, j := range jobs {
		s.histories[j.Name] = historyOf(j)
	}
	for o := range s.lastTried {
		history, known := s.histories[o.job]
		over := !known || o.dueAt <= history.LastDue && !isOpen(history, o.dueAt)
		if over && !s.running[o] {
			delete(s.lastTried, o)
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

// run evaluates all jobs until the shutdown begins or ctx ends, and then waits for the occurrences that are running. It
// returns when ctx has ended.
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

// evaluate decides on one job, if its shard is this controller's, and starts what is to be done.
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
	history, known := s.histories[j.Name]
	if !known {
		history.LastDue = s.startedAt.Unix()
	}
	local := assignment.LocalRuns{
		IsRunning:   func(dueAt int64) bool { return s.running[occurrence{j.Name, dueAt}] },
		LastAttempt: func(dueAt int64) int64 { return s.lastTried[occurrence{j.Name, dueAt}] },
	}
	due := dueTimes(j, history.LastDue, now)
	for _, action := range assignment.NextActions(j.JobSpec, history, now.Unix(), due, local) {
		o := occurrence{j.Name, action.Due}
		if !s.running[o] {
			s.running[o], s.lastTried[o] = true, now.Unix()
			s.start(ctx, o, &step{scheduler: s, job: j, shard: shard, action: action, rerun: wasSent(history, action.Due)})
		}
	}
}

// start takes a step for an occurrence in a goroutine of its own. It is called under the lock.
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

// dueTimes lists the times at which a job is due, after one time up to another, in Unix seconds.
func dueTimes(j *Job, after int64, now time.Time) []int64 {
	var due []int64
	last := time.Unix(after, 0)
	for len(due) < maxDue {
		next := j.Schedule.Next(last)
		if next.IsZero() || next.After(now) {
			break
		}
		due = append(due, next.Unix())
		last = next
	}
	return due
}
