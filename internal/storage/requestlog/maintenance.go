package requestlog

import (
	"time"

	"copperrock.example/copperrock/internal/storage/maintenance"
)

// The names of the maintenance tasks.
const (
	taskRepair  = "mend"    // full snapshot after a disk failure or lost records
	taskCompact = "anew"    // full snapshot because the segment has grown
	taskExpire  = "expire"  // drops records of keys that no client may repeat any more
	taskLearned = "learned" // records the learned state
)

const (
	// slowCommitPenalty is how long after a slow commit requests count as late.
	slowCommitPenalty = time.Second
	// minMaintenanceWait and maxMaintenanceWait bound the time until maintenance is checked again, in seconds.
	minMaintenanceWait = 0.001
	maxMaintenanceWait = 1
)

func newScheduler(now float64, options Options) *maintenance.Scheduler {
	return maintenance.New(now,
		maintenance.Task{Name: taskRepair, Urgent: true},
		maintenance.Task{Name: taskCompact, Priority: 1, CPUShare: 0.25, BytesPerSecond: options.BackgroundMBPerSecond * (1 << 20)},
		maintenance.Task{Name: taskExpire, Priority: 2, Interval: 1, CPUShare: 0.1},
		maintenance.Task{Name: taskLearned, Priority: 3, Interval: options.LearnedInterval, CPUShare: 0.1},
	)
}

// runMaintenance takes one step of a maintenance task if one may run, and returns the time until the next check.
func (s *Store) runMaintenance() time.Duration {
	now := s.now()
	late := s.requestMaintenance(now)
	name, at := s.scheduler.Next(now, late)
	if name == "" {
		wait := at - now
		if s.unsynced {
			wait = min(wait, s.options.SyncInterval)
		}
		return seconds(min(max(wait, minMaintenanceWait), maxMaintenanceWait))
	}
	began := time.Now()
	bytes, more, err := s.maintenanceStep(name)
	s.scheduler.StepDone(s.now(), time.Since(began).Seconds(), float64(bytes), more)
	if err != nil {
		s.log.Debug().Err(err).Str("work", name).Msg("background work of the store failed")
		return seconds(s.options.RetryInterval)
	}
	return 0
}

// requestMaintenance requests the tasks that the state of the store calls for. It reports whether requests are late: tasks
// that are not urgent are deferred then.
func (s *Store) requestMaintenance(now float64) (late bool) {
	s.mu.Lock()
	late = len(s.waiting) > 0 || time.Since(s.lastSlowCommit) < slowCommitPenalty
	broken := s.dropped || s.unavailable
	s.mu.Unlock()
	if broken {
		s.scheduler.Request(now, taskRepair)
	} else if s.wal.SegmentSize() > int64(s.options.SegmentMB*(1<<20)) {
		s.scheduler.Request(now, taskCompact)
	}
	return late
}

// maintenanceStep takes one step of a task and returns the bytes it wrote and whether the task has more steps.
func (s *Store) maintenanceStep(name string) (bytes int, more bool, err error) {
	switch name {
	case taskExpire:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.index.Expire(s.now())
		return 0, false, nil
	case taskLearned:
		return s.recordLearned(), false, nil
	default:
		return s.snapshotStep(name == taskRepair)
	}
}

// repair writes a full snapshot when the store is opened. If that fails, Run tries again.
func (s *Store) repair() {
	for more := true; more; {
		var err error
		if _, more, err = s.maintenanceStep(taskRepair); err != nil {
			s.scheduler.Request(s.now(), taskRepair)
		}
	}
}
