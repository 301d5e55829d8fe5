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

// workSim is what a fleet in virtual time does as one: each controller has effects at a target in its shards of one task, and
// runs the runs of jobs in those of another. The target keeps the highest fence of each shard and writes down what
// it takes.
type workSim struct {
	shardCount int // shards of probing, where they are more than some
	*sim
	highestFence    map[assignment.ShardID]uint64 // fences that the target has seen
	fencedEffects   int                           // effects that it refused
	lateEffects     int                           // effects of a controller that was the owner no more, at a target that does not check
	runEffects      map[string]int                // runs that ran, by job and time
	onStep          func(h *simController, step string)
	previous        map[uint64]*state.Machine
	effectViolation string
	checkedAt       float64
	arrivals        []effectArrival
}

// effectArrival is an effect at a target, from when it was sent until it was taken or refused.
type effectArrival struct {
	shard             assignment.ShardID
	fence             uint64
	sentAt, arrivedAt float64
	accepted          bool
}

// simOwner is a controller's side.
type simOwner struct {
	callbacks       map[uint64]func(why string, ok bool)
	lastNumber      uint64
	histories       map[string]assignment.JobHistory
	busy            map[string]bool
	appliedOverride uint64
	pending         map[uint64]Proposal
}

// noFencing is a defect: no owner looks again before an effect, and no target keeps a fence.
const noFencing = "neither look nor fence"

// shards of the two tasks here; jobs are named so that each shard has some.
const simShards = 6

var simJobs = []string{"a", "b", "c", "d"}

func (s *sim) tasks() []state.Task {
	if s.sharedWork == nil {
		return nil
	}
	return []state.Task{{Name: assignment.HealthChecks, Shards: max(s.sharedWork.shardCount, simShards)}, {Name: assignment.ScheduledJobs, Shards: simShards}}
}

// newWorkSim makes a fleet with duties. Restartable jobs are those from "c" on.
func newWorkSim(seed uint64, voters, holders int, defect string) *sim {
	w := &workSim{highestFence: map[assignment.ShardID]uint64{}, runEffects: map[string]int{}, previous: map[uint64]*state.Machine{}}
	return newSimWith(seed, voters, holders, defect, w)
}

func (w *workSim) startOwner(h *simController) {
	h.owner = assignment.NewOwner(0.05, 0.25)
	h.worker = &simOwner{callbacks: map[uint64]func(string, bool){}, histories: map[string]assignment.JobHistory{}, busy: map[string]bool{}, pending: map[uint64]Proposal{}}
	life, own, k := h.starts, h.owner, h.worker
	var beat func()
	beat = func() {
		if h.starts != life || h.dead {
			return
		}
		w.atController(h, func() {
			if h.owner != own {
				return
			}
			own.Heartbeat(w.controllerClock(h))
			w.workInShards(h, k)
		})
		w.schedule(0.05*(0.9+0.2*w.random.Float64()), beat)
	}
	w.schedule(0.05*w.random.Float64(), beat)
}

func (w *workSim) addReport(h *simController, a *LeaseRequest) {
	a.WorkCapacity, a.AppliedOverride = 1, h.worker.appliedOverride
	if h.owner.Heartbeat(w.controllerClock(h)); w.defect == "given back while busy" {
		for _, g := range h.owner.Assignments() {
			if g.Recalled {
				a.ReturnedShards = append(a.ReturnedShards, ShardAssignment{g.Task, g.Index, g.Fence, true})
			}
		}
		return
	}
	for _, g := range h.owner.Returned() {
		a.ReturnedShards = append(a.ReturnedShards, ShardAssignment{g.Task, g.Index, g.Fence, true})
	}
}

