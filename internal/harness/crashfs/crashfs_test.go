package crashfs

import (
	"errors"
	"syscall"
	"testing"
)

// write makes a file with content, synced or not, and its name synced.
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

// After a crash synced bytes are there, of others a first part; a name that was not synced is gone.
func TestCrashForgetsWhatWasNotSynced(t *testing.T) {
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
			t.Errorf("read of a crashed machine: %v", err)
		}
		dir.Restart()
		synced, err := dir.Read("synced")
		if err != nil || string(synced) != "all of it" {
			t.Errorf("%q, %v", synced, err)
		}
		written, err := dir.Read("written")
		if err != nil || string(written) != "some of it"[:len(written)] {
			t.Errorf("%q, %v", written, err)
		}
		shorter = shorter || len(written) < len("some of it")
		if names, err := dir.List(); err != nil || len(names) != 2 {
			t.Errorf("%v, %v", names, err)
		}
	}
	if !shorter {
		t.Error("no byte was ever forgotten")
	}
}

// Each fault fails what it is named for, at its operation alone where one is named.
func TestFaults(t *testing.T) {
	for fault, want := range map[string]error{FaultNoSpace: syscall.ENOSPC, FaultReadOnly: syscall.EROFS, FaultSyncError: syscall.EIO, FaultSyncIgnored: nil} {
		dir := New(1)
		f, err := dir.Create("a")
		if err != nil {
			t.Fatal(err)
		}
		dir.Configure(func(d *Dir) { d.Fault = fault })
		_, err = f.Write([]byte("x"))
		if err := errors.Join(err, f.Sync()); !errors.Is(err, want) {
			t.Errorf("%s: %v", fault, err)
		}
		dir.Configure(func(d *Dir) { d.FaultAtOperation = d.operations + 2 })
		if _, err := f.Write([]byte("x")); err != nil {
			t.Errorf("%s, before its operation: %v", fault, err)
		}
	}
	dir := New(1)
	dir.CrashAtOperation = 2
	if _, err := dir.Create("a"); err != nil {
		t.Fatal(err)
	}
	if err := dir.Sync(); !errors.Is(err, ErrCrashed) {
		t.Errorf("at its operation: %v", err)
	}
	if dir.Operations() != 2 {
		t.Errorf("%d operations", dir.Operations())
	}
}
