package consensus

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// sim is a fleet in virtual time: voters and controllers with clocks of their own, and a network between them, all from a
// seed. After every event it adds up what each process may still use and what killed ones may still have running.
type sim struct {
	random          *rand.Rand
	now             float64
	events          events
	serial          int
	timing          lease.Timing
	total           float64
	floorReserve    float64
	voterIDs        []uint64
	voters          map[uint64]*simVoter
	controllers     []*simController
	orphaned        []runningRequest // of dead processes, still running at the engines
	cutLinks        map[[2]string]bool
	slowLinks       map[string]float64
	duplicateChance float64
	defect          string
	violation       string
	log             []string
	sharedWork      *workSim       // shared work, nil without
	unchecked       bool           // measured, not checked
	maxControllers  int            // controllers that there may be
	idle            bool           // controllers begin nothing by themselves
	messageCounts   map[string]int // messages at a voter
	byteCounts      map[string]int
	nextVoters      []uint64 // who shall vote, where that changes
	lastGrowthAt    float64  // the latest time at which any controller was told more
}

type event struct {
	at     float64
	serial int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].serial < e[k].serial
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// runningRequest is something begun that counts until it ends.
type runningRequest struct {
	quantity string
	amount   float64
	end      float64
}

type simVoter struct {
	id        uint64
	core      *Core
	persisted Persisted
	clockRate float64 // of its clock
	frozen    bool
	deferred  []func()
	boot      uint64
}

type simController struct {
	name        string
	lease       *lease.Holder
	quotas      map[string]*lease.Quota
	incarnation uint64
	clockRate   float64
	clockOffset float64
	leader      uint64
	answered    bool // it has had an answer
	dead        bool
	frozen      bool
	deferred    []func()
	running     []runningRequest
	demand      float64 // of tokens a second that it would spend
	starts      int
	index       int
	owner       *assignment.Owner
	worker      *simOwner
}

func (s *sim) schedule(d float64, do func()) {
	s.serial++
	heap.Push(&s.events, event{s.now + d, s.serial, do})
}

func (s *sim) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%.3f ", s.now)+fmt.Sprintf(format, args...))
}

// newSim makes a fleet of voters and controllers that share an occupancy and a rate.
func newSim(seed uint64, voters, holders int, defect string) *sim {
	return newSimWith(seed, voters, holders, defect, nil)
}

// newSimWith makes one with shared work.
func newSimWith(seed uint64, voters, holders int, defect string, w *workSim) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 5)), timing: lease.Timing{TTL: 1, MaxDrift: 0.001, Linger: 0.8}, total: 100, floorReserve: 8,
		voters: map[uint64]*simVoter{}, cutLinks: map[[2]string]bool{}, slowLinks: map[string]float64{}, duplicateChance: 0.02, defect: defect, sharedWork: w, maxControllers: holders}
	if w != nil {
		w.sim = s
	}
	for id := range uint64(voters) {
		s.voterIDs = append(s.voterIDs, id+1)
	}
	for _, id := range s.voterIDs {
		v := &simVoter{id: id, clockRate: s.drawClockRate(), persisted: Persisted{Snapshot: InitialSnapshot(s.voterIDs)}}
		s.voters[v.id] = v
		s.startVoter(v)
	}
	for i := range holders {
		h := &simController{name: fmt.Sprintf("c%d", i), clockRate: s.drawClockRate(), clockOffset: 1000 * s.random.Float64(), demand: s.random.Float64()}
		s.controllers = append(s.controllers, h)
		s.startController(h)
	}
	return s
}

// drawClockRate is how fast one runs: within the bound on either side.
func (s *sim) drawClockRate() float64 { return 1 + s.timing.MaxDrift*(2*s.random.Float64()-1) }

func (s *sim) quantities() []state.Quantity {
	return []state.Quantity{{Name: "memory", Total: s.total, FloorReserve: s.floorReserve}, {Name: "further", Kind: state.Rate, Total: s.total, FloorReserve: s.floorReserve, Window: 0.5}}
}

