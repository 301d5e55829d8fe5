package consensus

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// simulateWithWork simulates the schedule of faults of a seed in a fleet with shared work.
func simulateWithWork(seed uint64, voters int, defect string) *sim {
	s := newWorkSim(seed, voters, 4, defect)
	s.run(4)
	for at := 4.0; at < 16 && s.violation == ""; at += 0.2 + s.random.Float64() {
		s.injectFault()
		s.run(at)
	}
	return s
}

// D1, D2, D3 and D6 hold over schedules of partitions, slow links, duplicated and delayed messages, kills, freezes and
// differing clocks. SEED reproduces the schedule of a failed seed.
func TestAtMostOneOwner(t *testing.T) {
	first, count := seedRange(16)
	ran, refused := 0, 0
	for seed := first; seed < first+count; seed++ {
		s := simulateWithWork(seed, 3+2*int(seed%2), "")
		if s.violation != "" {
			t.Fatalf("SEED=%d: %s\n%s", seed, s.violation, strings.Join(s.log, "\n"))
		}
		ran += len(s.sharedWork.runEffects)
		refused += s.sharedWork.fencedEffects
		if duration := s.sharedWork.waitOwned(20); duration < 0 && s.violation == "" && isHealed(s) {
			s.violation = "D4: a shard has no owner 20 s after the last fault"
		}
		if s.violation != "" {
			t.Fatalf("SEED=%d: %s\n%s", seed, s.violation, strings.Join(s.log, "\n"))
		}
	}
	if ran < int(count)*10 {
		t.Errorf("%d schedules: got %d runs, want at least %d", count, ran, int(count)*10)
	}
	t.Logf("%d schedules, %d runs, %d effects refused because of their fencing token", count, ran, refused)
}

// This seed is outside the range that CI simulates. In its schedule two lease requests of a slow controller overtake each
// other on their way to the leader, and the responses arrive in the wrong order.
func TestAtMostOneOwnerRequestsOvertake(t *testing.T) {
	const seed = 173
	if s := simulateWithWork(seed, 3+2*(seed%2), ""); s.violation != "" {
		t.Fatalf("SEED=%d: %s", seed, s.violation)
	}
}

// isHealed reports whether no link is cut and no process is frozen or dead.
func isHealed(s *sim) bool {
	for _, controller := range s.controllers {
		if controller.dead || controller.frozen {
			return false
		}
	}
	for _, voter := range s.voters {
		if voter.core == nil || voter.frozen {
			return false
		}
	}
	return !slices.Contains(slices.Collect(maps.Values(s.cutLinks)), true)
}

// Polled engines are counted by controller. A controller's report replaces its previous one, and is dropped with the
// controller.
func TestPolledEngineCounts(t *testing.T) {
	var work workState
	work.init(1)
	a, b, c := state.ControllerID{Name: "a", Incarnation: 1}, state.ControllerID{Name: "b", Incarnation: 1}, state.ControllerID{Name: "c", Incarnation: 1}
	work.recordEnginesPolled(a, []uint32{1, 2})
	work.recordEnginesPolled(b, []uint32{1})
	work.recordEnginesPolled(c, []uint32{1, 3})
	if work.pollerCounts[1] != 3 || work.pollerCounts[2] != 1 {
		t.Errorf("got counts %v, want 3 for engine 1 and 1 for engine 2", work.pollerCounts)
	}
	work.recordEnginesPolled(b, []uint32{2})
	if work.pollerCounts[1] != 2 || work.pollerCounts[2] != 2 {
		t.Errorf("after b has polled other engines: got counts %v, want 2 for engines 1 and 2", work.pollerCounts)
	}
	for _, id := range []state.ControllerID{a, b, c} {
		work.removeController(id)
	}
	if len(work.pollerCounts)+len(work.enginesPolled) != 0 {
		t.Errorf("after all controllers are removed: got %v, %v, want none", work.pollerCounts, work.enginesPolled)
	}
}

