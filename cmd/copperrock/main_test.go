package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/platform"
	"copperrock.example/copperrock/internal/frontend/msgpackrpc"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/logging"
)

const deploymentText = `{"allowed":{"cancel":true,"conn-idle":3600,"connect-timeout":10,"max-open":100,"max-retry-after":2,
"may-duplicate":true,"retry-after":true,"streams-per-conn":4,"try-limit":3},"areas":["east"],
"classes":[{"name":"lookup","give-up":60,"objective":60,"repeat":"pure","worth":1},
{"name":"load","give-up":60,"objective":60,"repeat":"side_effect","worth":5}],
"contract":{"stop-sending-within":1},"family-info":{"dop":[1,2],"grants":true,"kind-cores":[16],"largest-share":0.25,
"ram-of-kind-mb":[32768],"takes-priority":true,"on-shortage":"wait"},"group-size":1,"host-types":["std"]}`

// among is a whole controller among stand-ins.
type among struct {
	*testutil.Trace
	channel *testutil.Channel
	client  *testutil.Client
	address string
	events  int
	term    context.CancelFunc
	hup     chan os.Signal
	file    string // of the configuration
	ended   errgroup.Group
	gateway *gateway.Gateway
}

// holds waits until the gateway has so many jobs.
func (c *among) holds(jobs int) {
	c.T.Helper()
	c.until("jobs", func() bool { return c.gateway.OpenRequests() == jobs })
}

// leaves waits until no client is let in any more.
func (c *among) leaves() {
	c.T.Helper()
	c.until("leaving", func() bool {
		peer, err := net.Dial("tcp", c.address)
		if err == nil {
			peer.Close()
		}
		return err != nil
	})
}

func (c *among) until(what string, holds func() bool) {
	c.T.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.T.Fatalf("no %s in time", what)
		}
	}
}

// begin starts a controller that knows the engines at the addresses.
func begin(x *testutil.Trace, lim func(*limits.Limits), engines ...string) *among {
	return beginWith(x, deploymentText, lim, engines...)
}

func beginWith(x *testutil.Trace, settingsText string, lim func(*limits.Limits), engines ...string) *among {
	return beginDial(x, settingsText, lim, nil, engines...)
}

// dialer opens connections to engines.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

