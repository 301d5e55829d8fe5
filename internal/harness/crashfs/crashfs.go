// Package crashfs is a file system for tests: a vfs.Dir in memory that forgets, at a crash, what was not synced, and does
// each wrong thing that disks do, by name: a write that fails for want of space, a sync that fails, one that lies, one
// that takes its time. It counts operations, so that a test may crash at each of them in turn.
//
// A Dir may be used from several goroutines; its faults are changed with Configure while it is.
package crashfs

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
)

// ErrCrashed is what everything returns after a crash, until Restart.
var ErrCrashed = errors.New("the machine has crashed")

// The faults that a Dir can have.
const (
	FaultNoSpace     = "full"      // writes fail for want of space
	FaultSyncError   = "sync"      // syncs fail
	FaultSyncIgnored = "lie"       // syncs do nothing
	FaultReadOnly    = "read only" // all that changes something fails
)

// Dir is a directory of such a disk.
type Dir struct {
	CrashAtOperation int    // at this write, sync, rename or removal, counted from 1; 0 for never
	Fault            string // one of the faults, "" for none
	FaultAtOperation int    // the fault befalls this operation alone; 0 for all
	BeforeSync       func() // called before each sync returns, nil for at once

	mu           sync.Mutex       // guards all fields
	files        map[string]*file // as the running program sees them
	durableNames map[string]*file // names as they are on the disk
	operations   int
	crashed      bool
	random       *rand.Rand
}

// file is what a name stands for; its Dir's lock guards it.
type file struct {
	content []byte
	synced  int // so many bytes are on the disk; what lies beyond may be, in part
}

// randomStream separates the disk's random numbers from others of the same seed.
const randomStream = 3

// New gives an empty one. The seed decides what of unsynced bytes is there after a crash.
func New(seed uint64) *Dir {
	return &Dir{
		files:        map[string]*file{},
		durableNames: map[string]*file{},
		random:       rand.New(rand.NewPCG(seed, randomStream)),
	}
}

// Configure changes faults while the directory is in use.
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

// Crash ends the machine here and now.
func (d *Dir) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
}

// Restart lets the machine start again, with what the disk has: of bytes that were not synced any first part.
func (d *Dir) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed, d.CrashAtOperation = false, 0
	d.files = map[string]*file{}
	for _, name := range slices.Sorted(maps.Keys(d.durableNames)) {
		f := d.durableNames[name]
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

// FlipBit turns a bit of the byte of a file at an offset.
func (d *Dir) FlipBit(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].content[offset] ^= 1
}

// TruncateFile takes the end of a file away.
func (d *Dir) TruncateFile(name string, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].truncate(size)
}

// Size is the size of a file in bytes, 0 for one that is not there.
func (d *Dir) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return 0
	}
	return len(d.files[name].content)
}

func (f *file) truncate(size int) {
	f.content, f.synced = f.content[:size], min(f.synced, size)
}

// beginOperation counts an operation, and reports whether it may go on: nil, or what is wrong with it. faults are those that
// it can have. The lock is held.
func (d *Dir) beginOperation(faults ...string) error {
	if d.crashed {
		return ErrCrashed
	}
	d.operations++
	if d.CrashAtOperation > 0 && d.operations >= d.CrashAtOperation {
		d.crashed = true
		return ErrCrashed
	}
	spared := d.FaultAtOperation > 0 && d.operations != d.FaultAtOperation
	if spared || !slices.Contains(faults, d.Fault) {
		return nil
	}
	switch d.Fault {
	case FaultNoSpace:
		return syscall.ENOSPC
	case FaultReadOnly:
		return syscall.EROFS
	default:
		return syscall.EIO
	}
}

// beginSync counts a sync as beginOperation does, once BeforeSync has returned. The lock is not held; it is when
// beginSync returns.
func (d *Dir) beginSync() error {
	d.mu.Lock()
	wait := d.BeforeSync
	d.mu.Unlock()
	if wait != nil {
		wait()
	}
	d.mu.Lock()
	return d.beginOperation(FaultSyncError)
}

// syncNames has the names on the disk. The lock is held.
func (d *Dir) syncNames() {
	if d.Fault != FaultSyncIgnored {
		d.durableNames = maps.Clone(d.files)
	}
}
