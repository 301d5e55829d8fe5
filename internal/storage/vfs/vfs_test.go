package vfs

import (
	"errors"
	"path/filepath"
	"slices"
	"testing"
)

// A folder belongs to one process at a time, files are what was written, and names that are not ours are let be.
func TestFolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "made")
	d, err := Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, false); !errors.Is(err, ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	f, err := d.Create("a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Create("a"); err == nil {
		t.Error("made twice")
	}
	_, err = f.Write([]byte("one two"))
	if err := errors.Join(err, f.Sync(), f.Close(), d.Sync()); err != nil {
		t.Fatal(err)
	}
	if f, err = d.Append("a", 4); err != nil {
		t.Fatal(err)
	}
	_, err = f.Write([]byte("three"))
	if err := errors.Join(err, f.Close(), d.Rename("a", "b"), d.Remove("never there"), d.Close()); err != nil {
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
