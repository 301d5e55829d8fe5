package requestlog

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/vfs"
)

// goldenStore is a store without a writer goroutine: the test writes to the disk itself, so that the files are the same each
// time.
type goldenStore struct {
	*Store
	t     *testing.T
	clock *clock
}

func openGoldenStore(t *testing.T, path string, clock *clock) *goldenStore {
	t.Helper()
	folder, err := vfs.Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Open(options(), folder, clock.clock(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := folder.Close(); err != nil {
			t.Error(err)
		}
	})
	s.commit(true) // writes the records that Open enqueued
	return &goldenStore{s, t, clock}
}

// do advances the clock by 10 ms, runs an action that may wait for the disk, and writes the records that the action enqueues.
func (s *goldenStore) do(action func()) {
	s.t.Helper()
	s.clock.advance(0.01)
	done := make(chan bool)
	go func() {
		defer close(done)
		action()
	}()
	timeout := time.NewTimer(testTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-done:
			s.commit(true)
			return
		case <-s.wake:
			s.commit(false)
		case <-timeout.C:
			s.t.Fatal("the action did not return in time")
		}
	}
}

// send admits a request and starts an attempt. It returns the request and the number of the attempt.
func (s *goldenStore) send(key string, idempotent idempotency.Idempotency, engine string) (request *Request, number int) {
	s.t.Helper()
	s.do(func() { request = s.Admit(key, idempotent, 60, false).Request })
	s.do(func() {
		var err error
		if number, err = request.StartAttempt(engine, 1, 2, testTimeout); err != nil {
			s.t.Error(err)
		}
	})
	return request, number
}

// answer ends an attempt and its request.
func (s *goldenStore) answer(request *Request, number int, answer Answer) {
	s.t.Helper()
	s.do(func() { request.EndAttempt(number, true) })
	s.do(func() { request.Finish(answer) })
}

// steps takes up to limit steps of a maintenance task.
func (s *goldenStore) steps(name string, limit int) {
	s.t.Helper()
	for more := true; more && limit > 0; limit-- {
		var err error
		if _, more, err = s.maintenanceStep(name); err != nil {
			s.t.Fatal(err)
		}
	}
}

// writeGoldenStore leaves the files of a killed process: a snapshot with its segment, then an unfinished snapshot with the
// next segment, with requests in flight.
func writeGoldenStore(t *testing.T, path string) {
	t.Helper()
	s := openGoldenStore(t, path, &clock{bootID: "one", now: 1000})
	request, number := s.send("answered", idempotency.NonIdempotent, "engine-1")
	s.answer(request, number, Answer{Outcome: idempotency.Succeeded, Rows: []byte("rows of answered"), RowsComplete: true})
	request, number = s.send("failed", idempotency.NonIdempotent, "engine-2")
	s.answer(request, number, Answer{Outcome: idempotency.Failed, Reason: "no such table"})
	s.send("open before", idempotency.NonIdempotent, "engine-3")
	s.do(func() { s.RecordRetry() })
	s.SnapshotLearned = func() []byte { return []byte("learned figures") }
	s.do(func() { s.steps(taskLearned, 1) })
	s.steps(taskCompact, 10)

	request, _ = s.send("attempted twice", idempotency.IdempotentWithKey, "engine-1")
	s.do(func() {
		if _, err := request.StartAttempt("engine-2", 0, 3, testTimeout); err != nil {
			t.Error(err)
		}
	})
	s.do(func() { request.EndAttempt(0, false) })
	request, number = s.send("light", idempotency.Idempotent, "engine-1")
	s.answer(request, number, Answer{Outcome: idempotency.Succeeded, Rows: []byte("rows of light"), RowsComplete: true})
	request, _ = s.send("forgotten", idempotency.Idempotent, "engine-1")
	s.do(func() { request.Finish(Answer{}) })
	s.steps(taskCompact, 1)

	s.do(func() { s.RecordRetry() })
	s.send("open after", idempotency.NonIdempotent, "engine-4")
}

