package brain

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces anew")

// trace drives one module and writes down what it is told and what it decides.
type trace struct {
	*Brain
	t     *testing.T
	at    float64
	bell  float64
	lines []string
}

// The traces' engines have 8 cores and 8000 MB; a job of a class runs on two threads.
func start(t *testing.T, set Settings, classes ...Class) *trace {
	set.Gateways = max(set.Gateways, 1)
	set.MostDispatches = 4
	set.Grants = true
	set.Kinds = []Kind{{Cores: 8, Memory: 8000}, {Cores: 8, Memory: 8000}}
	for i := range classes {
		c := &classes[i]
		c.Threads, c.Value = 2, 1
		if c.SLA == 0 {
			c.SLA = 5
		}
	}
	set.Classes = classes
	x := &trace{t: t, bell: -1}
	x.Brain = New(7, set, x)
	return x
}

// list tells the roster: engines by id; one over 100 is in zone 1, cell 1 and of kind 1.
func (x *trace) list(mode ListMode, ready bool, up float64, ids ...uint32) {
	x.say("roster %v: %v ready %v, up %v", mode, ids, ready, up)
	x.RosterBegins(x.at, mode)
	for _, id := range ids {
		far := int(id) / 100
		x.Listed(x.at, id, far, far, far, ready, up)
	}
	x.RosterEnds(x.at)
}

// pass lets time go by, with the wake-ups asked for: each a hair early, as rounding may have it.
func (x *trace) pass(to float64) {
	for x.bell >= 0 && x.bell <= to {
		x.at, x.bell = x.bell-4e-7, -1
		x.Woken(x.at)
	}
	x.at = to
}

// arrive takes a job of a class: work in seconds and memory as estimates, given up after 10 s.
func (x *trace) arrive(id uint32, class int, key uint64, work, memory float64) {
	x.say("job %d class %d key %d", id, class, key)
	x.Arrive(x.at, id, class, 0, key, x.at+10, work, memory, uint32(key), false)
}

func (x *trace) outcome(id uint32, number int, s Status) {
	x.say("outcome job %d.%d %s", id, number,
		[]string{"done", "failed", "full", "timed out", "no connection", "reset", "called off", "moot"}[s])
	work, memory := 0.0, 0.0
	if s == Done {
		work, memory = 1, 1000
	}
	x.Outcome(x.at, id, number, s, 0.5, s == Done, work, memory)
}

func (x *trace) say(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf("%.2f ", x.at)+fmt.Sprintf(format, args...))
}

func (x *trace) act(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf("%.2f     -> ", x.at)+fmt.Sprintf(format, args...))
}

func (x *trace) Dispatch(job, engine uint32, timeout float64) {
	x.act("dispatch job %d to engine %d", job, engine)
}
func (x *trace) Terms(job uint32, priority uint8, grant float64) {
	x.act("terms job %d priority %d grant %.0f", job, priority, grant)
}
func (x *trace) Throttle(job uint32, comeBack float64) {
	x.act("throttle job %d for %g s", job, comeBack)
}
func (x *trace) CancelForGood(job uint32)         { x.act("cancel job %d for good", job) }
func (x *trace) CallOff(job uint32, dispatch int) { x.act("call off job %d.%d", job, dispatch) }
func (x *trace) Probe(engine uint32)              { x.act("probe engine %d", engine) }
func (x *trace) Watch()                           { x.act("watch the roster") }
func (x *trace) Close(engine uint32)              { x.act("close engine %d", engine) }
func (x *trace) Fetch()                           { x.act("fetch the roster") }
func (x *trace) Tell(gateway uint16, text []byte) { x.act("tell gateway %d %q", gateway, text) }
func (x *trace) Remark(text string)               { x.act("remark %q", text) }
func (x *trace) Wake(after float64)               { x.bell = x.at + after }

// tallies writes down what is booked.
func (x *trace) tallies() {
	for i, c := range x.classes {
		x.say("class %d: tally %.0f, held %d", i, c.tally, len(c.queue))
	}
	for _, e := range x.roster.fleet {
		x.say("engine %d: tally %.0f, work %.1f", e.id, e.tally, e.work)
	}
	x.say("jobs open: %d", len(x.jobs))
}

// check compares the trace with the one kept under testdata.
func (x *trace) check() {
	x.t.Helper()
	file := filepath.Join("testdata", strings.TrimPrefix(x.t.Name(), "Test")+".trace")
	got := strings.Join(x.lines, "\n") + "\n"
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			x.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		x.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		x.t.Errorf("trace differs from %s (-kept +got):\n%s", file, diff)
	}
}
