package fleet

import (
	"time"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Worker carries out the shared work of the shards that a controller owns. Its methods don't block, and may be called from
// several goroutines.
type Worker interface {
	// Capacity is the room for more shared work, from 0 to 1.
	Capacity() float64
	// ShardsChanged tells of shards that were gained, recalled or lost.
	ShardsChanged(changes []assignment.Change)
	// ScheduledJobs gives all scheduled jobs in the controller's shards.
	ScheduledJobs(jobs []consensus.ScheduledJob)
	// ApplyOverride applies an operator's override, or its revocation.
	ApplyOverride(override state.Override)
	// ListPublished tells of a new version of a list.
	ListPublished(name string, fence, version uint64, data []byte)
	// LoadReported gives engines' load that other controllers read.
	LoadReported(reports []LoadReport)
	// EnginesRead lists the hashes of engines whose load this controller's own requests have caused it to ask, lately.
	EnginesRead() []uint32
	// SetWidelyRead gives the hashes of engines that several controllers read by themselves.
	SetWidelyRead(engines []uint32)
}

// SetWorker sets who carries out shared work. It is called before Run; without a worker the controller owns no shards.
func (m *Member) SetWorker(worker Worker) { m.worker = worker }

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

// addWorkReport adds to a request what the leader has to know about shared work. It is called under the lock.
func (m *Member) addWorkReport(request *consensus.LeaseRequest) {
	if m.worker == nil {
		return
	}
	request.WorkCapacity = m.worker.Capacity()
	if request.Leaving {
		request.WorkCapacity = 0
	}
	request.EnginesPolled = m.worker.EnginesRead()
	for _, returned := range m.shards.Returned() {
		request.ReturnedShards = append(request.ReturnedShards, consensus.ShardAssignment{Task: returned.Task, Shard: returned.Index, Fence: returned.Fence})
	}
}

// notifyWorker passes on what a response says about shared work. It is called without the lock.
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
	m.worker.SetWidelyRead(response.WidelyPolled)
	for _, override := range m.newOverrides(response.Overrides) {
		m.worker.ApplyOverride(override)
	}
	for _, list := range m.newLists(response.Lists) {
		m.worker.ListPublished(list.Name, list.Fence, list.Version, list.Data)
	}
}

// newOverrides gives the overrides that are later than all that were passed on before, and counts them as passed on. A
// response that arrives after a later one may have been made before it, and have overrides that hold no more.
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

// newLists gives the lists of a later version than was passed on before, and counts them as passed on.
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

// heartbeat tells the owner's side that the controller runs.
func (m *Member) heartbeat() {
	m.mu.Lock()
	stalled := m.shards.Heartbeat(m.clock())
	m.mu.Unlock()
	if stalled && m.worker != nil {
		m.log.Warn().Msg("the process was paused: shared work stops until the lease is renewed")
	}
}

// BeginWork counts a piece of work in a shard as in progress and gives the fencing token to present with it; ok is false
// where it may not be begun. Otherwise EndWork has to be called once it is over.
func (m *Member) BeginWork(shard assignment.ShardID) (fence uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards.Begin(m.clock(), shard)
}

// EndWork tells that work which BeginWork counted is over.
func (m *Member) EndWork(shard assignment.ShardID, fence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards.End(shard, fence)
}

// Owns tells, at the last moment before an effect, whether the shard is this controller's under that fencing token.
func (m *Member) Owns(shard assignment.ShardID, fence uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards.Owns(m.clock(), shard, fence)
}

// RemainingLease is for how long work that is begun now may go on, 0 where the lease has expired.
func (m *Member) RemainingLease() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return seconds(m.shards.RemainingLease(m.clock()))
}

// Connected tells whether this controller has a valid lease.
func (m *Member) Connected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Valid(m.clock())
}
