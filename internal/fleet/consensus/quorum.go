// Package consensus is a voter of a fleet: it keeps the ledger by raft with the other voters and, while it leads, decides
// what is divided. It does no I/O and reads no clock: it is fed with messages, asks and the time, in seconds that never
// go back, and gives back what is to be kept on disk, sent and answered. It is used from one goroutine:
//
//	core.Tick(now), core.Step(now, message) or core.Ask(now, ask)
//	for core.HasOutput() {
//		out := core.Output()
//		// keep out.State, out.Entries and out.Snapshot, synced; then send out.Messages; then give out.Answers
//		core.Done(now)
//	}
//
// A leader's word counts only once a quorum has confirmed that it leads still: every answer to an ask waits for that.
// A lease counts from the ask, which is before the confirmation, so whoever leads next gives nobody's part away before
// a whole lease, and the bound on clocks, and the longest that jobs may run, have passed since it began to lead.
package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Settings of one voter. Times are seconds.
type Settings struct {
	ID         uint64
	Voters     []uint64
	Voting     uint64 // generation of Voters: those of the highest one that ever led are the quorum
	Rules      lease.Rules
	Beat       float64 // of a tick; a leader's sign of life comes with each
	Divide     float64 // between looks at who should have what
	Division   allocation.Rules
	Most       int // controllers
	Generation uint64
	Quantities []state.Quantity
	Duties     []state.Duty
	Jobs       []string // scheduled ones
	Life       uint64   // of this voter: never that of an earlier one on the same disk
}

// Demand is what a holder tells of one quantity.
type Demand struct {
	Name   string  `msgpack:"Name"`
	Number uint64  `msgpack:"Number"` // of the holding that it keeps to, 0 for nothing new
	Used   float64 `msgpack:"Used"`
	Wanted float64 `msgpack:"Wanted"`
	Weight float64 `msgpack:"Weight"`
	Least  float64 `msgpack:"Least"`

	lately float64 // the most wanted, fading by half in a lease: parts that chased every moment's demand were always on the move
}

// Ask is a controller's ask for its parts. Each asks every third of a lease or so.
type Ask struct {
	Holder     state.Holder     `msgpack:"Holder"`
	Number     uint64           `msgpack:"Number"`
	Generation uint64           `msgpack:"Generation"` // of its settings, with their digest
	Digest     uint64           `msgpack:"Digest"`
	Quantities []state.Quantity `msgpack:"Quantities"` // where its generation is later than the one last heard
	Duties     []state.Duty     `msgpack:"Duties"`     // as Quantities
	Jobs       []string         `msgpack:"Jobs"`
	Demands    []Demand         `msgpack:"Demands"`
	Leaves     bool             `msgpack:"Leaves"` // all of its jobs have ended; it gives all back

	Room   float64           `msgpack:"Room"`   // for duties, from 0 to 1
	Back   []Slice           `msgpack:"Back"`   // slices given back
	Orders uint64            `msgpack:"Orders"` // the latest order that it has taken up
	Lists  map[string]uint64 `msgpack:"Lists"`  // versions of published lists that it has
	Read   []uint32          `msgpack:"Read"`   // engines whose load its own jobs have had asked of late, by duties.Mark
}

// Word is what an answer says.
type Word int

const (
	Granted   Word = iota
	Elsewhere      // Leader leads, 0 for not known
	Again          // soon: it has just joined, or a leader has just begun
	Behind         // a later incarnation, Incarnation, is known: start above it
	Replaced       // another life has taken the name
	Disagrees      // on what is divided, in the same generation
	Full           // the fleet has its most controllers
)