func (w *workSim) takeResponse(h *simController, asked float64, a LeaseResponse) {
	until := h.lease.ExpiresAt()
	if w.defect == "renewal counted from the answer" {
		asked = w.controllerClock(h)
		until = asked + w.timing.TTL*1.5
	}
	var grants []assignment.Assignment
	for _, s := range a.Shards {
		grants = append(grants, assignment.Assignment{ShardID: assignment.ShardID{Task: s.Task, Index: s.Shard}, Fence: s.Fence, Recalled: s.Recalled})
	}
	h.owner.Update(w.controllerClock(h), asked, until, grants)
	clear(h.worker.histories)
	for _, j := range a.ScheduledJobs {
		v := assignment.JobHistory{LastDue: j.LastDue}
		for _, r := range j.OpenRuns {
			v.OpenRuns = append(v.OpenRuns, assignment.OpenRun{Due: r.Due, Sent: r.State == state.RunSent, Uncertain: r.State == state.RunUncertain, Fence: r.Fence, Attempts: r.Attempts})
		}
		h.worker.histories[j.Name] = v
	}
	for _, o := range a.Overrides {
		h.worker.appliedOverride = max(h.worker.appliedOverride, o.Number)
	}
}

// atOwner does the next thing of a controller's own, or once it goes on: none of that is lost, as messages may be.
func (w *workSim) atOwner(h *simController, do func()) {
	switch {
	case h.dead:
	case h.frozen:
		h.deferred = append(h.deferred, do)
	default:
		do()
	}
}

// workInShards has a controller do what it may.
func (w *workSim) workInShards(h *simController, k *simOwner) {
	now := w.controllerClock(h)
	for i := range simShards {
		slot := assignment.ShardID{Task: assignment.HealthChecks, Index: i}
		if fence, ok := h.owner.Begin(now, slot); ok {
			w.reachStep(h, "begun")
			life, own := h.starts, h.owner
			w.schedule(0.02*w.random.Float64(), func() { // the check, and the effect a moment later
				w.atOwner(h, func() {
					if h.starts != life || h.owner != own {
						return
					}
					if own.Owns(w.controllerClock(h), slot, fence) || w.defect == noFencing {
						w.reachStep(h, "checked")
						w.atOwner(h, func() {
							from := w.now
							w.schedule(w.effectDelay(h), func() { w.arrive(h, own, slot, fence, from) })
						})
					}
					own.End(slot, fence)
				})
			})
		}
	}
	for _, name := range simJobs {
		w.runJob(h, k, name, name < "c")
	}
}

// effectDelay is how long an effect is on its way.
func (w *workSim) effectDelay(h *simController) float64 {
	if slow := w.slowLinks[h.name]; slow > 0 {
		return 0.001 + 4*slow*w.random.Float64()
	}
	return 0.001
}

// arrive is when an effect reaches its target.
func (w *workSim) arrive(h *simController, own *assignment.Owner, slot assignment.ShardID, fence uint64, from float64) {
	if fence < w.highestFence[slot] {
		if w.fencedEffects++; w.defect != "fence not kept" && w.defect != noFencing {
			w.arrivals = append(w.arrivals, effectArrival{slot, fence, from, w.now, false})
			return // refused
		}
		w.effectViolation = fmt.Sprintf("D2: an effect in slice %d under fence %d after %d", slot.Index, fence, w.highestFence[slot])
	}
	w.highestFence[slot] = max(w.highestFence[slot], fence)
	if !own.Owns(w.controllerClock(h), slot, fence) {
		w.lateEffects++
	}
	w.arrivals = append(w.arrivals, effectArrival{slot, fence, from, w.now, true})
}

