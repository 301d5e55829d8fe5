// Package file follows an endpoint list in a file that operators or their tools rewrite. It watches and reads the file;
// discovery.Tracker decides which versions are applied. It also stores a copy of the last list that was applied, which a
// restarted process uses until it can read a valid version of the file.
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

// maxLoggedLines is the maximum number of lines of a difference in one log line.
const maxLoggedLines = 20

var errNotificationsOff = errors.New("disabled")

// Source follows one file. Its exported fields must be set before the first call. While Run is running, it alone uses the
// tracker; Restore and HasList must only be called before it.
type Source struct {
	Tracker      discovery.Tracker // its File is the path of the file
	CopyPath     string            // path of the copy of the last list applied; "" for no copy
	PollInterval float64           // seconds between reads without a notification
	Subscriber   discovery.Subscriber
	Log          zerolog.Logger

	// OnDecision, if not nil, is called with each decision after it has been carried out.
	OnDecision func(discovery.Decision)

	notificationsOff bool // set by tests to simulate a system without file notifications

	start   time.Time
	watcher *fsnotify.Watcher // nil if notifications are not available
	folders []string          // the watched folders
	links   []string          // paths in these folders: the symbolic links to the file, and the file itself
}

// now returns the time on the tracker's clock.
func (s *Source) now() float64 { return time.Since(s.start).Seconds() }

// Restore applies the copy of the list that was applied last, if there is a valid one.
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

// HasList reports whether there is a current list yet.
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
			s.Log.Warn().Err(err).Msg("file notifications lost")
			s.Tracker.FileChanged(s.now())
		case <-poll.C:
			s.updateWatches() // a folder may have reappeared
			s.carryOut(s.Tracker.Observe(s.now(), s.read()))
		case <-timer.C:
			s.tick()
		}
		s.resetTimer(timer)
	}
}

// tick does what is due according to the tracker.
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

// openWatcher starts file notifications and returns a function that stops them. If they are not available, the periodic reads
// still find every change.
func (s *Source) openWatcher() (closeWatcher func()) {
	watcher, err := (*fsnotify.Watcher)(nil), errNotificationsOff
	if !s.notificationsOff {
		watcher, err = fsnotify.NewWatcher()
	}
	if err != nil { // for example, the machine's limit of watches is reached
		s.Log.Warn().Err(err).Float64("poll", s.PollInterval).Msg("file notifications not available, polling instead")
		return func() {}
	}
	s.watcher = watcher
	s.updateWatches()
	return func() { _ = watcher.Close() } // nothing depends on the result
}

// notifications returns the watcher's channels, or nil channels if there is no watcher.
func (s *Source) notifications() (<-chan fsnotify.Event, <-chan error) {
	if s.watcher == nil {
		return nil, nil
	}
	return s.watcher.Events, s.watcher.Errors
}

// notified handles a notification about a watched folder.
func (s *Source) notified(event fsnotify.Event) {
	if !slices.Contains(s.links, event.Name) {
		return
	}
	s.Tracker.FileChanged(s.now())
	if event.Op != fsnotify.Write { // a link may have a new target
		s.updateWatches()
	}
}

// updateWatches watches the folder of the file and the folders of all symbolic links on the path to it.
func (s *Source) updateWatches() {
	if s.watcher == nil {
		return
	}
	links, folders := resolveLinks(s.Tracker.File)
	for _, folder := range s.folders {
		if !slices.Contains(folders, folder) {
			_ = s.watcher.Remove(folder) // fails if the folder is gone, and its watch with it
		}
	}
	present := s.watcher.WatchList()
	var watched []string
	for _, folder := range folders {
		if slices.Contains(present, folder) || s.watcher.Add(folder) == nil { // if it does not exist yet, the next poll tries again
			watched = append(watched, folder)
		}
	}
	s.links, s.folders = links, watched
}

// carryOut applies and logs a decision.
func (s *Source) carryOut(d discovery.Decision) {
	switch d.Verdict {
	case discovery.NoChange:
		return
	case discovery.Apply:
		s.apply(d)
	case discovery.Reject:
		s.Log.Error().Err(d.Reason).Msg("endpoint list rejected, keeping the current one")
	case discovery.HoldDown:
		s.Log.Error().Err(d.Reason).Int64("generation", d.List.Generation).Float64("until", s.Tracker.HoldDownTime).
			Strs("difference", truncated(d.Difference.Lines(), maxLoggedLines)).
			Msg("endpoint list held down until \"confirmed\": true is set")
	}
	if s.OnDecision != nil {
		s.OnDecision(d)
	}
}

// apply passes a list to the subscriber and stores a copy of it.
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

// truncated returns the first n lines and, if there are more, a line that says how many are left out.
func truncated(lines []string, n int) []string {
	if len(lines) > n {
		return append(lines[:n:n], fmt.Sprintf("and %d more", len(lines)-n))
	}
	return lines
}
