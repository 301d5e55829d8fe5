// Package crashfs is a stand-in for a disk: a folder in memory that forgets, at a crash, what was not synced, and does
// each wrong thing that disks do, by name: a write that fails for want of space, a sync that fails, one that lies, one that
// takes its time. It counts writes and syncs, so that a test may crash at each of them in turn.
package crashfs

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"copperrock.example/copperrock/internal/storage/vfs"
)

// ErrCrashed is what everything returns after a crash, until Restart.
var ErrCrashed = errors.New("the machine has crashed")

// Folder is a folder of such a disk. Its faults may be changed at any time.
type Folder struct {
	mu    sync.Mutex
	files map[string]*file // as the running program sees them
	kept  map[string]*file // names as they are on the disk
	ops   int
	gone  bool
	r     *rand.Rand

	CrashAt int    // at the so manieth write, sync, rename or removal; 0 for never
	Fail    string // "full": writes fail for want of space; "sync": syncs fail; "lie": syncs do nothing; "read only"
	FailAt  int    // the fault befalls the so manieth operation alone; 0 for all
	Wait    func() // before each sync returns, nil for at once
}

type file struct {
	text   []byte
	synced int // so much is on the disk; what lies beyond may be, in part
}

// New gives an empty one. The seed decides what of unsynced bytes is there after a crash.
func New(seed uint64) *Folder {
	return &Folder{files: map[string]*file{}, kept: map[string]*file{}, r: rand.New(rand.NewPCG(seed, 3))}
}

// Set changes faults while the folder is in use.
func (d *Folder) Set(change func(d *Folder)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// Ops is how many operations there were.
func (d *Folder) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// Restart lets the machine start again, with what the disk has: of bytes that were not synced any first part.
func (d *Folder) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gone, d.CrashAt = false, 0
	d.files = map[string]*file{}
	for name, f := range d.kept {
		left := f.synced
		if beyond := len(f.text) - f.synced; beyond > 0 {
			left += d.r.IntN(beyond + 1)
		}
		f.text = f.text[:left]
		f.synced = left
		d.files[name] = f
	}
}

// Resume lets another process go on where one was killed: the machine has forgotten nothing yet.
func (d *Folder) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gone, d.CrashAt = false, 0
}

// Crash ends the machine here and now.
func (d *Folder) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gone = true
}

// Flip turns a bit of a file.
func (d *Folder) Flip(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].text[at] ^= 1
}

// Cut takes the end of a file away.
func (d *Folder) Cut(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.text, f.synced = f.text[:at], min(f.synced, at)
}

// Size is that of a file.
func (d *Folder) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return 0
	}
	return len(d.files[name].text)
}

// op counts an operation, and tells whether it may go on: nil, or what is wrong with it.
func (d *Folder) op(faults ...string) error {
	if d.gone {
		return ErrCrashed
	}
	d.ops++
	if d.CrashAt > 0 && d.ops >= d.CrashAt {
		d.gone = true
		return ErrCrashed
	}
	if d.FailAt > 0 && d.ops != d.FailAt || !slices.Contains(faults, d.Fail) {
		return nil
	}
	switch d.Fail {
	case "full":
		return syscall.ENOSPC
	case "read only":
		return syscall.EROFS
	}
	return syscall.EIO
}

func (d *Folder) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.gone {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *Folder) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	switch {
	case d.gone:
		return nil, ErrCrashed
	case f == nil:
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.text), nil
}

func (d *Folder) Create(name string) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("full", "read only"); err != nil {
		return nil, err
	}
	if d.files[name] != nil {
		return nil, fs.ErrExist
	}
	f := &file{}
	d.files[name] = f
	return &open{d, f}, nil
}

func (d *Folder) Append(name string, at int64) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("read only"); err != nil {
		return nil, err
	}
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	f.text, f.synced = f.text[:at], min(f.synced, int(at))
	return &open{d, f}, nil
}

func (d *Folder) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("read only"); err != nil {
		return err
	}
	if d.files[from] == nil {
		return fs.ErrNotExist
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *Folder) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("read only"); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *Folder) Sync() error {
	d.wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("sync"); err != nil {
		return err
	}
	if d.Fail != "lie" {
		d.kept = maps.Clone(d.files)
	}
	return nil
}

func (d *Folder) Close() error { return nil }

func (d *Folder) wait() {
	d.mu.Lock()
	wait := d.Wait
	d.mu.Unlock()
	if wait != nil {
		wait()
	}
}

// open is a file in the program's hands.
type open struct {
	d *Folder
	f *file
}

// Write takes all or, at a crash or on a full disk, a first part.
func (o *open) Write(b []byte) (int, error) {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	was := o.d.gone
	if err := o.d.op("full", "read only"); err != nil {
		n := 0
		if !was && len(b) > 0 {
			n = o.d.r.IntN(len(b) + 1)
			o.f.text = append(o.f.text, b[:n]...)
		}
		return n, err
	}
	o.f.text = append(o.f.text, b...)
	return len(b), nil
}

func (o *open) Sync() error {
	o.d.wait()
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	if err := o.d.op("sync"); err != nil {
		return err
	}
	if o.d.Fail != "lie" {
		o.f.synced = len(o.f.text)
	}
	return nil
}

func (o *open) Close() error { return nil }
