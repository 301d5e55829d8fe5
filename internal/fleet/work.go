package fleet

import (
	"time"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Worker does the shared work in the shards that a controller owns. Its methods must not block, and may be called from
// several goroutines.
type Worker interface {
	// Capacity returns the spare capacity for shared work, from 0 to 1.
	Capacity() float64
	// ShardsChanged is called when shards were gained, recalled or lost.
	ShardsChanged(changes []assignment.Change)
	// ScheduledJobs is called with all scheduled jobs in the controller's shards.
	ScheduledJobs(jobs []consensus.ScheduledJob)
	// ApplyOverride applies an operator's override, or its revocation.
	ApplyOverride(override state.Override)
	// ListPublished is called with a new version of a published list.
	ListPublished(name string, fence, version uint64, data []byte)
	// LoadReported is called with load reports of other controllers.
	LoadReported(reports []LoadReport)
	// EnginesPolled returns the hashes of the engines that this controller has recently polled for its own requests.
	EnginesPolled() []uint32
	// SetWidelyPolled is called with the hashes of the engines that several controllers poll for their own requests.
	SetWidelyPolled(engines []uint32)
}

// SetWorker sets the worker for shared work. It is called before Run. A controller without a worker owns no shards.
func (m *Member) SetWorker(worker Worker) { m.worker = worker }

// assignmentsOf converts the shards of a lease response.
func assignmentsOf(shards []consensus.ShardAssignment) (assignments []assignment.Assignment) {
	for _, shard := range shards {
		assignments = append(assignments, assignment.Assignment{
			ShardID:  assignment.ShardID{Task: shard.Task, Index: shard.Shard},
			Fence:    shard.Fence,
			Recalled: shard.Recalled,
		})
	}
	return assignments
}

// addWorkReport adds to a request what the leader needs to know about shared work. The caller holds mu.
func (m *Member) addWorkReport(request *consensus.LeaseRequest) {
	if m.worker == nil {
		return
	}
	request.WorkCapacity = m.worker.Capacity()
	if request.Leaving {
		request.WorkCapacity = 0
	}
	request.EnginesPolled = m.worker.EnginesPolled()
	for _, returned := range m.shards.Returned() {
		request.ReturnedShards = append(request.ReturnedShards, consensus.ShardAssignment{Task: returned.Task, Shard: returned.Index, Fence: returned.Fence})
	}
}

// notifyWorker passes the part of a response that concerns shared work to the worker. mu must not be held.
func (m *Member) notifyWorker(response consensus.LeaseResponse, changes []assignment.Change, granted bool) {
	if m.worker == nil {
		return
	}
	if len(changes) > 0 {
		m.worker.ShardsChanged(changes)
	}
	if !granted {
		return
	}
	m.worker.ScheduledJobs(response.ScheduledJobs)
	m.worker.SetWidelyPolled(response.WidelyPolled)
	for _, override := range m.newOverrides(response.Overrides) {
		m.worker.ApplyOverride(override)
	}
	for _, list := range m.newLists(response.Lists) {
		m.worker.ListPublished(list.Name, list.Fence, list.Version, list.Data)
	}
}

// newOverrides returns the overrides with a higher number than all that were passed to the worker, and records them as passed
// on. Responses may arrive out of order, so one may hold overrides that have been revoked since it was made.
func (m *Member) newOverrides(overrides []state.Override) (later []state.Override) {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied := m.appliedOverride
	for _, override := range overrides {
		if override.Number > applied {
			later = append(later, override)
			m.appliedOverride = max(m.appliedOverride, override.Number)
		}
	}
	return later
}

// newLists returns the lists with a later version than was passed to the worker, and records them as passed on.
func (m *Member) newLists(lists []consensus.PublishedList) (later []consensus.PublishedList) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, list := range lists {
		if list.Version > m.listVersions[list.Name] {
			later = append(later, list)
			m.listVersions[list.Name] = list.Version
		}
	}
	return later
}

// heartbeat records that the process runs. After a pause of the process, shared work stops until the lease is renewed.
func (m *Member) heartbeat() {
	m.mu.Lock()
	stalled := m.shards.Heartbeat(m.clock())
	m.mu.Unlock()
	if stalled && m.worker != nil {
		m.log.Warn().Msg("the process was paused: shared work stops until the lease is renewed")
	}
}

// BeginWork counts a piece of work in a shard as in progress and returns the fencing token to present with it. ok is false if
// the work must not begin. If ok is true, EndWork has to be called when the work is over.
func (m *Member) BeginWork(shard assignment.ShardID) (fence uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards.Begin(m.clock(), shard)
}

// EndWork ends a piece of work that BeginWork has counted.
func (m *Member) EndWork(shard assignment.ShardID, fence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards.End(shard, fence)
}

// Owns reports whether this controller owns the shard under that fencing token. It is called at the last moment before an
// effect.
func (m *Member) Owns(shard assignment.ShardID, fence uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards.Owns(m.clock(), shard, fence)
}

// RemainingLease returns for how long work that begins now may continue, 0 if the lease has expired.
func (m *Member) RemainingLease() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return seconds(m.shards.RemainingLease(m.clock()))
}

// Connected reports whether this controller has a valid lease.
func (m *Member) Connected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Valid(m.clock())
}
