package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/frontend/msgpackrpc"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/logging"
)

// fileControllerTest is a controller that reads its engine list from a file, between scripted clients and engines.
type fileControllerTest struct {
	*controllerTest
	path    string
	list    discovery.List
	updates chan int
	gateway *gateway.Gateway
}

// startFileController starts a controller whose file lists the engines, at most two, under the names a and b.
func startFileController(x *testutil.Trace, engines ...*testutil.Engine) *fileControllerTest {
	t := x.T
	f := &fileControllerTest{controllerTest: &controllerTest{Trace: x}, path: filepath.Join(t.TempDir(), "engines.jsonc"), updates: make(chan int, 100)}
	for i, e := range engines {
		f.list.Endpoints = append(f.list.Endpoints, discovery.Endpoint{Name: []string{"a", "b"}[i], Address: e.Addr().String(), Zone: "here",
			Kind: "small", Weight: 1, State: discovery.InService})
	}
	f.writeList(nil)
	s, err := operator.Parse("demo.jsonc", demoSettings, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.EngineFile.File, s.EngineFile.SettleTime, s.EngineFile.MaxRemovedFraction = f.path, 0.01, 1
	s.Settings.LoadPolling, s.Settings.EngineIdleTimeout, s.Settings.Admission.EnginesReportMemory = false, 3600, false
	s.Limits.ConnsPerEngine, s.Limits.FirstMessageTimeout, s.Limits.ClientIdleTimeout = 1, 60, 60
	for i := range s.Settings.Admission.Classes {
		s.Settings.Admission.Classes[i].LatencyObjective, s.Settings.ClassTimeouts[i] = 60, 60
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		t.Fatal(err)
	}
	running := &controller{settings: s, readSettings: func() (*operator.Settings, error) { return s, nil }, listener: l,
		logs:     logging.New(io.Discard, s.Log, time.Now),
		onUpdate: func(_ discovery.UpdateMode, engines []discovery.Endpoint) { f.updates <- len(engines) },
		onStart:  func(g *gateway.Gateway, _ *bufferpool.Pool, _ *msgpackrpc.Server) { f.gateway = g }}
	ctx, cancel := context.WithCancel(context.Background())
	f.running.Go(func() error { return running.run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := f.running.Wait(); err != nil {
			t.Error(err)
		}
	})
	f.address = l.Addr().String()
	f.waitForUpdate("first list")
	f.client = x.Dial(f.address)
	return f
}

// writeList writes the next generation of the list. The change, which may be nil, applies to this generation only.
func (f *fileControllerTest) writeList(change func(l *discovery.List)) {
	f.T.Helper()
	next := discovery.List{Generation: f.list.Generation + 1, Confirmed: true, Endpoints: append([]discovery.Endpoint{}, f.list.Endpoints...)}
	if change != nil {
		change(&next)
	}
	f.list.Generation = next.Generation
	if err := os.WriteFile(f.path, next.Format(), 0o644); err != nil {
		f.T.Fatal(err)
	}
}

// waitForUpdate waits until a new endpoint list has been applied.
func (f *fileControllerTest) waitForUpdate(what string) {
	f.T.Helper()
	select {
	case n := <-f.updates:
		f.Recordf("%s: %d engines", what, n)
	case <-time.After(testTimeout):
		f.T.Fatalf("%s: no list was applied", what)
	}
}

// An engine is removed from the list while it runs a load and returns pages. Both requests are completed and answered,
// then its connection closes and the gateway forgets it. Guards against requests being sent again because of the removal.
func TestDroppedEngine(t *testing.T) {
	x := testutil.NewTrace(t)
	e, other := x.StartEngine("engine", ":0"), x.StartEngine("other", ":0")
	f := startFileController(x, e)
	f.sendUntilDispatched(e, 1, "load")
	f.sendUntilDispatched(e, 2, "report")
	f.writeList(func(l *discovery.List) { l.Endpoints[0].Name, l.Endpoints[0].Address = "b", other.Addr().String() })
	f.waitForUpdate("a dropped, b new")
	f.sendUntilDispatched(other, 3, "lookup")
	other.SendAnswer(1, testutil.RequestID(3), "data", "chunks=1", "x\ty\tz\n")
	f.client.ReadAnswer()
	e.SendAnswer(1, testutil.RequestID(2), "data", "chunks=2,spent=820.0,wanted=96", "a\tb\tc\n")
	e.ExpectCommands(1)
	e.SendAnswer(1, testutil.RequestID(2), "page", "at=1", "d\te\tf\n")
	f.client.ReadAnswer()
	x.Recordf("engines kept: %d", f.gateway.EndpointCount())
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "1\t2\t3\n")
	f.client.ReadAnswer()
	e.ExpectCommands(1)
	for end := time.Now().Add(testTimeout); f.gateway.EndpointCount() > 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	x.Recordf("engines kept: %d", f.gateway.EndpointCount())
	x.Check()
}

