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

// sim is a fleet in virtual time: voters and holders with clocks of their own, and a network between them, all from a
// seed. After every event it adds up what each process may still spend and what dead ones may still have running.
type sim struct {
	r       *rand.Rand
	at      float64
	events  events
	serial  int
	rules   lease.Timing
	whole   float64
	aside   float64
	ids     []uint64
	voters  map[uint64]*voterSim
	holders []*holderSim
	ghosts  []job // of dead processes, still running at the engines
	cut     map[[2]string]bool
	slow    map[string]float64
	dup     float64
	defect  string
	wrong   string
	log     []string
	work1   *works         // duties, nil without
	calm    bool           // measured, not checked
	many    int            // holders that there may be
	idle    bool           // holders begin nothing by themselves
	sent    map[string]int // messages at a voter
	bytes   map[string]int
	voting  []uint64 // who shall vote, where that changes
	grown   float64  // the latest time at which any holder was told more
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

// job is something begun that counts until it ends.
type job struct {
	quantity string
	amount   float64
	end      float64
}

type voterSim struct {
	id     uint64
	core   *Core
	kept   Persisted
	rate   float64 // of its clock
	frozen bool
	missed []func()
	life   uint64
}

type holderSim struct {
	name   string
	parts  *lease.Holder
	holds  map[string]*lease.Quota
	inc    uint64
	rate   float64
	offset float64
	leader uint64
	asked  bool // it has had an answer
	dead   bool
	frozen bool
	missed []func()
	jobs   []job
	wants  float64 // of tokens a second that it would spend
	life   int
	index  int
	own    *assignment.Owner
	worker *worker
}

func (s *sim) after(d float64, do func()) {
	s.serial++
	heap.Push(&s.events, event{s.at + d, s.serial, do})
}

func (s *sim) say(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%.3f ", s.at)+fmt.Sprintf(format, args...))
}

// newSim makes a fleet of voters and holders that share a held and a paced quantity.
func newSim(seed uint64, voters, holders int, defect string) *sim {
	return newSimWith(seed, voters, holders, defect, nil)
}

// newSimWith makes one with duties.
func newSimWith(seed uint64, voters, holders int, defect string, w *works) *sim {
	s := &sim{r: rand.New(rand.NewPCG(seed, 5)), rules: lease.Timing{TTL: 1, MaxDrift: 0.001, Linger: 0.8}, whole: 100, aside: 8,
		voters: map[uint64]*voterSim{}, cut: map[[2]string]bool{}, slow: map[string]float64{}, dup: 0.02, defect: defect, work1: w, many: holders}
	if w != nil {
		w.sim = s
	}
	for id := range uint64(voters) {
		s.ids = append(s.ids, id+1)
	}
	for _, id := range s.ids {
		v := &voterSim{id: id, rate: s.clock(), kept: Persisted{Snapshot: InitialSnapshot(s.ids)}}
		s.voters[v.id] = v
		s.startVoter(v)
	}
	for i := range holders {
		h := &holderSim{name: fmt.Sprintf("c%d", i), rate: s.clock(), offset: 1000 * s.r.Float64(), wants: s.r.Float64()}
		s.holders = append(s.holders, h)
		s.startHolder(h)
	}
	return s
}

// clock is how fast one runs: within the bound on either side.
func (s *sim) clock() float64 { return 1 + s.rules.MaxDrift*(2*s.r.Float64()-1) }

func (s *sim) quantities() []state.Quantity {
	return []state.Quantity{{Name: "memory", Total: s.whole, FloorReserve: s.aside}, {Name: "further", Kind: state.Rate, Total: s.whole, FloorReserve: s.aside, Window: 0.5}}
}

func (s *sim) startVoter(v *voterSim) {
	set := Config{ID: v.id, Voters: s.ids, Timing: s.rules, HeartbeatInterval: 0.05, RebalanceInterval: 0.1, Allocation: allocation.Config{Reserve: 0.05, Hysteresis: 0.1},
		MaxControllers: max(100, s.many), Generation: 1, Quantities: s.quantities(), Tasks: s.duties(), VoterGeneration: 1}
	v.life++
	set.Boot = v.life
	if s.voting != nil {
		set.Voters, set.VoterGeneration = s.voting, 2
	}
	core, err := New(set, v.kept)
	if err != nil {
		s.wrong = err.Error()
		return
	}
	v.core, v.frozen, v.missed = core, false, nil
	var tick func()
	tick = func() {
		if v.core != core {
			return
		}
		s.at1(v, func() {
			core.Tick(s.at * v.rate)
			s.drain(v)
		})
		s.after(0.05*(0.9+0.2*s.r.Float64()), tick)
	}
	s.after(0.05*s.r.Float64(), tick)
}

// at1 does something at a voter, or once it goes on.
func (s *sim) at1(v *voterSim, do func()) {
	if v.frozen {
		if len(v.missed) < 50 {
			v.missed = append(v.missed, do)
		}
		return
	}
	do()
}

func (s *sim) name(id uint64) string { return fmt.Sprintf("v%d", id) }

// send has something arrive elsewhere, unless the link is cut; what is on its way when it is cut still arrives.
func (s *sim) send(from, to string, do func()) {
	if s.cut[[2]string{from, to}] {
		return
	}
	delay := func() float64 { return 0.0005 + 0.004*s.r.Float64() + (s.slow[from]+s.slow[to])*s.r.Float64() }
	s.after(delay(), do)
	if s.r.Float64() < s.dup {
		s.after(delay()+0.2*s.r.Float64(), do)
	}
}

// count counts a message at a voter, where that is measured.
func (s *sim) count(at string, m any) {
	if s.sent == nil {
		return
	}
	s.sent[at]++
	if p, is := m.(*raftpb.Message); is {
		b, _ := marshal(p)
		s.bytes[at] += len(b)
	} else {
		b, _ := msgpack.Marshal(m)
		s.bytes[at] += len(b)
	}
}

// drain carries out what a voter puts out.
func (s *sim) drain(v *voterSim) {
	core := v.core
	if s.defect == "votes that tell too late a time" {
		core.lastLeaderContact = -1e9
	}
	for core.HasReady() {
		out := core.Ready()
		if out.Snapshot != nil {
			v.kept.Snapshot = out.Snapshot
			v.kept.Entries = nil
		}
		if out.HardState != nil {
			v.kept.HardState = out.HardState
		}
		for _, e := range out.Entries {
			for len(v.kept.Entries) > 0 && v.kept.Entries[len(v.kept.Entries)-1].GetIndex() >= e.GetIndex() {
				v.kept.Entries = v.kept.Entries[:len(v.kept.Entries)-1]
			}
			v.kept.Entries = append(v.kept.Entries, e)
		}
		for _, m := range out.Messages {
			if s.defect == "votes that tell too late a time" && m.GetType() == raftpb.MsgVoteResp { // as if no leader had been confirmed for long
				m.Context = binary.BigEndian.AppendUint64(nil, math.Float64bits(5))
			}
			peer := s.voters[m.GetTo()]
			s.count(s.name(v.id), m)
			if peer == nil {
				continue
			}
			s.send(s.name(v.id), s.name(peer.id), func() {
				s.at1(peer, func() {
					if peer.core != nil {
						peer.core.Step(s.at*peer.rate, clone(m))
						s.drain(peer)
					}
				})
			})
		}
		for _, a := range out.Results {
			for _, h := range s.holders {
				if h.name == a.To.Name {
					s.send(s.name(v.id), h.name, func() { s.at2(h, func() { s.work1.acted(h, a) }) })
				}
			}
		}
		for _, a := range out.Responses {
			s.count(s.name(v.id), a)
			for _, h := range s.holders {
				if h.name == a.To.Name {
					s.send(s.name(v.id), h.name, func() { s.at2(h, func() { s.hear(h, v.id, a) }) })
				}
			}
		}
		if s.defect == "settled early" && core.leading {
			for _, c := range core.machine.SortedControllers() {
				for _, name := range both {
					if hold := c.Allocations[name]; hold.Committed > hold.Amount {
						core.enqueue(state.Command{Op: state.OpSettle, Controller: c.ControllerID, Subject: name, Number: hold.Revision})
					}
				}
			}
		}
		if err := core.Advance(s.at * v.rate); err != nil {
			s.wrong = err.Error()
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

// at2 does something at a holder, or once it goes on.
func (s *sim) at2(h *holderSim, do func()) {
	switch {
	case h.dead:
	case h.frozen:
		if len(h.missed) < 20 {
			h.missed = append(h.missed, do)
		}
	default:
		do()
	}
}

func (s *sim) now(h *holderSim) float64 { return s.at*h.rate + h.offset }

// startHolder begins a life of a controller.
func (s *sim) startHolder(h *holderSim) {
	h.life++
	life := h.life
	rules := s.rules
	switch s.defect {
	case "lease too long":
		rules.TTL *= 3
	case "a part kept for good":
		rules.TTL = 1e6
	case "floors from the start":
		rules.Linger = -10
	}
	h.offset = 1000 * s.r.Float64()
	h.parts = lease.New(s.now(h), rules)
	floor := s.aside / float64(2*len(s.holders)+20) // as many lives again may be on their way out
	h.holds = map[string]*lease.Quota{"memory": h.parts.SetQuota("memory", floor, 0), "further": h.parts.SetQuota("further", floor, 0.5)}
	h.dead, h.frozen, h.missed, h.jobs = false, false, nil, nil
	if s.work1 != nil {
		s.work1.start(h)
	}
	if s.defect != "same incarnation" || h.inc == 0 {
		h.inc++
	}
	asked := false
	var ask, work func()
	ask = func() {
		if h.life != life || h.dead {
			return
		}
		if asked = !asked; asked || h.parts.NeedsRenewal(s.now(h)) {
			s.at2(h, func() { s.ask(h) })
		}
		s.after(0.1*(0.9+0.2*s.r.Float64()), ask)
	}
	work = func() {
		if h.life != life || h.dead {
			return
		}
		if !s.idle {
			s.at2(h, func() { s.work(h) })
		}
		s.after(0.01+0.02*s.r.Float64(), work)
	}
	s.after(0.1*s.r.Float64(), ask)
	s.after(0.1*s.r.Float64(), work)
}

func (s *sim) ask(h *holderSim) {
	for _, name := range both {
		if hold := h.holds[name]; !s.idle {
			hold.SetDemand(hold.Used(s.now(h)) + 30*h.wants)
		}
	}
	number, reports := h.parts.NewRequest(s.now(h))
	a := LeaseRequest{Controller: state.ControllerID{Name: h.name, Incarnation: h.inc}, Number: number, Generation: 1, ConfigDigest: ConfigDigest(s.quantities(), s.duties())}
	if s.work1 != nil {
		s.work1.ask(h, &a)
	}
	for _, r := range reports {
		a.Demands = append(a.Demands, Demand{Quantity: r.Quantity, Revision: r.Revision, Used: r.Used, Wanted: r.Demand})
	}
	to := h.leader
	if s.voters[to] == nil {
		to = uint64(1 + s.r.IntN(len(s.voters)))
	}
	v := s.voters[to]
	h.leader = 0 // unless it answers
	s.count(s.name(to), a)
	s.send(h.name, s.name(to), func() {
		s.at1(v, func() {
			if v.core == nil {
				return
			}
			v.core.HandleLeaseRequest(s.at*v.rate, a)
			if s.defect == "old leader's word" && v.core.leading { // no quorum is asked
				v.core.pendingReads[0] = pendingRead{requests: v.core.unconfirmed}
				v.core.unconfirmed = nil
				v.core.answerRead(0)
			}
			s.drain(v)
		})
	})
}

func (s *sim) hear(h *holderSim, from uint64, a LeaseResponse) {
	if a.To.Incarnation != h.inc {
		return
	}
	h.leader = from
	if s.defect == "no part after a cut" && h.asked && !h.parts.Valid(s.now(h)) {
		return
	}
	switch a.Status {
	case StatusGranted:
		h.asked = true
		before := h.parts.Limit(s.now(h), h.holds["memory"])
		asked, _ := h.parts.RequestedAt(a.Number)
		if h.parts.Renew(a.Number, a.Grants) {
			h.index = a.Index
			if s.work1 != nil {
				s.work1.hear(h, asked, a)
			}
			if h.parts.Limit(s.now(h), h.holds["memory"]) > before {
				s.grown = s.at
			}
		}
	case StatusNotLeader:
		h.leader = a.Leader
	case StatusStaleIncarnation:
		h.inc = a.Incarnation + 1
	case StatusReplaced:
		h.parts.Revoke()
	}
}

// work ends what has run long enough and begins more where the part has room.
func (s *sim) work(h *holderSim) {
	now := s.now(h)
	h.jobs = slices.DeleteFunc(h.jobs, func(j job) bool {
		if j.end <= s.at {
			h.holds["memory"].Release(j.amount)
		}
		return j.end <= s.at
	})
	for _, name := range both {
		hold := h.holds[name]
		amount := 0.2 + 2*s.r.Float64()
		if s.r.Float64() < h.wants && h.parts.Acquire(now, hold, amount) && name == "memory" {
			h.jobs = append(h.jobs, job{name, amount, s.at + s.rules.Linger*s.r.Float64()})
		}
	}
}

var both = []string{"memory", "further"}

// kill ends a life; what it had running goes on at the engines for its time.
func (s *sim) kill(h *holderSim) {
	for _, j := range h.jobs {
		s.ghosts = append(s.ghosts, j)
	}
	if used := h.holds["further"].Used(s.now(h)); used > 0 {
		s.ghosts = append(s.ghosts, job{"further", used, s.at + 0.5})
	}
	h.dead, h.jobs = true, nil
}

// check adds up what may be in use of each quantity.
func (s *sim) check() {
	s.ghosts = slices.DeleteFunc(s.ghosts, func(j job) bool { return j.end <= s.at })
	for _, name := range both {
		sum := 0.0
		for _, j := range s.ghosts {
			if j.quantity == name {
				sum += j.amount
			}
		}
		for _, h := range s.holders {
			if !h.dead {
				used := h.holds[name].Used(s.now(h))
				sum += max(h.parts.Limit(s.now(h), h.holds[name])-used, 0) // that it may begin yet
				if name == "memory" {                                      // jobs end whether or not their holder is awake to see it
					for _, j := range h.jobs {
						if j.end > s.at {
							sum += j.amount
						}
					}
				} else {
					sum += used
				}
			}
		}
		if sum > s.whole+1e-6 && s.wrong == "" {
			s.wrong = fmt.Sprintf("B1: at %.3f %.3f of %g of %s may be in use", s.at, sum, s.whole, name)
			s.tell(name)
		}
	}
	for _, v := range s.voters {
		if v.core != nil && s.wrong == "" {
			s.wrong = v.core.machine.CheckInvariants(nil)
		}
	}
	if s.work1 != nil && s.wrong == "" {
		s.wrong = s.work1.check()
	}
}

// tell writes down who holds what.
func (s *sim) tell(name string) {
	for _, h := range s.holders {
		s.say("%s.%d dead %v frozen %v limit %.2f used %.2f, leased until %.3f of %.3f", h.name, h.inc, h.dead, h.frozen, h.parts.Limit(s.now(h), h.holds[name]),
			h.holds[name].Used(s.now(h)), h.parts.ExpiresAt(), s.now(h))
	}
	for _, j := range s.ghosts {
		s.say("a ghost's job of %.2f of %s until %.3f", j.amount, j.quantity, j.end)
	}
	for _, id := range s.ids {
		v := s.voters[id]
		if v.core == nil {
			continue
		}
		s.say("v%d leads %v term %d frozen %v", id, v.core.leading, v.core.Term(), v.frozen)
		for _, c := range v.core.machine.SortedControllers() {
			s.say("  %s.%d replaced %v %+v seen %.3f of %.3f", c.Name, c.Incarnation, c.Replaced, c.Allocations[name], v.core.lastRequestAt[c.ControllerID], s.at*v.rate)
		}
	}
}

// run plays until a time or the first thing wrong.
func (s *sim) run(to float64) {
	for len(s.events) > 0 && s.wrong == "" {
		if s.events[0].at > to {
			s.at = to
			return
		}
		e := heap.Pop(&s.events).(event)
		s.at = e.at
		e.do()
		if !s.calm {
			s.check()
		}
	}
}

// leader is the voter that leads with the latest term, nil for none.
func (s *sim) leader() (best *voterSim) {
	for _, id := range slices.Sorted(maps.Keys(s.voters)) {
		if v := s.voters[id]; v.core != nil && v.core.leading && (best == nil || v.core.Term() > best.core.Term()) {
			best = v
		}
	}
	return best
}

// parties are the names of all.
func (s *sim) parties() (all []string) {
	for id := range uint64(len(s.voters)) {
		all = append(all, s.name(id+1))
	}
	for _, h := range s.holders {
		all = append(all, h.name)
	}
	return all
}

// isolate cuts a party off, or joins it again; only asks or answers where there or back alone is set.
func (s *sim) isolate(name string, there, back bool) {
	for _, o := range s.parties() {
		s.cut[[2]string{name, o}], s.cut[[2]string{o, name}] = there, back
	}
}

// split cuts some voters from the others, or joins them again; holders reach all.
func (s *sim) split(some []string, cut bool) {
	for _, id := range s.ids {
		if o := s.name(id); !slices.Contains(some, o) {
			for _, name := range some {
				s.cut[[2]string{name, o}], s.cut[[2]string{o, name}] = cut, cut
			}
		}
	}
}

// trouble does one thing drawn by chance, and undoes it later.
func (s *sim) trouble() {
	length := 0.2 + 3*s.r.Float64()
	all := s.parties()
	who := all[s.r.IntN(len(all))]
	v := s.voters[uint64(1+s.r.IntN(len(s.voters)))]
	if l := s.leader(); l != nil && s.r.IntN(2) == 0 {
		v = l
	}
	h := s.holders[s.r.IntN(len(s.holders))]
	switch s.r.IntN(11) {
	case 0:
		s.say("%s cut off", who)
		s.isolate(who, true, true)
		s.after(length, func() { s.isolate(who, false, false) })
	case 1:
		s.say("%s is not heard", who)
		s.isolate(who, true, false)
		s.after(length, func() { s.isolate(who, false, false) })
	case 2:
		s.say("%s hears nothing", who)
		s.isolate(who, false, true)
		s.after(length, func() { s.isolate(who, false, false) })
	case 3:
		s.say("%s slow", who)
		s.slow[who] = 0.5
		s.after(length, func() { delete(s.slow, who) })
	case 4:
		if v.core == nil || v.frozen {
			return
		}
		s.say("%s killed", s.name(v.id))
		v.core = nil
		s.after(length, func() { s.startVoter(v) })
	case 5:
		if v.core == nil || v.frozen {
			return
		}
		s.say("%s frozen", s.name(v.id))
		v.frozen = true
		s.after(length, func() { s.thawVoter(v) })
	case 6:
		if h.dead || h.frozen {
			return
		}
		s.say("%s killed", h.name)
		s.kill(h)
		if s.r.IntN(2) == 0 {
			length = 0.01
		}
		s.after(length, func() { s.startHolder(h) })
	case 7:
		if h.dead || h.frozen {
			return
		}
		s.say("%s frozen", h.name)
		h.frozen = true
		life := h.life
		s.after(length, func() { s.thawHolder(h, life) })
	case 9, 10: // a leader cut from its quorum but not from its holders, or voters split in two
		var some []string
		for i, id := range s.ids {
			if name := s.name(id); id == v.id || s.r.IntN(2) == 0 && i < len(s.ids)/2 {
				some = append(some, name)
			}
		}
		s.say("%v cut off from the other voters", some)
		s.split(some, true)
		s.after(length, func() { s.split(some, false) })
	case 8:
		s.say("demand turns")
		for _, h := range s.holders {
			h.wants = s.r.Float64()
		}
	}
}

func (s *sim) thawVoter(v *voterSim) {
	v.frozen = false
	missed := v.missed
	v.missed = nil
	for _, do := range missed {
		do()
	}
}

// thawHolder lets a holder go on with what came meanwhile, in its sockets' buffers as it were.
func (s *sim) thawHolder(h *holderSim, life int) {
	if h.life != life || h.dead {
		return
	}
	h.frozen = false
	missed := h.missed
	h.missed = nil
	for _, do := range missed {
		do()
	}
}