// runJob takes the next step for a job in one of the controller's shards, half a second between runs.
func (w *workSim) runJob(h *simController, k *simOwner, name string, once bool) {
	slot := assignment.ShardID{Task: assignment.ScheduledJobs, Index: assignment.ShardOf(name, simShards)}
	if _, ok := h.owner.CanBegin(w.controllerClock(h), slot); !ok || k.busy[name] {
		return
	}
	v := k.histories[name]
	clock := int64(w.now * 2) // the wall clock, in half seconds
	var due []int64
	for when := max(v.LastDue+1, 4); when <= clock && len(due) < 20; when++ {
		due = append(due, when)
	}
	for _, a := range assignment.NextActions(assignment.JobSpec{CatchUp: assignment.CatchUpPolicy(len(name)+int(name[0]))%3 + 0, Grace: 2, NonIdempotent: once, RetryDelay: 1, MaxAttempts: 50}, v, clock, due,
		assignment.LocalRuns{IsRunning: func(int64) bool { return false }, LastAttempt: func(int64) int64 { return 0 }}) {
		w.carryOut(h, k, name, once, slot, a, v)
		return // one at a time here
	}
}

func (w *workSim) carryOut(h *simController, k *simOwner, name string, once bool, slot assignment.ShardID, a assignment.Action, v assignment.JobHistory) {
	fence, ok := h.owner.Begin(w.controllerClock(h), slot)
	if !ok {
		return
	}
	k.busy[name] = true
	life, own := h.starts, h.owner
	mine := func() bool { return h.starts == life && !h.dead }
	over := func() {
		own.End(slot, fence)
		w.schedule(0.3, func() { delete(k.busy, name) }) // by then a fresh view has come
	}
	again := slices.ContainsFunc(v.OpenRuns, func(o assignment.OpenRun) bool { return o.Due == a.Due && o.Sent })
	c := state.Command{Subject: name, Time: a.Due, Task: slot.Task, Shard: slot.Index, Number: fence, NonIdempotent: once, Rerun: again}
	say := func(op state.Op, state state.RunState, then func(ok bool)) {
		c.Op, c.State = op, state
		w.propose(h, k, c, func(why string, ok bool) {
			if mine() {
				then(ok && why == "")
			}
		})
	}
	switch a.Kind {
	case assignment.ActionSkip:
		say(state.OpSkipRun, 0, func(bool) { over() })
		return
	case assignment.ActionMarkUncertain:
		say(state.OpMarkRunUncertain, 0, func(bool) { over() })
		return
	case assignment.ActionGiveUp:
		over()
		return
	}
	send := func() {
		w.reachStep(h, "sent")
		w.atOwner(h, func() {
			if !mine() {
				return
			}
			if !own.Owns(w.controllerClock(h), slot, fence) {
				say(state.OpFinishRun, state.RunClaimed, func(bool) { over() })
				return
			}
			w.reachStep(h, "about to send")
			w.atOwner(h, func() {
				if !mine() {
					return
				}
				w.schedule(0.001, func() { // it arrives whatever becomes of its sender
					w.runEffects[fmt.Sprintf("%s %d", name, a.Due)]++
				})
				w.reachStep(h, "has sent")
				w.schedule(0.05+0.3*w.random.Float64(), func() {
					w.atOwner(h, func() {
						if mine() {
							say(state.OpFinishRun, state.RunDone, func(bool) { over() })
						}
					})
				})
			})
		})
	}
	say(state.OpClaimRun, 0, func(ok bool) {
		w.reachStep(h, "taken")
		if !ok {
			over()
			return
		}
		if w.defect == "sent before it is recorded" {
			send()
			say(state.OpStartRun, 0, func(bool) {})
			return
		}
		say(state.OpStartRun, 0, func(ok bool) {
			if ok {
				send()
			} else {
				over()
			}
		})
	})
}

// propose has a command carried out, asking again where no answer comes.
func (w *workSim) propose(h *simController, k *simOwner, c state.Command, then func(why string, ok bool)) {
	c.Controller = state.ControllerID{Name: h.name, Incarnation: h.incarnation}
	k.lastNumber++
	number, life := k.lastNumber, h.starts
	k.callbacks[number] = then
	act := Proposal{Controller: c.Controller, Number: number, Command: c}
	tries := 0
	var try func()
	try = func() {
		if h.starts != life || h.dead || k.callbacks[number] == nil {
			return
		}
		if tries++; tries > 40 {
			delete(k.callbacks, number)
			then("", false)
			return
		}
		to := h.leader
		if w.voters[to] == nil {
			to = w.voterIDs[w.random.IntN(len(w.voterIDs))]
		}
		v := w.voters[to]
		w.send(h.name, w.voterName(to), func() {
			w.atVoter(v, func() {
				if v.core != nil {
					w.fail(v.core.HandleProposal(w.now*v.clockRate, act))
					w.drain(v)
				}
			})
		})
		w.schedule(0.2, func() { w.atOwner(h, try) })
	}
	try()
}