// Answer is the answer to an ask.
type Answer struct {
	To          state.Holder  `msgpack:"To"`
	Number      uint64        `msgpack:"Number"`
	Word        Word          `msgpack:"Word"`
	Leader      uint64        `msgpack:"Leader"`
	Incarnation uint64        `msgpack:"Incarnation"`
	Generation  uint64        `msgpack:"Generation"`
	Index       int           `msgpack:"Index"` // of this controller among those kept, and how many live
	Alive       int           `msgpack:"Alive"`
	Numbers     int           `msgpack:"Numbers"` // past the highest index that is kept, or was given up within a lease: none in use is beyond
	Grants      []lease.Grant `msgpack:"Grants"`

	Slices []Slice       `msgpack:"Slices"`
	Jobs   []JobView     `msgpack:"Jobs"` // of the slices of scheduled jobs
	Orders []state.Order `msgpack:"Orders"`
	Lists  []List        `msgpack:"Lists"`
	Known  []uint32      `msgpack:"Known"` // to owners of probing: engines that several controllers have read of late
}

// Output is what a step leads to. State, Entries and Snapshot are to be on disk before the rest is done.
type Output struct {
	State    *raftpb.HardState // nil for unchanged
	Entries  []*raftpb.Entry
	Snapshot *raftpb.Snapshot // nil for none
	Messages []*raftpb.Message
	Answers  []Answer
	Acted    []Acted
	Synced   bool // State and Entries have to be synced
}

// Core is a voter.
type Core struct {
	set     Settings
	node    *raft.RawNode
	store   *raft.MemoryStorage
	ledger  *state.Ledger
	conf    *raftpb.ConfState // who votes
	fold    bool              // that has changed: a snapshot must tell it to those that join
	changed float64           // when a change of it was proposed last
	applied uint64
	snapped uint64      // index of the latest snapshot
	out     bool        // an output is being carried out
	ready   *raft.Ready // its part of raft's, nil for none
	agreed  []raft.ReadState
	answers []Answer
	failed  error

	started bool
	at      float64           // the latest time told
	word    float64           // up to when this voter may have confirmed that another leads
	backed  map[uint64]bounds // of those that voted for this one

	silent, patience int // beats without a leader's word, and how many are borne
	tries            uint64

	// While it leads.
	leads   bool
	since   float64 // leading
	before  float64 // no lease that a leader before it gave was asked for after that
	seen    map[state.Holder]float64
	demands map[state.Holder]map[string]Demand
	ending  map[state.Holder]bool // an Expire is on its way: its lease may not be renewed any more
	ticked  float64
	todo    []state.Command
	flying  uint64 // token of the batch proposed, 0 for none
	flyAt   float64
	tokens  uint64
	asks    []Ask // to be confirmed with the next read
	reading map[uint64]reading
	reads   uint64
	divided float64
	refused []string // what was refused of late, for those who look on
	duty    dutyState
}

// bounds is what a vote says of the time before it: up to when the voter may have confirmed that another leads.
type bounds struct {
	term  uint64
	until float64
}

// reading is a read that a quorum is asked to confirm, with the asks that wait for it.
type reading struct {
	asks []Ask
	at   float64
}

// ledgerEntry is what an entry of the log holds.
type ledgerEntry struct {
	By       uint64          `msgpack:"By"`
	Token    uint64          `msgpack:"Token"`
	Commands []state.Command `msgpack:"Commands"`
	Refs     []uint64        `msgpack:"Refs"` // acts that wait for a command's end here, 0 for none
}

// quiet is raft's logger: what a voter has to say it says itself.
type quiet struct{ raft.Logger }

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// ErrBlank tells that a disk holds no votes. A voter that began anew on it could vote twice in one term, so it does not:
// a new fleet's disks are made with First, and a voter that has lost its disk is replaced.
var ErrBlank = errors.New("the disk holds no votes")

// Kept is what a voter finds on its disk. One that takes another's place starts with nothing but Joining: it has no say
// until the others have taken it in and sent it what they hold.
type Kept struct {
	State    *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
	Joining  bool
}

// Empty tells whether nothing was kept.
func (k Kept) Empty() bool { return k.State == nil && k.Snapshot == nil && len(k.Entries) == 0 }

