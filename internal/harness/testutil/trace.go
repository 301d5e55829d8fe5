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

// CheckTrace compares lines with the golden trace of the test under testdata.
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
		t.Errorf("got trace that differs from %s (-want +got):\n%s", file, diff)
	}
}

// Trace records what clients, engines and controllers send, in the order in which the test reads it.
type Trace struct {
	T     testing.TB
	Lines []string
}

// Recordf adds a formatted line to the trace.
func (x *Trace) Recordf(format string, args ...any) {
	x.Lines = append(x.Lines, fmt.Sprintf(format, args...))
}

// Check compares the trace with the golden trace of the test.
func (x *Trace) Check() { x.T.Helper(); CheckTrace(x.T, x.Lines) }

func (x *Trace) must(err error) {
	if err != nil {
		x.T.Helper()
		x.T.Fatal(err)
	}
}

// NewTrace starts a trace. When the test ends it fails the test if goroutines or sockets have leaked.
func NewTrace(t testing.TB) *Trace {
	goroutines, sockets := runtime.NumGoroutine(), openSockets()
	t.Cleanup(func() {
		for end := time.Now().Add(testTimeout); runtime.NumGoroutine() > goroutines || openSockets() > sockets; {
			if time.Now().After(end) {
				stacks := make([]byte, 1<<16)
				t.Fatalf("leaked %d goroutines and %d sockets\n%s", runtime.NumGoroutine()-goroutines,
					openSockets()-sockets, stacks[:runtime.Stack(stacks, true)])
			}
			time.Sleep(time.Millisecond)
		}
	})
	return &Trace{T: t}
}

// openSockets counts the open sockets of this process. Other descriptors are not counted, because the Go runtime opens and closes
// some of its own.
func openSockets() (n int) {
	descriptors, _ := filepath.Glob("/proc/self/fd/*")
	for _, descriptor := range descriptors {
		if target, _ := os.Readlink(descriptor); strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// update rewrites the traces before they are compared. It is set by an environment variable, not by a flag, so that one run can
// update all packages.
var update = os.Getenv("UPDATE") != ""

// testTimeout ends a test that hangs. No assertion depends on its value.
const testTimeout = 10 * time.Second

// describeConnError describes the error of a connection that has ended in the same words however it ended, so that traces are
// reproducible.
func describeConnError(err error) string {
	if strings.Contains(err.Error(), "reset") || strings.Contains(err.Error(), "EOF") ||
		strings.Contains(err.Error(), "closed") {
		return "connection ended"
	}
	return err.Error()
}