func (w *workSim) takeResult(h *simController, a ProposalResult) {
	if h.worker == nil || a.To.Incarnation != h.incarnation || a.Status != StatusGranted {
		return
	}
	if then := h.worker.callbacks[a.Number]; then != nil {
		delete(h.worker.callbacks, a.Number)
		then(a.Rejection, true)
	}
}

// reachStep lets a test freeze a controller at a named point.
func (w *workSim) reachStep(h *simController, step string) {
	if w.onStep != nil {
		w.onStep(h, step)
	}
}

// checkWork finds what breaks D1, D2, D3 and D6.
func (w *workSim) checkWork() string {
	if w.now < w.checkedAt+0.003 && w.effectViolation == "" { // no overlap of use is shorter
		return ""
	}
	w.checkedAt = w.now
	for i := range simShards {
		for _, duty := range []string{assignment.HealthChecks, assignment.ScheduledJobs} {
			slot, holds := assignment.ShardID{Task: duty, Index: i}, ""
			for _, h := range w.controllers {
				if h.dead || h.owner == nil {
					continue
				}
				if fence, ok := h.owner.Fence(slot); ok && h.owner.Owns(w.controllerClock(h), slot, fence) {
					if holds != "" {
						return fmt.Sprintf("D1: at %.3f %s and %s.%d both hold slice %d of %s", w.now, holds, h.name, h.incarnation, i, duty)
					}
					holds = fmt.Sprintf("%s.%d", h.name, h.incarnation)
				}
			}
		}
	}
	for key, n := range w.runEffects {
		if name, _, _ := strings.Cut(key, " "); n > 1 && name < "c" {
			return fmt.Sprintf("D3: the occurrence %s had %d effects", key, n)
		}
	}
	for id, v := range w.voters {
		if v.core == nil {
			delete(w.previous, id)
			continue
		}
		if was := w.previous[id]; was != nil && was.AppliedCommands == v.core.machine.AppliedCommands {
			continue
		}
		if wrong := v.core.machine.CheckInvariants(w.previous[id]); wrong != "" {
			return "D6: " + wrong
		}
		w.previous[id] = v.core.machine.Clone()
	}
	return w.effectViolation
}

// countOwned counts the shards that some live controller may act in.
func (w *workSim) countOwned() (n int) {
	for i := range simShards {
		for _, duty := range []string{assignment.HealthChecks, assignment.ScheduledJobs} {
			for _, h := range w.controllers {
				if _, ok := h.owner.CanBegin(w.controllerClock(h), assignment.ShardID{Task: duty, Index: i}); ok && !h.dead && !h.frozen {
					n++
					break
				}
			}
		}
	}
	return n
}

// waitOwned plays on without faults until all shards have owners, and tells how long that took, -1 for too long.
func (w *workSim) waitOwned(most float64) float64 {
	from := w.now
	for w.now < from+most && w.violation == "" {
		if w.countOwned() == 2*simShards {
			return w.now - from
		}
		w.run(w.now + 0.01)
	}
	return -1
}

// playWithWork plays one schedule of faults on a fleet with shared work.
func playWithWork(seed uint64, voters int, defect string) *sim {
	s := newWorkSim(seed, voters, 4, defect)
	s.run(4)
	for at := 4.0; at < 16 && s.violation == ""; at += 0.2 + s.random.Float64() {
		s.injectFault()
		s.run(at)
	}
	return s
}

