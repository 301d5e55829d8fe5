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

// A job that is called off goes on elsewhere where no job may be out twice: the engine has heard of its end first, though
// the two go by connections that do not wait for each other.
func TestCalledOffBeforeTheNext(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	alone := strings.NewReplacer(`"may-duplicate":true`, `"may-duplicate":false`).Replace(deploymentText)
	tries, goes := make(chan bool, 1), make(chan struct{})
	c := beginDial(x, alone, nil, func(ctx context.Context, network, address string) (net.Conn, error) {
		peer, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return heldQuit{peer, tries, goes}, err
	}, e.Addr().String())
	c.client.Send(0, 1, "lookup", []any{map[string]string{"ref": testutil.RequestID(1), "allow": "60000", "effort": "400.0", "need_mb": "96"},
		[]byte("select 1")})
	e.ExpectCommands(1)
	quit := make(chan bool)
	go func() { // notes that it has hardly begun, until it counts as run away
		defer close(quit)
		for {
			select {
			case <-tries:
				return
			case <-time.After(time.Millisecond):
				e.SendAnswer(1, testutil.RequestID(1), "news", "note=pct,amount=0.001", "")
			}
		}
	}()
	<-quit
	for range 50 { // many times the way from there to a dispatch
		c.pings()
	}
	x.Recordf("heard while the give-up does not go: %d", e.UnreadCommands())
	close(goes)
	<-quit
	e.ExpectCommands(2)
	e.SendAnswer(2, testutil.RequestID(1), "data", "chunks=1,spent=400,wanted=96", "a\tb\tc\n")
	c.client.ReadAnswer()
	c.Check()
}

// A job is held, for there is no engine; its client stops waiting or leaves, in the ordinary course or as the gateway
// leaves. An engine comes then: it is sent nothing of that job.
func TestHeldJobOfAClientThatHasLeft(t *testing.T) {
	for _, leaves := range []string{"stops waiting", "closes", "stops waiting as the gateway leaves", "closes as the gateway leaves"} {
		t.Run(strings.ReplaceAll(leaves, " ", "_"), func(t *testing.T) {
			x := testutil.NewTrace(t)
			e := x.StartEngine("engine", ":0")
			c := begin(x, func(l *limits.Limits) { l.MaxShutdownWait, l.ShutdownMargin = 60, 60 })
			held := x.Dial(c.address)
			held.SendRequest(1, "lookup", 50000, "select 1")
			c.client.SendRequest(2, "load", 50000, "select 2")
			for _, peer := range []*testutil.Client{held, c.client} {
				peer.Send(0, 99, "ping", []any{map[string]string{}})
				peer.ReadPong()
			}
			c.holds(2)
			if strings.Contains(leaves, "gateway") {
				c.term()
				c.leaves()
			}
			if strings.HasPrefix(leaves, "stops") {
				held.Send(2, "abort", []int{1})
			} else {
				held.Close()
			}
			c.holds(1)
			c.channel.SendLine(c.event(false, "in_service", e.Addr().String()))
			e.ExpectCommands(1)
			e.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "a\tb\tc\n")
			c.client.ReadAnswer()
			c.Check()
		})
	}
}

// A new configuration comes while the command channel is out of reach, and knows of a drain that the channel has not told
// yet: nothing new goes to that engine. What it knows from before is not taken twice.
func TestReloadKnowsOfADrain(t *testing.T) {
	x := testutil.NewTrace(t)
	e, other := x.StartEngine("engine", ":0"), x.StartEngine("other", ":0")
	c := begin(x, nil, e.Addr().String())
	c.job(e, 1, "lookup")
	c.channel.Close()
	c.channel.CloseConn()
	known := c.event(true, "in_service", e.Addr().String()) // told at the start, here as event 2
	known = strings.Replace(known, `"cursor":2`, `"cursor":1`, 1)
	whole := fmt.Sprintf(`{"listen":"127.0.0.1:1","limits":{"memory_mb":64,"sockets":256},"channel":"127.0.0.1:1","known":{"cursor":3,"cmds":[%s,%s,%s]},"settings":%s}`,
		known, strings.Replace(c.event(false, "terminating", e.Addr().String()), `"cursor":3`, `"cursor":2`, 1),
		strings.Replace(c.event(false, "in_service", "127.0.0.1:1", other.Addr().String()), `"s-0"`, `"s-7"`, 1), deploymentText)
	whole = strings.Replace(whole, `"cursor":4`, `"cursor":3`, 1)
	writeFile(t, c.file, []byte(whole))
	c.hup <- syscall.SIGHUP
	c.hup <- syscall.SIGHUP // the one before has been taken
	c.client.SendRequest(2, "lookup", 60000, "select 2")
	other.ExpectCommands(1)
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	e.ExpectCommands(1)
	c.Check()
}

// A keyed job may go again within its window; the connection for it comes up only after that. It is not sent, and its client
// is told to come back.
func TestWindowEndsBeforeTheConnectionIsUp(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	keyed := strings.NewReplacer(`"name":"load"`, `"name":"load","group":"all","window":0.5`, `"repeat":"side_effect"`, `"repeat":"token"`).Replace(deploymentText)
	up := make(chan struct{})
	var dials atomic.Int32
	c := beginDial(x, keyed, nil, func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 2 {
			<-up
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
	close(up)
	c.client.ReadAnswer()
	x.Recordf("%d connections, heard after the first: %d", dials.Load(), e.UnreadCommands())
	c.Check()
}

// heldQuit is a connection on which a give-up does not go until it may.
type heldQuit struct {
	net.Conn
	tries chan bool
	goes  chan struct{}
}

func (h heldQuit) Write(b []byte) (int, error) {
	if strings.Contains(string(b), "QUIT") {
		h.tries <- true
		<-h.goes
	}
	return h.Conn.Write(b)
}
