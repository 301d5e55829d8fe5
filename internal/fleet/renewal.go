package fleet

import (
	"maps"
	"time"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/lease"
)

// nextRequest makes the next lease request.
func (m *Member) nextRequest(leaving bool) consensus.LeaseRequest {
	usage := m.recordUsage()
	defer m.mu.Unlock()
	now := m.clock()
	request := consensus.LeaseRequest{
		Controller:      m.id(),
		Generation:      m.options.Generation,
		ConfigDigest:    consensus.ConfigDigest(m.options.Quantities, m.options.Tasks),
		Quantities:      m.options.Quantities,
		Tasks:           m.options.Tasks,
		ScheduledJobs:   m.options.ScheduledJobs,
		Leaving:         leaving,
		AppliedOverride: m.appliedOverride,
		ListVersions:    maps.Clone(m.listVersions),
	}
	m.addWorkReport(&request)
	var reports []lease.UsageReport
	request.Number, reports = m.lease.NewRequest(now)
	for _, report := range reports {
		request.Demands = append(request.Demands, consensus.Demand{
			Quantity:   report.Quantity,
			Revision:   report.Revision,
			Used:       report.Used,
			Wanted:     report.Demand,
			Weight:     usage[report.Quantity].Weight,
			Guaranteed: usage[report.Quantity].Guaranteed,
		})
	}
	return request
}

// responseOutcome is what follows from a response outside the lock.
type responseOutcome struct {
	granted    bool                // leases were renewed
	changes    []assignment.Change // of shards
	indexed    bool                // the controller's index may be used
	retryAfter time.Duration       // when to make the next request, 0 for as usual
}

// handleResponse takes a response, and tells when to make the next request if that is early.
func (m *Member) handleResponse(response consensus.LeaseResponse) (retryAfter time.Duration) {
	m.mu.Lock()
	outcome := m.applyResponse(response)
	m.mu.Unlock()
	m.notifyQuotas()
	m.notifyWorker(response, outcome.changes, outcome.granted)
	if outcome.indexed && m.OnIndex != nil {
		m.OnIndex(response.Index, response.IndexCount)
	}
	return outcome.retryAfter
}

// applyResponse takes a response into the member's state. It is called under the lock. A status is logged when it differs
// from the one before; statuses that only ask for another try don't count as one.
func (m *Member) applyResponse(response consensus.LeaseResponse) (outcome responseOutcome) {
	if response.To.Incarnation != m.incarnation {
		return outcome
	}
	switch response.Status {
	case consensus.StatusNotLeader:
		if response.Leader == 0 {
			outcome.retryAfter = seconds(2 * m.options.HeartbeatInterval)
			return outcome
		}
		m.leader = response.Leader
		outcome.retryAfter = time.Millisecond
		return outcome
	case consensus.StatusRetry:
		m.leader = response.Leader
		outcome.retryAfter = seconds(m.options.HeartbeatInterval)
		return outcome
	}
	statusChanged := m.lastStatus != response.Status
	m.lastStatus = response.Status
	switch response.Status {
	case consensus.StatusGranted:
		return m.applyGrant(response, statusChanged)
	case consensus.StatusStaleIncarnation:
		if !m.joined { // the wall clock, of which incarnations are made, was set back
			m.incarnation = response.Incarnation + 1
			outcome.retryAfter = time.Millisecond
			return outcome
		}
		outcome.changes = m.markReplaced()
	case consensus.StatusReplaced:
		outcome.changes = m.markReplaced()
	case consensus.StatusGenerationMismatch:
		if statusChanged {
			m.log.Error().Uint64("generation", m.options.Generation).Msg("the fleet's settings differ in this generation: this controller gets no quota")
		}
	case consensus.StatusFleetFull:
		if statusChanged {
			m.log.Error().Int("controllers", m.options.MaxControllers).Msg("the fleet is full: this controller gets no quota")
		}
	}
	return outcome
}

// applyGrant renews the leases. It is called under the lock.
func (m *Member) applyGrant(response consensus.LeaseResponse, statusChanged bool) (outcome responseOutcome) {
	requestedAt, _ := m.lease.RequestedAt(response.Number)
	m.leader = response.Leader
	if !m.lease.Renew(response.Number, response.Grants) {
		return outcome
	}
	outcome.granted = true
	outcome.changes = m.shards.Update(m.clock(), requestedAt, m.lease.ExpiresAt(), assignmentsOf(response.Shards))
	if !m.joined || statusChanged {
		m.log.Info().Int("index", response.Index).Int("controllers", response.LiveControllers).Uint64("leader", response.Leader).Msg("joined the fleet")
	}
	if !m.joined || m.index != response.Index {
		m.indexedSince = m.clock()
	}
	m.joined, m.index = true, response.Index
	outcome.indexed = m.clock() >= m.indexedSince+m.options.leaseTiming().ExpiryBound()
	return outcome
}

// markReplaced gives up everything, once: another process has joined under this controller's name. It is called under the
// lock.
func (m *Member) markReplaced() (changes []assignment.Change) {
	if m.replaced {
		return nil
	}
	m.replaced = true
	m.lease.Revoke()
	now := m.clock()
	changes = m.shards.Update(now, now, now, nil)
	m.log.Error().Msg("another process has this controller's name: this one gets no quota any more")
	return changes
}
