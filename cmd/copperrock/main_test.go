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

// deploymentText is the platform's settings section of a deployment with two classes, lookup and load.
const deploymentText = `{"allowed":{"cancel":true,"conn-idle":3600,"connect-timeout":10,"max-open":100,"max-retry-after":2,
"may-duplicate":true,"retry-after":true,"streams-per-conn":4,"try-limit":3},"areas":["east"],
"classes":[{"name":"lookup","give-up":60,"objective":60,"repeat":"pure","worth":1},
{"name":"load","give-up":60,"objective":60,"repeat":"side_effect","worth":5}],
"contract":{"stop-sending-within":1},"family-info":{"dop":[1,2],"grants":true,"kind-cores":[16],"largest-share":0.25,
"ram-of-kind-mb":[32768],"takes-priority":true,"on-shortage":"wait"},"group-size":1,"host-types":["std"]}`

// controllerTest is a controller between a scripted client, scripted engines and a scripted command channel.
type controllerTest struct {
	*testutil.Trace
	channel       *testutil.Channel
	client        *testutil.Client
	address       string
	events        int // number of watch events made
	shutDown      context.CancelFunc
	reloadSignals chan os.Signal
	configFile    string
	running       errgroup.Group
	gateway       *gateway.Gateway
}

// waitOpenRequests waits until the gateway has the given number of open requests.
func (c *controllerTest) waitOpenRequests(count int) {
	c.T.Helper()
	c.waitFor(fmt.Sprintf("%d open requests", count), func() bool { return c.gateway.OpenRequests() == count })
}

// waitListenerClosed waits until the controller no longer accepts connections.
func (c *controllerTest) waitListenerClosed() {
	c.T.Helper()
	c.waitFor("closed listener", func() bool {
		peer, err := net.Dial("tcp", c.address)
		if err == nil {
			peer.Close()
		}
		return err != nil
	})
}

func (c *controllerTest) waitFor(what string, condition func() bool) {
	c.T.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.T.Fatalf("%s: not seen within 10 s", what)
		}
	}
}

// startController starts a controller whose configuration lists the engines at the given addresses; changeLimits may be
// nil.
func startController(x *testutil.Trace, changeLimits func(*limits.Limits), engines ...string) *controllerTest {
	return startControllerWithSettings(x, deploymentText, changeLimits, engines...)
}

// startControllerWithSettings is startController with another settings section.
func startControllerWithSettings(x *testutil.Trace, settingsText string, changeLimits func(*limits.Limits), engines ...string) *controllerTest {
	return startControllerWithDialer(x, settingsText, changeLimits, nil, engines...)
}

