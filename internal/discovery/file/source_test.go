package file

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/harness/invariant"
	"copperrock.example/copperrock/internal/harness/listwriter"
	"copperrock.example/copperrock/internal/harness/testutil"
)

const hangTimeout = 10 * time.Second // ends a test that hangs; no check depends on its length

// sourceHarness runs a Source and collects its decisions and updates.
type sourceHarness struct {
	*Source
	t           *testing.T
	decisions   chan discovery.Decision
	updateSizes []int // number of endpoints in each update
	lists       invariant.ListChecker
	stop        func()
}

func (h *sourceHarness) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	if mode != discovery.DrainingSnapshot {
		h.t.Errorf("got mode %v, want DrainingSnapshot", mode)
	}
	h.updateSizes = append(h.updateSizes, len(engines))
	h.lists.EndpointsUpdated(engines)
}

func newSourceHarness(t *testing.T, file string, change func(*Source)) *sourceHarness {
	h := &sourceHarness{t: t, decisions: make(chan discovery.Decision, 1000)}
	h.Source = &Source{Tracker: discovery.Tracker{File: file, Bounds: discovery.Bounds{MaxEndpoints: 100, MaxBytes: 1 << 16, Zones: []string{"east"}},
		SettleTime: 0.02, UnsettledWarning: 3600, MaxRemovedFraction: 0.5}, PollInterval: 3600, Subscriber: h, Log: zerolog.Nop(),
		OnDecision: func(d discovery.Decision) { h.decisions <- d }}
	if change != nil {
		change(h.Source)
	}
	return h
}

func (h *sourceHarness) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return h.Run(ctx) })
	h.stop = func() { cancel(); testutil.WaitCancelled(h.t, &group) }
}

func (h *sourceHarness) nextDecision(history ...any) discovery.Decision {
	h.t.Helper()
	select {
	case d := <-h.decisions:
		return d
	case <-time.After(hangTimeout):
		h.t.Fatalf("no decision within %v after %v", hangTimeout, history)
		return discovery.Decision{}
	}
}

func endpoints(n int) (all []discovery.Endpoint) {
	for i := range n {
		all = append(all, discovery.Endpoint{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9001+i), Zone: "east", Weight: 1,
			State: discovery.InService})
	}
	return all
}

// Whichever way the file is rewritten, valid versions are applied, invalid ones are rejected once each with the right
// reason, and the subscriber receives complete versions only. This holds with file notifications and with polling alone.
func TestRewriting(t *testing.T) {
	for _, mode := range []string{"notifications", "poll"} {
		t.Run(mode, func(t *testing.T) {
			testutil.NewTrace(t)
			r := &listwriter.Rewriter{Root: t.TempDir(), Seed: 5, Candidates: endpoints(6), MaxSize: 1 << 16}
			h := newSourceHarness(t, r.File(), func(s *Source) {
				if mode == "poll" {
					s.PollInterval, s.notificationsOff = 0.01, true
				}
			})
			r.OnVersion = h.lists.VersionWritten
			if err := r.Init(); err != nil {
				t.Fatal(err)
			}
			h.run()
			defer func() { h.stop() }()
			h.nextDecision()
			forms, lastReason := map[string]bool{}, ""
			var history []any
			good, bad := listwriter.MethodCounts()
			for n := 0; n < 70 || len(forms) < good+bad; n++ {
				step, err := r.Next()
				if err != nil {
					t.Fatal(err)
				}
				forms[step.Method] = true
				history = append(history, step)
				for reached := false; !reached; { // intermediate content may be read and rejected too
					d := h.nextDecision(history[max(len(history)-6, 0):]...)
					switch d.Verdict {
					case discovery.Apply:
						reached = d.List.Generation == step.Generation
						lastReason = ""
					case discovery.Reject:
						if lastReason == d.Reason.Error() {
							t.Fatalf("%s: rejected twice for the same reason: %v", step.Method, d.Reason)
						}
						lastReason = d.Reason.Error()
						reached = step.Reason != "" && strings.Contains(lastReason, step.Reason)
					default:
						t.Fatalf("%s: got decision %v, want Apply or Reject", step.Method, d)
					}
				}
				if n > 5000 {
					t.Fatalf("got %d forms of rewriting after %d steps, want %d", len(forms), n, good+bad)
				}
			}
			violations, applied := h.lists.Violations()
			if len(violations) > 0 || len(applied) < 25 {
				t.Errorf("got %d lists applied, want at least 25; violations: %v", len(applied), violations)
			}
		})
	}
}

