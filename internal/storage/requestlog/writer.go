package requestlog

import (
	"context"
	"slices"
	"time"
)

// stopGrace is how many seconds after the end of Run's context the scheduler still allows urgent maintenance. shutdown itself
// starts none.
const stopGrace = 0.2

// Run writes pending records and runs maintenance tasks until ctx ends. It then writes what is left and closes the store's
// directory.
func (s *Store) Run(ctx context.Context) error {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			s.shutdown()
			return ctx.Err()
		case <-s.wake:
		case <-next.C:
		}
		s.commit(false)
		next.Reset(s.runMaintenance())
	}
}

// shutdown writes what is left and records a clean shutdown.
func (s *Store) shutdown() {
	s.scheduler.Stop(s.now() + stopGrace)
	s.commit(true)
	err := s.wal.Close()
	_ = s.dir.Close() // the lock is released at the latest when the process exits
	if err != nil {
		s.log.Warn().Err(err).Msg("the store was not closed cleanly")
	}
}

// commit writes the pending records. It syncs them if a waiter needs that, if last is set, or if the last sync was long ago.
func (s *Store) commit(last bool) {
	records, waiting := s.takePending()
	s.unsynced = s.unsynced || len(records) > 0
	sync := s.needsSync(waiting, last)
	if len(records) == 0 && !sync {
		return
	}
	began := time.Now()
	err := s.wal.Append(records, sync)
	took := time.Since(began)
	if sync {
		s.lastSync, s.unsynced = time.Now(), false
	}
	for _, w := range waiting {
		w.notify(err)
	}
	s.noteCommit(took, err)
}

func (s *Store) needsSync(waiting []waiter, last bool) bool {
	if slices.ContainsFunc(waiting, func(w waiter) bool { return w.sync }) {
		return true
	}
	return s.unsynced && (last || time.Since(s.lastSync) >= seconds(s.options.SyncInterval))
}

// noteCommit notes the duration and result of a commit. After a failure it requests a repair.
func (s *Store) noteCommit(took time.Duration, err error) {
	s.mu.Lock()
	if took > seconds(s.options.SyncTimeout)/2 {
		s.lastSlowCommit = time.Now()
	}
	failed := err != nil && !s.unavailable
	s.unavailable = err != nil
	s.mu.Unlock()
	if failed {
		s.log.Error().Err(err).Str("without", s.options.OnUnavailable).Msg("the store's disk rejects writes")
		s.scheduler.Request(s.now()+s.options.RetryInterval, taskRepair)
	}
}
