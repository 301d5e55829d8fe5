// Package listwriter plays those who rewrite a list of engines.
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

// Rewriter plays the operators and tools that rewrite a list of engines, well and badly, from a seed. The file is
// reached through a linked folder: ROOT/live/engines.jsonc, where live leads to ROOT/v0, v1 and so on.
type Rewriter struct {
	Root       string
	Seed       uint64
	Candidates []discovery.Endpoint // that a version may name; each names a part of them
	Zones      []string
	MaxSize    int                  // bound of the file, in bytes
	OnVersion  func(discovery.List) // told of each valid version before it is put in place; may be nil
	List       discovery.List       // the latest valid version

	folder  int
	counter uint64
	latest  string // form
	gone    int    // engines that the versions of this step have taken away
}

// Step is one rewriting that has been done.
type Step struct {
	Method     string
	Generation int64  // of a version that is to be taken, 0 for a bad one
	Reason     string // that stands in the refusal of a bad one
}

// File is the path to follow.
func (r *Rewriter) File() string { return filepath.Join(r.Root, "live", "engines.jsonc") }

// Init makes the folders and puts the first version in place.
func (r *Rewriter) Init() error {
	if err := os.Mkdir(filepath.Join(r.Root, "v0"), 0o755); err != nil {
		return err
	}
	if err := os.Symlink("v0", filepath.Join(r.Root, "live")); err != nil {
		return err
	}
	r.version()
	return os.WriteFile(r.File(), r.List.Format(), 0o644)
}

func (r *Rewriter) draw(n int) int {
	r.counter++
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, [2]uint64{r.Seed, r.counter})
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return int((x ^ x>>29) >> 11 % uint64(n))
}

