// Package listwriter rewrites an engine list in all the ways, correct and faulty, in which operators and tools do.
package listwriter

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"copperrock.example/copperrock/internal/discovery"
)

// Rewriter rewrites an engine list by random methods that are drawn from a seed: some write valid versions, others faulty ones.
// The path of the file contains a symbolic link: ROOT/live/engines.jsonc, where live points to ROOT/v0, ROOT/v1 and so on.
type Rewriter struct {
	Root       string
	Seed       uint64
	Candidates []discovery.Endpoint // engines from which each version selects some
	Zones      []string
	MaxSize    int                  // maximum size of a valid file in bytes
	OnVersion  func(discovery.List) // called with each valid version before it is written; may be nil
	List       discovery.List       // the latest valid version

	folder     int    // number of the folder that live points to
	counter    uint64 // of random numbers
	lastMethod string
	removed    int // engines that the versions of this step have removed
}

// Step describes one rewrite of the file.
type Step struct {
	Method     string
	Generation int64  // of the valid version that was written, 0 for a faulty one
	Reason     string // part of the expected reason for rejecting a faulty version, "" for a valid one
}

// File returns the path of the engine list.
func (r *Rewriter) File() string { return filepath.Join(r.Root, "live", "engines.jsonc") }

// Init creates the folders and writes the first version.
func (r *Rewriter) Init() error {
	if err := os.Mkdir(filepath.Join(r.Root, "v0"), 0o755); err != nil {
		return err
	}
	if err := os.Symlink("v0", filepath.Join(r.Root, "live")); err != nil {
		return err
	}
	r.nextVersion()
	return os.WriteFile(r.File(), r.List.Format(), 0o644)
}

// random returns the next random number from 0 to n-1.
func (r *Rewriter) random(n int) int {
	r.counter++
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, [2]uint64{r.Seed, r.counter})
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return int((x ^ x>>29) >> 11 % uint64(n))
}