// A non-idempotent load runs on an engine that is removed from the list and then lost. Guards against the load being sent
// again, although another engine is available.
func TestDroppedEngineLost(t *testing.T) {
	x := testutil.NewTrace(t)
	e, other := x.StartEngine("engine", ":0"), x.StartEngine("other", ":0")
	f := startFileController(x, e)
	f.sendUntilDispatched(e, 1, "load")
	f.sendUntilDispatched(e, 2, "report")
	f.writeList(func(l *discovery.List) { l.Endpoints[0].Name, l.Endpoints[0].Address = "b", other.Addr().String() })
	f.waitForUpdate("a dropped, b new")
	e.ResetConn(1)
	e.ExpectCommands(1)
	f.client.ReadAnswer()
	other.ExpectCommands(1)
	other.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "a\tb\tc\n")
	f.client.ReadAnswer()
	x.Check()
}

// An engine listed again unchanged is the same process on the same connection; with another start time it is a new process
// and gets a new connection.
func TestEngineComesBack(t *testing.T) {
	x := testutil.NewTrace(t)
	e, other := x.StartEngine("engine", ":0"), x.StartEngine("other", ":0")
	f := startFileController(x, e)
	f.sendUntilDispatched(e, 1, "load")
	removed := func(l *discovery.List) { l.Endpoints[0].Name, l.Endpoints[0].Address = "b", other.Addr().String() }
	f.writeList(removed)
	f.waitForUpdate("a dropped")
	f.writeList(nil)
	f.waitForUpdate("a back as it was")
	f.sendUntilDispatched(e, 2, "lookup")
	f.writeList(func(l *discovery.List) { l.Endpoints[0].State = discovery.Terminating })
	f.waitForUpdate("a terminating")
	f.client.SendRequest(3, "lookup", 60000, "select 3") // queued
	f.writeList(func(l *discovery.List) { l.Endpoints[0].Weight = 0 })
	f.waitForUpdate("a with no weight")
	f.writeList(func(l *discovery.List) { l.Endpoints[0].StartedAt = 1.5 })
	f.waitForUpdate("a started anew")
	e.ExpectCommands(1)
	e.SendAnswer(2, testutil.RequestID(3), "data", "chunks=1", "new\t\t\n")
	f.client.ReadAnswer()
	e.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "old\t\t\n")
	f.client.ReadAnswer()
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "old\t\t\n")
	f.client.ReadAnswer()
	e.ExpectCommands(1)
	x.Check()
}

// Output and exit code of each command.
func TestCommandLine(t *testing.T) {
	folder := t.TempDir()
	writeTemp := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	t.Setenv("LB_CONFIG", "")
	t.Setenv("COPPERROCK_SETTINGS", "")
	list := `{"format": 1, "generation": 3, "engines": [{"name": "a", "address": "127.0.0.1:1"}, {"name": "b", "address": "127.0.0.1:2"}], "end": 3}`
	engines := writeTemp("engines.jsonc", list)
	later := writeTemp("later.jsonc", strings.NewReplacer("3", "4", `"b"`, `"c"`, ":1\"", ":1\", \"weight\": 2").Replace(list))
	empty := writeTemp("most.jsonc", `{"format": 1, "generation": 4, "engines": []}`)
	torn := writeTemp("torn.jsonc", list[:50])
	settings := writeTemp("settings.jsonc", strings.Replace(string(demoSettings), `"engines.jsonc"`, `"`+engines+`"`, 1))
	wrong := writeTemp("wrong.jsonc", strings.Replace(string(demoSettings), "restartable", "pura", 1))
	missing := writeTemp("missing.jsonc", strings.Replace(string(demoSettings), `"engines.jsonc"`, `"`+folder+`/none"`, 1))
	var lines []string
	for _, args := range [][]string{
		{}, {"--bogus"}, {"bogus"}, {"check"}, {"run", "--settings", wrong}, {"run", "--settings", folder + "/none"},
		{"check", settings}, {"check", wrong}, {"check", missing}, {"check", settings, "--probe"}, {"check", settings, "--platform", torn},
		{"engines", "check", engines}, {"engines", "check", torn}, {"engines", "check", folder}, {"engines", "check", engines, "--settings", settings},
		{"engines", "check", engines, "--settings", wrong},
		{"engines", "diff", engines, later}, {"engines", "diff", engines, engines}, {"engines", "diff", engines, empty}, {"engines", "diff", later, engines},
		{"demo", "--for", "never"},
	} {
		var out, errs bytes.Buffer
		code := execute(args, &out, &errs)
		lines = append(lines, "copperrock "+strings.Join(args, " "))
		for _, text := range []string{out.String(), errs.String()} {
			for line := range strings.Lines(text) {
				lines = append(lines, "  "+strings.TrimSuffix(line, "\n"))
			}
		}
		lines = append(lines, "  exit "+string(rune('0'+code)))
	}
	for i := range lines {
		lines[i] = strings.ReplaceAll(lines[i], folder+"/", "")
		lines[i] = strings.ReplaceAll(lines[i], folder, "FOLDER")
	}
	testutil.CheckTrace(t, lines)
	for _, args := range [][]string{{"--help"}, {"run", "--help"}, {"check", "--help"}, {"engines", "--help"}, {"engines", "diff", "--help"},
		{"demo", "--help"}, {"version", "--help"}, {"version"}} {
		var out, errs bytes.Buffer
		if code := execute(args, &out, &errs); code != exitOK || out.Len() == 0 || errs.Len() > 0 {
			t.Errorf("%v: exit %d, %q", args, code, errs.String())
		}
	}
}