// New makes a voter from what its disk holds.
func New(set Settings, kept Kept) (c *Core, err error) {
	defer c.guard(&err)
	c = &Core{set: set, store: raft.NewMemoryStorage(), ledger: state.New(), seen: map[state.Holder]float64{},
		demands: map[state.Holder]map[string]Demand{}, ending: map[state.Holder]bool{}, reading: map[uint64]reading{}, backed: map[uint64]bounds{}, tokens: set.ID<<48 | set.Life<<24}
	c.duty.init(set.Life)
	c.conf = &raftpb.ConfState{}
	switch {
	case kept.Snapshot == nil && !kept.Joining:
		return nil, ErrBlank
	case kept.Snapshot != nil:
		if err := c.store.ApplySnapshot(kept.Snapshot); err != nil {
			return nil, err
		}
		if err := c.restore(kept.Snapshot); err != nil {
			return nil, err
		}
	}
	if kept.State != nil {
		c.store.SetHardState(kept.State)
	}
	if err := c.store.Append(kept.Entries); err != nil {
		return nil, err
	}
	c.node, err = raft.NewRawNode(&raft.Config{ID: set.ID, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: c.store, Applied: c.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, Logger: quiet{}, DisableProposalForwarding: true, StepDownOnRemoval: true})
	return c, err
}

// First is what a new fleet's voter has on its disk before it starts: all begin from the same.
func First(voters []uint64) *raftpb.Snapshot {
	data, err := encode(state.New())
	if err != nil {
		panic(err) // an empty ledger
	}
	index, term := uint64(1), uint64(1)
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term,
		ConfState: &raftpb.ConfState{Voters: slices.Sorted(slices.Values(voters))}}}
}

// guard turns a panic of raft, which finds a disk that can't be right, into an error: the voter stands down.
func (c *Core) guard(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("the voter can't go on: %v", p)
		if c != nil {
			c.failed = *err
		}
	}
}

// Failed tells why the voter stands down, nil while it does not.
func (c *Core) Failed() error { return c.failed }

// Ledger is the state as this voter has applied it. It is not to be changed.
func (c *Core) Ledger() *state.Ledger { return c.ledger }

// Leads tells whether this voter believes that it leads.
func (c *Core) Leads() bool { return c.leads }

// Leader is the voter that leads as far as is known here, 0 for none.
func (c *Core) Leader() uint64 {
	if c.failed != nil {
		return 0
	}
	return c.node.BasicStatus().Lead
}

// Term is raft's.
func (c *Core) Term() uint64 {
	if c.failed != nil {
		return 0
	}
	return c.node.BasicStatus().GetTerm()
}

// Refused gives what commands were refused since the last call, for those who look on.
func (c *Core) Refused() (list []string) {
	list, c.refused = c.refused, nil
	return list
}

// Tick tells that a beat has passed.
func (c *Core) Tick(now float64) (err error) {
	if c.failed != nil {
		return c.failed
	}
	defer c.guard(&err)
	c.clock(now)
	c.node.Tick()
	c.campaign()
	c.lead(now)
	if c.leads && now > c.ticked+c.set.Rules.Lease/4 { // it stood still: what it has not heard meanwhile tells nothing
		clear(c.seen)
		c.since, c.before = now, now
		c.duty.begin(now, now, c.ledger.Slices)
	}
	c.ticked = now
	if c.leads {
		c.expire(now)
		c.reconfigure(now)
		c.divide(now)
		c.assign(now)
		c.propose(now)
		c.read(now)
	}
	return nil
}

// clock takes the time. What a life of this voter before may have confirmed it did before this one was told any.
func (c *Core) clock(now float64) {
	if !c.started {
		c.started, c.word = true, now
	}
	c.at = now
}

// electionBeats is how long a voter that has heard of a leader gives its vote to no other, in beats. raft's own timer,
// whose chance comes from no seed, is set to never ring.
const electionBeats = 6