func (s *sim) startVoter(v *simVoter) {
	set := Config{ID: v.id, Voters: s.voterIDs, Timing: s.timing, HeartbeatInterval: 0.05, RebalanceInterval: 0.1, Allocation: allocation.Config{Reserve: 0.05, Hysteresis: 0.1},
		MaxControllers: max(100, s.maxControllers), Generation: 1, Quantities: s.quantities(), Tasks: s.tasks(), VoterGeneration: 1}
	v.boot++
	set.Boot = v.boot
	if s.nextVoters != nil {
		set.Voters, set.VoterGeneration = s.nextVoters, 2
	}
	core, err := New(set, v.persisted)
	if err != nil {
		s.violation = err.Error()
		return
	}
	v.core, v.frozen, v.deferred = core, false, nil
	var tick func()
	tick = func() {
		if v.core != core {
			return
		}
		s.atVoter(v, func() {
			s.fail(core.Tick(s.now * v.clockRate))
			s.drain(v)
		})
		s.schedule(0.05*(0.9+0.2*s.random.Float64()), tick)
	}
	s.schedule(0.05*s.random.Float64(), tick)
}

// atVoter does something at a voter, or once it goes on.
func (s *sim) atVoter(v *simVoter, do func()) {
	if v.frozen {
		if len(v.deferred) < 50 {
			v.deferred = append(v.deferred, do)
		}
		return
	}
	do()
}

func (s *sim) voterName(id uint64) string { return fmt.Sprintf("v%d", id) }

// send has something arrive elsewhere, unless the link is cut; what is on its way when it is cut still arrives.
func (s *sim) send(from, to string, do func()) {
	if s.cutLinks[[2]string{from, to}] {
		return
	}
	delay := func() float64 {
		return 0.0005 + 0.004*s.random.Float64() + (s.slowLinks[from]+s.slowLinks[to])*s.random.Float64()
	}
	s.schedule(delay(), do)
	if s.random.Float64() < s.duplicateChance {
		s.schedule(delay()+0.2*s.random.Float64(), do)
	}
}

// countMessage counts a message at a voter, where that is measured.
func (s *sim) countMessage(at string, m any) {
	if s.messageCounts == nil {
		return
	}
	s.messageCounts[at]++
	if p, is := m.(*raftpb.Message); is {
		b, _ := marshal(p)
		s.byteCounts[at] += len(b)
	} else {
		b, _ := msgpack.Marshal(m)
		s.byteCounts[at] += len(b)
	}
}

// fail notes an error of a core, which none should have.
func (s *sim) fail(err error) {
	if err != nil && s.violation == "" {
		s.violation = err.Error()
	}
}

// drain carries out what a voter puts out.
func (s *sim) drain(v *simVoter) {
	core := v.core
	if s.defect == "votes that tell too late a time" {
		core.lastLeaderContact = -1e9
	}
	for core.HasReady() {
		out := core.Ready()
		if out.Snapshot != nil {
			v.persisted.Snapshot = out.Snapshot
			v.persisted.Entries = nil
		}
		if out.HardState != nil {
			v.persisted.HardState = out.HardState
		}
		for _, e := range out.Entries {
			for len(v.persisted.Entries) > 0 && v.persisted.Entries[len(v.persisted.Entries)-1].GetIndex() >= e.GetIndex() {
				v.persisted.Entries = v.persisted.Entries[:len(v.persisted.Entries)-1]
			}
			v.persisted.Entries = append(v.persisted.Entries, e)
		}
		for _, m := range out.Messages {
			if s.defect == "votes that tell too late a time" && m.GetType() == raftpb.MsgVoteResp { // as if no leader had been confirmed for long
				m.Context = binary.BigEndian.AppendUint64(nil, math.Float64bits(5))
			}
			peer := s.voters[m.GetTo()]
			s.countMessage(s.voterName(v.id), m)
			if peer == nil {
				continue
			}
			s.send(s.voterName(v.id), s.voterName(peer.id), func() {
				s.atVoter(peer, func() {
					if peer.core != nil {
						_ = peer.core.Step(s.now*peer.clockRate, clone(m)) // it may pass over a message; a failed core shows with its next Tick
						s.drain(peer)
					}
				})
			})
		}
		for _, a := range out.Results {
			for _, h := range s.controllers {
				if h.name == a.To.Name {
					s.send(s.voterName(v.id), h.name, func() { s.atController(h, func() { s.sharedWork.takeResult(h, a) }) })
				}
			}
		}
		for _, a := range out.Responses {
			s.countMessage(s.voterName(v.id), a)
			for _, h := range s.controllers {
				if h.name == a.To.Name {
					s.send(s.voterName(v.id), h.name, func() { s.atController(h, func() { s.handleResponse(h, v.id, a) }) })
				}
			}
		}
		if s.defect == "settled early" && core.leading {
			for _, c := range core.machine.SortedControllers() {
				for _, name := range simQuantities {
					if hold := c.Allocations[name]; hold.Committed > hold.Amount {
						core.enqueue(state.Command{Op: state.OpSettle, Controller: c.ControllerID, Subject: name, Number: hold.Revision})
					}
				}
			}
		}
		if err := core.Advance(s.now * v.clockRate); err != nil {
			s.violation = err.Error()
		}
	}
}

