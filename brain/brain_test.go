package brain

import "testing"

func TestGrants(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Whole, true, 0, 1, 2)
	x.arrive(1, 0, 0, 1, 0)    // nothing told or learned: no grant named
	x.arrive(2, 0, 0, 1, 1000) // a margin over
	x.arrive(3, 0, 0, 1, 10)   // the least
	x.arrive(4, 0, 0, 1, 5000) // the most
	x.tallies()
	x.outcome(1, 0, Done)
	x.arrive(5, 0, 0, 1, 0) // four fifths over what answers told
	for id := range uint32(4) {
		x.arrive(id+6, 0, 0, 1, 500) // told half of the need: the margin grows
		x.outcome(id+6, 0, Done)
	}
	x.check()
}

func TestQueueReleasesInArrivalOrder(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Whole, true, 0, 1)
	for id := range uint32(7) {
		x.arrive(id+1, 0, 0, 1, 5000)
	}
	x.outcome(2, 0, Done)
	x.outcome(1, 0, Done)
	x.tallies()
	x.check()
}

func TestShareBindsUnderPressure(t *testing.T) {
	x := start(t, Settings{Gateways: 4, Line: true, Priorities: true}, Class{})
	x.list(Whole, true, 0, 1)
	x.arrive(1, 0, 0, 1, 1600)
	x.arrive(2, 0, 0, 1, 1600) // past the share, but the engine shows no pressure and the pool has room
	x.outcome(1, 0, Full)
	x.pass(0.5)
	x.tallies()
	x.check()
}

func TestFullQueueThrottles(t *testing.T) {
	x := start(t, Settings{MostComeBack: 2}, Class{SLA: 1000})
	x.list(Whole, false, 0, 1)
	for id := range uint32(201) {
		x.Arrive(0, id+1, 0, 0, 0, 2000, 1, 100, 0, false)
	}
	x.tallies()
	x.check()
}

func TestHopelessIsThrottled(t *testing.T) {
	x := start(t, Settings{MostComeBack: 2}, Class{SLA: 2})
	x.list(Whole, false, 0, 1)
	x.arrive(1, 0, 0, 1, 100)
	x.pass(3)
	x.tallies()
	x.check()
}

// Of the held jobs up to one that would end late by its turn, the one of least billed value for its work
// goes.
func TestLongestGivesWay(t *testing.T) {
	x := start(t, Settings{}, Class{SLA: 4})
	x.list(Whole, true, 0, 1)
	for id := range uint32(4) {
		x.arrive(id+1, 0, 0, 1, 5000)
	}
	x.pass(0.5)
	x.outcome(1, 0, Done) // one second of work a second is what gets done
	x.arrive(5, 0, 0, 1, 5000)
	x.arrive(6, 0, 0, 4, 5000)
	x.arrive(7, 0, 0, 1, 5000)
	x.arrive(8, 0, 0, 1, 5000)
	x.pass(0.6)
	x.check()
}

func TestOverShareGivesWay(t *testing.T) {
	x := start(t, Settings{OverValue: 0.1, Tenants: []float64{1}}, Class{SLA: 3})
	x.list(Whole, true, 0, 1)
	x.arrive(1, 0, 0, 1, 5000)
	x.pass(0.5)
	x.outcome(1, 0, Done)
	for id := range uint32(8) {
		x.arrive(id+2, 0, 0, 1, 5000)
	}
	x.pass(0.6)
	x.check()
}

func TestOneFinalAnswer(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{Effect: RunOnce})
	x.list(Whole, true, 0, 1)
	x.arrive(1, 0, 0, 1, 100)
	x.pass(10.01)
	x.outcome(1, 0, CalledOff)
	x.arrive(2, 0, 0, 1, 100)
	x.Withdrawn(x.at, 2)
	x.outcome(2, 0, Done)
	x.tallies()
	x.check()
}

func TestRunOnce(t *testing.T) {
	x := start(t, Settings{MostComeBack: 2}, Class{Effect: RunOnce})
	x.list(Whole, true, 0, 1, 2)
	x.arrive(1, 0, 0, 1, 100)
	x.outcome(1, 0, Full) // never ran: again
	x.outcome(1, 1, Failed)
	x.arrive(2, 0, 0, 1, 100)
	x.outcome(2, 0, NoConnection)
	x.list(Changes, false, 0, 1, 2)
	x.outcome(2, 1, NoConnection)
	x.pass(6) // never ran: throttled
	x.check()
}

