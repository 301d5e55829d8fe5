package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
)

// The gateway cancels a runaway attempt and starts another, for a deployment that forbids duplicate attempts. Cancellation
// and next attempt use different connections, which are not ordered with each other. Guards against the next attempt
// reaching an engine before the cancellation of the first.
func TestCalledOffBeforeTheNext(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	settings := strings.NewReplacer(`"may-duplicate":true`, `"may-duplicate":false`).Replace(deploymentText)
	attempted, release := make(chan bool, 1), make(chan struct{})
	c := startControllerWithDialer(x, settings, nil, func(ctx context.Context, network, address string) (net.Conn, error) {
		peer, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return heldCancelConn{peer, attempted, release}, err
	}, e.Addr().String())
	c.client.Send(0, 1, "lookup", []any{map[string]string{"ref": testutil.RequestID(1), "allow": "60000", "effort": "400.0", "need_mb": "96"},
		[]byte("select 1")})
	e.ExpectCommands(1)
	reporterDone := make(chan bool)
	go func() { // reports hardly any progress, until the attempt counts as a runaway
		defer close(reporterDone)
		for {
			select {
			case <-attempted:
				return
			case <-time.After(time.Millisecond):
				e.SendAnswer(1, testutil.RequestID(1), "news", "note=pct,amount=0.001", "")
			}
		}
	}()
	<-reporterDone
	for range 50 { // many times as long as the next attempt would take to be sent
		c.ping()
	}
	x.Recordf("heard while the give-up does not go: %d", e.UnreadCommands())
	close(release)
	<-reporterDone
	e.ExpectCommands(2)
	e.SendAnswer(2, testutil.RequestID(1), "data", "chunks=1,spent=400,wanted=96", "a\tb\tc\n")
	c.client.ReadAnswer()
	c.Check()
}

// A request is queued because there is no engine, and its client cancels it or disconnects, in normal operation or during
// a shutdown. Then an engine appears. Guards against that engine being sent the request.
func TestHeldJobOfAClientThatHasLeft(t *testing.T) {
	for _, leaves := range []string{"stops waiting", "closes", "stops waiting as the gateway leaves", "closes as the gateway leaves"} {
		t.Run(strings.ReplaceAll(leaves, " ", "_"), func(t *testing.T) {
			x := testutil.NewTrace(t)
			e := x.StartEngine("engine", ":0")
			c := startController(x, func(l *limits.Limits) { l.MaxShutdownWait, l.ShutdownMargin = 60, 60 })
			held := x.Dial(c.address)
			held.SendRequest(1, "lookup", 50000, "select 1")
			c.client.SendRequest(2, "load", 50000, "select 2")
			for _, peer := range []*testutil.Client{held, c.client} {
				peer.Send(0, 99, "ping", []any{map[string]string{}})
				peer.ReadPong()
			}
			c.waitOpenRequests(2)
			if strings.Contains(leaves, "gateway") {
				c.shutDown()
				c.waitListenerClosed()
			}
			if strings.HasPrefix(leaves, "stops") {
				held.Send(2, "abort", []int{1})
			} else {
				held.Close()
			}
			c.waitOpenRequests(1)
			c.channel.SendLine(c.watchEvent(false, "in_service", e.Addr().String()))
			e.ExpectCommands(1)
			e.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "a\tb\tc\n")
			c.client.ReadAnswer()
			c.Check()
		})
	}
}

// While the command channel is unreachable, a reloaded configuration contains events that the channel has not delivered
// yet, among them the drain of an engine. That engine gets no new requests, and events already applied are not applied
// twice.
func TestReloadKnowsOfADrain(t *testing.T) {
	x := testutil.NewTrace(t)
	e, other := x.StartEngine("engine", ":0"), x.StartEngine("other", ":0")
	c := startController(x, nil, e.Addr().String())
	c.sendUntilDispatched(e, 1, "lookup")
	c.channel.Close()
	c.channel.CloseConn()
	initial := c.watchEvent(true, "in_service", e.Addr().String()) // the start's event 1, numbered 2 here
	initial = strings.Replace(initial, `"cursor":2`, `"cursor":1`, 1)
	config := fmt.Sprintf(`{"listen":"127.0.0.1:1","limits":{"memory_mb":64,"sockets":256},"channel":"127.0.0.1:1","known":{"cursor":3,"cmds":[%s,%s,%s]},"settings":%s}`,
		initial, strings.Replace(c.watchEvent(false, "terminating", e.Addr().String()), `"cursor":3`, `"cursor":2`, 1),
		strings.Replace(c.watchEvent(false, "in_service", "127.0.0.1:1", other.Addr().String()), `"s-0"`, `"s-7"`, 1), deploymentText)
	config = strings.Replace(config, `"cursor":4`, `"cursor":3`, 1)
	writeFile(t, c.configFile, []byte(config))
	c.reloadSignals <- syscall.SIGHUP
	c.reloadSignals <- syscall.SIGHUP // returns once the previous signal has been handled
	c.client.SendRequest(2, "lookup", 60000, "select 2")
	other.ExpectCommands(1)
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	e.ExpectCommands(1)
	c.Check()
}

// The command channel is late: a drain arrives on a connection that has been silent for longer than the idle timeout. Guards against
// the controller having closed that connection, so that it goes on sending requests to the engine that drains.
func TestDrainToldLate(t *testing.T) {
	x := testutil.NewTrace(t)
	e, other := x.StartEngine("engine", ":0"), x.StartEngine("other", ":0")
	c := startController(x, func(l *limits.Limits) { l.ChannelIdleTimeout = 0.05 }, e.Addr().String())
	c.sendUntilDispatched(e, 1, "lookup")
	second, err := c.channel.Accept() // the idle timeout is over
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	c.channel.SendLine(c.watchEvent(false, "terminating", e.Addr().String()))
	c.channel.SendLine(strings.Replace(c.watchEvent(false, "in_service", other.Addr().String()), `"s-0"`, `"s-7"`, 1))
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	e.ExpectCommands(1) // its connection is closed: it drains and has no request
	c.client.SendRequest(2, "lookup", 60000, "select 2")
	other.ExpectCommands(1)
	c.Check()
}

// A keyed request may be retried within its idempotency window, but the connection for the retry is established only after
// the window has ended. Guards against the retry being sent too late: instead the client is told to come back.
func TestWindowEndsBeforeTheConnectionIsUp(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	keyed := strings.NewReplacer(`"name":"load"`, `"name":"load","group":"all","window":0.5`, `"repeat":"side_effect"`, `"repeat":"token"`).Replace(deploymentText)
	connect := make(chan struct{})
	var dials atomic.Int32
	c := startControllerWithDialer(x, keyed, nil, func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 2 {
			<-connect
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}, e.Addr().String())
	c.client.SendRequest(1, "load", 60000, "insert 1")
	e.ExpectCommands(1)
	began := time.Now()
	e.SendAnswer(1, testutil.RequestID(1), "failed", "-", "")
	for time.Since(began) < 600*time.Millisecond { // the window passes
		time.Sleep(time.Millisecond)
	}
	close(connect)
	c.client.ReadAnswer()
	x.Recordf("%d connections, heard after the first: %d", dials.Load(), e.UnreadCommands())
	c.Check()
}

// heldCancelConn is a connection that holds back a cancellation until it is released.
type heldCancelConn struct {
	net.Conn
	attempted chan bool
	release   chan struct{}
}

func (h heldCancelConn) Write(b []byte) (int, error) {
	if strings.Contains(string(b), "QUIT") {
		h.attempted <- true
		<-h.release
	}
	return h.Conn.Write(b)
}