func clone(m *raftpb.Message) *raftpb.Message {
	c := &raftpb.Message{}
	b, err := marshal(m)
	if err == nil {
		err = unmarshal(b, c)
	}
	if err != nil {
		panic(err)
	}
	return c
}

// atController does something at a controller, or once it goes on.
func (s *sim) atController(h *simController, do func()) {
	switch {
	case h.dead:
	case h.frozen:
		if len(h.deferred) < 20 {
			h.deferred = append(h.deferred, do)
		}
	default:
		do()
	}
}

func (s *sim) controllerClock(h *simController) float64 { return s.now*h.clockRate + h.clockOffset }

// startController starts a new incarnation of a controller.
func (s *sim) startController(h *simController) {
	h.starts++
	life := h.starts
	rules := s.timing
	switch s.defect {
	case "lease too long":
		rules.TTL *= 3
	case "a part kept for good":
		rules.TTL = 1e6
	case "floors from the start":
		rules.Linger = -10
	}
	h.clockOffset = 1000 * s.random.Float64()
	h.lease = lease.New(s.controllerClock(h), rules)
	floor := s.floorReserve / float64(2*len(s.controllers)+20) // as many lives again may be on their way out
	h.quotas = map[string]*lease.Quota{"memory": h.lease.SetQuota("memory", floor, 0), "further": h.lease.SetQuota("further", floor, 0.5)}
	h.dead, h.frozen, h.deferred, h.running = false, false, nil, nil
	if s.sharedWork != nil {
		s.sharedWork.startOwner(h)
	}
	if s.defect != "same incarnation" || h.incarnation == 0 {
		h.incarnation++
	}
	asked := false
	var ask, work func()
	ask = func() {
		if h.starts != life || h.dead {
			return
		}
		if asked = !asked; asked || h.lease.NeedsRenewal(s.controllerClock(h)) {
			s.atController(h, func() { s.sendRequest(h) })
		}
		s.schedule(0.1*(0.9+0.2*s.random.Float64()), ask)
	}
	work = func() {
		if h.starts != life || h.dead {
			return
		}
		if !s.idle {
			s.atController(h, func() { s.runRequests(h) })
		}
		s.schedule(0.01+0.02*s.random.Float64(), work)
	}
	s.schedule(0.1*s.random.Float64(), ask)
	s.schedule(0.1*s.random.Float64(), work)
}

func (s *sim) sendRequest(h *simController) {
	for _, name := range simQuantities {
		if hold := h.quotas[name]; !s.idle {
			hold.SetDemand(hold.Used(s.controllerClock(h)) + 30*h.demand)
		}
	}
	number, reports := h.lease.NewRequest(s.controllerClock(h))
	a := LeaseRequest{Controller: state.ControllerID{Name: h.name, Incarnation: h.incarnation}, Number: number, Generation: 1, ConfigDigest: ConfigDigest(s.quantities(), s.tasks())}
	if s.sharedWork != nil {
		s.sharedWork.addReport(h, &a)
	}
	for _, r := range reports {
		a.Demands = append(a.Demands, Demand{Quantity: r.Quantity, Revision: r.Revision, Used: r.Used, Wanted: r.Demand})
	}
	to := h.leader
	if s.voters[to] == nil {
		to = uint64(1 + s.random.IntN(len(s.voters)))
	}
	v := s.voters[to]
	h.leader = 0 // unless it answers
	s.countMessage(s.voterName(to), a)
	s.send(h.name, s.voterName(to), func() {
		s.atVoter(v, func() {
			if v.core == nil {
				return
			}
			s.fail(v.core.HandleLeaseRequest(s.now*v.clockRate, a))
			if s.defect == "old leader's word" && v.core.leading { // no quorum is asked
				v.core.pendingReads[0] = pendingRead{requests: v.core.unconfirmed}
				v.core.unconfirmed = nil
				v.core.answerRead(0)
			}
			s.drain(v)
		})
	})
}