func TestKeyedStaysInGroupAndWindow(t *testing.T) {
	x := start(t, Settings{}, Class{Effect: Keyed, Group: GroupZone, Window: 2, SLA: 9},
		Class{Effect: Keyed, Group: GroupAll, Window: 2, SLA: 9})
	x.list(Whole, true, 0, 1, 2, 101)
	x.arrive(1, 0, 0, 1, 100)
	x.outcome(1, 0, Failed)
	x.outcome(1, 1, Failed)
	x.pass(1.95)
	x.outcome(1, 2, Failed) // the window is over, and a throttle would not be harmless
	x.arrive(2, 1, 0, 1, 100)
	x.pass(4)
	x.outcome(2, 0, Failed) // here it is
	x.check()
}

func TestKeyOrderAndRest(t *testing.T) {
	x := start(t, Settings{KeyRest: 1}, Class{InOrder: true, Effect: Keyed, SLA: 9, Window: 5})
	x.list(Whole, true, 0, 1, 2, 3)
	x.arrive(1, 0, 5, 1, 100)
	x.arrive(2, 0, 5, 1, 100)
	x.arrive(3, 0, 6, 1, 100)
	x.arrive(4, 0, 0, 1, 100)
	x.outcome(1, 0, Reset) // its own further dispatch does not rest
	x.outcome(1, 1, Done)
	x.pass(1.1)
	x.outcome(2, 0, Done)
	x.check()
}

func TestPlacementHolds(t *testing.T) {
	x := start(t, Settings{}, Class{Zones: []int{1}}, Class{Kinds: []int{0}})
	x.list(Whole, true, 0, 1, 101)
	x.arrive(1, 0, 0, 1, 100)
	x.arrive(2, 1, 0, 1, 100)
	x.outcome(1, 0, NoConnection)
	x.pass(0.5) // rather held than sent elsewhere
	x.outcome(2, 0, Failed)
	x.tallies()
	x.check()
}

func TestFurtherDispatchesStayInBudget(t *testing.T) {
	x := start(t, Settings{ExtraWindow: 1, ExtraFree: 1, ExtraShare: 0.5}, Class{})
	x.list(Whole, true, 0, 1, 2, 3)
	for id := range uint32(4) {
		x.arrive(id+1, 0, 0, 1, 100)
	}
	for id := range uint32(4) {
		x.outcome(id+1, 0, Full)
	}
	x.pass(0.5)
	x.pass(1.5) // the window has passed
	x.check()
}

func TestDrainAndStaleList(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Cached, true, 0, 1, 2)
	x.list(Changes, false, 0, 1)
	for id := range uint32(3) {
		x.arrive(id+1, 0, 0, 1, 100)
	}
	x.list(Whole, true, 0, 3)
	x.arrive(4, 0, 0, 1, 100)
	x.check()
}

func TestColdBudgetIsParted(t *testing.T) {
	x := start(t, Settings{Gateways: 2, Cold: 10, ColdFrom: 0.5, FallMultiple: 2, FallWindow: 1}, Class{})
	x.pass(1)
	x.list(Whole, true, 1, 1)
	for id := range uint32(4) {
		x.arrive(id+1, 0, 0, 1, 100) // 2 s of work is half of this gateway's half of 8 s
	}
	x.pass(2.2)
	x.check()
}

func TestRosterThatHasToBeAsked(t *testing.T) {
	x := start(t, Settings{AskRoster: true}, Class{})
	x.list(Cached, true, 0, 1)
	x.list(Missing, true, 0)
	x.pass(2.5)
	x.list(Changes, true, 0, 2)
	x.pass(6)
	x.check()
}

func TestStreamHasNoDeadline(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{})
	x.list(Whole, true, 0, 1)
	x.arrive(1, 0, 0, 1, 100)
	x.Begun(x.at, 1, 0)
	x.pass(20)
	x.outcome(1, 0, Done)
	x.tallies()
	x.check()
}

