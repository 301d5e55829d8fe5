package vfs

import (
	"errors"
	"path/filepath"
	"slices"
	"testing"
)

// A directory belongs to one process at a time, its files hold what was written, and List leaves out the lock file.
func TestDir(t *testing.T) {
	path := filepath.Join(t.TempDir(), "made")
	dir, err := Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, false); !errors.Is(err, ErrLocked) {
		t.Errorf("second open: got error %v, want ErrLocked", err)
	}
	f, err := dir.Create("a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := dir.Create("a"); err == nil {
		t.Error("created a file that exists")
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
		t.Errorf("got files %v, content %q, error %v", names, text, err)
	}
	if _, err := Open(filepath.Join(path, "no such"), true); err == nil {
		t.Error("opened a missing directory for reading")
	}
	if reopened, err := Open(path, false); err != nil {
		t.Errorf("open after Close: %v", err)
	} else if err := reopened.Close(); err != nil {
		t.Error(err)
	}
}