// With three hundred controllers, of which a tenth is killed and restarted each second, and a thousand shards, no shard has
// two owners at any check (D1), most have an owner at any time, and all have one soon after the last restart (D4).
func TestThousandShards(t *testing.T) {
	if raceDetector {
		t.Skip("takes half a minute with the race detector")
	}
	t.Parallel()
	w := &workSim{highestFence: map[assignment.ShardID]uint64{}, runEffects: map[string]int{}, previous: map[uint64]*state.Machine{}, shardCount: 1000}
	s := newSimWith(5, 3, 300, "", w)
	s.unchecked, s.idle = true, true
	countOwned := func() (owned int) {
		owners := map[int]string{}
		for _, controller := range s.controllers {
			if controller.dead || controller.frozen {
				continue
			}
			for _, assigned := range controller.owner.Assignments() {
				if _, ok := controller.owner.CanBegin(s.controllerClock(controller), assigned.ShardID); !ok || assigned.Task != assignment.HealthChecks {
					continue
				}
				if other := owners[assigned.Index]; other != "" {
					t.Fatalf("D1: at %.3f %s and %s both own shard %d", s.now, other, controller.name, assigned.Index)
				}
				owners[assigned.Index] = controller.name
			}
		}
		return len(owners)
	}
	for deadline := s.now + 20; countOwned() < w.shardCount; s.run(s.now + 0.05) {
		if s.now > deadline {
			t.Fatalf("20 s after the start %d of %d shards have an owner, want all", countOwned(), w.shardCount)
		}
	}
	lowest, sum, checks := w.shardCount, 0, 0
	for second := range 8 {
		for i := range 30 {
			controller := s.controllers[(second*30+i)%len(s.controllers)]
			s.kill(controller)
			s.startController(controller)
		}
		for range 20 {
			s.run(s.now + 0.05)
			owned := countOwned()
			lowest, sum, checks = min(lowest, owned), sum+owned, checks+1
		}
	}
	lastRestart := s.now
	for deadline := s.now + 10; countOwned() < w.shardCount; s.run(s.now + 0.05) {
		if s.now > deadline {
			t.Fatalf("10 s after the last restart %d of %d shards have an owner, want all", countOwned(), w.shardCount)
		}
	}
	if s.violation != "" {
		t.Fatal(s.violation)
	}
	t.Logf("a tenth restarted each second: on average %.0f of %d shards have an owner, at least %d; all have one %.2f s after the last restart", float64(sum)/float64(checks), w.shardCount, lowest, s.now-lastRestart)
	if sum < checks*w.shardCount*7/10 {
		t.Errorf("on average %d of %d shards had an owner, want at least 70 %%", sum/checks, w.shardCount)
	}
}

// Each seeded defect is detected within a number of schedules.
func TestSeededDefectsOfSharedWork(t *testing.T) {
	defects := []string{"target ignores fencing tokens", "lease counted from the response", "sent before it is recorded"}
	if raceDetector {
		defects = defects[2:]
	}
	for _, defect := range defects {
		violation := ""
		for seed := uint64(1); seed <= 200 && violation == ""; seed++ {
			violation = simulateWithWork(seed, 3, defect).violation
		}
		if violation == "" {
			t.Errorf("defect %q was not detected", defect)
		}
		t.Logf("defect %q: %s", defect, violation)
	}
}

// One of two controllers is stopped at each step of its work, and resumes after each of several times or is restarted; there
// are no other faults. The other controller takes over, and no run of a non-idempotent job runs twice.
func TestStopAtEveryStep(t *testing.T) {
	var lines []string
	for _, step := range []string{"begun", "checked", "taken", "sent", "about to send", "has sent"} {
		for _, resume := range []struct {
			name  string
			after float64 // seconds, negative for a kill and restart
		}{{"before its lease ends", 0.4}, {"when another has just begun", 1.6}, {"long after", 5}, {"never: killed and started again", -1}} {
			duplicates, ran, refused := 0, 0, 0
			repetitions := 3
			if raceDetector {
				repetitions = 1
			}
			for n := 1; n <= repetitions; n++ {
				s := newWorkSim(uint64(7+n), 3, 2, "")
				s.duplicateChance = 0
				s.run(6)
				hits, done := 0, false
				s.sharedWork.onStep = func(controller *simController, reached string) {
					if reached != step || done {
						return
					}
					if hits++; hits != n {
						return
					}
					done = true
					controller.frozen = true
					starts := controller.starts
					if resume.after < 0 {
						s.schedule(0, func() { s.kill(controller) })
						s.schedule(0.02, func() { s.startController(controller) })
						return
					}
					s.schedule(resume.after, func() { s.resumeController(controller, starts) })
				}
				s.run(13)
				if s.violation != "" || !done {
					t.Fatalf("stopped at step %q for time %d, resumes %s: violation %q, step reached %v\n%s", step, n, resume.name, s.violation, done, strings.Join(s.log, "\n"))
				}
				if s.sharedWork.waitOwned(10) < 0 {
					t.Errorf("stopped at step %q, resumes %s: D4: a shard has no owner after 10 s", step, resume.name)
				}
				for key, times := range s.sharedWork.runEffects {
					if name, _, _ := strings.Cut(key, " "); name < "c" && times > 1 {
						duplicates++
					}
				}
				ran, refused = ran+len(s.sharedWork.runEffects), refused+s.sharedWork.fencedEffects
			}
			lines = append(lines, fmt.Sprintf("stopped when %s, goes on %s: ran twice %d, others ran %v", step, resume.name, duplicates, ran > 10*repetitions))
		}
	}
	testutil.CheckTrace(t, lines)
}

