package main

import (
	"fmt"
	"path/filepath"
	"time"
)

func init() { cases["8"] = removedEngineBack }

// removedEngineBack drops an engine that runs a load from the list of engines, and then revokes an operator's order to drain
// it. The engine is not in the list, so nothing new may go there.
func removedEngineBack(t *trial) {
	one, two := t.startEngine("e-1"), t.startEngine("e-2")
	list := t.write("engines.jsonc", engineList(1, one, two))
	f := t.newFleet("g-1", "g-2", "g-3")
	file := ""
	for _, name := range f.names {
		file = t.write(name+".jsonc", settings(name, f.listen[name], list, 3, f.section(name, 1), `"duties": {"probe": 1}`))
		f.init(file)
	}
	for _, name := range f.names {
		f.processes[name] = t.startController(name, filepath.Join(t.folder, name+".jsonc"))
	}
	p := f.processes["g-1"]
	for _, name := range f.names {
		t.require(t.ready(f.listen[name], 10*time.Second), "%s is not ready", name)
		t.require(t.wait(10*time.Second, func() bool { return f.processes[name].hasLogged("joined the fleet") }), "%s has not joined the fleet", name)
	}
	client := t.dial("client", f.listen["g-1"])
	var loads []*request
	for len(with("sales_7", two)) == 0 { // until each engine has one
		t.require(len(loads) < 20, "no load goes to e-2")
		loads = append(loads, client.send("load", "insert into sales_7.orders values (1) /* ms=15000 */", 25*time.Second))
		time.Sleep(100 * time.Millisecond)
	}
	_, err := t.tool("fleet", "drain", "e-2", "--settings", file)
	t.require(err == nil, "fleet drain")
	time.Sleep(time.Second)
	if t.trouble {
		t.write("engines.jsonc", engineList(2, one))
		t.require(t.wait(5*time.Second, func() bool { return p.hasLogged(`"removed":1`) }), "the list was not applied")
		t.log("the list without e-2 is applied")
	}
	told := time.Now()
	time.Sleep(time.Second)
	_, err = t.tool("fleet", "resume", "e-2", "--settings", file)
	t.require(err == nil, "fleet resume")
	time.Sleep(time.Second)
	var lookups []*request
	for n := range 100 { // each reads another data set
		lookups = append(lookups, client.send("lookup", fmt.Sprintf("select a from sales_9%02d.orders", n), 2*time.Second))
		time.Sleep(20 * time.Millisecond)
	}
	for _, r := range lookups {
		r.wait(3 * time.Second)
	}
	late := 0
	for _, s := range with("sales_9", two) {
		if t.trouble && s.at.After(told.Add(1050*time.Millisecond)) {
			late++
		}
	}
	if late > 0 {
		t.breaks("%d of 100 lookups went to e-2, over 1.05 s after the list without it was applied", late)
	}
	for _, r := range loads {
		r.wait(25 * time.Second)
	}
}
