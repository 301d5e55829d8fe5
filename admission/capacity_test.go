package admission

import "testing"

// A request beyond the gateway's share starts while the engine is not under pressure, and waits after the engine was full.
func TestShareBindsUnderPressure(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 4, EnginesQueue: true, EnginesTakePriorities: true}, Class{})
	x.listReady(Snapshot, 1)
	x.arrive(Request{ID: 1, Work: 1, Memory: 1600})
	x.arrive(Request{ID: 2, Work: 1, Memory: 1600}) // beyond the share, within the pool
	x.endAttempt(1, 0, Overloaded)
	x.advanceTo(0.5)
	x.tallies()
	x.checkGolden()
}

// Nothing remains booked, whatever the order of results, cancelled requests and engines that leave the list.
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
	x.advanceTo(11)
	for id := range uint32(30) {
		for n := range 5 {
			x.AttemptEnded(x.at, id, n, AttemptResult{Status: Cancelled, Duration: 11, Final: true})
		}
	}
	x.lines = nil
	x.tallies()
	x.checkGolden()
}

// If each of several gateways granted the largest grant on an engine, they would overfill it permanently. So each gateway has
// one request there.
func TestManyGatewaysShareAnEngine(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 5}, Class{})
	x.listReady(Snapshot, 1, 2)
	for id := range uint32(3) {
		x.arrive(Request{ID: id + 1, Work: 1, Memory: 5000}) // one on each engine, the third waits
	}
	x.endAttempt(2, 0, Succeeded)
	x.tallies()
	x.checkGolden()
}

// Where engines queue by priority, one of many gateways may have two of the largest grants, although its even share is less
// than one.
func TestEnginesThatQueueBearMore(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 260, EnginesQueue: true, EnginesTakePriorities: true}, Class{LatencyObjective: 30})
	x.listReady(Snapshot, 1, 2, 3)
	for id := range uint32(3) {
		x.arrive(Request{ID: id, Work: 1, Memory: 5000})
	}
	x.tallies()
	x.checkGolden()
}

// fillEngines sends requests to one of 100 gateways after the engines reported the given share of their memory as granted. It
// returns the number of attempts in flight after the given number of seconds.
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
	x.advanceTo(5 + seconds)
	for _, r := range x.requests {
		inFlight += r.inFlight
	}
	return x, inFlight
}

// A busy gateway among many uses the memory that engines report as free, more of it while requests wait, and little when
// engines are full.
func TestPoolFollowsReportedMemory(t *testing.T) {
	x, atFull := fillEngines(t, 0.95, 1)
	x.logEvent("full engines: %d in flight", atFull)
	if atFull > 2 {
		t.Errorf("got %d attempts at engines reported as full, want at most 2", atFull)
	}
	_, initially := fillEngines(t, 0.2, 0)
	_, later := fillEngines(t, 0.2, 1)
	if initially < 3 || later < 2*initially {
		t.Errorf("got %d attempts at engines reported as empty, %d after a second; want at least 3, then at least twice as many", initially, later)
	}
	x.logEvent("empty engines: %d at once, %d after a second", initially, later)
	x.lines = x.lines[len(x.lines)-2:]
	x.checkGolden()
}

// The pool is halved when an engine is full, and shrinks with each report of more than half of the memory granted.
func TestPoolShrinks(t *testing.T) {
	x, inFlight := fillEngines(t, 0.2, 1)
	x.lines = nil
	x.logEvent("%d in flight, pool factor %.1f", inFlight, x.poolFactor)
	for id, r := range x.requests {
		if r.inFlight > 0 {
			x.AttemptEnded(x.at, id, 0, AttemptResult{Status: Overloaded})
			break
		}
	}
	x.logEvent("overloaded once: pool factor %.1f", x.poolFactor)
	for i := range uint32(60) {
		x.LoadReported(x.at, 1+i%10, LoadReport{Waiting: Measured(0), CPU: Measured(0.9), MemoryGranted: Measured(0.9)})
	}
	x.logEvent("reported full: pool factor %.1f", x.poolFactor)
	if x.poolFactor != 1 {
		t.Errorf("pool factor is %g when engines are reported as full, want 1", x.poolFactor)
	}
	x.checkGolden()
}

// With many gateways, an engine that has reported free capacity takes several requests of one gateway. An engine that was
// reported as full, or whose report is old, takes one.
func TestReportedCapacityLiftsPressure(t *testing.T) {
	for _, c := range []struct {
		name    string
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
		if want := c.name == "reported room"; fits != want {
			t.Errorf("%s: a second request fits: got %v, want %v", c.name, fits, want)
		}
	}
}

// The gateway's share of the engines follows the number of gateways until the fleet sets a share.
func TestCapacityShareFollowsGatewayCount(t *testing.T) {
	x := newTrace(t, Settings{GatewayCount: 4}, Class{})
	x.SetGatewayIndex(x.at, 1, 10)
	if x.capacityShare != 0.1 {
		t.Errorf("got share %g, want 0.1", x.capacityShare)
	}
	x.SetCapacityShare(x.at, 0.3)
	x.SetGatewayIndex(x.at, 1, 20)
	if x.capacityShare != 0.3 {
		t.Errorf("got share %g, want 0.3 as set by the fleet", x.capacityShare)
	}
}
