package file

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"copperrock.example/copperrock/internal/discovery"
)

const (
	// copyHeader is the first line of a copy: the time of writing and the checksum of the list that follows.
	copyHeader    = "// copperrock copy of the engines, written_ms %d sum %016x\n"
	maxCopyHeader = 128 // bytes

	// copyGrowth is the factor by which a copy may exceed the size limit of the file, since Format may need more bytes for
	// a list than the operators' file does.
	copyGrowth = 2

	copyMode = 0o644
)

var (
	errCopyNotRegular = errors.New("not a regular file, or too large")
	errCopyDamaged    = errors.New("incomplete or corrupt")
)

// writeCopy replaces the copy of the list atomically.
func writeCopy(file string, l discovery.List) error {
	text := l.Format()
	header := fmt.Sprintf(copyHeader, time.Now().UnixMilli(), xxhash.Sum64(text))
	return renameio.WriteFile(file, append([]byte(header), text...), copyMode)
}

// readCopy returns the list in a copy and the time at which it was written.
func readCopy(file string, b discovery.Bounds) (l discovery.List, writtenAt time.Time, err error) {
	info, err := os.Stat(file)
	if err != nil {
		return l, writtenAt, err
	}
	b.MaxBytes *= copyGrowth
	if !info.Mode().IsRegular() || info.Size() > int64(b.MaxBytes+maxCopyHeader) {
		return l, writtenAt, errCopyNotRegular
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return l, writtenAt, err
	}
	header, text, _ := strings.Cut(string(content), "\n")
	var writtenMillis int64
	var sum uint64
	if n, _ := fmt.Sscanf(header+"\n", copyHeader, &writtenMillis, &sum); n != 2 || sum != xxhash.Sum64String(text) {
		return l, writtenAt, errCopyDamaged
	}
	l, err = discovery.Parse(file, []byte(text), b)
	return l, time.UnixMilli(writtenMillis), err
}