// campaign asks for votes after seven to ten beats without a leader's word. A leader that a quorum does not hear goes
// on, but answers nobody: every answer needs that quorum's word.
func (c *Core) campaign() {
	if c.leads {
		c.silent = 0
		return
	}
	if c.patience == 0 {
		h := fnv.New64a()
		h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.set.ID), c.tries))
		c.tries++
		c.patience = electionBeats + int((h.Sum64()>>20)%4)
	}
	if c.silent++; c.silent > c.patience {
		c.silent, c.patience = 0, 0
		c.node.Campaign()
	}
}

// Step takes a message from another voter.
func (c *Core) Step(now float64, m *raftpb.Message) (err error) {
	if c.failed != nil {
		return c.failed
	}
	if !c.votes(m.GetFrom()) || m.GetTo() != c.set.ID || raft.IsLocalMsg(m.GetType()) {
		return errors.New("a message that is not for this voter")
	}
	defer c.guard(&err)
	c.clock(now)
	switch t := m.GetType(); t {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= c.node.BasicStatus().GetTerm() {
			c.silent, c.patience, c.word = 0, 0, now
		}
	case raftpb.MsgVoteResp:
		if !m.GetReject() {
			c.voted(now, m)
		}
	case raftpb.MsgPreVote, raftpb.MsgVote: // one that does not hear the leader shall not disturb those that do
		if c.leads || c.Leader() != 0 && c.silent < electionBeats {
			return nil
		}
	}
	if err := c.node.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return err
	}
	c.lead(now)
	return nil
}

// voted takes what a vote says of the time before it. An answer of a leader before had the word of a quorum, of which one
// voter at least has voted here since; that word came after the ask that it let be answered, so no lease still held was
// asked for after the latest of these times.
func (c *Core) voted(now float64, m *raftpb.Message) {
	until := now
	if age := m.GetContext(); len(age) == 8 { // by its clock, and on its way since
		drift := c.set.Rules.Drift
		until -= math.Float64frombits(binary.BigEndian.Uint64(age)) * (1 - drift) / (1 + drift)
	}
	c.backed[m.GetFrom()] = bounds{m.GetTerm(), until}
}

// bound is up to when any leader before may have had its quorum's word.
func (c *Core) bound(now float64) (until float64) {
	until = c.word
	for voter, b := range c.backed {
		if b.term == c.Term() {
			until = max(until, b.until)
		} else {
			delete(c.backed, voter)
		}
	}
	return min(until, now)
}

// votes tells whether a voter is, or by the settings shall be, one of the quorum.
func (c *Core) votes(id uint64) bool {
	return slices.Contains(c.set.Voters, id) || slices.Contains(c.conf.GetVoters(), id) || slices.Contains(c.conf.GetVotersOutgoing(), id)
}

// Voters are those that vote now, as this voter has applied it.
func (c *Core) Voters() []uint64 { return slices.Sorted(slices.Values(c.conf.GetVoters())) }

// reconfigure has the quorum become that of the settings, where theirs are of a later generation than any that led. All
// goes in one change, by joint consensus: until it is done both the old voters and the new ones have to agree.
func (c *Core) reconfigure(now float64) {
	if c.set.Voting <= c.ledger.Voting || len(c.conf.GetVotersOutgoing()) > 0 || now < c.changed+20*c.set.Beat {
		return
	}
	c.changed = now
	change := &raftpb.ConfChangeV2{Context: binary.BigEndian.AppendUint64(nil, c.set.Voting)}
	add := func(t raftpb.ConfChangeType, id uint64) {
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: &t, NodeId: &id})
	}
	for _, id := range c.set.Voters {
		if !slices.Contains(c.conf.GetVoters(), id) {
			add(raftpb.ConfChangeAddNode, id)
		}
	}
	for _, id := range c.conf.GetVoters() {
		if !slices.Contains(c.set.Voters, id) {
			add(raftpb.ConfChangeRemoveNode, id)
		}
	}
	if len(change.Changes) == 0 {
		c.do(state.Command{Op: state.Voters, Generation: c.set.Voting})
		return
	}
	c.node.ProposeConfChange(change) // one that is lost is proposed again
}