// A hung engine takes jobs and answers none: it is doubted, its jobs move, one light job tries it later.
func TestSilentEngine(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{SLA: 30}, Class{SLA: 60, Effect: RunOnce})
	x.list(Whole, true, 0, 1, 2)
	for id := range uint32(12) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
	}
	x.arrive(13, 1, 0, 0.1, 100)
	for id := range uint32(13) {
		if d := x.jobs[id+1].dispatches[0]; d.engine.id == 2 {
			x.outcome(id+1, 0, Done)
		}
	}
	x.pass(1.2)
	for id := range uint32(12) {
		if j := x.jobs[id+1]; j != nil {
			x.outcome(id+1, 0, CalledOff)
		}
	}
	x.pass(2.5)
	for id := range uint32(4) {
		x.arrive(20+id, 0, uint64(id), 0.1, 100) // one of them tries the engine
	}
	x.pass(5)
	x.check()
}

// Everything slow at once: none is doubted, nothing moves.
func TestAllSilentNoneDoubted(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{SLA: 30})
	x.list(Whole, true, 0, 1, 2, 3)
	for id := range uint32(12) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
	}
	x.pass(6)
	x.check()
}

// Found on a recorded day: a gateway that stood still itself took its engines' answers, late in the same
// batch, for silence.
func TestOwnStallIsNoSilence(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{SLA: 30})
	x.list(Whole, true, 0, 1, 2)
	for id := range uint32(8) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
	}
	for id := range uint32(8) {
		if d := x.jobs[id+1].dispatches[0]; d.engine.id == 2 {
			x.outcome(id+1, 0, Done) // engine 2 has nothing open, so engine 1 alone could be silent
		}
	}
	x.at = 3
	x.say("nothing came for three seconds")
	x.Woken(x.at)
	x.check()
}

// An engine that fails quickly looks idle; it rests, longer at each relapse.
func TestFailingEngine(t *testing.T) {
	x := start(t, Settings{}, Class{SLA: 30})
	x.list(Whole, true, 0, 1, 2)
	for id := range uint32(10) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
		if d := x.jobs[id+1].dispatches[0]; d.engine.id == 2 {
			x.outcome(id+1, 0, Failed)
		} else {
			x.outcome(id+1, 0, Done)
		}
	}
	x.pass(1.5)
	x.arrive(11, 0, 0, 0.1, 100)
	x.check()
}

// A dispatch at a fifth of its pace has a bad plan: it is called off and sent again.
func TestRunaway(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{SLA: 30})
	x.list(Whole, true, 0, 1, 2)
	x.arrive(1, 0, 0, 2, 100)
	x.pass(1)
	x.Progress(x.at, 1, 0, 1, 0.01)
	x.outcome(1, 0, CalledOff)
	x.pass(1.5)
	x.Progress(x.at, 1, 1, 1, 0.4)
	x.check()
}

// Whatever the order of outcomes, clients leaving and engines leaving, nothing stays booked.
func TestTalliesReturnToZero(t *testing.T) {
	x := start(t, Settings{MayCancel: true, MayCopy: true},
		Class{}, Class{Effect: RunOnce}, Class{Effect: Keyed})
	x.list(Whole, true, 0, 1, 2, 3)
	for id := range uint32(30) {
		x.Arrive(x.at, id, int(id)%3, 0, 0, 10, 0.7, 700, id%5, false)
	}
	x.list(Changes, false, 0, 2)
	for id := range uint32(30) {
		if id%7 == 0 {
			x.Withdrawn(x.at, id)
		}
		if j := x.jobs[id]; j != nil && j.out > 0 {
			x.Outcome(x.at, id, 0, Status(id%8), 0.1, id%8 == 0, 0.7, 700)
		}
	}
	x.pass(11)
	for id := range uint32(30) {
		for n := range 5 {
			x.Outcome(x.at, id, n, CalledOff, 11, true, 0, 0)
		}
	}
	x.lines = nil
	x.tallies()
	x.check()
}

// Found on a recorded day: five gateways that may each hold one maximum grant overfill an engine for good.
func TestManyGatewaysPartAnEngine(t *testing.T) {
	x := start(t, Settings{Gateways: 5}, Class{})
	x.list(Whole, true, 0, 1, 2)
	for id := range uint32(3) {
		x.arrive(id+1, 0, 0, 1, 5000) // one on each engine, the third is held
	}
	x.outcome(2, 0, Done)
	x.tallies()
	x.check()
}

