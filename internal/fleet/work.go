package fleet

import (
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Worker carries out what the fleet does as one. Its methods don't block, and may be called from several goroutines.
type Worker interface {
	Capacity() float64                                             // from 0 to 1, for more duties
	ShardsChanged(changes []assignment.Change)                     // slices gained, asked back or lost
	ScheduledJobs(jobs []consensus.ScheduledJob)                   // what the ledger has of jobs in slices of this controller's
	ApplyOverride(order state.Override)                            // by an operator
	ListPublished(name string, fence, version uint64, data []byte) // a list that its owner published
	LoadReported(readings []LoadReport)                            // of engines, taken elsewhere
	EnginesRead() []uint32                                         // engines that this controller's own jobs have had asked of late
	SetWidelyRead(engines []uint32)                                // those that several controllers have
}

// SetWorker has the fleet's duties carried out. It is called before Run.
func (f *Member) SetWorker(doer Worker) { f.worker = doer }

func assignmentsOf(all []consensus.ShardAssignment) (grants []assignment.Assignment) {
	for _, s := range all {
		grants = append(grants, assignment.Assignment{ShardID: assignment.ShardID{Task: s.Task, Index: s.Shard}, Fence: s.Fence, Recalled: s.Recalled})
	}
	return grants
}

// addWorkReport adds to an ask what the fleet has to know of duties, with the lock held.
func (f *Member) addWorkReport(a *consensus.LeaseRequest) {
	if f.worker == nil {
		return
	}
	if a.WorkCapacity = f.worker.Capacity(); a.Leaving {
		a.WorkCapacity = 0
	}
	a.EnginesRead = f.worker.EnginesRead()
	for _, g := range f.shards.Returned() {
		a.ReturnedShards = append(a.ReturnedShards, consensus.ShardAssignment{Task: g.Task, Shard: g.Index, Fence: g.Fence})
	}
}

// notifyWorker passes on what an answer says, without the lock.
func (f *Member) notifyWorker(a consensus.LeaseResponse, changes []assignment.Change, counted bool) {
	if f.worker == nil {
		return
	}
	if len(changes) > 0 {
		f.worker.ShardsChanged(changes)
	}
	if !counted {
		return
	}
	f.worker.ScheduledJobs(a.ScheduledJobs)
	f.worker.SetWidelyRead(a.WidelyRead)
	for _, o := range a.Overrides {
		f.worker.ApplyOverride(o)
		f.mu.Lock()
		f.appliedOverride = max(f.appliedOverride, o.Number)
		f.mu.Unlock()
	}
	for _, l := range a.Lists {
		f.worker.ListPublished(l.Name, l.Fence, l.Version, l.Data)
		f.mu.Lock()
		f.listVersions[l.Name] = l.Version
		f.mu.Unlock()
	}
}

// heartbeat tells the owner's side that the controller runs.
func (f *Member) heartbeat() {
	f.mu.Lock()
	stood := f.shards.Heartbeat(f.clock())
	f.mu.Unlock()
	if stood && f.worker != nil {
		f.log.Warn().Msg("stood still: nothing is done for the fleet until it is asked again")
	}
}

// BeginWork counts something as under way in a slice, and gives the fence that goes along with it; false where it may not be
// begun. End is to be called once it is over.
func (f *Member) BeginWork(s assignment.ShardID) (fence uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shards.Begin(f.clock(), s)
}

// EndWork tells that something begun is over.
func (f *Member) EndWork(s assignment.ShardID, fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shards.End(s, fence)
}

// Owns tells, at the last moment before an effect, whether the slice is this controller's under that fence.
func (f *Member) Owns(s assignment.ShardID, fence uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shards.Owns(f.clock(), s, fence)
}

// RemainingLease is for how long, in seconds, what is begun now may go on under the lease.
func (f *Member) RemainingLease() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shards.RemainingLease(f.clock())
}

// Connected tells whether the fleet has been heard within a lease.
func (f *Member) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease.Valid(f.clock())
}
