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

// A whole process stands still while a job waits for an engine that was full, and is due when it goes on. Meanwhile the
// job's client has left, or the engine has begun to drain: what lies unread counts before what the process held before.
func TestStandsStillOverAnEnd(t *testing.T) {
	for _, meanwhile := range []string{"client leaves", "engine drains"} {
		t.Run(meanwhile[:6], func(t *testing.T) {
			x := testutil.NewTrace(t)
			e, spare := x.StartEngine("engine", ":0"), x.StartEngine("spare", ":0")
			c, p := process(x, 256, x.StartChannel().Listener, e.Addr().String())
			c.channel.ExpectConnection()
			first, second := x.Dial(c.address), x.Dial(c.address)
			first.SendRequest(1, "lookup", 50000, "select 1")
			e.ExpectCommands(1)
			e.SendAnswer(1, testutil.RequestID(1), "full", "-", "")
			for range 3 { // until it has been heard, far within the 0.2 s that it holds for
				second.Send(0, 99, "ping", []any{map[string]string{}})
				second.ReadPong()
			}
			p.Freeze()
			if meanwhile == "client leaves" {
				first.Close()
			} else {
				c.channel.SendLine(c.event(false, "terminating", e.Addr().String()))
			}
			time.Sleep(400 * time.Millisecond) // so long it stands still
			p.Thaw()
			if meanwhile == "client leaves" {
				second.SendRequest(2, "lookup", 50000, "select 2")
				e.ExpectCommands(1)
			} else {
				for range 50 { // many times the way there
					second.Send(0, 99, "ping", []any{map[string]string{}})
					second.ReadPong()
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

// process starts the program as the platform does, in a process of its own that may hold so many descriptors, with engines
// that its configuration knows; its command channel is at the listener's address.
func process(x *testutil.Trace, sockets int, channel net.Listener, engines ...string) (*among, *processes.Process) {
	t := x.T
	c := &among{Trace: x, channel: &testutil.Channel{Trace: x, Listener: channel}, address: free(t), file: filepath.Join(t.TempDir(), "config.json")}
	writeFile(t, c.file, fmt.Appendf(nil, `{"listen":"%s","limits":{"memory_mb":64,"sockets":%d},"channel":"%s","known":{"cursor":1,"cmds":[%s]},"settings":%s}`,
		c.address, sockets, channel.Addr(), c.event(true, "in_service", engines...), deploymentText))
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &processes.Process{Name: "c0", Path: "/bin/sh", Args: []string{"-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, self)},
		Env: []string{selfRun + "=1", "GOMAXPROCS=1", "LB_CONFIG=" + c.file}, LogFile: filepath.Join(t.TempDir(), "log")}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return c, p
}

// Discovery is down when a controller starts: it is ready from the list in its configuration. Idle clients then come in
// numbers past its descriptors; the watch, the engines and the shutdown have their own, and once discovery is back its news
// is taken.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	x := testutil.NewTrace(t)
	e, later := x.StartEngine("engine", ":0"), x.StartEngine("later", ":0")
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := held.Addr().String()
	held.Close()
	c, p := process(x, 64, held, e.Addr().String())
	c.client = x.Dial(c.address)
	for !c.pings() { //nolint:revive // it polls until the controller is ready
	}
	x.Recordf("ready")
	for range 100 {
		idle, err := net.Dial("tcp", c.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { idle.Close() })
	}
	c.client = x.Dial(c.address) // let in once an idle one has given way
	c.job(e, 1, "lookup")
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	back, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { back.Close() })
	c.channel = &testutil.Channel{Trace: x, Listener: back}
	c.channel.ExpectConnection()
	c.channel.SendLine(c.event(false, "terminating", e.Addr().String()))
	c.channel.SendLine(strings.Replace(c.event(false, "in_service", later.Addr().String()), `"s-0"`, `"s-9"`, 1))
	e.ExpectCommands(1)
	c.job(later, 2, "lookup")
	p.RequestExit()
	later.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	x.Recordf("ended: %v", p.Terminate(ctx))
	x.Check()
}

// pings tells whether the controller takes jobs.
func (c *among) pings() bool {
	c.client.Send(0, 98, "ping", []any{map[string]string{}})
	return c.client.ReadPong()
}
