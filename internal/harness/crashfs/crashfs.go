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

// Dir is a folder of such a disk. Its faults may be changed at any time.
type Dir struct {
	mu           sync.Mutex
	files        map[string]*file // as the running program sees them
	durableNames map[string]*file // names as they are on the disk
	operations   int
	crashed      bool
	random       *rand.Rand

	CrashAtOperation int    // at the so manieth write, sync, rename or removal; 0 for never
	Fault            string // "full": writes fail for want of space; "sync": syncs fail; "lie": syncs do nothing; "read only"
	FaultAtOperation int    // the fault befalls the so manieth operation alone; 0 for all
	BeforeSync       func() // before each sync returns, nil for at once
}

type file struct {
	content []byte
	synced  int // so much is on the disk; what lies beyond may be, in part
}

// New gives an empty one. The seed decides what of unsynced bytes is there after a crash.
func New(seed uint64) *Dir {
	return &Dir{files: map[string]*file{}, durableNames: map[string]*file{}, random: rand.New(rand.NewPCG(seed, 3))}
}

// Configure changes faults while the folder is in use.
func (d *Dir) Configure(change func(d *Dir)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// Operations is how many operations there were.
func (d *Dir) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// Restart lets the machine start again, with what the disk has: of bytes that were not synced any first part.
func (d *Dir) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed, d.CrashAtOperation = false, 0
	d.files = map[string]*file{}
	for name, f := range d.durableNames {
		left := f.synced
		if beyond := len(f.content) - f.synced; beyond > 0 {
			left += d.random.IntN(beyond + 1)
		}
		f.content = f.content[:left]
		f.synced = left
		d.files[name] = f
	}
}

// Resume lets another process go on where one was killed: the machine has forgotten nothing yet.
func (d *Dir) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed, d.CrashAtOperation = false, 0
}

// Crash ends the machine here and now.
func (d *Dir) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
}

// FlipBit turns a bit of a file.
func (d *Dir) FlipBit(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].content[at] ^= 1
}

// TruncateFile takes the end of a file away.
func (d *Dir) TruncateFile(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.content, f.synced = f.content[:at], min(f.synced, at)
}

// Size is that of a file.
func (d *Dir) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return 0
	}
	return len(d.files[name].content)
}

// beginOperation counts an operation, and tells whether it may go on: nil, or what is wrong with it.
func (d *Dir) beginOperation(faults ...string) error {
	if d.crashed {
		return ErrCrashed
	}
	d.operations++
	if d.CrashAtOperation > 0 && d.operations >= d.CrashAtOperation {
		d.crashed = true
		return ErrCrashed
	}
	if d.FaultAtOperation > 0 && d.operations != d.FaultAtOperation || !slices.Contains(faults, d.Fault) {
		return nil
	}
	switch d.Fault {
	case "full":
		return syscall.ENOSPC
	case "read only":
		return syscall.EROFS
	}
	return syscall.EIO
}

func (d *Dir) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *Dir) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	switch {
	case d.crashed:
		return nil, ErrCrashed
	case f == nil:
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.content), nil
}

func (d *Dir) Create(name string) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("full", "read only"); err != nil {
		return nil, err
	}
	if d.files[name] != nil {
		return nil, fs.ErrExist
	}
	f := &file{}
	d.files[name] = f
	return &openFile{d, f}, nil
}

func (d *Dir) Append(name string, at int64) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("read only"); err != nil {
		return nil, err
	}
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	f.content, f.synced = f.content[:at], min(f.synced, int(at))
	return &openFile{d, f}, nil
}

func (d *Dir) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("read only"); err != nil {
		return err
	}
	if d.files[from] == nil {
		return fs.ErrNotExist
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *Dir) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("read only"); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *Dir) Sync() error {
	d.waitBeforeSync()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("sync"); err != nil {
		return err
	}
	if d.Fault != "lie" {
		d.durableNames = maps.Clone(d.files)
	}
	return nil
}

func (d *Dir) Close() error { return nil }

func (d *Dir) waitBeforeSync() {
	d.mu.Lock()
	wait := d.BeforeSync
	d.mu.Unlock()
	if wait != nil {
		wait()
	}
}

// openFile is a file in the program's hands.
type openFile struct {
	d *Dir
	f *file
}

// Write takes all or, at a crash or on a full disk, a first part.
func (o *openFile) Write(b []byte) (int, error) {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	was := o.d.crashed
	if err := o.d.beginOperation("full", "read only"); err != nil {
		n := 0
		if !was && len(b) > 0 {
			n = o.d.random.IntN(len(b) + 1)
			o.f.content = append(o.f.content, b[:n]...)
		}
		return n, err
	}
	o.f.content = append(o.f.content, b...)
	return len(b), nil
}

func (o *openFile) Sync() error {
	o.d.waitBeforeSync()
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	if err := o.d.beginOperation("sync"); err != nil {
		return err
	}
	if o.d.Fault != "lie" {
		o.f.synced = len(o.f.content)
	}
	return nil
}

func (o *openFile) Close() error { return nil }