// Ask takes a controller's ask. Its answer comes with an output.
func (c *Core) Ask(now float64, a Ask) (err error) {
	if c.failed != nil {
		return c.failed
	}
	defer c.guard(&err)
	c.lead(now)
	if !c.leads {
		c.answer(a, Answer{Word: Elsewhere, Leader: c.Leader()})
		return nil
	}
	latest, known := c.ledger.Latest[a.Holder.Name]
	h := c.ledger.Controllers[a.Holder]
	switch {
	case a.Generation == c.ledger.Generation && a.Digest != Digest(slices.Collect(maps.Values(c.ledger.Quantities)), c.ledger.Duties()):
		c.answer(a, Answer{Word: Disagrees})
		return nil
	case h != nil && h.Replaced:
		c.answer(a, Answer{Word: Replaced})
		return nil
	case h == nil && known && a.Holder.Inc <= latest:
		c.answer(a, Answer{Word: Behind, Incarnation: latest})
		return nil
	case h == nil && a.Leaves:
		c.answer(a, Answer{Word: Granted})
		return nil
	case h == nil:
		if len(c.ledger.Controllers) >= 2*max(c.set.Most, 1) {
			c.answer(a, Answer{Word: Full})
			return nil
		}
		c.seen[a.Holder] = now
		c.do(state.Command{Op: state.Join, Holder: a.Holder, Most: c.set.Most})
		c.propose(now)
		c.answer(a, Answer{Word: Again})
		return nil
	case c.ending[a.Holder]:
		c.answer(a, Answer{Word: Again})
		return nil
	case a.Leaves:
		c.end(a.Holder)
		c.propose(now)
		c.answer(a, Answer{Word: Granted})
		return nil
	}
	gap := now - c.seen[a.Holder]
	c.seen[a.Holder] = now
	if a.Generation > c.ledger.Generation && len(a.Quantities)+len(a.Duties) > 0 {
		c.do(state.Command{Op: state.Set, Generation: a.Generation, Quantities: a.Quantities, Duties: a.Duties, Jobs: a.Jobs})
	}
	c.duties(a)
	told := map[string]Demand{}
	for _, d := range a.Demands {
		d.lately = max(d.Used, d.Wanted, c.demands[a.Holder][d.Name].lately*math.Exp2(-gap/c.set.Rules.Lease))
		told[d.Name] = d
		if hold := h.Holds[d.Name]; d.Number > 0 && d.Number == hold.Number && hold.Bound > max(hold.Amount, d.Used) {
			c.do(state.Command{Op: state.Settle, Holder: a.Holder, What: d.Name, Number: d.Number, Amount: d.Used})
		}
	}
	c.demands[a.Holder] = told
	c.asks = append(c.asks, a)
	return nil
}

// answer keeps an answer for the next output.
func (c *Core) answer(a Ask, with Answer) {
	with.To, with.Number, with.Generation = a.Holder, a.Number, c.ledger.Generation
	c.answers = append(c.answers, with)
}

