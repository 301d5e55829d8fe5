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

const patience = 10 * time.Second // ends a test that hangs; no verdict rests on it

// followed follows a file and hands on what is decided.
type followed struct {
	*Source
	t           *testing.T
	decisions   chan discovery.Decision
	updateSizes []int // engines in each list that the gate was given
	lists       invariant.ListChecker
	stop        func()
}

func (d *followed) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	if mode != discovery.DrainingSnapshot {
		d.t.Errorf("mode %v", mode)
	}
	d.updateSizes = append(d.updateSizes, len(engines))
	d.lists.EndpointsUpdated(engines)
}

func follow(t *testing.T, file string, change func(*Source)) *followed {
	d := &followed{t: t, decisions: make(chan discovery.Decision, 1000)}
	d.Source = &Source{Tracker: discovery.Tracker{File: file, Bounds: discovery.Bounds{MaxEndpoints: 100, MaxBytes: 1 << 16, Zones: []string{"east"}},
		SettleTime: 0.02, UnsettledWarning: 3600, MaxRemovedFraction: 0.5}, PollInterval: 3600, Subscriber: d, Log: zerolog.Nop(),
		OnDecision: func(o discovery.Decision) { d.decisions <- o }}
	if change != nil {
		change(d.Source)
	}
	return d
}

func (d *followed) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return d.Run(ctx) })
	d.stop = func() { cancel(); testutil.WaitCancelled(d.t, &group) }
}

func (d *followed) nextDecision(on ...any) discovery.Decision {
	d.t.Helper()
	select {
	case o := <-d.decisions:
		return o
	case <-time.After(patience):
		d.t.Fatal("nothing is decided", on)
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

// Every form of rewriting, well and badly done: the good ones are taken, the bad ones refused with their reason, none
// twice, and the gate is given whole versions only. With notices, and with nothing but the poll.
func TestRewriting(t *testing.T) {
	for _, way := range []string{"notices", "poll"} {
		t.Run(way, func(t *testing.T) {
			testutil.NewTrace(t)
			r := &listwriter.Rewriter{Root: t.TempDir(), Seed: 5, Candidates: endpoints(6), MaxSize: 1 << 16}
			d := follow(t, r.File(), func(s *Source) {
				if way == "poll" {
					s.PollInterval, s.notificationsOff = 0.01, true
				}
			})
			r.OnVersion = d.lists.VersionWritten
			if err := r.Init(); err != nil {
				t.Fatal(err)
			}
			d.run()
			defer func() { d.stop() }()
			d.nextDecision()
			forms, last := map[string]bool{}, ""
			var history []any
			good, bad := listwriter.MethodCounts()
			for n := 0; n < 70 || len(forms) < good+bad; n++ {
				step, err := r.Next()
				if err != nil {
					t.Fatal(err)
				}
				forms[step.Method] = true
				history = append(history, step)
				for met := false; !met; { // what stands there on the way may be seen and refused too
					o := d.nextDecision(history[max(len(history)-6, 0):]...)
					switch o.Verdict {
					case discovery.Apply:
						met = o.List.Generation == step.Generation
						last = ""
					case discovery.Reject:
						if last == o.Reason.Error() {
							t.Fatalf("%s: told twice: %v", step.Method, o.Reason)
						}
						last = o.Reason.Error()
						met = step.Reason != "" && strings.Contains(last, step.Reason)
					default:
						t.Fatalf("%s: %v", step.Method, o)
					}
				}
				if n > 5000 {
					t.Fatalf("%d forms of %d", len(forms), good+bad)
				}
			}
			wrong, taken := d.lists.Violations()
			if len(wrong) > 0 || len(taken) < 25 {
				t.Errorf("%d lists taken: %v", len(taken), wrong)
			}
		})
	}
}

// A folder that is not there yet, a watch that is lost with its folder, and a file that can't be read for a while.
func TestFolders(t *testing.T) {
	testutil.NewTrace(t)
	folder := filepath.Join(t.TempDir(), "not", "yet")
	file := filepath.Join(folder, "engines.jsonc")
	var lines []string
	d := follow(t, file, func(s *Source) { s.PollInterval = 0.05 })
	d.run()
	defer func() { d.stop() }()
	say := func(what string) {
		o := d.nextDecision()
		why := ""
		if o.Reason != nil {
			why = strings.ReplaceAll(o.Reason.Error(), file, "FILE")
		}
		lines = append(lines, fmt.Sprintf("%s: verdict %d generation %d %s", what, o.Verdict, o.List.Generation, why))
	}
	must := func(errs ...error) {
		if err := errors.Join(errs...); err != nil {
			t.Fatal(err)
		}
	}
	text := func(generation int64) []byte {
		return discovery.List{Generation: generation, Endpoints: endpoints(3)}.Format()
	}
	say("no folder")
	must(os.MkdirAll(folder, 0o755), os.WriteFile(file+"1", text(1), 0o644), os.Rename(file+"1", file))
	say("folder and file")
	must(os.Rename(folder, folder+"-away"))
	say("folder moved away")
	must(os.Mkdir(folder, 0o755), os.WriteFile(file+"1", text(2), 0o644), os.Rename(file+"1", file))
	say("another folder in its place")
	if os.Getuid() != 0 { // to root every file can be read
		must(os.Chmod(file, 0))
		if o := d.nextDecision(); o.Verdict != discovery.Reject || !strings.Contains(o.Reason.Error(), "permission") {
			t.Errorf("no permission: %v", o)
		}
		must(os.Chmod(file, 0o644), os.WriteFile(file, text(3), 0o644))
		d.nextDecision()
	}
	testutil.CheckTrace(t, lines)
}

// After a restart the last list that held serves until the file tells; a copy that is broken is passed over.
func TestCopy(t *testing.T) {
	testutil.NewTrace(t)
	folder := t.TempDir()
	file, copyPath := filepath.Join(folder, "engines.jsonc"), filepath.Join(folder, "copy.jsonc")
	var lines []string
	text := func(generation int64, n int) []byte {
		return discovery.List{Generation: generation, Endpoints: endpoints(n)}.Format()
	}
	restart := func(what string, decisions int) {
		d := follow(t, file, func(s *Source) { s.CopyPath = copyPath })
		d.Restore()
		lines = append(lines, fmt.Sprintf("%s: holds %v, told %v", what, d.HasList(), d.updateSizes))
		d.run()
		for range decisions {
			o := d.nextDecision()
			why := ""
			if o.Reason != nil {
				why = strings.SplitN(strings.ReplaceAll(o.Reason.Error(), file, "FILE"), "\n", 2)[0]
			}
			lines = append(lines, fmt.Sprintf("  verdict %d generation %d %s", o.Verdict, o.List.Generation, why))
		}
		d.stop()
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
	whole, err := os.ReadFile(copyPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		what string
		text []byte
	}{{"cut", whole[:len(whole)/2]}, {"one bit turned", append(append([]byte{}, whole[:200]...), append([]byte{whole[200] ^ 1}, whole[201:]...)...)},
		{"no head", text(5, 4)}, {"nothing", nil}} {
		write(copyPath, c.text)
		write(file, []byte("{"))
		restart("a broken copy, "+c.what, 1)
	}
	if err := errors.Join(os.Remove(copyPath), os.Mkdir(copyPath, 0o755)); err != nil {
		t.Fatal(err)
	}
	restart("a folder for a copy", 1)
	testutil.CheckTrace(t, lines)
}