// dialer opens connections to engines.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// startControllerWithDialer also replaces the dialer for engines, unless it is nil.
func startControllerWithDialer(x *testutil.Trace, settingsText string, changeLimits func(*limits.Limits), dial dialer, engines ...string) *controllerTest {
	t := x.T
	c := &controllerTest{Trace: x, channel: x.StartChannel(), reloadSignals: make(chan os.Signal),
		configFile: filepath.Join(t.TempDir(), "config.json")}
	deploymentSettings, err := deployment.ParseJSON([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.address = l.Addr().String()
	event := json.RawMessage(c.watchEvent(true, "in_service", engines...))
	conf := platform.Config{File: c.configFile, ChannelAddress: c.channel.Addr().String(), LastEvent: 1, Events: []json.RawMessage{event}, Settings: deploymentSettings}
	settings := operator.FromPlatform(conf)
	limit := limits.For(64, 256)
	limit.ConnsPerEngine = 1
	limit.ShutdownAcceptTime, limit.MaxShutdownWait, limit.ShutdownMargin, limit.DeadlineMargin, limit.MaxMarginFraction = 0, 0, 1, 0.5, 0.5
	if changeLimits != nil {
		changeLimits(&limit)
	}
	shutdownCtx, cancel := context.WithCancel(context.Background())
	c.shutDown = cancel
	settings.Limits = limit
	running := &controller{settings: settings, readSettings: func() (*operator.Settings, error) { return readSettings("", c.configFile) }, listener: l,
		logs: logging.New(io.Discard, settings.Log, time.Now), reloadSignals: c.reloadSignals,
		onStart: func(g *gateway.Gateway, _ *bufferpool.Pool, _ *msgpackrpc.Server) { c.gateway, g.Dial = g, dial }}
	c.running.Go(func() error { return running.run(shutdownCtx) })
	t.Cleanup(func() {
		cancel()
		if err := c.running.Wait(); err != nil {
			t.Error(err)
		}
	})
	c.channel.ExpectConnection()
	c.client = x.Dial(c.address)
	return c
}

// watchEvent returns the next watch event of the command channel. It lists engines named after their index; complete marks
// the event as the full list rather than a change.
func (c *controllerTest) watchEvent(complete bool, state string, engines ...string) string {
	c.events++
	var hosts []string
	for i, address := range engines {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%d","dial":"%s","site":"east","class":"std","block":0,"health":"%s",`+
			`"share":1,"born_ms":0}`, i, address, state))
	}
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"whole":%v,"hosts":[%s]}}`, c.events, complete, strings.Join(hosts, ","))
}

// sendUntilDispatched sends a request and waits until the engine has received it.
func (c *controllerTest) sendUntilDispatched(e *testutil.Engine, id int, class string) {
	c.client.SendRequest(id, class, 60000, fmt.Sprintf("select * from sales_%d.t", id))
	e.ExpectCommands(1)
}

// Requests end in each ordinary way: answered in one or two pages, cancelled, rejected for an unknown class, failed or
// rejected by the engine, or cut off by a lost connection. Only an idempotent request, or one that certainly did not
// run, is sent again.
func TestJobs(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := startController(x, nil, e.Addr().String())
	c.client.Send(0, 99, "ping", []any{map[string]string{}})
	c.client.ReadAnswer()
	c.sendUntilDispatched(e, 1, "lookup")
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=2,spent=820.0,wanted=96", "a\tb\tc\n")
	e.ExpectCommands(1)
	e.SendAnswer(1, testutil.RequestID(1), "page", "at=1", "d\te\tf\n")
	c.client.ReadAnswer()

	c.sendUntilDispatched(e, 2, "lookup")
	c.client.Send(2, "abort", []int{2})
	c.Recordf("client: abort 2")
	e.ExpectCommands(1)
	e.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "too late\t\t\n")

	c.client.SendRequest(3, "odd", 60000, "select 1")
	c.client.ReadAnswer()

	c.sendUntilDispatched(e, 4, "load") // may have run: not sent again
	e.SendAnswer(1, testutil.RequestID(4), "failed", "-", "")
	c.client.ReadAnswer()
	c.sendUntilDispatched(e, 5, "load") // has not run: sent again
	e.SendAnswer(1, testutil.RequestID(5), "full", "-", "")
	e.ExpectCommands(1) // on another connection, which holds no second copy of the request
	e.SendAnswer(2, testutil.RequestID(5), "data", "chunks=1", "")
	c.client.ReadAnswer()
	c.sendUntilDispatched(e, 6, "lookup") // idempotent: sent again
	e.SendAnswer(1, testutil.RequestID(6), "failed", "-", "")
	e.ExpectCommands(1)
	e.SendAnswer(2, testutil.RequestID(6), "data", "chunks=1", "g\th\ti\n")
	c.client.ReadAnswer()
	c.sendUntilDispatched(e, 7, "load")
	e.ResetConn(1)
	e.ExpectCommands(1)
	c.client.ReadAnswer()
	c.Check()
}

// A restarted engine at the same address gets a new connection; a draining engine gets no new requests.
func TestRoster(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := startController(x, nil, e.Addr().String())
	c.sendUntilDispatched(e, 1, "lookup")
	restarted := strings.Replace(c.watchEvent(false, "in_service", e.Addr().String()), `"born_ms":0`, `"born_ms":1500`, 1)
	c.channel.SendLine(restarted)
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "")
	c.client.ReadAnswer()
	e.ExpectCommands(1) // the old connection is no longer needed and closes
	c.sendUntilDispatched(e, 2, "lookup")
	c.channel.SendLine(c.watchEvent(false, "terminating", e.Addr().String()))
	e.SendAnswer(2, testutil.RequestID(2), "data", "chunks=1", "")
	c.client.ReadAnswer()
	e.ExpectCommands(1)
	c.client.SendRequest(3, "lookup", 60000, "select 1") // queued
	c.channel.SendLine(c.watchEvent(false, "in_service", e.Addr().String()))
	e.ExpectCommands(1)
	e.SendAnswer(3, testutil.RequestID(3), "data", "chunks=1", "")
	c.client.ReadAnswer()
	c.Check()
}

// When a request passes its deadline, the gateway cancels the attempt and answers the client.
func TestTimeUp(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := startController(x, nil, e.Addr().String())
	c.client.SendRequest(1, "load", 1000, "select 1")
	e.ExpectCommands(2)
	c.client.ReadAnswer()
	c.Check()
}

// A request may use nearly all of its time: the margin reserved for the answer's way back is small, and smaller still for
// a request with a short deadline.
func TestMargin(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := startController(x, func(l *limits.Limits) {
		defaults := limits.For(64, 256)
		l.DeadlineMargin, l.MaxMarginFraction = defaults.DeadlineMargin, defaults.MaxMarginFraction
	}, e.Addr().String())
	// The deadlines pass before the attempts are overdue. The cancel of an overdue attempt would close the connection.
	for id, allow := range []int{700, 300} {
		began := time.Now()
		c.client.SendRequest(id+1, "load", allow, "select 1")
		e.ExpectCommands(2)
		c.client.ReadAnswer()
		c.Recordf("after over four fifths of its time: %v", time.Since(began).Seconds() > 0.8*float64(allow)/1000)
	}
	c.Check()
}

// During a graceful shutdown the gateway still accepts requests for a while. Requests unfinished when it must exit are
// answered too.
func TestLeaving(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := startController(x, func(l *limits.Limits) { l.ShutdownAcceptTime = 0.1 }, e.Addr().String())
	c.sendUntilDispatched(e, 1, "load")
	c.Recordf("signal")
	c.shutDown()
	for ready := true; ready; { // until the gateway has seen the signal
		c.client.Send(0, 98, "ping", []any{map[string]string{}})
		ready = c.client.ReadPong()
	}
	c.sendUntilDispatched(e, 2, "lookup")
	e.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "")
	c.client.ReadAnswer()
	e.ExpectCommands(1) // cancelled
	c.client.ReadAnswer()
	c.client.ReadAnswer()
	if err := c.running.Wait(); err != nil {
		t.Error(err)
	}
	c.Check()
}

// SIGHUP reloads the configuration: an unusable file changes nothing, the next one moves the command channel, and requests
// in progress are unaffected.
func TestReload(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	c := startController(x, nil, e.Addr().String())
	c.sendUntilDispatched(e, 1, "lookup")
	next := x.StartChannel()
	complete := fmt.Sprintf(`{"listen":"127.0.0.1:1","limits":{"memory_mb":64,"sockets":256},"channel":"%s","settings":%s}`,
		next.Addr(), deploymentText)
	for _, text := range []string{complete[:100], complete} {
		writeFile(t, c.configFile, []byte(text))
		x.Recordf("new configuration, whole %v; signal", text == complete)
		c.reloadSignals <- syscall.SIGHUP
		c.reloadSignals <- syscall.SIGHUP // returns once the previous signal has been handled
	}
	next.ExpectConnection()
	c.channel = next
	c.channel.SendLine(c.watchEvent(false, "terminating", e.Addr().String()))
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	e.ExpectCommands(1)
	c.Check()
}

// Reading the platform's configuration file: a complete one, and errors for faulty ones.
func TestConfig(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	var lines []string
	complete := `{"name":"n3","listen":"127.0.0.1:9090","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
"sockets":1024},"channel":"127.0.0.1:8500","known":{"cursor":1,"cmds":[{"cursor":1}]},"settings":` + deploymentText + `}`
	for _, c := range []struct{ name, text string }{
		{"whole", complete}, {"empty", ""}, {"no JSON", "{"}, {"no settings", `{"listen":":1","channel":":2"}`},
		{"no address", strings.Replace(complete, "127.0.0.1:8500", "there", 1)},
		{"no memory", strings.Replace(complete, `"memory_mb":192`, `"memory_mb":1`, 1)},
		{"no reservation type", strings.Replace(complete, `"classes"`, `"lessons"`, 1)},
		{"no number for a seed", strings.Replace(complete, "8c1f", "seed", 1)},
	} {
		writeFile(t, file, []byte(c.text))
		got, err := platform.Read(file)
		lines = append(lines, strings.ReplaceAll(fmt.Sprintf("%s: %x %d %v", c.name, got.Seed, len(got.Events), err), file,
			"FILE"))
	}
	_, err := platform.Read("")
	testutil.CheckTrace(t, append(lines, fmt.Sprint(err)))
}
