package admission

import (
	"testing"
)

func TestShareBindsUnderPressure(t *testing.T) {
	x := start(t, Settings{GatewayCount: 4, EnginesQueue: true, EnginesTakePriorities: true}, Class{})
	x.list(Snapshot, true, 0, 1)
	x.arrive(1, 0, 0, 1, 1600)
	x.arrive(2, 0, 0, 1, 1600) // past the share, but the engine shows no pressure and the pool has room
	x.outcome(1, 0, Overloaded)
	x.pass(0.5)
	x.tallies()
	x.check()
}

// Whatever the order of outcomes, clients leaving and engines leaving, nothing stays booked.
func TestTalliesReturnToZero(t *testing.T) {
	x := start(t, Settings{MayCancel: true, MayHedge: true},
		Class{}, Class{Idempotency: NonIdempotent}, Class{Idempotency: IdempotentWithKey})
	x.list(Snapshot, true, 0, 1, 2, 3)
	for id := range uint32(30) {
		x.RequestArrived(x.at, Request{ID: id, Class: int(id) % 3, Deadline: 10, Work: 0.7, Memory: 700, Tables: id % 5})
	}
	x.list(Delta, false, 0, 2)
	for id := range uint32(30) {
		if id%7 == 0 {
			x.RequestCancelled(x.at, id)
		}
		if j := x.requests[id]; j != nil && j.inFlight > 0 {
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Status(id % 8), Duration: 0.1, Final: id%8 == 0, Work: 0.7, Memory: 700})
		}
	}
	x.pass(11)
	for id := range uint32(30) {
		for n := range 5 {
			x.AttemptEnded(x.at, id, n, AttemptResult{Status: Cancelled, Duration: 11, Final: true})
		}
	}
	x.lines = nil
	x.tallies()
	x.check()
}

// Found on a recorded day: five gateways that may each hold one maximum grant overfill an engine for good.
func TestManyGatewaysShareAnEngine(t *testing.T) {
	x := start(t, Settings{GatewayCount: 5}, Class{})
	x.list(Snapshot, true, 0, 1, 2)
	for id := range uint32(3) {
		x.arrive(id+1, 0, 0, 1, 5000) // one on each engine, the third is held
	}
	x.outcome(2, 0, Succeeded)
	x.tallies()
	x.check()
}

// Found at full size: an even part was one maximum grant, and long jobs were held while engines had room.
func TestEnginesThatQueueBearMore(t *testing.T) {
	x := start(t, Settings{GatewayCount: 260, EnginesQueue: true, EnginesTakePriorities: true}, Class{LatencyObjective: 30})
	x.list(Snapshot, true, 0, 1, 2, 3)
	for id := range uint32(3) {
		x.arrive(id, 0, 0, 1, 5000)
	}
	x.tallies()
	x.check()
}

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
func TestPoolFollowsReportedMemory(t *testing.T) {
	x, few := held(t, 0.95, 1)
	x.say("full engines: %d in flight", few)
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
func TestPoolShrinks(t *testing.T) {
	x, out := held(t, 0.2, 1)
	x.lines = nil
	x.say("%d in flight, pool factor %.1f", out, x.poolFactor)
	for id, j := range x.requests {
		if j.inFlight > 0 {
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Overloaded})
			break
		}
	}
	x.say("overloaded once: pool factor %.1f", x.poolFactor)
	for i := range uint32(60) {
		x.LoadReported(x.at, 1+i%10, LoadReport{Waiting: Measured(0), CPU: Measured(0.9), MemoryGranted: Measured(0.9)})
	}
	x.say("reported full: pool factor %.1f", x.poolFactor)
	if x.poolFactor != 1 {
		t.Errorf("times %g where engines are read as full", x.poolFactor)
	}
	x.check()
}

// Found in virtual time with half of all jobs at one of 300 gateways: each engine had one of its jobs at once, whatever
// room was read there, and 947 of 4,100 were refused. An engine read with room takes more; one read as full, or not
// read, takes one.
func TestReportedRoomLiftsPressure(t *testing.T) {
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

// The even part of the engines follows the number of gateways until the fleet tells one.
func TestCapacityShareFollowsGatewayCount(t *testing.T) {
	x := start(t, Settings{GatewayCount: 4}, Class{})
	x.SetGatewayIndex(x.at, 1, 10)
	if x.capacityShare != 0.1 {
		t.Errorf("part %g of 10", x.capacityShare)
	}
	x.SetCapacityShare(x.at, 0.3)
	x.SetGatewayIndex(x.at, 1, 20)
	if x.capacityShare != 0.3 {
		t.Errorf("part %g, 0.3 was told", x.capacityShare)
	}
}
