package admission

import "testing"

// A request past the gateway's share starts where the engine shows no pressure, and waits once it was full.
func TestShareBindsUnderPressure(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 4, EnginesQueue: true, EnginesTakePriorities: true}, Class{})
	x.listReady(Snapshot, 1)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1600})
	x.arrive(Request{ID: 2, Work: 1, Memory: 1600}) // past the share, within the pool
	x.endAttempt(1, 0, Overloaded)
	x.pass(0.5)
	x.tallies()
	x.check()
}

// Whatever the order of results, cancelled requests and engines that leave, nothing stays booked.
func TestTalliesReturnToZero(t *testing.T) {
	x := newTrace(t, Settings{MayCancel: true, MayHedge: true},
		Class{}, Class{Idempotency: NonIdempotent}, Class{Idempotency: IdempotentWithKey})
	x.listReady(Snapshot, 1, 2, 3)
	for id := range uint32(30) {
		x.RequestArrived(x.at, Request{ID: id, Class: int(id) % 3, Deadline: 10, Work: 0.7, Memory: 700, Tables: id % 5})
	}
	x.listUnready(Delta, 2)
	for id := range uint32(30) {
		if id%7 == 0 {
			x.RequestCancelled(x.at, id)
		}
		if r := x.requests[id]; r != nil && r.inFlight > 0 {
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

// Several gateways that may each hold one most grant would overfill an engine for good: each has one request there.
func TestManyGatewaysShareAnEngine(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 5}, Class{})
	x.listReady(Snapshot, 1, 2)
	for id := range uint32(3) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 5000}) // one on each engine, the third waits
	}
	x.endAttempt(2, 0, Succeeded)
	x.tallies()
	x.check()
}

// Where engines queue by priority, a gateway among many may have two most grants, although its even share is under one.
func TestEnginesThatQueueBearMore(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 260, EnginesQueue: true, EnginesTakePriorities: true}, Class{LatencyObjective: 30})
	x.listReady(Snapshot, 1, 2, 3)
	for id := range uint32(3) {
		x.arrive(Request{ID: id, Work: 1, Memory: 5000})
	}
	x.tallies()
	x.check()
}

// fillEngines sends requests to one of 100 gateways after engines reported such a share of their memory as granted, and
// returns how many attempts are in flight some seconds later.
func fillEngines(t *testing.T, granted float64, seconds float64) (x *trace, inFlight int) {
	x = newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 100}, Class{LatencyObjective: 60})
	x.at = 5
	x.listReady(Snapshot, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	for i := range uint32(200) {
		x.LoadReported(x.at, 1+i%10, LoadReport{Waiting: Measured(0), CPU: Measured(granted), MemoryGranted: Measured(granted)})
	}
	for id := range uint32(40) {
		x.arrive(Request{ID: id, Work: 0.04, Memory: 1000})
	}
	x.pass(5 + seconds)
	for _, r := range x.requests {
		inFlight += r.inFlight
	}
	return x, inFlight
}

// A busy gateway among many has what engines report as free, more while requests wait, and little where engines are full.
func TestPoolFollowsReportedMemory(t *testing.T) {
	x, few := fillEngines(t, 0.95, 1)
	x.say("full engines: %d in flight", few)
	if few > 2 {
		t.Errorf("%d attempts at engines reported as full", few)
	}
	_, some := fillEngines(t, 0.2, 0)
	_, more := fillEngines(t, 0.2, 1)
	if some < 3 || more < 2*some {
		t.Errorf("%d attempts at engines reported as empty, %d after a second", some, more)
	}
	x.say("empty engines: %d at once, %d after a second", some, more)
	x.lines = x.lines[len(x.lines)-2:]
	x.check()
}

// The pool shrinks by half where an engine is full, and with each report of more than half of the memory.
func TestPoolShrinks(t *testing.T) {
	x, inFlight := fillEngines(t, 0.2, 1)
	x.lines = nil
	x.say("%d in flight, pool factor %.1f", inFlight, x.poolFactor)
	for id, r := range x.requests {
		if r.inFlight > 0 {
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
		t.Errorf("pool factor %g where engines are reported as full", x.poolFactor)
	}
	x.check()
}

// Of one of many gateways, an engine that has reported room takes several requests; one reported as full, or whose report
// is old, takes one.
func TestReportedRoomLiftsPressure(t *testing.T) {
	for _, c := range []struct {
		what    string
		granted float64
		age     float64
	}{{"reported room", 0.1, 0}, {"reported as full", 0.9, 0}, {"reported room long ago", 0.1, 3}} {
		x := newTrace(t, Settings{EnginesReportMemory: true, GatewayCount: 300}, Class{LatencyObjective: 60})
		x.at = 5
		x.listReady(Snapshot, 1, 2)
		x.poolFactor = 300
		for id := range uint32(2) {
			x.LoadReported(x.at-c.age, 1+id, LoadReport{Waiting: Measured(0), CPU: Measured(c.granted), MemoryGranted: Measured(c.granted)})
		}
		x.now = x.at
		e := x.endpoints.engines[1]
		e.polledAt, x.endpoints.engines[2].polledAt = x.at, x.at
		e.grantedMemory = 400
		r := &request{id: 1, class: x.classes[0], work: 1, estimatedMemory: 400}
		fits := x.hasCapacity(r, e, 1e9)
		if want := c.what == "reported room"; fits != want {
			t.Errorf("%s: a second request fits %v", c.what, fits)
		}
	}
}

// The even share of the engines follows the number of gateways until the fleet tells a share.
func TestCapacityShareFollowsGatewayCount(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 4}, Class{})
	x.SetGatewayIndex(x.at, 1, 10)
	if x.capacityShare != 0.1 {
		t.Errorf("share %g, want a tenth", x.capacityShare)
	}
	x.SetCapacityShare(x.at, 0.3)
	x.SetGatewayIndex(x.at, 1, 20)
	if x.capacityShare != 0.3 {
		t.Errorf("share %g, 0.3 was told", x.capacityShare)
	}
}
