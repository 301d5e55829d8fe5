package admission

import (
	"math"
	"slices"
	"strings"
	"testing"
)

// held fills the module of one of 100 gateways with jobs after so much memory was read as granted, and gives how many
// it has out.
func held(t *testing.T, granted float64, seconds float64) (x *trace, out int) {
	x = start(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 60})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	for i := range uint32(200) {
		x.LoadReported(x.at, 1+i%10, LoadReport{Waiting: Measured(0), CPU: Measured(granted), MemoryGranted: Measured(granted)})
	}
	for id := range uint32(40) {
		x.arrive(id, 0, 0, 0.04, 1000)
	}
	x.pass(5 + seconds)
	for _, j := range x.requests {
		out += j.inFlight
	}
	return x, out
}

// Found with a hundred processes at uneven rates: the busy ones were kept to an even part of the engines, while others
// left theirs. A busy gateway has what is read as free, more while it holds jobs, and little where engines are full.
func TestPoolFollowsWhatIsFree(t *testing.T) {
	x, few := held(t, 0.95, 1)
	x.say("full engines: %d out", few)
	if few > 2 {
		t.Errorf("%d dispatches went to engines read as full", few)
	}
	_, some := held(t, 0.2, 0)
	_, more := held(t, 0.2, 1)
	if some < 3 || more < 2*some {
		t.Errorf("%d dispatches to engines read as empty, %d after a second", some, more)
	}
	x.say("empty engines: %d at once, %d after a second", some, more)
	x.lines = x.lines[len(x.lines)-2:]
	x.check()
}

// What was widened narrows again: at each reading over half, and by half when an engine turns a job away.
func TestPoolNarrows(t *testing.T) {
	x, out := held(t, 0.2, 1)
	x.lines = nil
	x.say("%d out, times %.1f", out, x.poolFactor)
	for id, j := range x.requests {
		if j.inFlight > 0 {
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Overloaded})
			break
		}
	}
	x.say("full once: times %.1f", x.poolFactor)
	for i := range uint32(60) {
		x.LoadReported(x.at, 1+i%10, LoadReport{Waiting: Measured(0), CPU: Measured(0.9), MemoryGranted: Measured(0.9)})
	}
	x.say("read as full: times %.1f", x.poolFactor)
	if x.poolFactor != 1 {
		t.Errorf("times %g where engines are read as full", x.poolFactor)
	}
	x.check()
}

// Found with hundreds of processes: a job without a data set had homes all the same, the same two at every gateway, and
// all jobs went there.
func TestNoHomesWithoutADataSet(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Snapshot, true, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	x.classes[0].slowdown = 1 // the pace of the outcomes below
	count := map[uint32]int{}
	for id := range uint32(160) {
		x.arrive(id, 0, 0, 0.1, 100)
		count[x.requests[id].attempts[0].engine.id]++
		x.outcome(id, 0, Succeeded)
	}
	for id, n := range count {
		if n < 8 || n > 40 {
			t.Errorf("engine %d had %d of 160 jobs, an even part is 20", id, n)
		}
	}
	if len(count) != 8 {
		t.Errorf("only %d of 8 engines had a job", len(count))
	}
}

// A job of 0.1 s goes without a question while jobs run as if alone, and asks once they take longer.
func TestShortJobsAskUnderLoad(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 100, MinPolledWork: 0.05}, Class{LatencyObjective: 30})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3)
	x.classes[0].slowdown = 1
	x.arrive(1, 0, 0, 0.1, 100)
	x.outcome(1, 0, Succeeded)
	x.at = 10
	x.classes[0].slowdown = 1.5
	x.arrive(2, 0, 0, 0.1, 100)
	x.check()
}

// Reports that are no numbers, or beyond all bounds, keep no job back.
func TestOddReports(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 30})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3)
	for i := range uint32(300) {
		x.LoadReported(x.at, 1+i%3, LoadReport{Waiting: Measured(math.Inf(1)), CPU: Measured(math.Inf(1)), MemoryGranted: Measured(math.Inf(1))})
		x.LoadReported(x.at, 1+i%3, LoadReport{Waiting: Measured(math.NaN()), CPU: Measured(math.NaN()), MemoryGranted: Measured(math.NaN())})
	}
	x.arrive(1, 0, 0, 1, 100)
	x.pass(7.5)
	if j := x.requests[1]; j.inFlight != 1 {
		t.Errorf("the job waits: usual reading %g, pool %g", x.usualGrantedShare, x.poolCapacity(j.class))
	}
}

// Found in virtual time with half of all jobs at one of 300 gateways: each engine had one of its jobs at once, whatever
// room was read there, and 947 of 4,100 were refused. An engine read with room takes more; one read as full, or not
// read, takes one.
func TestSharesOpenWhereRead(t *testing.T) {
	for _, c := range []struct {
		what    string
		granted float64
		age     float64
	}{{"read with room", 0.1, 0}, {"read as full", 0.9, 0}, {"read with room long ago", 0.1, 3}} {
		x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 300}, Class{LatencyObjective: 60})
		x.at = 5
		x.list(Snapshot, true, 0, 1, 2)
		x.poolFactor = 300
		for id := range uint32(2) {
			x.LoadReported(x.at-c.age, 1+id, LoadReport{Waiting: Measured(0), CPU: Measured(c.granted), MemoryGranted: Measured(c.granted)})
		}
		x.now = x.at
		e := x.endpoints.engines[1]
		e.polledAt, x.endpoints.engines[2].polledAt = x.at, x.at
		e.grantedMemory = 400
		j := &request{id: 1, class: x.classes[0], work: 1, estimatedMemory: 400}
		fits := x.hasCapacity(j, e, 1e9)
		if want := c.what == "read with room"; fits != want {
			t.Errorf("%s: a second job fits %v", c.what, fits)
		}
	}
}

// Reports that come late show engines idle that are not. A gateway whose jobs run far longer than alone on engines read
// with room goes by its own work alone, tries each eighth job still, and believes again once that comes true.
func TestReadingsThatMislead(t *testing.T) {
	x := start(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 60})
	x.at = 5
	x.list(Snapshot, true, 0, 1, 2, 3, 4)
	id := uint32(0)
	play := func(n int, took float64) {
		for range n {
			id++
			x.at += 0.3
			for e := range uint32(4) {
				x.LoadReported(x.at, 1+e, LoadReport{Waiting: Measured(0), CPU: Measured(0.05), MemoryGranted: Measured(0.05)})
			}
			x.RequestArrived(x.at, Request{ID: id, Deadline: x.at + 30, Work: 1, Memory: 100})
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Succeeded, Duration: took, Final: true, Work: 1, Memory: 100})
		}
	}
	tell := func(what string) {
		believed := 0
		for i := range uint32(80) {
			if x.trustsReports(&request{id: i}) {
				believed++
			}
		}
		x.say("%s: %d of 80 jobs go by readings", what, believed)
	}
	x.lines = nil
	play(40, 0.5)
	tell("run as alone")
	play(8, 3)
	tell("run six times as long")
	play(100, 0.5)
	tell("run as alone again")
	x.lines = slices.DeleteFunc(x.lines, func(line string) bool { return !strings.Contains(line, "go by") })
	x.check()
}