// D1, D2, D3, D6 over schedules of cuts, slow links, duplicated and delayed messages, kills, freezes and clocks apart. A
// seed that fails plays again with SEED.
func TestAtMostOneOwner(t *testing.T) {
	first, count := seedRange(16)
	ran, low := 0, 0
	for seed := first; seed < first+count; seed++ {
		s := playWithWork(seed, 3+2*int(seed%2), "")
		if s.violation != "" {
			t.Fatalf("SEED=%d: %s\n%s", seed, s.violation, strings.Join(s.log, "\n"))
		}
		ran += len(s.sharedWork.runEffects)
		low += s.sharedWork.fencedEffects
		if t := s.sharedWork.waitOwned(20); t < 0 && s.violation == "" && isHealed(s) {
			s.violation = "D4: a slice has no owner 20 s after the last trouble"
		}
		if s.violation != "" {
			t.Fatalf("SEED=%d: %s\n%s", seed, s.violation, strings.Join(s.log, "\n"))
		}
	}
	if ran < int(count)*10 {
		t.Errorf("only %d occurrences ran in %d schedules", ran, count)
	}
	t.Logf("%d schedules, %d occurrences ran, %d effects refused by their fence", count, ran, low)
}

// isHealed tells whether nothing is cut, frozen or dead any more.
func isHealed(s *sim) bool {
	for _, h := range s.controllers {
		if h.dead || h.frozen {
			return false
		}
	}
	for _, v := range s.voters {
		if v.core == nil || v.frozen {
			return false
		}
	}
	return !slices.Contains(slices.Collect(maps.Values(s.cutLinks)), true)
}

// Engines that three controllers have read of late are told to the owners of probing; what a controller told goes with its
// next word, and with it.
func TestEnginesReadCounts(t *testing.T) {
	var d workState
	d.init(1)
	a, b, c := state.ControllerID{Name: "a", Incarnation: 1}, state.ControllerID{Name: "b", Incarnation: 1}, state.ControllerID{Name: "c", Incarnation: 1}
	d.recordEnginesRead(a, []uint32{1, 2})
	d.recordEnginesRead(b, []uint32{1})
	d.recordEnginesRead(c, []uint32{1, 3})
	if d.readerCounts[1] != 3 || d.readerCounts[2] != 1 {
		t.Errorf("%v", d.readerCounts)
	}
	d.recordEnginesRead(b, []uint32{2})
	if d.readerCounts[1] != 2 || d.readerCounts[2] != 2 {
		t.Errorf("%v", d.readerCounts)
	}
	for _, h := range []state.ControllerID{a, b, c} {
		d.forget(h)
	}
	if len(d.readerCounts)+len(d.enginesRead) != 0 {
		t.Errorf("kept: %v, %v", d.readerCounts, d.enginesRead)
	}
}