// The source recovers when the file's folder does not exist yet, when the folder is replaced and its watch is lost, and when
// the file cannot be read for some time.
func TestFolders(t *testing.T) {
	testutil.NewTrace(t)
	folder := filepath.Join(t.TempDir(), "not", "yet")
	file := filepath.Join(folder, "engines.jsonc")
	var lines []string
	h := newSourceHarness(t, file, func(s *Source) { s.PollInterval = 0.05 })
	h.run()
	defer func() { h.stop() }()
	record := func(description string) {
		d := h.nextDecision()
		reason := ""
		if d.Reason != nil {
			reason = strings.ReplaceAll(d.Reason.Error(), file, "FILE")
		}
		lines = append(lines, fmt.Sprintf("%s: verdict %d generation %d %s", description, d.Verdict, d.List.Generation, reason))
	}
	must := func(errs ...error) {
		if err := errors.Join(errs...); err != nil {
			t.Fatal(err)
		}
	}
	text := func(generation int64) []byte {
		return discovery.List{Generation: generation, Endpoints: endpoints(3)}.Format()
	}
	record("no folder")
	must(os.MkdirAll(folder, 0o755), os.WriteFile(file+"1", text(1), 0o644), os.Rename(file+"1", file))
	record("folder and file")
	must(os.Rename(folder, folder+"-away"))
	record("folder moved away")
	must(os.Mkdir(folder, 0o755), os.WriteFile(file+"1", text(2), 0o644), os.Rename(file+"1", file))
	record("another folder in its place")
	if os.Getuid() != 0 { // root can read every file
		must(os.Chmod(file, 0))
		if d := h.nextDecision(); d.Verdict != discovery.Reject || !strings.Contains(d.Reason.Error(), "permission") {
			t.Errorf("file without read permission: got %v, want Reject with a permission error", d)
		}
		must(os.Chmod(file, 0o644), os.WriteFile(file, text(3), 0o644))
		h.nextDecision()
	}
	testutil.CheckTrace(t, lines)
}

// After a restart the copy of the last applied list is used until the file provides a list. A corrupt copy is ignored.
func TestCopy(t *testing.T) {
	testutil.NewTrace(t)
	folder := t.TempDir()
	file, copyPath := filepath.Join(folder, "engines.jsonc"), filepath.Join(folder, "copy.jsonc")
	var lines []string
	text := func(generation int64, n int) []byte {
		return discovery.List{Generation: generation, Endpoints: endpoints(n)}.Format()
	}
	restart := func(description string, decisions int) {
		h := newSourceHarness(t, file, func(s *Source) { s.CopyPath = copyPath })
		h.Restore()
		lines = append(lines, fmt.Sprintf("%s: holds %v, told %v", description, h.HasList(), h.updateSizes))
		h.run()
		for range decisions {
			d := h.nextDecision()
			reason := ""
			if d.Reason != nil {
				reason = strings.SplitN(strings.ReplaceAll(d.Reason.Error(), file, "FILE"), "\n", 2)[0]
			}
			lines = append(lines, fmt.Sprintf("  verdict %d generation %d %s", d.Verdict, d.List.Generation, reason))
		}
		h.stop()
	}
	write := func(file string, text []byte) {
		if err := os.WriteFile(file, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(file, text(5, 4))
	restart("a first start", 1)
	write(file, text(6, 4)[:50])
	restart("a restart with a torn file", 1)
	write(file, text(4, 4))
	restart("a restart with an old file", 1)
	write(file, text(7, 1))
	restart("a restart with a file that takes most away", 1)
	intact, err := os.ReadFile(copyPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		text []byte
	}{{"cut", intact[:len(intact)/2]},
		{"one bit turned", append(append([]byte{}, intact[:200]...), append([]byte{intact[200] ^ 1}, intact[201:]...)...)},
		{"no head", text(5, 4)}, {"nothing", nil}} {
		write(copyPath, c.text)
		write(file, []byte("{"))
		restart("a broken copy, "+c.name, 1)
	}
	if err := errors.Join(os.Remove(copyPath), os.Mkdir(copyPath, 0o755)); err != nil {
		t.Fatal(err)
	}
	restart("a folder for a copy", 1)
	testutil.CheckTrace(t, lines)
}