// version draws the next valid version. At most a third of the engines in the version taken last goes, so that none
// is held back for that, also where only the last of a burst is seen.
func (r *Rewriter) version() []byte {
	next := discovery.List{Generation: r.List.Generation + 1 + int64(r.draw(3))}
	gone := r.gone
	for _, e := range r.Candidates {
		had, _ := r.List.Lookup(e.Name)
		if had.Available() && 3*(gone+1) <= r.List.AvailableCount()+r.gone && r.draw(3) == 0 {
			gone++
			if r.draw(2) == 0 {
				e.State = discovery.Terminating
				next.Endpoints = append(next.Endpoints, e)
			}
			continue
		}
		if !had.Available() && r.List.Generation > 0 && r.draw(2) == 0 {
			continue
		}
		e.Weight = []float64{1, 1, 1, 0.5, 2}[r.draw(5)]
		next.Endpoints = append(next.Endpoints, e)
	}
	r.gone = gone
	slices.SortFunc(next.Endpoints, func(x, y discovery.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	r.List = next
	if r.OnVersion != nil {
		r.OnVersion(next)
	}
	return next.Format()
}

// form is a way of putting a text in place.
type form struct {
	name string
	put  func(r *Rewriter, text []byte) error
}

var goodForms = []form{
	{"in place", func(r *Rewriter, text []byte) error { return os.WriteFile(r.File(), text, 0o644) }},
	{"in pieces", func(r *Rewriter, text []byte) error {
		f, err := os.Create(r.File())
		for at := 0; err == nil && at < len(text); at += 64 {
			_, err = f.Write(text[at:min(at+64, len(text))])
		}
		return errors.Join(err, f.Close())
	}},
	{"renamed over", func(r *Rewriter, text []byte) error { return r.rename(text) }},
	{"removed and put back", func(r *Rewriter, text []byte) error {
		return errors.Join(removeIfThere(r.File()), os.WriteFile(r.File(), text, 0o644))
	}},
	{"by an editor with a swap file", func(r *Rewriter, text []byte) error {
		swap, kept := r.File()+".swp", r.File()+"~"
		err := errors.Join(os.WriteFile(swap, []byte("swap"), 0o644), os.Rename(r.File(), kept),
			os.WriteFile(r.File(), text, 0o644))
		return errors.Join(err, os.Remove(swap), os.Remove(kept))
	}},
	{"a linked folder swapped", func(r *Rewriter, text []byte) error {
		r.folder++
		old, next := fmt.Sprintf("v%d", r.folder-1), fmt.Sprintf("v%d", r.folder)
		err := errors.Join(os.Mkdir(filepath.Join(r.Root, next), 0o755),
			os.WriteFile(filepath.Join(r.Root, next, "engines.jsonc"), text, 0o644),
			os.Symlink(next, filepath.Join(r.Root, "link")),
			os.Rename(filepath.Join(r.Root, "link"), filepath.Join(r.Root, "live")))
		return errors.Join(err, os.RemoveAll(filepath.Join(r.Root, old)))
	}},
	{"in a burst", func(r *Rewriter, text []byte) error {
		err := r.rename(text)
		for range 3 {
			err = errors.Join(err, r.rename(r.version()))
		}
		return err
	}},
}

func (r *Rewriter) rename(text []byte) error {
	part := r.File() + ".part"
	return errors.Join(os.WriteFile(part, text, 0o644), os.Rename(part, r.File()))
}

// badForm makes a text that must not be taken, or puts something else in the file's place.
type badForm struct {
	name, reason string
	text         func(r *Rewriter, good string) string
	put          func(r *Rewriter) error
}

// swap changes the first place where the old text stands.
func swap(before, after string) func(*Rewriter, string) string {
	return func(_ *Rewriter, good string) string { return strings.Replace(good, before, after, 1) }
}

var badForms = []badForm{
	{"torn", "does not parse", func(r *Rewriter, good string) string { return good[:1+r.draw(len(good)-3)] }, nil},
	{"cut to nothing", "does not parse", func(*Rewriter, string) string { return "" }, nil},
	{"zeros for text", "zero byte", func(_ *Rewriter, good string) string { return strings.Repeat("\x00", len(good)) }, nil},
	{"two versions mixed", "mix of two versions", func(r *Rewriter, good string) string {
		generation := fmt.Sprintf(`"generation": %d`, r.List.Generation+1)
		return strings.Replace(good, generation, fmt.Sprintf(`"generation": %d`, r.List.Generation+2), 1)
	}, nil},
	{"a name twice", "already", func(r *Rewriter, good string) string {
		e := r.List.Endpoints[0]
		return strings.Replace(good, `"engines": [`, fmt.Sprintf(`"engines": [{"name": %q, "address": "127.0.0.1:1"},`, e.Name), 1)
	}, nil},
	{"an address twice", "already", func(r *Rewriter, good string) string {
		e := r.List.Endpoints[0]
		return strings.Replace(good, `"engines": [`, fmt.Sprintf(`"engines": [{"name": "other", "address": %q},`, e.Address), 1)
	}, nil},
	{"an address that is none", "no IP address", swap(`"address": "127.0.0.1`, `"address": "there`), nil},
	{"a zone that is not there", "must be one of", swap(`"zone": "`, `"zone": "not-`), nil},
	{"a negative weight", "out of range", swap(`"engines": [`, `"engines": [{"name": "w", "address": "127.0.0.1:1", "weight": -1},`), nil},
	{"an endless weight", "no figure", swap(`"engines": [`, `"engines": [{"name": "w", "address": "127.0.0.1:1", "weight": 1e999},`), nil},
	{"no number for a weight", "does not parse", swap(`"engines": [`, `"engines": [{"name": "w", "address": "127.0.0.1:1", "weight": NaN},`), nil},
	{"an unknown key", "did you mean", swap(`"name"`, `"nmae"`), nil}, //nolint:misspell // the misspelling is the fault that is played
	{"a key twice", "twice", swap(`"format": 1,`, `"format": 1, "format": 1,`), nil},
	{"a key missing", "is missing", swap(`"format": 1,`, ``), nil},
	{"another format", "out of range", swap(`"format": 1,`, `"format": 2,`), nil},
	{"another type", "must be a list", func(*Rewriter, string) string {
		return `{"format": 1, "generation": 9000000, "engines": {"name": "x"}}`
	}, nil},
	{"a lower generation", "is lower than", func(r *Rewriter, _ string) string {
		l := discovery.List{Generation: r.List.Generation - 1, Endpoints: r.List.Endpoints}
		return string(l.Format())
	}, nil},
	{"the same generation, other engines", "holds already", func(r *Rewriter, _ string) string {
		l := discovery.List{Generation: r.List.Generation, Endpoints: slices.Clone(r.List.Endpoints)}
		l.Endpoints[0].Weight += 0.25
		return string(l.Format())
	}, nil},
	{"an order mark", "byte-order mark", func(_ *Rewriter, good string) string { return "\xef\xbb\xbf" + good }, nil},
	{"no UTF-8", "not UTF-8", swap(`"name": "`, "\"name\": \"\xff\xfe"), nil},
	{"nested without end", "nested deeper", func(r *Rewriter, _ string) string { return strings.Repeat("[", min(r.MaxSize, 1<<20)) }, nil},
	{"over the bound", "is over", func(r *Rewriter, good string) string { return good + strings.Repeat(" ", r.MaxSize) }, nil},
	{"a folder", "is a folder", nil, func(r *Rewriter) error { return os.Mkdir(r.File(), 0o755) }},
	{"a pipe", "is a pipe", nil, func(r *Rewriter) error { return syscall.Mkfifo(r.File(), 0o644) }},
	{"a device", "is a device", nil, func(r *Rewriter) error { return os.Symlink("/dev/null", r.File()) }},
	{"a link to itself", "can't be read", nil, func(r *Rewriter) error { return os.Symlink("engines.jsonc", r.File()) }},
	{"gone", "can't be read", nil, func(*Rewriter) error { return nil }},
}

func removeIfThere(path string) error {
	err := os.Remove(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// MethodCounts counts the ways in which versions are put in place, well and badly.
func MethodCounts() (good, bad int) { return len(goodForms), len(badForms) }

// Next does the next rewriting: two in five are bad, and each form comes in its turn until all have been there.
func (r *Rewriter) Next() (Step, error) {
	r.gone = 0
	if info, err := os.Lstat(r.File()); err != nil || !info.Mode().IsRegular() || r.draw(5) >= 2 || r.latest == "" {
		f := goodForms[r.draw(len(goodForms))]
		r.latest = f.name
		if err != nil || !info.Mode().IsRegular() { // what stands there goes first
			if err := errors.Join(removeIfThere(r.File()), os.WriteFile(r.File(), nil, 0o644)); err != nil {
				return Step{Method: f.name}, err
			}
		}
		err := f.put(r, r.version())
		return Step{Method: f.name, Generation: r.List.Generation}, err
	}
	f := badForms[r.draw(len(badForms))]
	for f.name == r.latest { // the same content again is no new version
		f = badForms[r.draw(len(badForms))]
	}
	r.latest = f.name
	step := Step{Method: f.name, Reason: f.reason}
	if f.put != nil {
		if err := removeIfThere(r.File()); err != nil {
			return step, err
		}
		return step, f.put(r)
	}
	l := discovery.List{Generation: r.List.Generation + 1, Endpoints: r.List.Endpoints}
	good := l.Format()
	text := []byte(f.text(r, string(good)))
	if bytes.Equal(text, good) {
		return step, fmt.Errorf("%s changes nothing", f.name)
	}
	if r.draw(2) == 0 {
		return step, r.rename(text)
	}
	return step, os.WriteFile(r.File(), text, 0o644)
}
