// Package file follows an endpoint list in a file that operators or their tools rewrite. Which version is taken is decided by
// discovery.Tracker; this package watches and reads the file, and stores a copy of the last list that was applied, from
// which a restarted process serves until the file can be read.
package file

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/limits"
)

// maxLoggedLines bounds the lines of a difference that one log line names.
const maxLoggedLines = 20

var errNotificationsOff = errors.New("none wanted")

// Source follows one file. Its exported fields are set before the first call. Run owns its goroutine and the tracker;
// Restore and HasList are for the time before Run.
type Source struct {
	Tracker      discovery.Tracker // its File is the file's path
	CopyPath     string            // of the copy of the last list applied, "" for none
	PollInterval float64           // seconds between reads without a notification
	Subscriber   discovery.Subscriber
	Log          zerolog.Logger

	// OnDecision, where set, is called with each decision after it has been carried out.
	OnDecision func(discovery.Decision)

	notificationsOff bool // the system gives no notifications; set by tests

	start   time.Time
	watcher *fsnotify.Watcher // nil without notifications
	folders []string          // that are watched
	links   []string          // the names in them that lead to the file, and the file's own
}

// now is the tracker's clock.
func (s *Source) now() float64 { return time.Since(s.start).Seconds() }

// Restore applies the copy of the list that was applied last, if there is a sound one.
func (s *Source) Restore() {
	if s.CopyPath == "" {
		return
	}
	l, writtenAt, err := readCopy(s.CopyPath, s.Tracker.Bounds)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case err != nil:
		s.Log.Warn().Err(err).Str("copy", s.CopyPath).Msg("endpoint list copy ignored")
		return
	}
	s.Tracker.Restore(l)
	s.Subscriber.UpdateEndpoints(discovery.DrainingSnapshot, l.Endpoints)
	s.Log.Warn().Int64("generation", l.Generation).Int("engines", len(l.Endpoints)).
		Float64("age", math.Round(time.Since(writtenAt).Seconds())).Msg("endpoint list restored from its copy")
}

// HasList reports whether there is a current list.
func (s *Source) HasList() bool {
	_, hasList := s.Tracker.Current()
	return hasList
}

// Run follows the file until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	s.start = time.Now()
	closeWatcher := s.openWatcher()
	defer closeWatcher()
	notifications, failures := s.notifications()
	s.Tracker.FileChanged(s.now())
	poll := time.NewTicker(limits.Duration(s.PollInterval))
	defer poll.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event, open := <-notifications:
			if !open {
				notifications = nil
				continue
			}
			s.notified(event)
		case err, open := <-failures:
			if !open {
				failures = nil
				continue
			}
			s.Log.Warn().Err(err).Msg("file notifications were lost")
			s.Tracker.FileChanged(s.now())
		case <-poll.C:
			s.updateWatches() // a folder may have come back
			s.carryOut(s.Tracker.Observe(s.now(), s.read()))
		case <-timer.C:
			s.tick()
		}
		s.resetTimer(timer)
	}
}

// tick does what the tracker has due.
func (s *Source) tick() {
	read, decision := s.Tracker.Tick(s.now())
	if read {
		decision = s.Tracker.Observe(s.now(), s.read())
	}
	s.carryOut(decision)
}

// resetTimer sets the timer to the tracker's next tick.
func (s *Source) resetTimer(timer *time.Timer) {
	next := s.Tracker.NextTick()
	if math.IsInf(next, 1) {
		timer.Stop()
		return
	}
	timer.Reset(max(limits.Duration(next-s.now()), 0))
}

// openWatcher starts notifications, and returns what ends them. Without them the poll still finds every change.
func (s *Source) openWatcher() (closeWatcher func()) {
	watcher, err := (*fsnotify.Watcher)(nil), errNotificationsOff
	if !s.notificationsOff {
		watcher, err = fsnotify.NewWatcher()
	}
	if err != nil { // too many watches on this machine
		s.Log.Warn().Err(err).Float64("poll", s.PollInterval).Msg("no file notifications, polling")
		return func() {}
	}
	s.watcher = watcher
	s.updateWatches()
	return func() { _ = watcher.Close() } // nothing follows that could depend on it
}

// notifications are the watcher's channels, nil without one.
func (s *Source) notifications() (<-chan fsnotify.Event, <-chan error) {
	if s.watcher == nil {
		return nil, nil
	}
	return s.watcher.Events, s.watcher.Errors
}

// notified takes a notification on a watched folder.
func (s *Source) notified(event fsnotify.Event) {
	if !slices.Contains(s.links, event.Name) {
		return
	}
	s.Tracker.FileChanged(s.now())
	if event.Op != fsnotify.Write { // a link may lead elsewhere now
		s.updateWatches()
	}
}

// updateWatches watches the folders in which a name leads to the file: its own, and that of each link on the way.
func (s *Source) updateWatches() {
	if s.watcher == nil {
		return
	}
	links, folders := resolveLinks(s.Tracker.File)
	for _, folder := range s.folders {
		if !slices.Contains(folders, folder) {
			_ = s.watcher.Remove(folder) // a folder that is gone has no watch any more
		}
	}
	present := s.watcher.WatchList()
	var watched []string
	for _, folder := range folders {
		if slices.Contains(present, folder) || s.watcher.Add(folder) == nil { // one that is not there yet is left to the poll
			watched = append(watched, folder)
		}
	}
	s.links, s.folders = links, watched
}

// carryOut does what was decided on a version, and logs it.
func (s *Source) carryOut(d discovery.Decision) {
	switch d.Verdict {
	case discovery.NoChange:
		return
	case discovery.Apply:
		s.apply(d)
	case discovery.Reject:
		s.Log.Error().Err(d.Reason).Msg("endpoint list rejected, the current one stays")
	case discovery.HoldDown:
		s.Log.Error().Err(d.Reason).Int64("generation", d.List.Generation).Float64("until", s.Tracker.HoldDownTime).
			Strs("difference", truncated(d.Difference.Lines(), maxLoggedLines)).
			Msg("endpoint list held down until \"confirmed\": true is set")
	}
	if s.OnDecision != nil {
		s.OnDecision(d)
	}
}

// apply passes a list on and stores its copy.
func (s *Source) apply(d discovery.Decision) {
	began := time.Now()
	s.Subscriber.UpdateEndpoints(discovery.DrainingSnapshot, d.List.Endpoints)
	s.Log.Info().Int64("generation", d.List.Generation).Int("engines", len(d.List.Endpoints)).
		Int("added", len(d.Difference.Added)).Int("removed", len(d.Difference.Removed)).
		Int("changed", len(d.Difference.Changed)).Float64("took", time.Since(began).Seconds()).AnErr("although", d.Reason).
		Msg("endpoint list applied")
	if s.CopyPath == "" {
		return
	}
	if err := writeCopy(s.CopyPath, d.List); err != nil {
		s.Log.Warn().Err(err).Msg("endpoint list copy not written")
	}
}

// truncated bounds a list of lines, and says how many are left out.
func truncated(lines []string, n int) []string {
	if len(lines) > n {
		return append(lines[:n:n], fmt.Sprintf("and %d more", len(lines)-n))
	}
	return lines
}
