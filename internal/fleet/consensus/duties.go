package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
)

// The leader's side of duties: slices are given to those that live, asked back where another should have them, and taken
// from those whose lease is surely over. What owners and operators do goes through the log and is answered once it has
// been carried out there.

// ShardAssignment is one of a duty, as its owner is told of it.
type ShardAssignment struct {
	Task     string `msgpack:"Duty"`
	Shard    int    `msgpack:"At"`
	Fence    uint64 `msgpack:"Fence"`
	Recalled bool   `msgpack:"Recall"`
}

// ScheduledJob is what the owner of a scheduled job's slice is told of the job.
type ScheduledJob struct {
	Name     string      `msgpack:"Name"`
	LastDue  int64       `msgpack:"Last"`
	OpenRuns []state.Run `msgpack:"Open"` // not over
}

// PublishedList is a published list, for those who have not its version.
type PublishedList struct {
	Name    string `msgpack:"Name"`
	Fence   uint64 `msgpack:"Fence"`
	Version uint64 `msgpack:"Version"`
	Data    []byte `msgpack:"Data"`
}

// Proposal is something that an owner of slices, or an operator (Holder is none then), has to have in the ledger.
type Proposal struct {
	Controller state.ControllerID `msgpack:"Holder"`
	Number     uint64             `msgpack:"Number"` // the asker's own
	Command    state.Command      `msgpack:"Command"`
}

// ProposalResult is the answer to an act, once it has been carried out or refused. One that is lost on the way may be asked again:
// every command may be given twice.
type ProposalResult struct {
	To        state.ControllerID `msgpack:"To"`
	Number    uint64             `msgpack:"Number"`
	Status    Status             `msgpack:"Word"`   // Granted, Elsewhere or Again
	Leader    uint64             `msgpack:"Leader"` // of Elsewhere
	Rejection string             `msgpack:"Why"`    // it was refused, "" where it was not
}

type workState struct {
	lastProposalID uint64
	proposals      map[uint64]Proposal // acts in the log, by their refs
	unproposed     []uint64            // of those, not proposed yet
	results        []ProposalResult
	reports        map[state.ControllerID]workReport
	revoking       map[state.ControllerID][]ShardAssignment // that are being taken from it: its lease may not be renewed meanwhile
	taskFirstSeen  map[string]float64                       // when this leader first saw a duty
	enginesRead    map[state.ControllerID][]uint32
	readerCounts   map[uint32]int // controllers that have read an engine of late; none that is 0 is kept
	assignedAt     float64
}

// workReport is what a controller told last.
type workReport struct {
	capacity        float64
	appliedOverride uint64
}

func (d *workState) init(life uint64) {
	d.lastProposalID = life << 32 // an entry of an earlier life of this voter names none that waits now
	d.proposals, d.reports, d.revoking, d.taskFirstSeen = map[uint64]Proposal{}, map[state.ControllerID]workReport{}, map[state.ControllerID][]ShardAssignment{}, map[string]float64{}
	d.enginesRead, d.readerCounts = map[state.ControllerID][]uint32{}, map[uint32]int{}
}

// Engines that a controller may name as read, and how many have to for one that owners need to probe seldom.
const (
	maxEnginesRead      = 256
	widelyReadThreshold = 3
)

// recordEnginesRead takes what a controller has read of late, in place of what it had before.
func (d *workState) recordEnginesRead(h state.ControllerID, engines []uint32) {
	for _, e := range d.enginesRead[h] {
		if d.readerCounts[e]--; d.readerCounts[e] <= 0 {
			delete(d.readerCounts, e)
		}
	}
	if len(engines) == 0 {
		delete(d.enginesRead, h)
		return
	}
	engines = engines[:min(len(engines), maxEnginesRead)]
	d.enginesRead[h] = engines
	for _, e := range engines {
		d.readerCounts[e]++
	}
}

// reset is for a leader that has just begun, or has stood still: it knows nothing of those who ask. What leaders before
// it gave of a duty that is there was asked for before a time.
func (d *workState) reset(now, before float64, there map[string][]state.Shard) {
	clear(d.reports)
	clear(d.revoking)
	clear(d.taskFirstSeen)
	clear(d.enginesRead)
	clear(d.readerCounts)
	for duty := range there {
		d.taskFirstSeen[duty] = before
	}
	d.assignedAt = now
}

// forget lets go of a controller that the ledger does not know any more.
func (d *workState) forget(h state.ControllerID) {
	delete(d.reports, h)
	delete(d.revoking, h)
	d.recordEnginesRead(h, nil)
}

// acts that may wait at once; more are told to ask again.
const maxProposals = 4096

