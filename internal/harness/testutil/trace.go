package testutil

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// CheckTrace compares lines with the trace kept under testdata.
func CheckTrace(t testing.TB, lines []string) {
	t.Helper()
	file := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "Test")+".trace")
	got := strings.Join(lines, "\n") + "\n"
	if update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("trace differs from %s (-kept +got):\n%s", file, diff)
	}
}

// Trace gathers what the parties see, in the order in which the test looks.
type Trace struct {
	T     testing.TB
	Lines []string
}

// Recordf adds a line.
func (x *Trace) Recordf(format string, args ...any) {
	x.Lines = append(x.Lines, fmt.Sprintf(format, args...))
}

// Check compares the trace with the kept one.
func (x *Trace) Check() { x.T.Helper(); CheckTrace(x.T, x.Lines) }

func (x *Trace) must(err error) {
	if err != nil {
		x.T.Helper()
		x.T.Fatal(err)
	}
}

// NewTrace starts a trace and makes sure that nothing is left over at the test's end.
func NewTrace(t testing.TB) *Trace {
	goroutines, descriptors := runtime.NumGoroutine(), open()
	t.Cleanup(func() {
		for end := time.Now().Add(patience); runtime.NumGoroutine() > goroutines || open() > descriptors; {
			if time.Now().After(end) {
				stacks := make([]byte, 1<<16)
				t.Fatalf("%d goroutines and %d descriptors more than before\n%s", runtime.NumGoroutine()-goroutines,
					open()-descriptors, stacks[:runtime.Stack(stacks, true)])
			}
			time.Sleep(time.Millisecond)
		}
	})
	return &Trace{T: t}
}

// open counts sockets: the runtime's own descriptors come and go.
func open() (n int) {
	files, _ := filepath.Glob("/proc/self/fd/*")
	for _, f := range files {
		if to, _ := os.Readlink(f); strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// update writes the traces anew; it is asked for by UPDATE=1, which goes through all packages at once.
var update = os.Getenv("UPDATE") != ""

// patience ends a test that hangs; no verdict rests on it.
const patience = 10 * time.Second

// ending words the end of a connection the same way each time.
func ending(err error) string {
	if strings.Contains(err.Error(), "reset") || strings.Contains(err.Error(), "EOF") ||
		strings.Contains(err.Error(), "closed") {
		return "connection ended"
	}
	return err.Error()
}
