package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// renewLoop asks for parts, five times a lease, and ten times while more is wanted than may be used, of whoever leads; at the end
// it gives all back.
func (f *Member) renewLoop(ctx context.Context) error {
	links := map[uint64]*leaderConn{}
	defer func() {
		for _, l := range links {
			l.close()
		}
	}()
	answers := make(chan consensus.LeaseResponse, 16)
	again := time.NewTimer(0)
	defer again.Stop()
	every, last := seconds(f.options.Lease/10), time.Time{}
	for {
		select {
		case <-ctx.Done():
			f.leave(links, answers)
			return ctx.Err()
		case a := <-answers:
			if soon := f.handleResponse(a); soon > 0 {
				last = time.Time{}
				again.Reset(soon)
			}
		case <-again.C:
			again.Reset(every)
			if now := time.Now(); f.needsRenewal() || now.Sub(last) > 3*every/2 {
				last = now
				f.sendRequest(ctx, links, answers, f.nextRequest(false))
			}
		case a := <-f.proposals.queue:
			f.sendProposal(ctx, links, answers, a)
		case r := <-f.loadReports:
			f.sendLoadReports(ctx, links, answers, r)
		}
	}
}

// nextRequest makes the next ask.
func (f *Member) nextRequest(leaves bool) consensus.LeaseRequest {
	more := f.recordUsage()
	defer f.mu.Unlock()
	now := f.clock()
	a := consensus.LeaseRequest{Controller: state.ControllerID{Name: f.options.Self, Incarnation: f.incarnation}, Generation: f.options.Generation, ConfigDigest: consensus.ConfigDigest(f.options.Quantities, f.options.Tasks),
		Quantities: f.options.Quantities, Tasks: f.options.Tasks, ScheduledJobs: f.options.ScheduledJobs, Leaving: leaves, AppliedOverride: f.appliedOverride, ListVersions: maps.Clone(f.listVersions)}
	f.addWorkReport(&a)
	var reports []lease.UsageReport
	a.Number, reports = f.lease.NewRequest(now)
	for _, r := range reports {
		a.Demands = append(a.Demands, consensus.Demand{Quantity: r.Quantity, Revision: r.Revision, Used: r.Used, Wanted: r.Demand, Weight: more[r.Quantity].Weight, Guaranteed: more[r.Quantity].Guaranteed})
	}
	return a
}

// sendRequest sends an ask to the voter that leads as far as is known, or to one after the other.
func (f *Member) sendRequest(ctx context.Context, links map[uint64]*leaderConn, answers chan consensus.LeaseResponse, a consensus.LeaseRequest) {
	f.mu.Lock()
	to := f.leader
	if to == 0 {
		to = f.options.Voters[a.Number%uint64(len(f.options.Voters))].Number
	}
	f.leader = 0 // unless it answers before the next ask
	f.mu.Unlock()
	if to == f.options.voterID() {
		if f.voter != nil {
			f.requestLocally(a, func(answer consensus.LeaseResponse) {
				select {
				case answers <- answer:
				default:
				}
			})
		}
		return
	}
	if l := f.connection(ctx, links, answers, to); l != nil {
		l.send(frameLeaseRequest, encodeMessage(a))
	}
}

// requestLocally gives an ask to the voter in this process.
func (f *Member) requestLocally(a consensus.LeaseRequest, answer func(consensus.LeaseResponse)) {
	select {
	case f.voter.requests <- leaseCall{a, answer}:
	default: // asked again within a lease
	}
}

// handleResponse takes an answer, and tells when to ask again where that is soon.
func (f *Member) handleResponse(a consensus.LeaseResponse) (soon time.Duration) {
	var changes []assignment.Change
	counted := false
	var placed func(int, int)
	f.mu.Lock()
	defer func() {
		f.mu.Unlock()
		f.notifyQuotas()
		f.notifyWorker(a, changes, counted)
		if placed != nil {
			placed(a.Index, a.IndexCount)
		}
	}()
	if a.To.Incarnation != f.incarnation {
		return 0
	}
	word := f.lastStatus
	f.lastStatus = a.Status
	switch a.Status {
	case consensus.StatusGranted:
		asked, _ := f.lease.RequestedAt(a.Number)
		if f.leader = a.Leader; f.lease.Renew(a.Number, a.Grants) {
			counted = true
			changes = f.shards.Update(f.clock(), asked, f.lease.ExpiresAt(), assignmentsOf(a.Shards))
			if !f.joined || word != consensus.StatusGranted {
				f.log.Info().Int("index", a.Index).Int("controllers", a.LiveControllers).Uint64("leader", a.Leader).Msg("part of the fleet")
			}
			if !f.joined || f.index != a.Index {
				f.indexedSince = f.clock()
			}
			f.joined, f.index, f.liveControllers = true, a.Index, a.LiveControllers
			if f.clock() >= f.indexedSince+f.options.leaseTiming().ExpiryBound() {
				placed = f.OnIndex
			}
		}
	case consensus.StatusNotLeader:
		if f.lastStatus = word; a.Leader != 0 {
			f.leader = a.Leader
			return time.Millisecond
		}
		return seconds(2 * f.options.HeartbeatInterval)
	case consensus.StatusRetry:
		f.lastStatus = word
		f.leader = a.Leader
		return seconds(f.options.HeartbeatInterval)
	case consensus.StatusStaleIncarnation:
		if !f.joined { // a wall clock that was set back
			f.incarnation = a.Incarnation + 1
			return time.Millisecond
		}
		fallthrough
	case consensus.StatusReplaced:
		if !f.replaced {
			f.replaced = true
			f.lease.Revoke()
			changes = f.shards.Update(f.clock(), f.clock(), f.clock(), nil)
			f.log.Error().Msg("another process has this controller's name: this one uses nothing of the fleet's any more")
		}
	case consensus.StatusGenerationMismatch:
		if word != a.Status {
			f.log.Error().Uint64("generation", f.options.Generation).Msg("the fleet divides something else in this generation: nothing of it is used here")
		}
	case consensus.StatusFleetFull:
		if word != a.Status {
			f.log.Error().Int("controllers", f.options.MaxControllers).Msg("the fleet has its most controllers: nothing of it is used here")
		}
	}
	return 0
}

// leave gives all back once nothing is in use, if that is so within a moment.
func (f *Member) leave(links map[uint64]*leaderConn, answers chan consensus.LeaseResponse) {
	a := f.nextRequest(true)
	if slices.ContainsFunc(a.Demands, func(d consensus.Demand) bool { return d.Used > 0 }) {
		return
	}
	f.mu.Lock()
	to := f.leader
	f.shards.Update(f.clock(), f.clock(), f.clock(), nil) // its slices are others' from the moment that it says so
	f.mu.Unlock()
	if l := links[to]; l != nil && !l.isClosed() {
		l.send(frameLeaseRequest, encodeMessage(a))
		select {
		case <-answers:
		case <-time.After(100 * time.Millisecond): // the lease ends in any case
		}
	}
}