// nextVersion draws the next valid version. One step removes at most a third of the engines, even if it writes several versions
// of which only the last is read, so that no version is held back because it removes too many.
func (r *Rewriter) nextVersion() []byte {
	next := discovery.List{Generation: r.List.Generation + 1 + int64(r.random(3))}
	removed := r.removed
	for _, e := range r.Candidates {
		current, _ := r.List.Lookup(e.Name)
		if current.Available() && 3*(removed+1) <= r.List.AvailableCount()+r.removed && r.random(3) == 0 {
			removed++
			if r.random(2) == 0 {
				e.State = discovery.Terminating
				next.Endpoints = append(next.Endpoints, e)
			}
			continue
		}
		if !current.Available() && r.List.Generation > 0 && r.random(2) == 0 {
			continue
		}
		e.Weight = []float64{1, 1, 1, 0.5, 2}[r.random(5)]
		next.Endpoints = append(next.Endpoints, e)
	}
	r.removed = removed
	slices.SortFunc(next.Endpoints, func(x, y discovery.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	r.List = next
	if r.OnVersion != nil {
		r.OnVersion(next)
	}
	return next.Format()
}

// method is a way to write a valid version to the file.
type method struct {
	name  string
	write func(r *Rewriter, text []byte) error
}

var methods = []method{
	{"overwritten in place", func(r *Rewriter, text []byte) error { return os.WriteFile(r.File(), text, 0o644) }},
	{"overwritten in pieces", func(r *Rewriter, text []byte) error {
		f, err := os.Create(r.File())
		for offset := 0; err == nil && offset < len(text); offset += 64 {
			_, err = f.Write(text[offset:min(offset+64, len(text))])
		}
		return errors.Join(err, f.Close())
	}},
	{"replaced by rename", func(r *Rewriter, text []byte) error { return r.rename(text) }},
	{"removed and created again", func(r *Rewriter, text []byte) error {
		return errors.Join(removeIfExists(r.File()), os.WriteFile(r.File(), text, 0o644))
	}},
	{"written by an editor with a swap file", func(r *Rewriter, text []byte) error {
		swap, backup := r.File()+".swp", r.File()+"~"
		err := errors.Join(os.WriteFile(swap, []byte("swap"), 0o644), os.Rename(r.File(), backup),
			os.WriteFile(r.File(), text, 0o644))
		return errors.Join(err, os.Remove(swap), os.Remove(backup))
	}},
	{"linked folder switched", func(r *Rewriter, text []byte) error {
		r.folder++
		old, next := fmt.Sprintf("v%d", r.folder-1), fmt.Sprintf("v%d", r.folder)
		err := errors.Join(os.Mkdir(filepath.Join(r.Root, next), 0o755),
			os.WriteFile(filepath.Join(r.Root, next, "engines.jsonc"), text, 0o644),
			os.Symlink(next, filepath.Join(r.Root, "link")),
			os.Rename(filepath.Join(r.Root, "link"), filepath.Join(r.Root, "live")))
		return errors.Join(err, os.RemoveAll(filepath.Join(r.Root, old)))
	}},
	{"replaced four times in a row", func(r *Rewriter, text []byte) error {
		err := r.rename(text)
		for range 3 {
			err = errors.Join(err, r.rename(r.nextVersion()))
		}
		return err
	}},
}

// rename writes the text to a temporary file and renames it to the file.
func (r *Rewriter) rename(text []byte) error {
	temporary := r.File() + ".part"
	return errors.Join(os.WriteFile(temporary, text, 0o644), os.Rename(temporary, r.File()))
}

// fault writes content that must be rejected, or replaces the file by something that is not a regular file.
type fault struct {
	name    string
	reason  string                                 // part of the expected reason for the rejection
	text    func(r *Rewriter, valid string) string // returns the faulty content; nil if replace is set
	replace func(r *Rewriter) error                // puts something else in place of the file, which has been removed
}

// replaceFirst returns a function that replaces the first occurrence of a text.
func replaceFirst(before, after string) func(*Rewriter, string) string {
	return func(_ *Rewriter, valid string) string { return strings.Replace(valid, before, after, 1) }
}

var faults = []fault{
	{"truncated", "does not parse", func(r *Rewriter, valid string) string { return valid[:1+r.random(len(valid)-3)] }, nil},
	{"empty", "does not parse", func(*Rewriter, string) string { return "" }, nil},
	{"zero bytes", "zero byte", func(_ *Rewriter, valid string) string { return strings.Repeat("\x00", len(valid)) }, nil},
	{"two versions mixed", "mix of two versions", func(r *Rewriter, valid string) string {
		generation := fmt.Sprintf(`"generation": %d`, r.List.Generation+1)
		return strings.Replace(valid, generation, fmt.Sprintf(`"generation": %d`, r.List.Generation+2), 1)
	}, nil},
	{"duplicate name", "already", func(r *Rewriter, valid string) string {
		e := r.List.Endpoints[0]
		return strings.Replace(valid, `"engines": [`, fmt.Sprintf(`"engines": [{"name": %q, "address": "127.0.0.1:1"},`, e.Name), 1)
	}, nil},
	{"duplicate address", "already", func(r *Rewriter, valid string) string {
		e := r.List.Endpoints[0]
		return strings.Replace(valid, `"engines": [`, fmt.Sprintf(`"engines": [{"name": "other", "address": %q},`, e.Address), 1)
	}, nil},
	{"invalid address", "no IP address", replaceFirst(`"address": "127.0.0.1`, `"address": "there`), nil},
	{"unknown zone", "must be one of", replaceFirst(`"zone": "`, `"zone": "not-`), nil},
	{"negative weight", "out of range",
		replaceFirst(`"engines": [`, `"engines": [{"name": "w", "address": "127.0.0.1:1", "weight": -1},`), nil},
	{"infinite weight", "no figure",
		replaceFirst(`"engines": [`, `"engines": [{"name": "w", "address": "127.0.0.1:1", "weight": 1e999},`), nil},
	{"weight that is not a number", "does not parse",
		replaceFirst(`"engines": [`, `"engines": [{"name": "w", "address": "127.0.0.1:1", "weight": NaN},`), nil},
	{"unknown key", "did you mean", replaceFirst(`"name"`, `"nmae"`), nil}, //nolint:misspell // the misspelling is the fault
	{"duplicate key", "twice", replaceFirst(`"format": 1,`, `"format": 1, "format": 1,`), nil},
	{"missing key", "is missing", replaceFirst(`"format": 1,`, ``), nil},
	{"unsupported format", "out of range", replaceFirst(`"format": 1,`, `"format": 2,`), nil},
	{"wrong type", "must be a list", func(*Rewriter, string) string {
		return `{"format": 1, "generation": 9000000, "engines": {"name": "x"}}`
	}, nil},
	{"lower generation", "is lower than", func(r *Rewriter, _ string) string {
		l := discovery.List{Generation: r.List.Generation - 1, Endpoints: r.List.Endpoints}
		return string(l.Format())
	}, nil},
	{"same generation, different engines", "holds already", func(r *Rewriter, _ string) string {
		l := discovery.List{Generation: r.List.Generation, Endpoints: slices.Clone(r.List.Endpoints)}
		l.Endpoints[0].Weight += 0.25
		return string(l.Format())
	}, nil},
	{"byte-order mark", "byte-order mark", func(_ *Rewriter, valid string) string { return "\xef\xbb\xbf" + valid }, nil},
	{"invalid UTF-8", "not UTF-8", replaceFirst(`"name": "`, "\"name\": \"\xff\xfe"), nil},
	{"unlimited nesting", "nested deeper", func(r *Rewriter, _ string) string {
		return strings.Repeat("[", min(r.MaxSize, 1<<20))
	}, nil},
	{"too large", "is over", func(r *Rewriter, valid string) string { return valid + strings.Repeat(" ", r.MaxSize) }, nil},
	{"folder", "is a folder", nil, func(r *Rewriter) error { return os.Mkdir(r.File(), 0o755) }},
	{"named pipe", "is a pipe", nil, func(r *Rewriter) error { return syscall.Mkfifo(r.File(), 0o644) }},
	{"device", "is a device", nil, func(r *Rewriter) error { return os.Symlink("/dev/null", r.File()) }},
	{"symbolic link to itself", "can't be read", nil, func(r *Rewriter) error { return os.Symlink("engines.jsonc", r.File()) }},
	{"missing file", "can't be read", nil, func(*Rewriter) error { return nil }},
}

// removeIfExists removes a file; it is not an error if the file does not exist.
func removeIfExists(path string) error {
	err := os.Remove(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// MethodCounts returns the number of methods that write valid versions and of those that write faulty ones.
func MethodCounts() (valid, faulty int) { return len(methods), len(faults) }

// Next rewrites the file by a random method, which is faulty in at most two of five cases. The first rewrite, and any that finds
// no regular file, writes a valid version.
func (r *Rewriter) Next() (Step, error) {
	r.removed = 0
	if info, err := os.Lstat(r.File()); err != nil || !info.Mode().IsRegular() || r.random(5) >= 2 || r.lastMethod == "" {
		m := methods[r.random(len(methods))]
		r.lastMethod = m.name
		if err != nil || !info.Mode().IsRegular() { // put an empty regular file in place first
			if err := errors.Join(removeIfExists(r.File()), os.WriteFile(r.File(), nil, 0o644)); err != nil {
				return Step{Method: m.name}, err
			}
		}
		err := m.write(r, r.nextVersion())
		return Step{Method: m.name, Generation: r.List.Generation}, err
	}
	f := faults[r.random(len(faults))]
	for f.name == r.lastMethod { // the same fault again might write the same content, which is not read as a new version
		f = faults[r.random(len(faults))]
	}
	r.lastMethod = f.name
	step := Step{Method: f.name, Reason: f.reason}
	if f.replace != nil {
		if err := removeIfExists(r.File()); err != nil {
			return step, err
		}
		return step, f.replace(r)
	}
	l := discovery.List{Generation: r.List.Generation + 1, Endpoints: r.List.Endpoints}
	valid := l.Format()
	text := []byte(f.text(r, string(valid)))
	if bytes.Equal(text, valid) {
		return step, fmt.Errorf("fault %q does not change the file", f.name)
	}
	if r.random(2) == 0 {
		return step, r.rename(text)
	}
	return step, os.WriteFile(r.File(), text, 0o644)
}
