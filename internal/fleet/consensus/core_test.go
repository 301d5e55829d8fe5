package consensus

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/harness/testutil"
)

var marshal, unmarshal = proto.Marshal, proto.Unmarshal

// scheduleCount returns how many schedules a test simulates. The environment variable SCHEDULES overrides the default.
func scheduleCount(defaultCount int) uint64 {
	if n, err := strconv.Atoi(os.Getenv("SCHEDULES")); err == nil && n > 0 {
		return uint64(n)
	}
	if raceDetector {
		defaultCount = max(defaultCount/4, 3)
	}
	return uint64(defaultCount)
}

// seedRange returns the first seed and the number of seeds to simulate. The environment variable SEED selects a single one.
func seedRange(defaultCount int) (first, count uint64) {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n, 1
	}
	return 1, scheduleCount(defaultCount)
}

// simulateSchedule simulates the schedule of faults of a seed.
func simulateSchedule(seed uint64, voters, controllers int, defect string) *sim {
	s := newSim(seed, voters, controllers, defect)
	s.run(2)
	for at := 2.0; at < 14 && s.violation == ""; at += 0.2 + s.random.Float64() {
		s.injectFault()
		s.run(at)
	}
	return s
}

// B1 and the state's invariants hold over schedules of partitions, slow links, duplicated messages, kills, freezes, differing
// clocks and changing demand. SEED reproduces the schedule of a failed seed.
func TestNeverExceedsTotal(t *testing.T) {
	first, count := seedRange(24)
	seeds := []uint64{248} // with it, a leader that had stalled used to expire controllers while it renewed their leases
	if count == 1 {
		seeds = nil
	}
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		voters := 3 + 2*int(seed%2)
		if s := simulateSchedule(seed, voters, 6, ""); s.violation != "" {
			t.Fatalf("SEED=%d: %s\n%s", seed, s.violation, strings.Join(s.log, "\n"))
		}
	}
}

// Each seeded defect is detected within a number of schedules: a controller that counts its lease longer than the leader
// does, an allocation that counts as settled too early, a restart with the same incarnation, and a leader that grants without
// asking a quorum.
func TestSeededDefects(t *testing.T) {
	for _, defect := range []string{"lease too long", "settled early", "same incarnation", "grants without a quorum"} {
		found := false
		for seed := uint64(1); seed <= 150 && !found; seed++ {
			found = simulateSchedule(seed, 3+2*int(seed%2), 6, defect).violation != ""
		}
		if !found {
			t.Errorf("defect %q was not detected", defect)
		}
	}
}

// newBusySim returns a fleet without faults, in which every controller demands more than it has and everything has been
// allocated. It returns nil if that does not happen in time.
func newBusySim(defect string) *sim {
	s := newSim(9, 3, 4, defect)
	s.duplicateChance, s.unchecked = 0, true
	for _, controller := range s.controllers {
		controller.demand = 1
	}
	if waitAllocated(s, 0.85, 5) < 0 {
		return nil
	}
	return s
}

// checkPartition cuts a controller off and reconnects it, and returns a violation of B4, "" if there is none. B4: the
// controller may use its allocation until its lease expires and only its floor after that, and after the partition it is
// allocated something again without a restart.
func checkPartition(defect string) string {
	s := newBusySim(defect)
	if s == nil {
		return "the total was not allocated in time"
	}
	s.run(s.now + 3)
	controller := s.controllers[1]
	quota := controller.quotas["memory"]
	s.isolate(controller.name, true, true)
	s.run(s.now + s.timing.TTL/2)
	if controller.lease.Limit(s.controllerClock(controller), quota) < 1 {
		return "B4: only its floor half a lease after the partition began"
	}
	s.run(s.now + s.timing.TTL)
	if limit := controller.lease.Limit(s.controllerClock(controller), quota); limit > 1 || limit <= 0 {
		return fmt.Sprintf("B4: the limit is %.2f after the lease expired, want a floor between 0 and 1", limit)
	}
	s.isolate(controller.name, false, false)
	s.run(s.now + 2)
	if controller.lease.Limit(s.controllerClock(controller), quota) < 1 || controller.starts != 1 {
		return "B4: nothing was allocated again after the partition, or only after a restart"
	}
	return ""
}

// checkRestart kills a controller and restarts it immediately, and returns a violation of B5, "" if there is none. B5: the
// new incarnation has nothing, not even its floor, until everything that the earlier incarnation began has ended by any clock.
func checkRestart(defect string) string {
	s := newBusySim(defect)
	if s == nil {
		return "the total was not allocated in time"
	}
	controller := s.controllers[0]
	limitBefore := controller.lease.Limit(s.controllerClock(controller), controller.quotas["memory"])
	s.kill(controller)
	killedAt := s.now
	s.startController(controller)
	for s.now < killedAt+s.timing.TTL {
		s.run(s.now + 0.01)
		if limit := controller.lease.Limit(s.controllerClock(controller), controller.quotas["memory"]); limit > 0 && limit < 1 {
			return fmt.Sprintf("B5: has a floor of %.2f %.2f s after the earlier incarnation was killed", limit, s.now-killedAt)
		} else if limit > limitBefore/2 {
			return fmt.Sprintf("B5: the limit is %.2f %.2f s after the earlier incarnation was killed, whose limit was %.2f", limit, s.now-killedAt, limitBefore)
		}
	}
	return ""
}