// The files of a store with requests in flight, a snapshot and segments must be written as previous versions wrote them, and
// must be readable.
func TestGoldenStore(t *testing.T) {
	written, copied := filepath.Join(t.TempDir(), "written"), filepath.Join(t.TempDir(), "copied")
	writeGoldenStore(t, written)
	if err := os.MkdirAll(copied, 0o700); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range filesOf(t, written) {
		text, err := os.ReadFile(filepath.Join(written, file))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(copied, file), testutil.CheckGolden(t, "store/"+file, text), 0o600); err != nil {
			t.Fatal(err)
		}
		names = append(names, file+".golden")
	}
	if diff := cmp.Diff(filesOf(t, "testdata/store"), names); diff != "" {
		t.Fatalf("files (-golden +got):\n%s", diff)
	}
	if len(names) != 4 {
		t.Errorf("got %d files, want two segments and two snapshots", len(names))
	}
	readGoldenStore(t, copied)
}

// filesOf lists the files of a directory without the lock file.
func filesOf(t *testing.T, path string) (names []string) {
	t.Helper()
	entries, err := os.ReadDir(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if e.Name() != "lock" {
			names = append(names, e.Name())
		}
	}
	return names
}

// readGoldenStore opens a copy of the golden files ten seconds later and checks the contents.
func readGoldenStore(t *testing.T, path string) {
	t.Helper()
	lines, owner, result, err := Describe(path, "")
	if err != nil || owner != options().Owner || len(result.Damaged) > 0 || result.CleanShutdown {
		t.Fatalf("store of %q, %+v, error %v", owner, result, err)
	}
	wantLines := map[string]string{
		"answered":        "answered\trun-once\tengine-1 (ran)\tdone, 16 bytes of rows",
		"failed":          "failed\trun-once\tengine-2 (ran)\tcancelled for good",
		"open before":     "open before\trun-once\tengine-3 (may have run)\topen",
		"attempted twice": "attempted twice\tkeyed\tengine-1 (did not run), engine-2 (may have run)\topen",
		"light":           "light\trestartable\tengine-1 (ran)\tdone, 13 bytes of rows",
		"open after":      "open after\trun-once\tengine-4 (may have run)\topen",
	}
	if diff := cmp.Diff(wantLines, lines); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	s := openGoldenStore(t, path, &clock{bootID: "one", now: 1010})
	if text, age := s.LearnedState(); string(text) != "learned figures" || age < 9 || age > 10 {
		t.Errorf("got learned state %q, %g s old", text, age)
	}
	if n, known := s.RetriesWithin(60); n != 2 || !known {
		t.Errorf("got %d retries, known %v, want 2, known", n, known)
	}
	for key, want := range map[string]idempotency.Decision{
		"answered": idempotency.Answered, "failed": idempotency.Answered, "light": idempotency.Answered, "open before": idempotency.MayHaveRun,
		"open after": idempotency.MayHaveRun, "attempted twice": idempotency.Retry, "forgotten": idempotency.Proceed,
	} {
		idempotent := idempotency.NonIdempotent
		switch key {
		case "attempted twice":
			idempotent = idempotency.IdempotentWithKey
		case "light", "forgotten":
			idempotent = idempotency.Idempotent
		}
		admission := s.Admit(key, idempotent, 60, false)
		if admission.Decision != want {
			t.Errorf("%s: got decision %d, want %d", key, admission.Decision, want)
		}
		if key == "answered" && (string(admission.Answer.Rows) != "rows of answered" || !admission.Answer.RowsComplete) {
			t.Errorf("%s: got answer %+v", key, admission.Answer)
		}
		if key == "attempted twice" && (len(admission.Prior) != 2 || admission.Prior[1].Engine != "engine-2" || admission.Prior[1].Cell != 3) {
			t.Errorf("%s: got prior attempts %+v", key, admission.Prior)
		}
	}
	if !slices.ContainsFunc(filesOf(t, path), func(name string) bool { return strings.HasSuffix(name, ".whole") }) {
		t.Error("no snapshot after the store was opened")
	}
}
