package requestlog

import (
	"context"
	"slices"
	"time"
)

// stopGrace is for how many seconds background work that is urgent may go on after Run was to end.
const stopGrace = 0.2

// Run writes until ctx ends, and then what is left. It closes the store's directory.
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

// shutdown writes what is left and notes that the process ends in order.
func (s *Store) shutdown() {
	s.scheduler.Stop(s.now() + stopGrace)
	s.commit(true)
	err := s.wal.Close()
	_ = s.dir.Close() // the lock goes with the process at the latest
	if err != nil {
		s.log.Warn().Err(err).Msg("the store was not closed cleanly")
	}
}

// commit writes what waits, and syncs it where somebody waits for that, or the last sync is long ago.
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

// noteCommit takes how a commit went. After a failure a repair is requested.
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
