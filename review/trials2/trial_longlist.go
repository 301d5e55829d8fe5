package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["long-list"] = longList }

// longList lets the shared list of engines grow over 512 KB, the most that one controller publishes for all. The longer list
// leaves out an engine, which must get nothing new from any controller.
func longList(t *trial) {
	one, two, out := t.startEngine("e-1"), t.startEngine("e-2"), t.startEngine("e-3")
	// The others of the list have weight 0: they take nothing new, so nobody has to listen at their addresses.
	list := func(generation, others int, engines ...*engine) {
		var entries []string
		for i := range others {
			entries = append(entries, fmt.Sprintf(`{"name": "finishing-engine-%04d.rack-%02d.north-room.east.printers.labels.example", "address": "127.0.%d.%d:9191", "zone": "east", "kind": "std", "cell": %d, "weight": 0}`,
				i, i%64, 100+i/250, 1+i%250, i%64))
		}
		for _, e := range engines {
			entries = append(entries, fmt.Sprintf(`{"name": %q, "address": %q, "zone": "east", "kind": "std"}`, e.name, e.address))
		}
		text := fmt.Sprintf(`{"format": 1, "generation": %d, "engines": [%s], "end": %d}`, generation, strings.Join(entries, ",\n"), generation)
		t.write("engines.jsonc", text)
		t.log("list %d: %d engines, %d of them in use, %d bytes", generation, len(entries), len(engines), len(text))
	}
	list(1, 2000, one, two, out)
	f := t.newFleet("g-1", "g-2", "g-3")
	file := func(name string) string {
		return t.write(name+".jsonc", settings(name, f.listen[name], t.folder+"/engines.jsonc", 3, f.section(name, 1), `"duties": {"list": true}`))
	}
	for _, name := range f.names {
		f.init(file(name))
	}
	for _, name := range f.names {
		f.processes[name] = t.startController(name, file(name))
	}
	for _, name := range f.names {
		t.require(t.ready(f.listen[name], 10*time.Second), "%s is not ready", name)
		t.require(t.wait(15*time.Second, func() bool { return f.processes[name].hasLogged("published endpoint list applied") }), "no list is published to %s", name)
	}
	time.Sleep(time.Second)

	others := 2000
	if t.trouble {
		others = 3197
	}
	list(2, others, one, two)
	told := time.Now()
	time.Sleep(12 * time.Second) // the lease of 2 s, and the fallback of 10 s after which a controller may use its own reading
	var lookups []*request
	for n := range 100 {
		for _, name := range f.names {
			if n == 0 {
				f.clients = append(f.clients, t.dial("client of "+name, f.listen[name]))
			}
		}
		for _, c := range f.clients {
			lookups = append(lookups, c.send("lookup", fmt.Sprintf("select a from sales_9%03d.orders /* ms=50 */", n), 2*time.Second))
		}
		time.Sleep(60 * time.Millisecond)
	}
	for _, r := range lookups {
		r.wait(3 * time.Second)
	}
	late := with("sales_9", out)
	if len(late) > 0 {
		t.breaks("%d of %d lookups sent 12 s and more after the list without e-3 went to e-3, the last %.1f s after it", len(late), len(lookups), late[len(late)-1].at.Sub(told).Seconds())
	}
}