// Found on a recorded day: jobs that stood still behind a load made their engines look hung, though progress
// was told.
func TestProgressIsNoSilence(t *testing.T) {
	x := start(t, Settings{MayCancel: true}, Class{SLA: 30, Effect: Keyed, Window: 60})
	x.list(Whole, true, 0, 1, 2)
	for id := range uint32(8) {
		x.arrive(id+1, 0, uint64(id), 0.1, 100)
	}
	for id := range uint32(8) {
		if d := x.jobs[id+1].dispatches[0]; d.engine.id == 2 {
			x.outcome(id+1, 0, Done)
		}
	}
	for i := range 4 {
		x.pass(float64(i+1) * 0.8)
		for id := range uint32(8) {
			x.Progress(x.at, id+1, 0, 1, float64(i+1)/10)
		}
	}
	x.say("no more word")
	x.pass(6)
	x.check()
}

// Found at full size: with an even part each of 300 gateways' was under any job, and none went to a cold engine.
func TestMassRestartAtManyGateways(t *testing.T) {
	x := start(t, Settings{}, Class{})
	work, senders := map[uint32]float64{}, map[uint32]int{}
	for i := range 300 {
		g := start(t, Settings{Gateways: 300, Index: i, Cold: 10, ColdFrom: 0.5, FallMultiple: 2, FallWindow: 1},
			Class{SLA: 30})
		g.at = 1
		g.list(Whole, true, 1, 1, 2, 3, 4)
		for id := range uint32(60) {
			g.arrive(id, 0, 0, []float64{1, 0.1, 0.01}[id/20], 0)
		}
		for _, e := range g.roster.fleet {
			if work[e.id] += e.work; e.work > 0 {
				senders[e.id]++
			}
		}
	}
	for id := range uint32(4) {
		x.say("cold engine %d: %.2f of 8 s from %d gateways", id+1, work[id+1], senders[id+1])
	}
	x.check()
}

// Found at full size: own work says nothing of an engine that many share. A long job has its engines read first.
func TestLongJobGoesByReadings(t *testing.T) {
	x := start(t, Settings{TellsMemory: true}, Class{})
	x.at = 5
	x.list(Whole, true, 0, 1, 2)
	x.arrive(1, 0, 0, 1, 1000)
	x.arrive(2, 0, 0, 0.1, 1000) // a short one does not wait
	x.Reported(x.at, 1, -1, -1, -1, 0.9, -1)
	x.Reported(x.at, 2, -1, -1, -1, 0.1, -1)
	x.pass(5.03)
	x.arrive(3, 0, 0, 1, 1000) // read a moment ago
	x.check()
}

// Found at full size: few jobs a gateway, and those on a jammed engine end by time-out only.
func TestTimeOutsAreFailures(t *testing.T) {
	x := start(t, Settings{}, Class{SLA: 30})
	x.list(Whole, true, 0, 1, 2, 3, 4)
	for id := range uint32(24) {
		x.pass(float64(id) * 0.1)
		x.arrive(id, 0, uint64(id), 0.1, 100)
		if d := x.jobs[id].dispatches[0]; d.engine.id == 2 {
			x.outcome(id, 0, TimedOut)
		} else {
			x.outcome(id, 0, Done)
		}
	}
	x.check()
}

func TestOddSettings(t *testing.T) {
	x := start(t, Settings{Gateways: 2, Index: 7, TellsMemory: true, MayCancel: true}, Class{})
	x.arrive(1, 0, 0, 1, 100) // no roster yet
	x.list(Cached, true, 0)
	x.arrive(2, 0, 0, 0, 0)
	x.list(Changes, true, 0, 901) // of a kind that is not told
	x.pass(0.1)
	x.outcome(2, 0, TimedOut)
	x.pass(6)
	x.check()
}

// Found at full size: an even part was one maximum grant, and long jobs were held while engines had room.
func TestPatientEnginesBearMore(t *testing.T) {
	x := start(t, Settings{Gateways: 260, Line: true, Priorities: true}, Class{SLA: 30})
	x.list(Whole, true, 0, 1, 2, 3)
	for id := range uint32(3) {
		x.arrive(id, 0, 0, 1, 5000)
	}
	x.tallies()
	x.check()
}
