// Package file follows a list of engines in a file that operators or their tools rewrite. What a version is worth
// is decided by members.Keeper; this package reads, watches, and keeps a copy of the last list that held.
package file

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fsnotify/fsnotify"
	"github.com/google/renameio/v2"
	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/limits"
)

// Source follows one file. Run owns its goroutine and the keeper.
type Source struct {
	Tracker      discovery.Tracker // its File is the file's path
	CopyPath     string            // where the last list that held is kept, "" for nowhere
	PollInterval float64           // seconds between looks without a notice
	Subscriber   discovery.Subscriber
	Log          zerolog.Logger

	// OnDecision, where set, hears each decision after it has been carried out.
	OnDecision func(discovery.Decision)

	notificationsOff bool // hears no notices, as where the machine gives none
	start            time.Time
	watcher          *fsnotify.Watcher
	folders          []string // folders
	links            []string // the names in them that lead to the file, and the file's own
}

func (s *Source) now() float64 { return time.Since(s.start).Seconds() }

// Restore takes the copy of the list that held last, if there is a sound one. It is called before Run.
func (s *Source) Restore() {
	if s.CopyPath == "" {
		return
	}
	l, at, err := readCopy(s.CopyPath, s.Tracker.Bounds)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case err != nil:
		s.Log.Warn().Err(err).Str("copy", s.CopyPath).Msg("copy of the engines passed over")
		return
	}
	s.Tracker.Restore(l)
	s.Subscriber.UpdateEndpoints(discovery.DrainingSnapshot, l.Endpoints)
	s.Log.Warn().Int64("generation", l.Generation).Int("engines", len(l.Endpoints)).
		Float64("age", math.Round(time.Since(at).Seconds())).Msg("engines taken from the copy until the file tells")
}

// HasList tells whether a list holds. It is for the time before Run.
func (s *Source) HasList() bool {
	_, holds := s.Tracker.Current()
	return holds
}

// Run follows the file until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	s.start = time.Now()
	var notices <-chan fsnotify.Event
	var troubles <-chan error
	watcher, err := (*fsnotify.Watcher)(nil), errors.New("none wanted")
	if !s.notificationsOff {
		watcher, err = fsnotify.NewWatcher()
	}
	if err != nil { // too many watches on this machine: the poll still finds every change
		s.Log.Warn().Err(err).Float64("poll", s.PollInterval).Msg("no notices of changes, looking now and then")
	} else {
		defer watcher.Close()
		s.watcher, notices, troubles = watcher, watcher.Events, watcher.Errors
		s.updateWatches()
	}
	s.Tracker.FileChanged(s.now())
	poll := time.NewTicker(limits.Duration(s.PollInterval))
	defer poll.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event, open := <-notices:
			if !open {
				notices = nil
			} else if slices.Contains(s.links, event.Name) {
				s.Tracker.FileChanged(s.now())
				if event.Op != fsnotify.Write {
					s.updateWatches()
				}
			}
		case err, open := <-troubles:
			if !open {
				troubles = nil
				continue
			}
			s.Log.Warn().Err(err).Msg("notices of changes were lost")
			s.Tracker.FileChanged(s.now())
		case <-poll.C:
			s.updateWatches() // a folder may have come back
			s.carryOut(s.Tracker.Observe(s.now(), s.read()))
		case <-timer.C:
			look, d := s.Tracker.Tick(s.now())
			if look {
				d = s.Tracker.Observe(s.now(), s.read())
			}
			s.carryOut(d)
		}
		if next := s.Tracker.NextTick(); math.IsInf(next, 1) {
			timer.Stop()
		} else {
			timer.Reset(max(limits.Duration(next-s.now()), 0))
		}
	}
}

// updateWatches has the folders watched in which a name leads to the file: its own, and that of each link on the way.
func (s *Source) updateWatches() {
	if s.watcher == nil {
		return
	}
	links, folders := resolveLinks(s.Tracker.File)
	for _, folder := range s.folders {
		if !slices.Contains(folders, folder) {
			s.watcher.Remove(folder)
		}
	}
	present := s.watcher.WatchList()
	var watched []string
	for _, folder := range folders {
		if slices.Contains(present, folder) || s.watcher.Add(folder) == nil { // one that is not there yet: the poll
			watched = append(watched, folder)
		}
	}
	s.links, s.folders = links, watched
}

// resolveLinks follows a path through its links: the names passed, and the folders they stand in. Twenty links are more
// than any sane path has.
func resolveLinks(path string) (names, folders []string) {
	path, err := filepath.Abs(path)
	if err != nil {
		return nil, nil
	}
	for range 20 {
		at, linked := "/", false
		parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
		for i, part := range parts {
			next := filepath.Join(at, part)
			target, err := os.Readlink(next)
			if err != nil && i < len(parts)-1 {
				at = next
				continue
			}
			names, folders = append(names, next), append(folders, at)
			if err == nil { // a link: go on where it leads
				if !filepath.IsAbs(target) {
					target = filepath.Join(at, target)
				}
				path, linked = filepath.Join(append([]string{target}, parts[i+1:]...)...), true
				break
			}
		}
		if !linked {
			break
		}
	}
	slices.Sort(folders)
	return names, slices.Compact(folders)
}