// Three hundred controllers and a thousand shards, while a tenth of the controllers are killed and started again each
// second: no shard has two owners at any check (D1), most have one all the time, and all do soon after (D4).
func TestThousandShards(t *testing.T) {
	if raceDetector {
		t.Skip("half a minute under the race detector")
	}
	t.Parallel()
	w := &workSim{highestFence: map[assignment.ShardID]uint64{}, runEffects: map[string]int{}, previous: map[uint64]*state.Machine{}, shardCount: 1000}
	s := newSimWith(5, 3, 300, "", w)
	s.unchecked, s.idle = true, true
	look := func() (owned int) {
		owners := map[int]string{}
		for _, h := range s.controllers {
			if h.dead || h.frozen {
				continue
			}
			for _, g := range h.owner.Assignments() {
				if _, may := h.owner.CanBegin(s.controllerClock(h), g.ShardID); !may || g.Task != assignment.HealthChecks {
					continue
				}
				if other := owners[g.Index]; other != "" {
					t.Fatalf("D1: at %.3f %s and %s both hold slice %d", s.now, other, h.name, g.Index)
				}
				owners[g.Index] = h.name
			}
		}
		return len(owners)
	}
	for until := s.now + 20; look() < w.shardCount; s.run(s.now + 0.05) {
		if s.now > until {
			t.Fatalf("%d of %d slices have an owner", look(), w.shardCount)
		}
	}
	least, sum, looks := w.shardCount, 0, 0
	for second := range 8 {
		for i := range 30 {
			h := s.controllers[(second*30+i)%len(s.controllers)]
			s.kill(h)
			s.startController(h)
		}
		for range 20 {
			s.run(s.now + 0.05)
			n := look()
			least, sum, looks = min(least, n), sum+n, looks+1
		}
	}
	from := s.now
	for until := s.now + 10; look() < w.shardCount; s.run(s.now + 0.05) {
		if s.now > until {
			t.Fatalf("%d of %d slices have an owner 10 s after", look(), w.shardCount)
		}
	}
	if s.violation != "" {
		t.Fatal(s.violation)
	}
	t.Logf("a tenth restarted each second: %.0f of %d slices have an owner in the mean, %d at the least; all %.2f s after the last", float64(sum)/float64(looks), w.shardCount, least, s.now-from)
	if sum < looks*w.shardCount*7/10 {
		t.Errorf("%d of %d slices had an owner in the mean", sum/looks, w.shardCount)
	}
}

// Each seeded defect is found within some schedules.
func TestSeededDefectsOfSharedWork(t *testing.T) {
	defects := []string{"fence not kept", "renewal counted from the answer", "sent before it is recorded"}
	if raceDetector {
		defects = defects[2:]
	}
	for _, defect := range defects {
		found := ""
		for seed := uint64(1); seed <= 200 && found == ""; seed++ {
			found = playWithWork(seed, 3, defect).violation
		}
		if found == "" {
			t.Errorf("%s: not found", defect)
		}
		t.Logf("%s: %s", defect, found)
	}
}

// Every point at which an owner may be stopped, times when it goes on again, times three runs: two controllers, all else
// sound. Whatever the point, the other takes over, and no run of a non-idempotent job runs twice.
func TestStopAtEveryStep(t *testing.T) {
	var lines []string
	for _, step := range []string{"begun", "checked", "taken", "sent", "about to send", "has sent"} {
		for _, wakes := range []struct {
			name  string
			after float64
		}{{"before its lease ends", 0.4}, {"when another has just begun", 1.6}, {"long after", 5}, {"never: killed and started again", -1}} {
			twice, ran, low := 0, 0, 0
			most := 3
			if raceDetector {
				most = 1
			}
			for n := 1; n <= most; n++ {
				s := newWorkSim(uint64(7+n), 3, 2, "")
				s.duplicateChance = 0
				s.run(6)
				hits, done := 0, false
				s.sharedWork.onStep = func(h *simController, at string) {
					if at != step || done {
						return
					}
					if hits++; hits != n {
						return
					}
					done = true
					h.frozen = true
					life := h.starts
					if wakes.after < 0 {
						s.schedule(0, func() { s.kill(h) })
						s.schedule(0.02, func() { s.startController(h) })
						return
					}
					s.schedule(wakes.after, func() { s.resumeController(h, life) })
				}
				s.run(13)
				if s.violation != "" || !done {
					t.Fatalf("stopped at %q for the %d. time, goes on %s: %q, reached %v\n%s", step, n, wakes.name, s.violation, done, strings.Join(s.log, "\n"))
				}
				if s.sharedWork.waitOwned(10) < 0 {
					t.Errorf("stopped at %q, goes on %s: a slice has no owner (D4)", step, wakes.name)
				}
				for key, times := range s.sharedWork.runEffects {
					if name, _, _ := strings.Cut(key, " "); name < "c" && times > 1 {
						twice++
					}
				}
				ran, low = ran+len(s.sharedWork.runEffects), low+s.sharedWork.fencedEffects
			}
			lines = append(lines, fmt.Sprintf("stopped when %s, goes on %s: ran twice %d, others ran %v", step, wakes.name, twice, ran > 10*most))
		}
	}
	testutil.CheckTrace(t, lines)
}