func (s *sim) handleResponse(h *simController, from uint64, a LeaseResponse) {
	if a.To.Incarnation != h.incarnation {
		return
	}
	h.leader = from
	if s.defect == "no part after a cut" && h.answered && !h.lease.Valid(s.controllerClock(h)) {
		return
	}
	switch a.Status {
	case StatusGranted:
		h.answered = true
		before := h.lease.Limit(s.controllerClock(h), h.quotas["memory"])
		asked, _ := h.lease.RequestedAt(a.Number)
		if h.lease.Renew(a.Number, a.Grants) {
			h.index = a.Index
			if s.sharedWork != nil {
				s.sharedWork.takeResponse(h, asked, a)
			}
			if h.lease.Limit(s.controllerClock(h), h.quotas["memory"]) > before {
				s.lastGrowthAt = s.now
			}
		}
	case StatusNotLeader:
		h.leader = a.Leader
	case StatusStaleIncarnation:
		h.incarnation = a.Incarnation + 1
	case StatusReplaced:
		h.lease.Revoke()
	}
}

// runRequests ends what has run long enough and begins more where the quota has room.
func (s *sim) runRequests(h *simController) {
	now := s.controllerClock(h)
	h.running = slices.DeleteFunc(h.running, func(j runningRequest) bool {
		if j.end <= s.now {
			h.quotas["memory"].Release(j.amount)
		}
		return j.end <= s.now
	})
	for _, name := range simQuantities {
		hold := h.quotas[name]
		amount := 0.2 + 2*s.random.Float64()
		if s.random.Float64() < h.demand && h.lease.Acquire(now, hold, amount) && name == "memory" {
			h.running = append(h.running, runningRequest{name, amount, s.now + s.timing.Linger*s.random.Float64()})
		}
	}
}

var simQuantities = []string{"memory", "further"}

// kill ends an incarnation; what it had running goes on at the engines for its time.
func (s *sim) kill(h *simController) {
	s.orphaned = append(s.orphaned, h.running...)
	if used := h.quotas["further"].Used(s.controllerClock(h)); used > 0 {
		s.orphaned = append(s.orphaned, runningRequest{"further", used, s.now + 0.5})
	}
	h.dead, h.running = true, nil
}

// check adds up what may be in use of each quantity.
func (s *sim) check() {
	s.orphaned = slices.DeleteFunc(s.orphaned, func(j runningRequest) bool { return j.end <= s.now })
	for _, name := range simQuantities {
		sum := 0.0
		for _, j := range s.orphaned {
			if j.quantity == name {
				sum += j.amount
			}
		}
		for _, h := range s.controllers {
			if !h.dead {
				used := h.quotas[name].Used(s.controllerClock(h))
				sum += max(h.lease.Limit(s.controllerClock(h), h.quotas[name])-used, 0) // that it may begin yet
				if name == "memory" {                                                   // jobs end whether or not their controller is awake to see it
					for _, j := range h.running {
						if j.end > s.now {
							sum += j.amount
						}
					}
				} else {
					sum += used
				}
			}
		}
		if sum > s.total+1e-6 && s.violation == "" {
			s.violation = fmt.Sprintf("B1: at %.3f %.3f of %g of %s may be in use", s.now, sum, s.total, name)
			s.describe(name)
		}
	}
	for _, v := range s.voters {
		if v.core != nil && s.violation == "" {
			s.violation = v.core.machine.CheckInvariants(nil)
		}
	}
	if s.sharedWork != nil && s.violation == "" {
		s.violation = s.sharedWork.checkWork()
	}
}

// describe writes down who holds what.
func (s *sim) describe(name string) {
	for _, h := range s.controllers {
		s.logf("%s.%d dead %v frozen %v limit %.2f used %.2f, leased until %.3f of %.3f", h.name, h.incarnation, h.dead, h.frozen, h.lease.Limit(s.controllerClock(h), h.quotas[name]),
			h.quotas[name].Used(s.controllerClock(h)), h.lease.ExpiresAt(), s.controllerClock(h))
	}
	for _, j := range s.orphaned {
		s.logf("a ghost's job of %.2f of %s until %.3f", j.amount, j.quantity, j.end)
	}
	for _, id := range s.voterIDs {
		v := s.voters[id]
		if v.core == nil {
			continue
		}
		s.logf("v%d leads %v term %d frozen %v", id, v.core.leading, v.core.Term(), v.frozen)
		for _, c := range v.core.machine.SortedControllers() {
			s.logf("  %s.%d replaced %v %+v seen %.3f of %.3f", c.Name, c.Incarnation, c.Replaced, c.Allocations[name], v.core.lastRequestAt[c.ControllerID], s.now*v.clockRate)
		}
	}
}

