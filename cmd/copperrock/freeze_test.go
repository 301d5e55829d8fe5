package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	lab "copperrock.example/copperrock/internal/lab/fleet"
	"copperrock.example/copperrock/internal/lab/testkit"
)

// A whole process stands still while a job waits for an engine that was full, and is due when it goes on. Meanwhile the
// job's client has left, or the engine has begun to drain: what lies unread counts before what the process held before.
func TestStandsStillOverAnEnd(t *testing.T) {
	for _, meanwhile := range []string{"client leaves", "engine drains"} {
		t.Run(meanwhile[:6], func(t *testing.T) {
			x := testkit.New(t)
			e, spare := x.Listen("engine", ":0"), x.Listen("spare", ":0")
			c := &among{Trace: x, channel: x.Channel(), address: free(t), file: filepath.Join(t.TempDir(), "config.json")}
			known := c.event(true, "in_service", e.Addr().String())
			text := fmt.Sprintf(`{"listen":"%s","limits":{"memory_mb":64,"sockets":256},"channel":"%s","known":{"cursor":1,"cmds":[%s]},"settings":%s}`,
				c.address, c.channel.Addr(), known, deployment)
			write2(t, c.file, []byte(text))
			self, err := os.Executable()
			if err != nil {
				t.Fatal(err)
			}
			p := &lab.Process{Name: "c0", Path: self, Env: []string{selfRun + "=1", "GOMAXPROCS=1", "LB_CONFIG=" + c.file}, Log: filepath.Join(t.TempDir(), "log")}
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Kill)
			c.channel.Accepts()
			first, second := x.Dial(c.address), x.Dial(c.address)
			first.Job(1, "lookup", 50000, "select 1")
			e.Hears(1)
			e.Answers(1, testkit.Ref(1), "full", "-", "")
			for range 3 { // until it has been heard, far within the 0.2 s that it holds for
				second.Send(0, 99, "ping", []any{map[string]string{}})
				second.Pong()
			}
			p.Freeze()
			if meanwhile == "client leaves" {
				first.Close()
			} else {
				c.channel.Tells(c.event(false, "terminating", e.Addr().String()))
			}
			time.Sleep(400 * time.Millisecond) // so long it stands still
			p.Thaw()
			if meanwhile == "client leaves" {
				second.Job(2, "lookup", 50000, "select 2")
				e.Hears(1)
			} else {
				for range 50 { // many times the way there
					second.Send(0, 99, "ping", []any{map[string]string{}})
					second.Pong()
				}
				c.events++
				c.channel.Tells(fmt.Sprintf(`{"cursor":%d,"nodes":{"whole":false,"hosts":[{"host":"s-9","dial":"%s","site":"east","class":"std","block":0,`+
					`"health":"in_service","share":1,"born_ms":0}]}}`, c.events, spare.Addr()))
				spare.Hears(1)
				e.Hears(1)
				x.Say("the draining engine has heard %d more", e.Heard())
			}
			x.Check()
		})
	}
}