// The life cycle of owners: all have owners (D4), one owner's come to others once its lease is surely over,
// without a quorum all stop (D5), and with it all have owners again.
func TestShardLifecycle(t *testing.T) {
	s := newWorkSim(3, 3, 4, "")
	s.duplicateChance = 0
	w := s.sharedWork
	var lines []string
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	took := w.waitOwned(8)
	say("all have owners within 8 s: %v", took > 0)
	s.run(s.now + 3)
	victim := s.controllers[1]
	had := 0
	for i := range simShards {
		if _, ok := victim.owner.Fence(assignment.ShardID{Task: assignment.HealthChecks, Index: i}); ok {
			had++
		}
	}
	s.kill(victim)
	from := s.now
	took = w.waitOwned(5)
	bound := s.timing.ExpiryBound() + 3*0.1 + 2*0.3
	say("the killed one's come to others: after its lease %v, within %.1f s %v", s.now > from+s.timing.TTL*0.9 || had == 0, bound, took >= 0 && took < bound+0.2)
	s.startController(victim)
	s.run(s.now + 4)
	say("back, it has some again: %v", len(victim.owner.Assignments()) > 0)
	if l := s.leader(); l != nil { // what is kept of controllers goes with them
		for h := range l.core.work.reports {
			if l.core.machine.Controllers[h] == nil {
				t.Errorf("%v is gone, and what it told is kept", h)
			}
		}
		for until := s.now + 1; len(l.core.work.revoking)+len(l.core.work.proposals) > 0; s.run(s.now + 0.01) { // an act may be under way
			if s.now > until {
				t.Fatalf("kept: %v, %v", l.core.work.revoking, l.core.work.proposals)
			}
		}
	}
	s.voters[1].core, s.voters[2].core = nil, nil
	s.run(s.now + 2)
	say("without a quorum %d may act", w.countOwned())
	s.startVoter(s.voters[1])
	s.startVoter(s.voters[2])
	say("with it all have owners again: %v", w.waitOwned(10) >= 0)
	if s.violation != "" {
		t.Error(s.violation)
	}
	testutil.CheckTrace(t, lines)
}

// fenced is a shard's target as a register that only takes what is not behind it.
var fenced = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		seen, in := state.(uint64), input.(uint64)
		if taken := output.(bool); taken != (in >= seen) {
			return false, state
		}
		return true, max(seen, in)
	},
}

// Histories of what the targets took and refused are those of a register that fences guard, however long effects were on
// their way; one of a target that keeps no fence is not.
func TestFencingHistories(t *testing.T) {
	check := func(defect string, seeds uint64) (all, wrong int) {
		for seed := uint64(1); seed <= seeds && wrong == 0; seed++ {
			s := playWithWork(seed, 3, defect)
			by := map[assignment.ShardID][]porcupine.Operation{}
			for i, r := range s.sharedWork.arrivals {
				by[r.shard] = append(by[r.shard], porcupine.Operation{ClientId: i, Input: r.fence, Output: r.accepted, Call: int64(r.sentAt * 1e6), Return: int64(r.arrivedAt*1e6) + 1})
			}
			for slot, history := range by {
				all++
				if !porcupine.CheckOperations(fenced, history[:min(len(history), 600)]) {
					if wrong++; defect == "" {
						t.Errorf("seed %d: the history of slice %d is not that of a guarded register", seed, slot.Index)
					}
				}
			}
		}
		return all, wrong
	}
	if raceDetector {
		check("", 2)
		return
	}
	all, _ := check("", 8)
	_, wrong := check(noFencing, 200)
	if all < 20 || wrong == 0 {
		t.Errorf("%d histories; %d of a target without fences were found", all, wrong)
	}
}