// lead sees whether this voter has begun or ceased to lead. One that begins knows of no demand, and takes every holder
// as heard of when a leader before may last have had its quorum's word: any of them may hold a lease of that one's.
func (c *Core) lead(now float64) {
	leads := c.node.BasicStatus().RaftState == raft.StateLeader
	if leads == c.leads {
		return
	}
	if c.leads, c.since, c.divided = leads, now, now; leads {
		c.before = c.bound(now)
	} else {
		c.word = now // its own was one of the quorum's
	}
	clear(c.seen)
	clear(c.demands)
	clear(c.ending) // what is on its way is applied before the first answer of whoever leads
	c.forgetActs()
	c.duty.begin(now, c.before, c.ledger.Slices)
	c.todo, c.flying = nil, 0
	for _, id := range slices.Sorted(maps.Keys(c.reading)) {
		c.asks = append(c.asks, c.reading[id].asks...)
	}
	clear(c.reading)
	for _, a := range c.asks {
		c.answer(a, Answer{Word: Elsewhere, Leader: c.Leader()})
	}
	c.asks = nil
	if leads && c.set.Generation > c.ledger.Generation {
		c.do(state.Command{Op: state.Set, Generation: c.set.Generation, Quantities: c.set.Quantities, Duties: c.set.Duties, Jobs: c.set.Jobs})
	}
}

// do keeps a command to be proposed, once.
func (c *Core) do(command state.Command) {
	const most = 4096 // commands; a holder asks again within a lease
	if len(c.todo) < most && !slices.ContainsFunc(c.todo, func(o state.Command) bool {
		return o.Op == command.Op && o.Holder == command.Holder && o.What == command.What && o.Generation == command.Generation && o.At == command.At
	}) {
		c.todo = append(c.todo, command)
	}
}

// propose has what is kept go into the log, one batch at a time.
func (c *Core) propose(now float64) {
	if c.flying != 0 && now < c.flyAt+20*c.set.Beat { // a batch that a quorum does not take is given up
		return
	}
	c.flying = 0
	if len(c.todo)+len(c.duty.acts) == 0 {
		return
	}
	const batch = 512 // some 40 KB
	some := c.todo[:min(len(c.todo), batch)]
	commands, refs := c.actsAhead(slices.Clone(some))
	c.tokens++
	data, err := encode(ledgerEntry{By: c.set.ID, Token: c.tokens, Commands: commands, Refs: refs})
	if err != nil {
		panic(err) // plain values
	}
	if c.node.Propose(data) == nil {
		c.flying, c.flyAt = c.tokens, now
		c.todo = slices.Clone(c.todo[len(some):])
		c.duty.acts = nil
	}
}

// read asks a quorum to confirm that this voter leads, for all asks that came since the last time.
func (c *Core) read(now float64) {
	for id, r := range c.reading { // what no quorum confirms is of no use to those who asked
		if now > r.at+c.set.Rules.Lease {
			delete(c.reading, id)
		}
	}
	if len(c.asks) == 0 {
		return
	}
	c.reads++
	c.reading[c.reads] = reading{c.asks, now}
	c.asks = nil
	c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, c.reads))
}

// expire gives up holders that have been silent for so long that nothing of theirs can hold or run any more.
func (c *Core) expire(now float64) {
	longest := c.set.Rules.Linger
	for _, q := range c.ledger.Quantities {
		longest = max(longest, q.Window)
	}
	for _, holder := range c.ledger.Sorted() {
		h := holder.Holder
		if _, heard := c.seen[h]; !heard {
			c.seen[h] = c.before
		}
		if now > c.seen[h]+c.set.Rules.Over()+longest*(1+c.set.Rules.Drift) {
			c.end(h)
		}
	}
	for h := range c.ending {
		if c.ledger.Controllers[h] == nil {
			delete(c.ending, h)
		}
	}
	for h := range c.seen {
		if c.ledger.Controllers[h] == nil && now > c.seen[h]+c.set.Rules.Over() {
			delete(c.seen, h)
			delete(c.demands, h)
			c.duty.forget(h)
		}
	}
}

// end gives a holder up. From here on it is answered nothing: an answer that crossed the command would renew the lease
// of a part that is another's a moment later.
func (c *Core) end(h state.Holder) {
	c.ending[h] = true
	c.do(state.Command{Op: state.Expire, Holder: h})
}

