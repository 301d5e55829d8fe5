package recordfile

import (
	"bytes"
	"errors"
	"hash/crc32"
	"testing"
)

// The checksum of several parts equals that of their concatenation.
func TestChecksum(t *testing.T) {
	want := crc32.Checksum([]byte("one two"), crc32.MakeTable(crc32.Castagnoli))
	if got := Checksum([]byte("one"), nil, []byte(" two")); got != want {
		t.Errorf("got %x, want %x", got, want)
	}
}

// A file has a version only if it begins with the magic word and both digits.
func TestVersion(t *testing.T) {
	for content, want := range map[string]string{"MAGIC01": "01", "MAGIC02 and more": "02", "MAGICxy": "xy", "MAGIC0": "", "OTHER01": "", "": ""} {
		got, ok := Version([]byte(content), "MAGIC")
		if got != want || ok != (want != "") {
			t.Errorf("%q: got %q, %v, want %q", content, got, ok, want)
		}
	}
}

// A complete record is found at any offset except 0, where the broken record is.
func TestCompleteFollows(t *testing.T) {
	complete := func(b []byte) bool { return bytes.HasPrefix(b, []byte("ok")) }
	for rest, want := range map[string]bool{"": false, "ok": false, "xok": true, "x and then ok": true, "xo": false, "okok": true} {
		if got := CompleteFollows([]byte(rest), 2, complete); got != want {
			t.Errorf("%q: got %v, want %v", rest, got, want)
		}
	}
}

// An error in a file is found by kind and by type, with path and offset, and its text names the file once.
func TestFileError(t *testing.T) {
	inner := &FileError{Offset: 7, Err: Errorf(ErrDamaged, "broken at byte %d", 7)}
	err := InFile("a.log", inner)
	var found *FileError
	if !errors.As(err, &found) || found.Path != "a.log" || found.Offset != 7 || !errors.Is(err, ErrDamaged) || errors.Is(err, ErrTorn) {
		t.Errorf("%#v", err)
	}
	if err.Error() != "a.log: broken at byte 7" {
		t.Error(err)
	}
	plain := errors.New("something else")
	if err := InFile("a.log", plain); err.Error() != "a.log: something else" || !errors.Is(err, plain) {
		t.Error(err)
	}
}