// B4 and B5 hold, and their checks detect defects that B1 does not reveal: the fleet has no other faults, so the total is
// never exceeded.
func TestPartitionAndRestart(t *testing.T) {
	for invariant, test := range map[string]struct {
		check   func(string) string
		defects []string
	}{"B4": {checkPartition, []string{"lease never expires", "no renewal after a partition"}}, "B5": {checkRestart, []string{"same incarnation", "floor without delay"}}} {
		if violation := test.check(""); violation != "" {
			t.Error(violation)
		}
		for _, defect := range test.defects {
			if violation := test.check(defect); !strings.HasPrefix(violation, invariant) {
				t.Errorf("defect %q: got violation %q, want one of %s", defect, violation, invariant)
			} else {
				t.Logf("defect %q: %s", defect, violation)
			}
		}
	}
}

// A controller is cut off at the moment when the leader is lost. It uses its allocation until its lease expires, and the
// requests that it began continue after that. The next leader bounds that lease by the votes that it receives; the defect of
// assuming too early an expiry must be detected.
func TestLeaderAndControllerLost(t *testing.T) {
	t.Parallel()
	simulate := func(seed uint64, defect string) (*sim, float64) {
		s := newSim(seed, 3, 5, defect)
		s.duplicateChance = 0
		s.timing.Linger = 3 // requests last much longer than a lease
		for _, id := range s.voterIDs {
			s.startVoter(s.voters[id])
		}
		for _, controller := range s.controllers {
			controller.demand = 1
		}
		if waitAllocated(s, 0.85, 5) < 0 {
			return s, -1
		}
		s.run(s.now + 2 + 0.1*float64(seed%7))
		s.isolate(s.controllers[seed%5].name, true, true)
		s.leader().core = nil
		lostAt := s.now
		for i := range s.controllers {
			if i != int(seed%5) {
				s.controllers[i].demand = 1
			}
		}
		for s.now < lostAt+8 && s.violation == "" { // until most of the total is allocated to the other controllers
			sum := 0.0
			for i, controller := range s.controllers {
				if i != int(seed%5) {
					sum += controller.lease.Limit(s.controllerClock(controller), controller.quotas["memory"])
				}
			}
			if sum > 0.85*s.total {
				break
			}
			s.run(s.now + 0.01)
		}
		duration := s.now - lostAt
		s.run(lostAt + 9)
		return s, duration
	}
	longest, found := 0.0, 0
	for seed := uint64(1); seed <= 30; seed++ {
		s, duration := simulate(seed, "")
		if s.violation != "" || duration < 0 || duration > 6 {
			t.Fatalf("seed %d: violation %q, reallocated after %.2f s; want none, 0 to 6 s", seed, s.violation, duration)
		}
		longest = max(longest, duration)
		if s, _ := simulate(seed, contactTooOld); s.violation != "" {
			found++
		}
	}
	if found == 0 {
		t.Errorf("defect %q was not detected", contactTooOld)
	}
	t.Logf("an allocation is available again at most %.2f s after its controller and the leader were lost; the defect is detected in %d of 30 schedules", longest, found)
}

// waitAllocated continues without new faults until at least the given fraction of the total is allocated. It returns the time
// at which that was reached, -1 if the timeout expired first.
func waitAllocated(s *sim, fraction, timeout float64) float64 {
	deadline := s.now + timeout
	for s.now < deadline && s.violation == "" {
		sum := 0.0
		for _, controller := range s.controllers {
			if !controller.dead && !controller.frozen {
				sum += controller.lease.Limit(s.controllerClock(controller), controller.quotas["memory"])
			}
		}
		if sum >= fraction*s.total {
			return s.now
		}
		s.run(s.now + 0.01)
	}
	return -1
}