// read reads the file, no further than one byte past the bound, and never waits on what is no regular file.
func (s *Source) read() discovery.Content {
	wrong := func(format string, args ...any) discovery.Content {
		return discovery.Content{Problem: fmt.Sprintf(format, args...)}
	}
	info, err := os.Stat(s.Tracker.File)
	if err == nil && !info.Mode().IsRegular() {
		return wrong("is a %s, not a file", fileKind(info.Mode()))
	}
	if err != nil {
		return wrong("can't be read: %s", withoutPath(err))
	}
	f, err := os.OpenFile(s.Tracker.File, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return wrong("can't be read: %s", withoutPath(err))
	}
	defer f.Close()
	if info, err = f.Stat(); err == nil && !info.Mode().IsRegular() { // put there meanwhile
		return wrong("is a %s, not a file", fileKind(info.Mode()))
	}
	if info != nil && info.Size() > int64(s.Tracker.Bounds.MaxBytes) {
		return wrong("is over %d bytes", s.Tracker.Bounds.MaxBytes)
	}
	text, err := io.ReadAll(io.LimitReader(f, int64(s.Tracker.Bounds.MaxBytes)+1))
	switch {
	case err != nil:
		return wrong("can't be read: %s", withoutPath(err))
	case len(text) > s.Tracker.Bounds.MaxBytes:
		return wrong("is over %d bytes", s.Tracker.Bounds.MaxBytes)
	}
	return discovery.Content{Text: text}
}

func fileKind(mode fs.FileMode) string {
	switch {
	case mode.IsDir():
		return "folder"
	case mode&fs.ModeNamedPipe != 0:
		return "pipe"
	case mode&fs.ModeSocket != 0:
		return "socket"
	}
	return "device"
}

// withoutPath is the system's word without the path, which the keeper has.
func withoutPath(err error) string {
	var path *fs.PathError
	if errors.As(err, &path) {
		err = path.Err
	}
	return err.Error()
}

func (s *Source) carryOut(d discovery.Decision) {
	switch d.Verdict {
	case discovery.NoChange:
		return
	case discovery.Apply:
		began := time.Now()
		s.Subscriber.UpdateEndpoints(discovery.DrainingSnapshot, d.List.Endpoints)
		s.Log.Info().Int64("generation", d.List.Generation).Int("engines", len(d.List.Endpoints)).
			Int("added", len(d.Difference.Added)).Int("removed", len(d.Difference.Removed)).
			Int("changed", len(d.Difference.Changed)).Float64("took", time.Since(began).Seconds()).AnErr("although", d.Reason).
			Msg("engines taken from the file")
		if s.CopyPath != "" {
			if err := writeCopy(s.CopyPath, d.List); err != nil {
				s.Log.Warn().Err(err).Msg("engines not copied: a restart would have to do without")
			}
		}
	case discovery.Reject:
		s.Log.Error().Err(d.Reason).Msg("engines in the file refused, the old ones hold")
	case discovery.HoldDown:
		s.Log.Error().Err(d.Reason).Int64("generation", d.List.Generation).Float64("until", s.Tracker.HoldDownTime).
			Strs("difference", truncated(d.Difference.Lines(), 20)).
			Msg("engines in the file held back until \"confirmed\": true stands there")
	}
	if s.OnDecision != nil {
		s.OnDecision(d)
	}
}

func truncated(lines []string, n int) []string {
	if len(lines) > n {
		return append(lines[:n:n], fmt.Sprintf("and %d more", len(lines)-n))
	}
	return lines
}

// The copy is a list as it is printed behind a line that tells when it was written and what it sums up to, so that
// a broken one is known.
const copyHeader = "// copperrock copy of the engines, written_ms %d sum %016x\n"

func writeCopy(file string, l discovery.List) error {
	text := l.Format()
	head := fmt.Sprintf(copyHeader, time.Now().UnixMilli(), xxhash.Sum64(text))
	return renameio.WriteFile(file, append([]byte(head), text...), 0o644)
}

func readCopy(file string, b discovery.Bounds) (l discovery.List, at time.Time, err error) {
	info, err := os.Stat(file)
	if err != nil {
		return l, at, err
	}
	const head = 128
	if !info.Mode().IsRegular() || info.Size() > int64(2*b.MaxBytes+head) { // printing spells defaults out
		return l, at, errors.New("no regular file of a size to be read")
	}
	whole, err := os.ReadFile(file)
	if err != nil {
		return l, at, err
	}
	line, text, _ := strings.Cut(string(whole), "\n")
	var ms int64
	var sum uint64
	if n, _ := fmt.Sscanf(line+"\n", copyHeader, &ms, &sum); n != 2 || sum != xxhash.Sum64String(text) {
		return l, at, errors.New("the copy is not whole")
	}
	b.MaxBytes *= 2
	l, err = discovery.Parse(file, []byte(text), b)
	return l, time.UnixMilli(ms), err
}
