package main

import (
	"fmt"
	"hash/fnv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["first-occurrence"] = firstOccurrence }

// firstOccurrence kills one of three controllers, the owner of a scheduled job, a second before the job is due for the first time,
// and starts it again two seconds later. "late" says that the occurrence runs later.
func firstOccurrence(t *trial) {
	e := t.startEngine("e-1")
	list := t.write("engines.jsonc", engineList(1, e))
	f := t.newFleet("g-1", "g-2", "g-3")
	const name = "minute-load"
	job := `"duties": {"jobs": [{"name": "` + name + `", "schedule": "* * * * *", "type": "load", "statement": "call staging.load_all() /* ms=300 */", "late": "latest"}]}`
	file := func(name string) string {
		text := settings(name, f.listen[name], list, 3, f.section(name, 1), job)
		return t.write(name+".jsonc", strings.Replace(text, `"form": "json"`, `"form": "json", "burst": 1000`, 1)) // no line is left out
	}
	for _, name := range f.names {
		f.init(file(name))
	}
	due := time.Now().Truncate(time.Minute).Add(time.Minute)
	if time.Until(due) < 14*time.Second { // the fleet has to be up before it
		time.Sleep(time.Until(due) + time.Second)
		due = due.Add(time.Minute)
	}
	start := func(names ...string) {
		for _, name := range names {
			f.processes[name] = t.startController(name, file(name))
		}
		for _, name := range names {
			t.require(t.ready(f.listen[name], 10*time.Second), "%s is not ready", name)
			t.require(t.wait(15*time.Second, func() bool { return f.processes[name].hasLogged("joined the fleet") }), "%s has not joined", name)
		}
	}
	start(f.names...)
	gained := fmt.Sprintf(`"duty":"jobs","slice":%d,`, slice(name))
	owner := ""
	t.wait(8*time.Second, func() bool {
		for _, name := range f.names {
			if f.processes[name].hasLogged(gained) {
				owner = name
			}
		}
		return owner != ""
	})
	t.require(owner != "" && time.Until(due) > 1500*time.Millisecond, "the job has no owner in time")
	t.log("%s is due at %s, its owner is %s", name, due.Format(time.TimeOnly), owner)
	time.Sleep(time.Until(due.Add(-time.Second)))
	if t.trouble {
		t.signal(f.processes[owner], syscall.SIGKILL)
		t.require(f.processes[owner].hasEnded(5*time.Second), "%s has not ended", owner)
		time.Sleep(time.Until(due.Add(time.Second)))
		start(owner)
	}
	time.Sleep(time.Until(due.Add(23 * time.Second)))
	history, _ := t.tool("duties", "history", "--settings", file(f.names[0]))
	if n := len(with("load_all", e)); n == 0 {
		listed := strings.Contains(history, fmt.Sprint(due.Unix()))
		t.breaks("23 s after it was due the occurrence has not come to the engine; listed by duties history: %v", listed)
	}
}

// slice returns the number of the slice of the duty jobs that a job belongs to, as the program's log has it.
func slice(job string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(job))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x % 64
}
