package fleet

import (
	"maps"
	"time"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/lease"
)

// nextRequest returns the next lease request. leaving is true for the last one, which returns all leases.
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

// responseOutcome holds the consequences of a response that are carried out after mu is unlocked.
type responseOutcome struct {
	granted     bool                // the leases were renewed
	changes     []assignment.Change // changes of the owned shards
	indexUsable bool                // the controller may use its index now
	retryAfter  time.Duration       // delay of the next request, 0 for the usual interval
}

// handleResponse applies a response. It returns the delay of the next request if that is to be early, and 0 otherwise.
func (m *Member) handleResponse(response consensus.LeaseResponse) (retryAfter time.Duration) {
	m.mu.Lock()
	outcome := m.applyResponse(response)
	m.mu.Unlock()
	m.notifyQuotas()
	m.notifyWorker(response, outcome.changes, outcome.granted)
	if outcome.indexUsable && m.OnIndex != nil {
		m.OnIndex(response.Index, response.IndexCount)
	}
	return outcome.retryAfter
}

// applyResponse updates the member's state from a response. The caller holds mu. A status is logged when it differs from the
// previous one, not counting the statuses that only ask for another request.
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
		if !m.joined { // incarnations are read from the wall clock, which was set back
			m.incarnation = response.Incarnation + 1
			outcome.retryAfter = time.Millisecond
			return outcome
		}
		outcome.changes = m.markReplaced()
	case consensus.StatusReplaced:
		outcome.changes = m.markReplaced()
	case consensus.StatusGenerationMismatch:
		if statusChanged {
			m.log.Error().Uint64("generation", m.options.Generation).Msg("the fleet has other settings under this generation: this controller gets no quota")
		}
	case consensus.StatusFleetFull:
		if statusChanged {
			m.log.Error().Int("controllers", m.options.MaxControllers).Msg("the fleet is full: this controller gets no quota")
		}
	}
	return outcome
}

// applyGrant renews the leases. The caller holds mu.
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
	outcome.indexUsable = m.clock() >= m.indexedSince+m.options.leaseTiming().ExpiryBound()
	return outcome
}

// markReplaced is called when another process has joined under this controller's name. The first call gives up all quotas and
// shards; later calls do nothing. The caller holds mu.
func (m *Member) markReplaced() (changes []assignment.Change) {
	if m.replaced {
		return nil
	}
	m.replaced = true
	m.lease.Revoke()
	now := m.clock()
	changes = m.shards.Update(now, now, now, nil)
	m.log.Error().Msg("another process has joined under this controller's name: this one no longer gets any quota")
	return changes
}