// run plays until a time or the first thing wrong.
func (s *sim) run(to float64) {
	for len(s.events) > 0 && s.violation == "" {
		if s.events[0].at > to {
			s.now = to
			return
		}
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		if !s.unchecked {
			s.check()
		}
	}
}

// leader is the voter that leads with the latest term, nil for none.
func (s *sim) leader() (best *simVoter) {
	for _, id := range slices.Sorted(maps.Keys(s.voters)) {
		if v := s.voters[id]; v.core != nil && v.core.leading && (best == nil || v.core.Term() > best.core.Term()) {
			best = v
		}
	}
	return best
}

// names are the names of all.
func (s *sim) names() (all []string) {
	for id := range uint64(len(s.voters)) {
		all = append(all, s.voterName(id+1))
	}
	for _, h := range s.controllers {
		all = append(all, h.name)
	}
	return all
}

// isolate cuts a party off, or joins it again; only asks or answers where there or back alone is set.
func (s *sim) isolate(name string, there, back bool) {
	for _, o := range s.names() {
		s.cutLinks[[2]string{name, o}], s.cutLinks[[2]string{o, name}] = there, back
	}
}

// partition cuts some voters from the others, or joins them again; controllers reach all.
func (s *sim) partition(some []string, cut bool) {
	for _, id := range s.voterIDs {
		if o := s.voterName(id); !slices.Contains(some, o) {
			for _, name := range some {
				s.cutLinks[[2]string{name, o}], s.cutLinks[[2]string{o, name}] = cut, cut
			}
		}
	}
}

// injectFault does one thing drawn by chance, and undoes it later.
func (s *sim) injectFault() {
	length := 0.2 + 3*s.random.Float64()
	all := s.names()
	who := all[s.random.IntN(len(all))]
	v := s.voters[uint64(1+s.random.IntN(len(s.voters)))]
	if l := s.leader(); l != nil && s.random.IntN(2) == 0 {
		v = l
	}
	h := s.controllers[s.random.IntN(len(s.controllers))]
	switch s.random.IntN(11) {
	case 0:
		s.logf("%s cut off", who)
		s.isolate(who, true, true)
		s.schedule(length, func() { s.isolate(who, false, false) })
	case 1:
		s.logf("%s is not heard", who)
		s.isolate(who, true, false)
		s.schedule(length, func() { s.isolate(who, false, false) })
	case 2:
		s.logf("%s hears nothing", who)
		s.isolate(who, false, true)
		s.schedule(length, func() { s.isolate(who, false, false) })
	case 3:
		s.logf("%s slow", who)
		s.slowLinks[who] = 0.5
		s.schedule(length, func() { delete(s.slowLinks, who) })
	case 4:
		if v.core == nil || v.frozen {
			return
		}
		s.logf("%s killed", s.voterName(v.id))
		v.core = nil
		s.schedule(length, func() { s.startVoter(v) })
	case 5:
		if v.core == nil || v.frozen {
			return
		}
		s.logf("%s frozen", s.voterName(v.id))
		v.frozen = true
		s.schedule(length, func() { s.resumeVoter(v) })
	case 6:
		if h.dead || h.frozen {
			return
		}
		s.logf("%s killed", h.name)
		s.kill(h)
		if s.random.IntN(2) == 0 {
			length = 0.01
		}
		s.schedule(length, func() { s.startController(h) })
	case 7:
		if h.dead || h.frozen {
			return
		}
		s.logf("%s frozen", h.name)
		h.frozen = true
		life := h.starts
		s.schedule(length, func() { s.resumeController(h, life) })
	case 9, 10: // a leader cut from its quorum but not from its controllers, or voters split in two
		var some []string
		for i, id := range s.voterIDs {
			if name := s.voterName(id); id == v.id || s.random.IntN(2) == 0 && i < len(s.voterIDs)/2 {
				some = append(some, name)
			}
		}
		s.logf("%v cut off from the other voters", some)
		s.partition(some, true)
		s.schedule(length, func() { s.partition(some, false) })
	case 8:
		s.logf("demand turns")
		for _, h := range s.controllers {
			h.demand = s.random.Float64()
		}
	}
}

func (s *sim) resumeVoter(v *simVoter) {
	v.frozen = false
	missed := v.deferred
	v.deferred = nil
	for _, do := range missed {
		do()
	}
}

// resumeController resumes a controller with what came meanwhile, in its sockets' buffers as it were.
func (s *sim) resumeController(h *simController, life int) {
	if h.starts != life || h.dead {
		return
	}
	h.frozen = false
	missed := h.deferred
	h.deferred = nil
	for _, do := range missed {
		do()
	}
}