// divide decides who should have what: first what is to be given up, and more only of what is free. Holders unheard of
// for a lease want nothing; a leader that has just begun waits until all may have been heard.
func (c *Core) divide(now float64) {
	if now < c.divided+c.set.Divide || now < c.since+c.set.Rules.Lease || c.flying != 0 {
		return
	}
	c.divided = now
	for _, name := range slices.Sorted(maps.Keys(c.ledger.Quantities)) {
		whole, aside := c.ledger.Whole(name)
		var who []*state.Controller
		var holders []allocation.Holder
		for _, h := range c.ledger.Sorted() {
			hold := h.Holds[name]
			if h.Replaced || now > c.seen[h.Holder]+c.set.Rules.Lease {
				if hold.Amount > 0 {
					c.do(state.Command{Op: state.Move, Holder: h.Holder, What: name})
				}
				continue
			}
			d := c.demands[h.Holder][name]
			who = append(who, h)
			holders = append(holders, allocation.Holder{Weight: d.Weight, Want: d.lately, Least: d.Least, Has: hold.Amount})
		}
		targets := allocation.Divide(whole-aside, holders, c.set.Division)
		for _, grow := range []bool{false, true} {
			for i, h := range who {
				if has := h.Holds[name].Amount; grow && targets[i] > has || !grow && targets[i] < has {
					c.do(state.Command{Op: state.Move, Holder: h.Holder, What: name, Amount: targets[i]})
				}
			}
		}
	}
}

// HasOutput tells whether something is to be done.
func (c *Core) HasOutput() bool {
	return c.failed == nil && !c.out && (c.node.HasReady() || len(c.answers)+len(c.duty.acted) > 0)
}

// Output gives what is to be done; Done is to be called once it is.
func (c *Core) Output() (out Output) {
	var err error
	defer c.guard(&err)
	out.Answers, c.answers = c.answers, nil
	out.Acted, c.duty.acted = c.duty.acted, nil
	if c.out = true; !c.node.HasReady() {
		return out
	}
	ready := c.node.Ready()
	c.ready = &ready
	out.State, out.Entries, out.Messages = ready.HardState, ready.Entries, ready.Messages
	for _, m := range out.Messages {
		if m.GetType() == raftpb.MsgVoteResp && !m.GetReject() {
			m.Context = binary.BigEndian.AppendUint64(nil, math.Float64bits(max(c.at-c.word, 0)))
		}
	}
	out.Synced = ready.MustSync
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		out.Snapshot, out.Synced = ready.Snapshot, true
	}
	return out
}

// Done tells that the last output is on disk and sent.
func (c *Core) Done(now float64) (err error) {
	ready := c.ready
	c.ready, c.out = nil, false
	if c.failed != nil || ready == nil {
		return c.failed
	}
	defer c.guard(&err)
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		if err := c.store.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
		if err := c.restore(ready.Snapshot); err != nil {
			return err
		}
	}
	if ready.HardState != nil {
		c.store.SetHardState(ready.HardState)
	}
	if err := c.store.Append(ready.Entries); err != nil {
		return err
	}
	for _, e := range ready.CommittedEntries {
		c.apply(e)
	}
	c.node.Advance(*ready)
	c.agreed = append(c.agreed, ready.ReadStates...)
	for len(c.agreed) > 0 && c.agreed[0].Index <= c.applied {
		c.confirmed(binary.BigEndian.Uint64(c.agreed[0].RequestCtx))
		c.agreed = c.agreed[1:]
	}
	c.lead(now)
	return c.compact()
}