// The life cycle of controllers, as a trace: everything is allocated, a killed controller's allocation becomes available
// within its bound (B3), a controller that is cut off is left with its floor (B4), a new incarnation gets nothing of the
// earlier one's allocation before everything that one began has ended (B5), and without a quorum nothing is reallocated, but
// everything else continues (B7).
func TestLifecycle(t *testing.T) {
	s := newSim(9, 3, 4, "")
	s.duplicateChance = 0
	for _, controller := range s.controllers {
		controller.demand = 1
	}
	var lines []string
	record := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	record("divided within 3 s: %v", waitAllocated(s, 0.85, 3) > 0)
	victim := s.controllers[0]
	s.kill(victim)
	killedAt := s.now
	bound := s.timing.ExpiryBound() + s.timing.Linger*(1+s.timing.MaxDrift) + 0.6 // plus two decisions, a heartbeat and delays
	allocatedAt := waitAllocated(s, 0.85, 5)
	record("a dead one's part is divided again: after its lease %v, within the bound %v", allocatedAt > killedAt+s.timing.TTL, allocatedAt > 0 && allocatedAt < killedAt+bound)
	s.startController(victim)
	s.run(s.now + 0.1) // it is allocated something after some tenths of a second
	record("a second life has at once: its floor %v", victim.lease.Limit(s.controllerClock(victim), victim.quotas["memory"]) == 0)
	record("and is taken up: %v", waitAllocated(s, 0.85, 5) > 0)
	s.run(s.now + 3)
	cutOff := s.controllers[1]
	s.isolate(cutOff.name, true, true)
	s.run(s.now + s.timing.TTL)
	limit := cutOff.lease.Limit(s.controllerClock(cutOff), cutOff.quotas["memory"])
	record("cut off for a lease: its floor alone %v", limit < 1 && limit > 0)
	s.isolate(cutOff.name, false, false)
	s.run(s.now + 1.5)
	record("joined again: more than its floor %v, without a new life %v", cutOff.lease.Limit(s.controllerClock(cutOff), cutOff.quotas["memory"]) > 1, cutOff.starts == 1)
	for id := range uint64(2) {
		s.voters[id+1].core = nil
	}
	s.run(s.now + 0.2)
	lastGrowthBefore := s.lastGrowthAt
	s.run(s.now + 3)
	record("without a quorum: nobody was told more %v, no lease holds %v", s.lastGrowthAt <= lastGrowthBefore+0.2, !cutOff.lease.Valid(s.controllerClock(cutOff)))
	for id := range uint64(2) {
		s.startVoter(s.voters[id+1])
	}
	record("with it again: divided %v", waitAllocated(s, 0.85, 8) > 0)
	for _, controller := range s.controllers {
		controller.demand = 0
	}
	s.run(s.now + 3)
	used := 0.0
	for _, controller := range s.controllers {
		used += controller.quotas["memory"].Used(s.controllerClock(controller)) + controller.quotas["further"].Used(s.controllerClock(controller))
	}
	record("idle: %g in use", used)
	if s.violation != "" {
		t.Error(s.violation)
	}
	testutil.CheckTrace(t, lines)
}

// A hundred controllers and three voters have most of the total allocated in time.
func TestManyControllers(t *testing.T) {
	s := newSim(4, 3, 100, "")
	if waitAllocated(s, 0.8, 6) < 0 || s.violation != "" {
		t.Errorf("80 %% of the total were not allocated within 6 s; violation: %q", s.violation)
	}
}

// Encoding a decoded snapshot yields the same bytes.
func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		machine := state.New()
		quantities := []state.Quantity{{Name: "m", Total: 10}, {Name: "p", Kind: state.Rate, Total: 5, Window: 1}}
		if err := machine.Apply(state.Configure{Generation: 1, Quantities: quantities}.Command()); err != nil {
			r.Fatal(err)
		}
		for range rapid.IntRange(0, 20).Draw(r, "commands") {
			id := state.ControllerID{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "name"), Incarnation: rapid.Uint64Range(1, 4).Draw(r, "incarnation")}
			_ = machine.Apply(state.Command{Op: rapid.SampledFrom([]state.Op{state.OpJoin, state.OpExpire, state.OpAllocate, state.OpSettle}).Draw(r, "op"), Controller: id,
				Subject: "m", Amount: rapid.Float64Range(0, 12).Draw(r, "amount"), Number: rapid.Uint64Range(0, 3).Draw(r, "number"), MaxControllers: 5}) // may be rejected
		}
		data, err := encode(machine)
		if err != nil {
			r.Fatal(err)
		}
		decoded := state.New()
		if err := decode(data, decoded); err != nil {
			r.Fatal(err)
		}
		encodedAgain, _ := encode(decoded)
		if string(encodedAgain) != string(data) {
			r.Fatalf("encoding the decoded snapshot: got %x, want %x", encodedAgain, data)
		}
	})
}

// A raft message for another voter changes nothing: a voter may have come up at the address of one that has gone.
func TestMessageForAnotherVoter(t *testing.T) {
	s := newSim(9, 3, 1, "")
	s.run(5)
	leader := s.leader()
	if leader == nil {
		t.Fatal("no voter leads")
	}
	core := leader.core
	before := core.rawNode.BasicStatus()
	for id := uint64(1); id <= 3; id++ {
		if id == core.config.ID {
			continue
		}
		term := before.GetTerm() + 10
		from, kind := id, raftpb.MsgHeartbeat
		message := &raftpb.Message{To: &id, From: &from, Type: &kind, Term: &term}
		if err := core.Step(s.now, message); !errors.Is(err, errNotForThisVoter) {
			t.Errorf("got error %v, want %v", err, errNotForThisVoter)
		}
	}
	if after := core.rawNode.BasicStatus(); after.GetTerm() != before.GetTerm() {
		t.Errorf("the term went from %d to %d", before.GetTerm(), after.GetTerm())
	}
}
