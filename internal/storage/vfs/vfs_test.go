package vfs

import (
	"errors"
	"path/filepath"
	"slices"
	"testing"
)

// A folder belongs to one process at a time, files are what was written, and names that are not ours are let be.
func TestDir(t *testing.T) {
	path := filepath.Join(t.TempDir(), "made")
	dir, err := Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, false); !errors.Is(err, ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	f, err := dir.Create("a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := dir.Create("a"); err == nil {
		t.Error("made twice")
	}
	_, err = f.Write([]byte("one two"))
	if err := errors.Join(err, f.Sync(), f.Close(), dir.Sync()); err != nil {
		t.Fatal(err)
	}
	if f, err = dir.Append("a", 4); err != nil {
		t.Fatal(err)
	}
	_, err = f.Write([]byte("three"))
	if err := errors.Join(err, f.Close(), dir.Rename("a", "b"), dir.Remove("never there"), dir.Close()); err != nil {
		t.Fatal(err)
	}
	again, err := Open(path, true)
	if err != nil {
		t.Fatal(err)
	}
	names, _ := again.List()
	text, err := again.Read("b")
	if err != nil || string(text) != "one three" || !slices.Equal(names, []string{"b"}) {
		t.Errorf("%v, %q, %v", names, text, err)
	}
	if _, err := Open(filepath.Join(path, "no such"), true); err == nil {
		t.Error("a folder that is not there is read")
	}
	if held, err := Open(path, false); err != nil {
		t.Errorf("let go and held: %v", err)
	} else if err := held.Close(); err != nil {
		t.Error(err)
	}
}