func beginDial(x *testutil.Trace, settingsText string, lim func(*limits.Limits), dial dialer, engines ...string) *among {
	t := x.T
	c := &among{Trace: x, channel: x.StartChannel(), hup: make(chan os.Signal),
		file: filepath.Join(t.TempDir(), "config.json")}
	set, err := deployment.ParseJSON([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.address = l.Addr().String()
	known := json.RawMessage(c.event(true, "in_service", engines...))
	conf := platform.Config{File: c.file, ChannelAddress: c.channel.Addr().String(), LastEvent: 1, Events: []json.RawMessage{known}, Settings: set}
	whole := operator.FromPlatform(conf)
	limit := limits.For(64, 256)
	limit.ConnsPerEngine = 1
	limit.ShutdownAcceptTime, limit.MaxShutdownWait, limit.ShutdownMargin, limit.DeadlineMargin, limit.MaxMarginFraction = 0, 0, 1, 0.5, 0.5
	if lim != nil {
		lim(&limit)
	}
	term, cancel := context.WithCancel(context.Background())
	c.term = cancel
	whole.Limits = limit
	one := &controller{settings: whole, readSettings: func() (*operator.Settings, error) { return readSettings("", c.file) }, listener: l,
		logs: logging.New(io.Discard, whole.Log, time.Now), reloadSignals: c.hup,
		onStart: func(g *gateway.Gateway, _ *bufferpool.Pool, _ *msgpackrpc.Server) { c.gateway, g.Dial = g, dial }}
	c.ended.Go(func() error { return one.run(term) })
	t.Cleanup(func() {
		cancel()
		if err := c.ended.Wait(); err != nil {
			t.Error(err)
		}
	})
	c.channel.ExpectConnection()
	c.client = x.Dial(c.address)
	return c
}

// event words one event of the channel on engines named by the place of their address and its number.
func (c *among) event(whole bool, state string, engines ...string) string {
	c.events++
	var hosts []string
	for i, address := range engines {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%d","dial":"%s","site":"east","class":"std","block":0,"health":"%s",`+
			`"share":1,"born_ms":0}`, i, address, state))
	}
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"whole":%v,"hosts":[%s]}}`, c.events, whole, strings.Join(hosts, ","))
}

// job asks and waits for the dispatch.
func (c *among) job(e *testutil.Engine, id int, class string) {
	c.client.SendRequest(id, class, 60000, fmt.Sprintf("select * from sales_%d.t", id))
	e.ExpectCommands(1)
}

func TestJobs(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := begin(x, nil, e.Addr().String())
	c.client.Send(0, 99, "ping", []any{map[string]string{}})
	c.client.ReadAnswer()
	c.job(e, 1, "lookup")
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=2,spent=820.0,wanted=96", "a\tb\tc\n")
	e.ExpectCommands(1)
	e.SendAnswer(1, testutil.RequestID(1), "page", "at=1", "d\te\tf\n")
	c.client.ReadAnswer()

	c.job(e, 2, "lookup")
	c.client.Send(2, "abort", []int{2})
	c.Recordf("client: abort 2")
	e.ExpectCommands(1)
	e.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "too late\t\t\n")

	c.client.SendRequest(3, "odd", 60000, "select 1")
	c.client.ReadAnswer()

	c.job(e, 4, "load") // it may have run
	e.SendAnswer(1, testutil.RequestID(4), "failed", "-", "")
	c.client.ReadAnswer()
	c.job(e, 5, "load") // it has not
	e.SendAnswer(1, testutil.RequestID(5), "full", "-", "")
	e.ExpectCommands(1) // elsewhere, where no second copy of that can be met
	e.SendAnswer(2, testutil.RequestID(5), "data", "chunks=1", "")
	c.client.ReadAnswer()
	c.job(e, 6, "lookup") // may run again
	e.SendAnswer(1, testutil.RequestID(6), "failed", "-", "")
	e.ExpectCommands(1)
	e.SendAnswer(2, testutil.RequestID(6), "data", "chunks=1", "g\th\ti\n")
	c.client.ReadAnswer()
	c.job(e, 7, "load")
	e.ResetConn(1)
	e.ExpectCommands(1)
	c.client.ReadAnswer()
	c.Check()
}

// An engine new at an old address gets a connection of its own; one that drains gets nothing new.
func TestRoster(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := begin(x, nil, e.Addr().String())
	c.job(e, 1, "lookup")
	restarted := strings.Replace(c.event(false, "in_service", e.Addr().String()), `"born_ms":0`, `"born_ms":1500`, 1)
	c.channel.SendLine(restarted)
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "")
	c.client.ReadAnswer()
	e.ExpectCommands(1) // the old connection has nothing more to do
	c.job(e, 2, "lookup")
	c.channel.SendLine(c.event(false, "terminating", e.Addr().String()))
	e.SendAnswer(2, testutil.RequestID(2), "data", "chunks=1", "")
	c.client.ReadAnswer()
	e.ExpectCommands(1)
	c.client.SendRequest(3, "lookup", 60000, "select 1") // held
	c.channel.SendLine(c.event(false, "in_service", e.Addr().String()))
	e.ExpectCommands(1)
	e.SendAnswer(3, testutil.RequestID(3), "data", "chunks=1", "")
	c.client.ReadAnswer()
	c.Check()
}

// A job's time is up: the dispatch is given up and the client has its answer.
func TestTimeUp(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := begin(x, nil, e.Addr().String())
	c.client.SendRequest(1, "load", 1000, "select 1")
	e.ExpectCommands(2)
	c.client.ReadAnswer()
	c.Check()
}

// A job has nearly all of its time: the margin for the way back is small, and smaller for a job that has little.
func TestMargin(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := begin(x, func(l *limits.Limits) {
		usual := limits.For(64, 256)
		l.DeadlineMargin, l.MaxMarginFraction = usual.DeadlineMargin, usual.MaxMarginFraction
	}, e.Addr().String())
	for id, allow := range []int{700, 300} { // before it is overdue: else its connection ends
		began := time.Now()
		c.client.SendRequest(id+1, "load", allow, "select 1")
		e.ExpectCommands(2)
		c.client.ReadAnswer()
		c.Recordf("after over four fifths of its time: %v", time.Since(began).Seconds() > 0.8*float64(allow)/1000)
	}
	c.Check()
}

// After the signal jobs still come; what is not done when the gateway must end is answered all the same.
func TestLeaving(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := begin(x, func(l *limits.Limits) { l.ShutdownAcceptTime = 0.1 }, e.Addr().String())
	c.job(e, 1, "load")
	c.Recordf("signal")
	c.term()
	for ready := true; ready; { // until the gateway has seen it
		c.client.Send(0, 98, "ping", []any{map[string]string{}})
		ready = c.client.ReadPong()
	}
	c.job(e, 2, "lookup")
	e.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "")
	c.client.ReadAnswer()
	e.ExpectCommands(1) // given up
	c.client.ReadAnswer()
	c.client.ReadAnswer()
	if err := c.ended.Wait(); err != nil {
		t.Error(err)
	}
	c.Check()
}

// A signal to read the configuration again: a file that can't be used changes nothing, the next one moves the channel,
// and jobs go on unharmed.
func TestReload(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := begin(x, nil, e.Addr().String())
	c.job(e, 1, "lookup")
	next := x.StartChannel()
	whole := fmt.Sprintf(`{"listen":"127.0.0.1:1","limits":{"memory_mb":64,"sockets":256},"channel":"%s","settings":%s}`,
		next.Addr(), deploymentText)
	for _, text := range []string{whole[:100], whole} {
		writeFile(t, c.file, []byte(text))
		x.Recordf("new configuration, whole %v; signal", text == whole)
		c.hup <- syscall.SIGHUP
		c.hup <- syscall.SIGHUP // the one before has been taken
	}
	next.ExpectConnection()
	c.channel = next
	c.channel.SendLine(c.event(false, "terminating", e.Addr().String()))
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	e.ExpectCommands(1)
	c.Check()
}

func TestConfig(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	var lines []string
	whole := `{"name":"n3","listen":"127.0.0.1:9090","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
"sockets":1024},"channel":"127.0.0.1:8500","known":{"cursor":1,"cmds":[{"cursor":1}]},"settings":` + deploymentText + `}`
	for _, c := range []struct{ name, text string }{
		{"whole", whole}, {"empty", ""}, {"no JSON", "{"}, {"no settings", `{"listen":":1","channel":":2"}`},
		{"no address", strings.Replace(whole, "127.0.0.1:8500", "there", 1)},
		{"no memory", strings.Replace(whole, `"memory_mb":192`, `"memory_mb":1`, 1)},
		{"no reservation type", strings.Replace(whole, `"classes"`, `"lessons"`, 1)},
		{"no number for a seed", strings.Replace(whole, "8c1f", "seed", 1)},
	} {
		writeFile(t, file, []byte(c.text))
		got, err := platform.Read(file)
		lines = append(lines, strings.ReplaceAll(fmt.Sprintf("%s: %x %d %v", c.name, got.Seed, len(got.Events), err), file,
			"FILE"))
	}
	_, err := platform.Read("")
	testutil.CheckTrace(t, append(lines, fmt.Sprint(err)))
}