// apply carries out an entry of the log.
func (c *Core) apply(e *raftpb.Entry) {
	c.applied = e.GetIndex()
	if e.GetType() == raftpb.EntryConfChangeV2 {
		change := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			panic(fmt.Sprintf("entry %d of the log can't be read: %v", e.GetIndex(), err))
		}
		c.conf, c.fold = c.node.ApplyConfChange(change), true
		if len(change.GetContext()) == 8 {
			c.ledger.Apply(state.Command{Op: state.Voters, Generation: binary.BigEndian.Uint64(change.GetContext())})
		}
		return
	}
	if len(e.GetData()) == 0 || e.GetType() != raftpb.EntryNormal {
		return
	}
	var entry ledgerEntry
	if err := decode(e.GetData(), &entry); err != nil {
		panic(fmt.Sprintf("entry %d of the log can't be read: %v", e.GetIndex(), err))
	}
	for i, command := range entry.Commands {
		err := c.ledger.Apply(command)
		if err != nil && len(c.refused) < 100 {
			c.refused = append(c.refused, err.Error())
		}
		if entry.By == c.set.ID && i < len(entry.Refs) && entry.Refs[i] != 0 {
			c.carriedOut(entry.Refs[i], err)
		}
	}
	if entry.By == c.set.ID && entry.Token == c.flying {
		c.flying = 0
	}
}

// confirmed answers the asks of a read that a quorum has confirmed.
func (c *Core) confirmed(id uint64) {
	r := c.reading[id]
	delete(c.reading, id)
	for _, a := range r.asks {
		h := c.ledger.Controllers[a.Holder]
		if h == nil || h.Replaced || c.ending[a.Holder] || c.stripped(a.Holder) {
			c.answer(a, Answer{Word: Again})
			continue
		}
		answer := Answer{Word: Granted, Index: h.Index, Alive: c.ledger.Alive(), Numbers: c.ledger.Numbers(), Leader: c.set.ID}
		for _, name := range slices.Sorted(maps.Keys(h.Holds)) {
			hold := h.Holds[name]
			answer.Grants = append(answer.Grants, lease.Grant{Name: name, Amount: hold.Amount, Number: hold.Number, Bound: hold.Bound > hold.Amount})
		}
		c.tellDuties(a, &answer)
		c.answer(a, answer)
	}
}

// keptEntries is how many applied entries stay in the log for voters that lag.
const keptEntries = 2000

// compact folds old entries into a snapshot.
func (c *Core) compact() error {
	if c.applied < c.snapped+2*keptEntries && !c.fold {
		return nil
	}
	c.fold = false
	data, err := encode(c.ledger)
	if err != nil {
		return err
	}
	if _, err := c.store.CreateSnapshot(c.applied, c.conf, data); err != nil {
		return err
	}
	c.snapped = c.applied
	if first, err := c.store.FirstIndex(); err != nil || c.applied < first+keptEntries {
		return err
	}
	return c.store.Compact(c.applied - keptEntries)
}

// Whole is all that the disk is to hold now, for a file that is written anew.
func (c *Core) Whole() (k Kept, err error) {
	snapshot, err := c.store.Snapshot()
	if err != nil {
		return k, err
	}
	k.Snapshot = snapshot
	state, _, err := c.store.InitialState()
	if err != nil {
		return k, err
	}
	k.State = state
	last, err := c.store.LastIndex()
	if err != nil {
		return k, err
	}
	if from := snapshot.GetMetadata().GetIndex() + 1; from <= last {
		k.Entries, err = c.store.Entries(from, last+1, math.MaxUint64)
	}
	return k, err
}

// Snapped is the index of the latest snapshot; a change says that the disk may be written anew.
func (c *Core) Snapped() uint64 { return c.snapped }

// restore takes the ledger of a snapshot.
func (c *Core) restore(s *raftpb.Snapshot) error {
	l := state.New()
	if err := decode(s.GetData(), l); err != nil {
		return fmt.Errorf("the ledger in a snapshot can't be read: %w", err)
	}
	c.ledger, c.applied, c.snapped = l, s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	c.conf = s.GetMetadata().GetConfState()
	return nil
}

// Told is what a holder told last of a quantity, where this voter leads.
func (c *Core) Told(h state.Holder, quantity string) Demand { return c.demands[h][quantity] }
