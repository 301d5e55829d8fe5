package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["9"] = zonesReordered }

// zonesReordered kills a controller with a store while a keyed load runs, whose repeats are dropped by the engines of its zone, and
// starts it again with settings that list the same zones in another order. The client's next try may go to an engine of the zone of
// the first dispatch only.
func zonesReordered(t *trial) {
	east, west := t.startEngine("e-east"), t.startEngine("e-west")
	list := t.write("engines.jsonc", fmt.Sprintf(`{"format": 1, "generation": 1, "engines": [
  {"name": "e-east", "address": %q, "zone": "east", "kind": "std"},
  {"name": "e-west", "address": %q, "zone": "west", "kind": "std"}], "end": 1}`, east.address, west.address))
	listen := t.address()
	write := func(file, zones string) string {
		s := settings("g-1", listen, list, 1, `"requests": {"retry": "job"}`, fmt.Sprintf(`"store": {"folder": %q}`, filepath.Join(t.folder, "store")))
		s = strings.Replace(s, `"zones": ["east"]`, `"zones": [`+zones+`], "zone": "east"`, 1)
		return t.write(file, strings.Replace(s, `"window": 12,`, `"window": 12, "group": "zone",`, 1))
	}
	p := t.startController("g-1", write("before.jsonc", `"east", "west"`))
	t.require(t.ready(listen, 10*time.Second), "g-1 is not ready")
	const load = "insert into sales_7.orders values (1) /* ms=5000 */"
	client := t.dial("client", listen)
	first := client.send("press-load", load, 20*time.Second, "job", "load-1", "replay", "mark-1")
	t.require(t.wait(2*time.Second, func() bool { return len(with("sales_7", east, west)) == 1 }), "the load was not sent")
	where := with("sales_7", east, west)[0].engine

	zones := `"east", "west"`
	if t.trouble {
		zones = `"west", "east"`
	}
	time.Sleep(500 * time.Millisecond)
	t.signal(p, syscall.SIGKILL)
	t.require(p.hasEnded(6*time.Second), "g-1 has not ended")
	t.log("first try: %s", first.wait(time.Second).word)
	t.startController("g-1", write("after.jsonc", zones))
	t.require(t.ready(listen, 10*time.Second), "g-1 is not ready")
	time.Sleep(time.Second) // the client tries again after a wait
	again := t.dial("client", listen).send("press-load", load, 20*time.Second, "job", "load-1", "replay", "mark-1")
	again.wait(20 * time.Second)
	asks := with("sales_7", east, west)
	for _, s := range asks[1:] {
		if s.engine != where {
			t.breaks("the keyed load that %s had begun was sent again to %s, in another zone, %.1f s later, within its window", where, s.engine, s.at.Sub(asks[0].at).Seconds())
		}
	}
}
