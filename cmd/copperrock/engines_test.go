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

// following is a whole controller that follows a file, among scripted stand-ins.
type following struct {
	*among
	path    string
	list    discovery.List
	taken   chan int
	gateway *gateway.Gateway
}

func follow(x *testutil.Trace, engines ...*testutil.Engine) *following {
	t := x.T
	f := &following{among: &among{Trace: x}, path: filepath.Join(t.TempDir(), "engines.jsonc"), taken: make(chan int, 100)}
	for i, e := range engines {
		f.list.Endpoints = append(f.list.Endpoints, discovery.Endpoint{Name: []string{"a", "b"}[i], Address: e.Addr().String(), Zone: "here",
			Kind: "small", Weight: 1, State: discovery.InService})
	}
	f.write(nil)
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
	one := &controller{settings: s, readSettings: func() (*operator.Settings, error) { return s, nil }, listener: l,
		logs:     logging.New(io.Discard, s.Log, time.Now),
		onUpdate: func(_ discovery.UpdateMode, engines []discovery.Endpoint) { f.taken <- len(engines) },
		onStart:  func(g *gateway.Gateway, _ *bufferpool.Pool, _ *msgpackrpc.Server) { f.gateway = g }}
	term, cancel := context.WithCancel(context.Background())
	f.ended.Go(func() error { return one.run(term) })
	t.Cleanup(func() {
		cancel()
		if err := f.ended.Wait(); err != nil {
			t.Error(err)
		}
	})
	f.address = l.Addr().String()
	f.waits("first list")
	f.client = x.Dial(f.address)
	return f
}

// write puts the next version in place, changed.
func (f *following) write(change func(l *discovery.List)) {
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

// waits until the gateway has been told.
func (f *following) waits(what string) {
	f.T.Helper()
	select {
	case n := <-f.taken:
		f.Recordf("%s: %d engines", what, n)
	case <-time.After(patience):
		f.T.Fatalf("%s is not taken", what)
	}
}

// An engine is dropped while it runs a load and gives pages: both end and are answered, then its connection goes and
// it is forgotten. Nothing is sent again on account of it.
func TestDroppedEngine(t *testing.T) {
	x := testutil.NewTrace(t)
	e, other := x.StartEngine("engine", ":0"), x.StartEngine("other", ":0")
	f := follow(x, e)
	f.job(e, 1, "load")
	f.job(e, 2, "report")
	f.write(func(l *discovery.List) { l.Endpoints[0].Name, l.Endpoints[0].Address = "b", other.Addr().String() })
	f.waits("a dropped, b new")
	f.job(other, 3, "lookup")
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
	for end := time.Now().Add(patience); f.gateway.EndpointCount() > 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	x.Recordf("engines kept: %d", f.gateway.EndpointCount())
	x.Check()
}

// A run-once load on an engine that is dropped and then lost is not sent again, though another engine is there.
func TestDroppedEngineLost(t *testing.T) {
	x := testutil.NewTrace(t)
	e, other := x.StartEngine("engine", ":0"), x.StartEngine("other", ":0")
	f := follow(x, e)
	f.job(e, 1, "load")
	f.job(e, 2, "report")
	f.write(func(l *discovery.List) { l.Endpoints[0].Name, l.Endpoints[0].Address = "b", other.Addr().String() })
	f.waits("a dropped, b new")
	e.ResetConn(1)
	e.ExpectCommands(1)
	f.client.ReadAnswer()
	other.ExpectCommands(1)
	other.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "a\tb\tc\n")
	f.client.ReadAnswer()
	x.Check()
}

// An engine that comes back as it was is the same process on the same connection; with another start, a new one.
func TestEngineComesBack(t *testing.T) {
	x := testutil.NewTrace(t)
	e, other := x.StartEngine("engine", ":0"), x.StartEngine("other", ":0")
	f := follow(x, e)
	f.job(e, 1, "load")
	gone := func(l *discovery.List) { l.Endpoints[0].Name, l.Endpoints[0].Address = "b", other.Addr().String() }
	f.write(gone)
	f.waits("a dropped")
	f.write(nil)
	f.waits("a back as it was")
	f.job(e, 2, "lookup")
	f.write(func(l *discovery.List) { l.Endpoints[0].State = discovery.Terminating })
	f.waits("a terminating")
	f.client.SendRequest(3, "lookup", 60000, "select 3") // held
	f.write(func(l *discovery.List) { l.Endpoints[0].Weight = 0 })
	f.waits("a with no weight")
	f.write(func(l *discovery.List) { l.Endpoints[0].StartedAt = 1.5 })
	f.waits("a started anew")
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

// The command line: what each command says and how it ends.
func TestCommandLine(t *testing.T) {
	folder := t.TempDir()
	at := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	t.Setenv("LB_CONFIG", "")
	t.Setenv("COPPERROCK_SETTINGS", "")
	list := `{"format": 1, "generation": 3, "engines": [{"name": "a", "address": "127.0.0.1:1"}, {"name": "b", "address": "127.0.0.1:2"}], "end": 3}`
	engines := at("engines.jsonc", list)
	later := at("later.jsonc", strings.NewReplacer("3", "4", `"b"`, `"c"`, ":1\"", ":1\", \"weight\": 2").Replace(list))
	most := at("most.jsonc", `{"format": 1, "generation": 4, "engines": []}`)
	torn := at("torn.jsonc", list[:50])
	settings := at("settings.jsonc", strings.Replace(string(demoSettings), `"engines.jsonc"`, `"`+engines+`"`, 1))
	wrong := at("wrong.jsonc", strings.Replace(string(demoSettings), "restartable", "pura", 1))
	missing := at("missing.jsonc", strings.Replace(string(demoSettings), `"engines.jsonc"`, `"`+folder+`/none"`, 1))
	var lines []string
	for _, args := range [][]string{
		{}, {"--bogus"}, {"bogus"}, {"check"}, {"run", "--settings", wrong}, {"run", "--settings", folder + "/none"},
		{"check", settings}, {"check", wrong}, {"check", missing}, {"check", settings, "--probe"}, {"check", settings, "--platform", torn},
		{"engines", "check", engines}, {"engines", "check", torn}, {"engines", "check", folder}, {"engines", "check", engines, "--settings", settings},
		{"engines", "check", engines, "--settings", wrong},
		{"engines", "diff", engines, later}, {"engines", "diff", engines, engines}, {"engines", "diff", engines, most}, {"engines", "diff", later, engines},
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
