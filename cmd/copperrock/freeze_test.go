package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/processes"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// A request waits to be retried after an engine answered "full", and the whole process is frozen past the time of that
// retry. Meanwhile its client disconnects, or the engine starts to drain. Guards against the process sending the retry
// when it resumes, before it has read of the disconnect or the drain.
func TestStandsStillOverAnEnd(t *testing.T) {
	for _, meanwhile := range []string{"client leaves", "engine drains"} {
		t.Run(meanwhile[:6], func(t *testing.T) {
			x := testutil.NewTrace(t)
			e, spare := x.StartEngine("engine", ":0"), x.StartEngine("spare", ":0")
			c, p := startProcess(x, 256, x.StartChannel().Listener, e.Addr().String())
			c.channel.ExpectConnection()
			client, other := x.Dial(c.address), x.Dial(c.address)
			client.SendRequest(1, "lookup", 50000, "select 1")
			e.ExpectCommands(1)
			e.SendAnswer(1, testutil.RequestID(1), "full", "-", "")
			for range 3 { // until the answer has been handled, well within the 0.2 s before the retry
				other.Send(0, 99, "ping", []any{map[string]string{}})
				other.ReadPong()
			}
			p.Freeze()
			if meanwhile == "client leaves" {
				client.Close()
			} else {
				c.channel.SendLine(c.watchEvent(false, "terminating", e.Addr().String()))
			}
			time.Sleep(400 * time.Millisecond) // past the time of the retry
			p.Thaw()
			if meanwhile == "client leaves" {
				other.SendRequest(2, "lookup", 50000, "select 2")
				e.ExpectCommands(1)
			} else {
				for range 50 { // many times as long as sending a request takes
					other.Send(0, 99, "ping", []any{map[string]string{}})
					other.ReadPong()
				}
				c.events++
				c.channel.SendLine(fmt.Sprintf(`{"cursor":%d,"nodes":{"whole":false,"hosts":[{"host":"s-9","dial":"%s","site":"east","class":"std","block":0,`+
					`"health":"in_service","share":1,"born_ms":0}]}}`, c.events, spare.Addr()))
				spare.ExpectCommands(1)
				e.ExpectCommands(1)
				x.Recordf("the draining engine has heard %d more", e.UnreadCommands())
			}
			x.Check()
		})
	}
}

// startProcess starts the program the way the platform does: a process limited to the given number of descriptors, with a
// configuration that lists the engines and names the listener's address as its command channel.
func startProcess(x *testutil.Trace, sockets int, channel net.Listener, engines ...string) (*controllerTest, *processes.Process) {
	t := x.T
	c := &controllerTest{Trace: x, channel: &testutil.Channel{Trace: x, Listener: channel}, address: freeAddress(t), configFile: filepath.Join(t.TempDir(), "config.json")}
	writeFile(t, c.configFile, fmt.Appendf(nil, `{"listen":"%s","limits":{"memory_mb":64,"sockets":%d},"channel":"%s","known":{"cursor":1,"cmds":[%s]},"settings":%s}`,
		c.address, sockets, channel.Addr(), c.watchEvent(true, "in_service", engines...), deploymentText))
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &processes.Process{Name: "c0", Path: "/bin/sh", Args: []string{"-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, self)},
		Env: []string{selfRunEnv + "=1", "GOMAXPROCS=1", "LB_CONFIG=" + c.configFile}, LogFile: filepath.Join(t.TempDir(), "log")}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return c, p
}

// Discovery is down when a controller starts, so it uses the engine list of its configuration. More idle clients connect
// than it has descriptors. Guards against clients taking the descriptors that are reserved for the command channel, engine
// connections and the shutdown: once discovery is back, its events are applied.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	x := testutil.NewTrace(t)
	e, later := x.StartEngine("engine", ":0"), x.StartEngine("later", ":0")
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.Addr().String()
	reserved.Close()
	c, p := startProcess(x, 64, reserved, e.Addr().String())
	c.client = x.Dial(c.address)
	for !c.ping() { //nolint:revive // it polls until the controller is ready
	}
	x.Recordf("ready")
	for range 100 {
		idle, err := net.Dial("tcp", c.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { idle.Close() })
	}
	c.client = x.Dial(c.address) // accepted once an idle connection has been closed for it
	c.sendUntilDispatched(e, 1, "lookup")
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	back, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { back.Close() })
	c.channel = &testutil.Channel{Trace: x, Listener: back}
	c.channel.ExpectConnection()
	c.channel.SendLine(c.watchEvent(false, "terminating", e.Addr().String()))
	c.channel.SendLine(strings.Replace(c.watchEvent(false, "in_service", later.Addr().String()), `"s-0"`, `"s-9"`, 1))
	e.ExpectCommands(1)
	c.sendUntilDispatched(later, 2, "lookup")
	p.RequestExit()
	later.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	x.Recordf("ended: %v", p.Terminate(ctx))
	x.Check()
}

// ping reports whether the controller accepts requests.
func (c *controllerTest) ping() bool {
	c.client.Send(0, 98, "ping", []any{map[string]string{}})
	return c.client.ReadPong()
}
