package crashfs

import (
	"errors"
	"syscall"
	"testing"
)

// write creates a file with a synced name and with content that is synced or not.
func write(t *testing.T, dir *Dir, name, content string, sync bool) {
	t.Helper()
	f, err := dir.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.Write([]byte(content))
	if err := errors.Join(err, dir.Sync()); err != nil {
		t.Fatal(err)
	}
	if sync {
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
	}
}

// After a crash, synced data is complete, a prefix of unsynced data is left, and names that were not synced are gone.
func TestCrashLosesUnsyncedData(t *testing.T) {
	shorter := false
	for seed := range uint64(20) {
		dir := New(seed)
		write(t, dir, "synced", "all of it", true)
		write(t, dir, "written", "some of it", false)
		if _, err := dir.Create("no name on the disk"); err != nil {
			t.Fatal(err)
		}
		dir.Crash()
		if _, err := dir.Read("synced"); !errors.Is(err, ErrCrashed) {
			t.Errorf("read after a crash: got error %v, want ErrCrashed", err)
		}
		dir.Restart()
		synced, err := dir.Read("synced")
		if err != nil || string(synced) != "all of it" {
			t.Errorf("synced file: got %q, %v, want \"all of it\"", synced, err)
		}
		written, err := dir.Read("written")
		if err != nil || string(written) != "some of it"[:len(written)] {
			t.Errorf("unsynced file: got %q, %v, want a prefix of \"some of it\"", written, err)
		}
		shorter = shorter || len(written) < len("some of it")
		if names, err := dir.List(); err != nil || len(names) != 2 {
			t.Errorf("got files %v, %v, want the two whose names were synced", names, err)
		}
	}
	if !shorter {
		t.Error("no crash lost unsynced data")
	}
}

// Each fault causes its error, and with FaultAtOperation only at that operation.
func TestFaults(t *testing.T) {
	for fault, want := range map[string]error{
		FaultNoSpace:     syscall.ENOSPC,
		FaultReadOnly:    syscall.EROFS,
		FaultSyncError:   syscall.EIO,
		FaultSyncIgnored: nil,
	} {
		dir := New(1)
		f, err := dir.Create("a")
		if err != nil {
			t.Fatal(err)
		}
		dir.Configure(func(d *Dir) { d.Fault = fault })
		_, err = f.Write([]byte("x"))
		if err := errors.Join(err, f.Sync()); !errors.Is(err, want) {
			t.Errorf("fault %s: got error %v, want %v", fault, err, want)
		}
		dir.Configure(func(d *Dir) { d.FaultAtOperation = d.operations + 2 })
		if _, err := f.Write([]byte("x")); err != nil {
			t.Errorf("fault %s, before its operation: got error %v, want none", fault, err)
		}
	}
	dir := New(1)
	dir.CrashAtOperation = 2
	if _, err := dir.Create("a"); err != nil {
		t.Fatal(err)
	}
	if err := dir.Sync(); !errors.Is(err, ErrCrashed) {
		t.Errorf("at CrashAtOperation: got error %v, want ErrCrashed", err)
	}
	if dir.Operations() != 2 {
		t.Errorf("got %d operations, want 2", dir.Operations())
	}
}
