package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["shared-list-off"] = sharedListTurnedOff }

// sharedListTurnedOff takes the shared reading of the list of engines out of the settings of a fleet, with a higher generation,
// and restarts the first controller with that. Then the file drops an engine. The controllers that are still to be restarted
// read the file, and have to stop sending to the engine.
func sharedListTurnedOff(t *trial) {
	one, two := t.startEngine("e-1"), t.startEngine("e-2")
	list := t.write("engines.jsonc", engineList(1, one, two))
	f := t.newFleet("g-1", "g-2", "g-3")
	write := func(name string, generation int, duties string) string {
		return t.write(fmt.Sprintf("%s-%d.jsonc", name, generation), settings(name, f.listen[name], list, 3, f.section(name, generation), duties))
	}
	const shared, off = `"duties": {"list": true}`, `"duties": {}`
	for _, name := range f.names {
		f.init(write(name, 1, shared))
	}
	for _, name := range f.names {
		f.processes[name] = t.startController(name, write(name, 1, shared))
	}
	for _, name := range f.names {
		t.require(t.ready(f.listen[name], 10*time.Second), "%s is not ready", name)
		t.require(t.wait(15*time.Second, func() bool { return f.processes[name].hasLogged("published endpoint list applied") }), "no list is published to %s", name)
	}
	time.Sleep(time.Second)

	generation, duties := 1, shared
	if t.trouble {
		generation, duties = 2, off
	}
	t.signal(f.processes["g-1"], syscall.SIGTERM)
	t.require(f.processes["g-1"].hasEnded(8*time.Second), "g-1 has not ended")
	f.processes["g-1"] = t.startController("g-1", write("g-1", generation, duties))
	t.require(t.ready(f.listen["g-1"], 10*time.Second), "g-1 is not ready")
	time.Sleep(6 * time.Second) // the shard of the list has an owner again

	waiting := f.processes["g-2"] // still to be restarted
	t.write("engines.jsonc", engineList(2, one))
	t.require(t.wait(5*time.Second, func() bool { return waiting.hasLogged(`"generation":2`) }), "g-2 has not read the file")
	told := time.Now()
	t.log("g-2 has read the list without e-2")
	time.Sleep(3 * time.Second)
	client := t.dial("client of g-2", f.listen["g-2"])
	var lookups []*request
	for n := range 300 { // each reads another data set
		lookups = append(lookups, client.send("lookup", fmt.Sprintf("select a from sales_9%03d.orders /* ms=200 */", n), 2*time.Second))
		time.Sleep(30 * time.Millisecond)
	}
	for _, r := range lookups {
		r.wait(3 * time.Second)
	}
	late, last := 0, 0.0
	for _, s := range with("sales_9", two) {
		if s.at.After(told.Add(1050 * time.Millisecond)) {
			late, last = late+1, s.at.Sub(told).Seconds()
		}
	}
	if late > 0 {
		t.breaks("%d of 300 lookups went to e-2, the last %.1f s after g-2 had read the list without it", late, last)
	}
}
