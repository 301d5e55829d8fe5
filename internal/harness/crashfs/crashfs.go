// Package crashfs is an in-memory file system for tests. It implements vfs.Dir, loses unsynced data when it crashes, and
// simulates disk faults: a full or read-only disk, and syncs that fail, have no effect or take long. It counts operations, so
// that a test can crash at each of them in turn.
//
// A Dir may be used from several goroutines. While it is in use, its exported fields are changed with Configure.
package crashfs

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
)

// ErrCrashed is returned by all operations after a crash, until Restart or Resume.
var ErrCrashed = errors.New("the machine has crashed")

// The faults of a Dir.
const (
	FaultNoSpace     = "full"      // creating and writing files fails with ENOSPC
	FaultSyncError   = "sync"      // syncs fail with EIO
	FaultSyncIgnored = "lie"       // syncs succeed but have no effect
	FaultReadOnly    = "read only" // all changes fail with EROFS
)

// Dir is a directory on a simulated disk.
type Dir struct {
	CrashAtOperation int    // crash at this operation, counted from 1; 0 for never
	Fault            string // one of the Fault constants, "" for none
	FaultAtOperation int    // the only operation with the fault; 0 for all
	BeforeSync       func() // called before each sync takes effect; may be nil

	mu           sync.Mutex       // guards all fields
	files        map[string]*file // as the running program sees them
	durableNames map[string]*file // directory entries that survive a crash
	operations   int
	crashed      bool
	random       *rand.Rand
}

// file is the content of a file, guarded by the lock of its Dir.
type file struct {
	content []byte
	synced  int // number of bytes that survive a crash; any prefix of the rest may survive too
}

// randomStream selects a stream of random numbers other than those that tests draw from the same seed.
const randomStream = 3

// New returns an empty directory. The seed determines how much unsynced data survives a crash.
func New(seed uint64) *Dir {
	return &Dir{
		files:        map[string]*file{},
		durableNames: map[string]*file{},
		random:       rand.New(rand.NewPCG(seed, randomStream)),
	}
}

// Configure changes exported fields while the directory is in use.
func (d *Dir) Configure(change func(d *Dir)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// Operations returns the number of operations so far: creations, writes, syncs, renames, removals and Append calls.
func (d *Dir) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// Crash simulates a crash of the machine now.
func (d *Dir) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
}

// Restart restarts the machine after a crash. Synced names and data are still there; of unsynced data a random prefix is.
func (d *Dir) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed, d.CrashAtOperation = false, 0
	d.files = map[string]*file{}
	for _, name := range slices.Sorted(maps.Keys(d.durableNames)) {
		f := d.durableNames[name]
		size := f.synced
		if unsynced := len(f.content) - f.synced; unsynced > 0 {
			size += d.random.IntN(unsynced + 1)
		}
		f.content = f.content[:size]
		f.synced = size
		d.files[name] = f
	}
}

// Resume continues after a crash of the process only: the machine has lost nothing, and another process can open the directory.
func (d *Dir) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed, d.CrashAtOperation = false, 0
}

// FlipBit flips the lowest bit of the byte at an offset of a file.
func (d *Dir) FlipBit(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].content[offset] ^= 1
}

// TruncateFile shortens a file to a size.
func (d *Dir) TruncateFile(name string, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].truncate(size)
}

// Size returns the size of a file in bytes, 0 if it does not exist.
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

// beginOperation counts an operation and returns its error: that of a crash, or that of the current fault if the operation is
// subject to it. faults lists the faults that affect this kind of operation. d.mu is held.
func (d *Dir) beginOperation(faults ...string) error {
	if d.crashed {
		return ErrCrashed
	}
	d.operations++
	if d.CrashAtOperation > 0 && d.operations >= d.CrashAtOperation {
		d.crashed = true
		return ErrCrashed
	}
	exempt := d.FaultAtOperation > 0 && d.operations != d.FaultAtOperation
	if exempt || !slices.Contains(faults, d.Fault) {
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

// beginSync calls BeforeSync and then counts a sync as beginOperation does. It acquires d.mu and returns with it held.
func (d *Dir) beginSync() error {
	d.mu.Lock()
	beforeSync := d.BeforeSync
	d.mu.Unlock()
	if beforeSync != nil {
		beforeSync()
	}
	d.mu.Lock()
	return d.beginOperation(FaultSyncError)
}

// syncNames makes the current names durable, unless syncs are ignored. d.mu is held.
func (d *Dir) syncNames() {
	if d.Fault != FaultSyncIgnored {
		d.durableNames = maps.Clone(d.files)
	}
}