// HandleProposal takes an act. Its answer comes with an output.
func (c *Core) HandleProposal(now float64, a Proposal) (err error) {
	if c.err != nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	c.updateLeadership(now)
	refuse := func(with ProposalResult) {
		with.To, with.Number = a.Controller, a.Number
		c.work.results = append(c.work.results, with)
	}
	switch op, own := a.Command.Op, a.Command.Controller == a.Controller; {
	case !c.leading:
		refuse(ProposalResult{Status: StatusNotLeader, Leader: c.Leader()})
		return nil
	case len(c.work.proposals) >= maxProposals:
		refuse(ProposalResult{Status: StatusRetry})
		return nil
	case a.Controller.Name == "" && (op == state.OpResolveRun || op == state.OpSetOverride):
	case a.Controller.Name != "" && own && (op >= state.OpClaimRun && op <= state.OpSkipRun || op == state.OpPublishList):
	default:
		refuse(ProposalResult{Rejection: "that is not for this controller to do"})
		return nil
	}
	c.work.lastProposalID++
	c.work.proposals[c.work.lastProposalID] = a
	c.work.unproposed = append(c.work.unproposed, c.work.lastProposalID)
	c.proposeBatch(now)
	return nil
}

// prependProposals puts the acts that wait before a batch of commands.
func (c *Core) prependProposals(batch []state.Command) (commands []state.Command, refs []uint64) {
	for _, ref := range c.work.unproposed {
		commands, refs = append(commands, c.work.proposals[ref].Command), append(refs, ref)
	}
	return append(commands, batch...), refs
}

// completeProposal answers an act.
func (c *Core) completeProposal(ref uint64, err error) {
	a, waits := c.work.proposals[ref]
	if !waits {
		return
	}
	delete(c.work.proposals, ref)
	acted := ProposalResult{To: a.Controller, Number: a.Number}
	if err != nil {
		acted.Rejection = err.Error()
	}
	c.work.results = append(c.work.results, acted)
}

// abandonProposals tells those who wait to ask whoever leads now; what they asked for may come about all the same.
func (c *Core) abandonProposals() {
	for _, ref := range slices.Sorted(maps.Keys(c.work.proposals)) {
		a := c.work.proposals[ref]
		c.work.results = append(c.work.results, ProposalResult{To: a.Controller, Number: a.Number, Status: StatusNotLeader, Leader: c.Leader()})
	}
	clear(c.work.proposals)
	c.work.unproposed = nil
}

// recordWorkReport takes what an ask says of duties.
func (c *Core) recordWorkReport(a LeaseRequest) {
	c.work.reports[a.Controller] = workReport{a.WorkCapacity, a.AppliedOverride}
	c.work.recordEnginesRead(a.Controller, a.EnginesRead)
	for _, s := range a.ReturnedShards {
		if held := c.machine.Shards[s.Task]; s.Shard >= 0 && s.Shard < len(held) && held[s.Shard].Owner == a.Controller && held[s.Shard].Fence == s.Fence {
			c.enqueue(state.Command{Op: state.OpReleaseShard, Controller: a.Controller, Subject: s.Task, Shard: s.Shard, Number: s.Fence})
		}
	}
}

// revocationPending tells whether slices are being taken from a holder. Until that is done it is answered nothing: an answer that
// crossed the command would renew the lease of a slice that is another's a moment later.
func (c *Core) revocationPending(h state.ControllerID) bool {
	still := slices.DeleteFunc(c.work.revoking[h], func(s ShardAssignment) bool {
		all := c.machine.Shards[s.Task]
		return s.Shard >= len(all) || all[s.Shard].Owner != h || all[s.Shard].Fence != s.Fence
	})
	if c.work.revoking[h] = still; len(still) == 0 {
		delete(c.work.revoking, h)
	}
	return len(still) > 0
}

// assignShards decides what slices move. A leader that has just begun waits half a lease, by when all that live have asked, and
// until leases given before it are over. A duty that is new gets owners after a lease: one of its name that was there
// before may have owners still that have not heard.
func (c *Core) assignShards(now float64) {
	if now < c.work.assignedAt+c.config.RebalanceInterval || len(c.machine.Shards)+len(c.machine.Overrides) == 0 {
		return
	}
	c.work.assignedAt = now
	var seats []assignment.Candidate
	var who []state.ControllerID
	all := true // have taken up every order
	latest := uint64(0)
	for _, o := range c.machine.Overrides {
		latest = max(latest, o.Number)
	}
	for _, h := range c.machine.SortedControllers() {
		at, heard := c.lastRequestAt[h.ControllerID]
		lives := !h.Replaced && !c.expiring[h.ControllerID] && heard && now <= at+c.config.Timing.TTL
		told, said := c.work.reports[h.ControllerID]
		if !h.Replaced && told.appliedOverride < latest {
			all = false
		}
		if lives && said {
			seats, who = append(seats, assignment.Candidate{Name: h.Name, Weight: assignment.RoundCapacity(told.capacity)}), append(who, h.ControllerID)
		}
	}
	if now < max(c.leadingSince+c.config.Timing.TTL/2, c.priorLeaseBound+c.config.Timing.ExpiryBound()) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(c.machine.Overrides)) {
		if o := c.machine.Overrides[key]; o.Revoked && all {
			c.enqueue(state.Command{Op: state.OpDeleteOverride, Text: o.Kind, Subject: o.Target, Number: o.Number})
		}
	}
	for duty := range c.work.taskFirstSeen {
		if c.machine.Shards[duty] == nil {
			delete(c.work.taskFirstSeen, duty)
		}
	}
	for _, duty := range slices.Sorted(maps.Keys(c.machine.Shards)) {
		if _, known := c.work.taskFirstSeen[duty]; !known {
			c.work.taskFirstSeen[duty] = now
		}
		c.planTask(now, duty, seats, who)
	}
}

