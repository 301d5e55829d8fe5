package recordfile

import (
	"bytes"
	"errors"
	"hash/crc32"
	"testing"
)

// A checksum of parts is that of the whole.
func TestChecksum(t *testing.T) {
	want := crc32.Checksum([]byte("one two"), crc32.MakeTable(crc32.Castagnoli))
	if got := Checksum([]byte("one"), nil, []byte(" two")); got != want {
		t.Errorf("%x, want %x", got, want)
	}
}

// Only a file that begins with the magic word and has both digits has a version.
func TestVersion(t *testing.T) {
	for content, want := range map[string]string{"MAGIC01": "01", "MAGIC02 and more": "02", "MAGICxy": "xy", "MAGIC0": "", "OTHER01": "", "": ""} {
		got, ok := Version([]byte(content), "MAGIC")
		if got != want || ok != (want != "") {
			t.Errorf("%q: %q, %v", content, got, ok)
		}
	}
}

// A complete record counts wherever it begins, but not at the first byte, which is where the broken one stands.
func TestCompleteFollows(t *testing.T) {
	complete := func(b []byte) bool { return bytes.HasPrefix(b, []byte("ok")) }
	for rest, want := range map[string]bool{"": false, "ok": false, "xok": true, "x and then ok": true, "xo": false, "okok": true} {
		if got := CompleteFollows([]byte(rest), 2, complete); got != want {
			t.Errorf("%q: %v", rest, got)
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