// The life cycle of shards, as a trace: all have owners (D4), a killed owner's shards get new owners once its lease has
// certainly expired, without a quorum all owners stop (D5), and with a quorum all shards have owners again.
func TestShardLifecycle(t *testing.T) {
	s := newWorkSim(3, 3, 4, "")
	s.duplicateChance = 0
	w := s.sharedWork
	var lines []string
	record := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	duration := w.waitOwned(8)
	record("all have owners within 8 s: %v", duration > 0)
	s.run(s.now + 3)
	victim := s.controllers[1]
	owned := 0
	for i := range simShards {
		if _, ok := victim.owner.Fence(assignment.ShardID{Task: assignment.HealthChecks, Index: i}); ok {
			owned++
		}
	}
	s.kill(victim)
	killedAt := s.now
	duration = w.waitOwned(5)
	bound := s.timing.ExpiryBound() + 3*0.1 + 2*0.3
	record("the killed one's come to others: after its lease %v, within %.1f s %v", s.now > killedAt+s.timing.TTL*0.9 || owned == 0, bound, duration >= 0 && duration < bound+0.2)
	s.startController(victim)
	s.run(s.now + 4)
	record("back, it has some again: %v", len(victim.owner.Assignments()) > 0)
	if leader := s.leader(); leader != nil { // the leader drops its records of controllers that have expired
		for id := range leader.core.work.reports {
			if leader.core.machine.Controllers[id] == nil {
				t.Errorf("the report of %v, which is no longer a member, is still stored", id)
			}
		}
		for deadline := s.now + 1; len(leader.core.work.revoking)+len(leader.core.work.proposals) > 0; s.run(s.now + 0.01) { // proposals may be in progress
			if s.now > deadline {
				t.Fatalf("after 1 s the leader still stores revocations %v and proposals %v", leader.core.work.revoking, leader.core.work.proposals)
			}
		}
	}
	s.voters[1].core, s.voters[2].core = nil, nil
	s.run(s.now + 2)
	record("without a quorum %d may act", w.countOwned())
	s.startVoter(s.voters[1])
	s.startVoter(s.voters[2])
	record("with it all have owners again: %v", w.waitOwned(10) >= 0)
	if s.violation != "" {
		t.Error(s.violation)
	}
	testutil.CheckTrace(t, lines)
}

// fencedRegister models a shard's target as a register that accepts only fencing tokens not lower than the highest it has
// accepted.
var fencedRegister = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		highest, token := state.(uint64), input.(uint64)
		if accepted := output.(bool); accepted != (token >= highest) {
			return false, state
		}
		return true, max(highest, token)
	},
}

// The histories of effects that targets accepted and refused are linearizable as those of a fenced register, however long the
// effects took to arrive. The check detects a target that ignores fencing tokens.
func TestFencingHistories(t *testing.T) {
	check := func(defect string, seeds uint64) (histories, failed int) {
		for seed := uint64(1); seed <= seeds && failed == 0; seed++ {
			s := simulateWithWork(seed, 3, defect)
			byShard := map[assignment.ShardID][]porcupine.Operation{}
			for i, arrival := range s.sharedWork.arrivals {
				byShard[arrival.shard] = append(byShard[arrival.shard], porcupine.Operation{ClientId: i, Input: arrival.fence, Output: arrival.accepted, Call: int64(arrival.sentAt * 1e6), Return: int64(arrival.arrivedAt*1e6) + 1})
			}
			for shard, history := range byShard {
				histories++
				if !porcupine.CheckOperations(fencedRegister, history[:min(len(history), 600)]) {
					if failed++; defect == "" {
						t.Errorf("seed %d: the history of shard %d is not linearizable", seed, shard.Index)
					}
				}
			}
		}
		return histories, failed
	}
	if raceDetector {
		check("", 2)
		return
	}
	histories, _ := check("", 8)
	_, failed := check(noFencing, 200)
	if histories < 20 || failed == 0 {
		t.Errorf("got %d histories, and %d detected of targets that ignore fencing tokens; want at least 20 and 1", histories, failed)
	}
}