// planTask decides on the slices of one duty.
func (c *Core) planTask(now float64, duty string, seats []assignment.Candidate, who []state.ControllerID) {
	kept := c.machine.Shards[duty]
	held := make([]assignment.ShardState, len(kept))
	for i, s := range kept {
		held[i] = assignment.ShardState{Owner: slices.Index(who, s.Owner), Unowned: s.Owner.Name == "", Recalled: s.Recalled}
		if at, heard := c.lastRequestAt[s.Owner]; s.Owner.Name != "" && heard && now > at+c.config.Timing.ExpiryBound() {
			if taken := (ShardAssignment{Task: duty, Shard: i, Fence: s.Fence}); !slices.Contains(c.work.revoking[s.Owner], taken) {
				c.work.revoking[s.Owner] = append(c.work.revoking[s.Owner], taken)
			}
			c.enqueue(state.Command{Op: state.OpReleaseShard, Controller: s.Owner, Subject: duty, Shard: i, Number: s.Fence})
		}
	}
	if now < c.work.taskFirstSeen[duty]+c.config.Timing.ExpiryBound() {
		return
	}
	for _, m := range assignment.PlanSteps(duty, held, seats, max(len(kept)/8, 1)) {
		if m.Recall {
			c.enqueue(state.Command{Op: state.OpRecallShard, Controller: kept[m.Shard].Owner, Subject: duty, Shard: m.Shard, Number: kept[m.Shard].Fence})
		} else {
			c.enqueue(state.Command{Op: state.OpAssignShard, Controller: who[m.To], Subject: duty, Shard: m.Shard, Number: kept[m.Shard].Fence})
		}
	}
}

// addSharedWork adds to an answer what its asker owns and what is new to it.
func (c *Core) addSharedWork(a LeaseRequest, answer *LeaseResponse) {
	mine, probes := map[int]bool{}, false
	for _, duty := range slices.Sorted(maps.Keys(c.machine.Shards)) {
		for i, s := range c.machine.Shards[duty] {
			if s.Owner == a.Controller {
				answer.Shards = append(answer.Shards, ShardAssignment{duty, i, s.Fence, s.Recalled})
				mine[i] = mine[i] || duty == assignment.ScheduledJobs
				probes = probes || duty == assignment.HealthChecks
			}
		}
	}
	if probes {
		for _, e := range slices.Sorted(maps.Keys(c.work.readerCounts)) {
			if c.work.readerCounts[e] >= widelyReadThreshold {
				answer.WidelyRead = append(answer.WidelyRead, e)
			}
		}
	}
	if n := len(c.machine.Shards[assignment.ScheduledJobs]); n > 0 {
		for _, name := range slices.Sorted(maps.Keys(c.machine.ScheduledJobs)) {
			if !mine[assignment.ShardOf(name, n)] {
				continue
			}
			j := c.machine.ScheduledJobs[name]
			view := ScheduledJob{Name: name, LastDue: j.LastDue}
			for _, r := range j.Runs {
				if !r.State.Finished() {
					view.OpenRuns = append(view.OpenRuns, r)
				}
			}
			answer.ScheduledJobs = append(answer.ScheduledJobs, view)
		}
	}
	for _, o := range c.machine.SortedOverrides() {
		if o.Number > a.AppliedOverride {
			answer.Overrides = append(answer.Overrides, o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.machine.Lists)) {
		if p := c.machine.Lists[name]; p.Version > a.ListVersions[name] {
			answer.Lists = append(answer.Lists, PublishedList{name, p.Fence, p.Version, p.Data})
		}
	}
}

// IsVoter tells whether a voter is one of the quorum, or by the settings shall be.
func (c *Core) IsVoter(voter uint64) bool { return c.isVoter(voter) }

// AppliedOverride tells the latest order that each controller has taken up, where this voter leads.
func (c *Core) AppliedOverride(h state.ControllerID) uint64 { return c.work.reports[h].appliedOverride }
