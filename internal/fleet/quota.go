package fleet

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Usage is what a controller reports of one quantity, in the quantity's unit.
type Usage struct {
	Quantity   string
	Used       float64
	Demand     float64 // what would be used without a limit
	Weight     float64 // against other controllers, 0 for 1
	Guaranteed float64 // minimum that is allocated first
}

// Quota is what a controller may use of one quantity now. Without a valid lease only the floor is left.
type Quota struct {
	Quantity   string
	Limit      float64
	LeaseValid bool
}

// QuotaUser is the part of the controller that uses what the fleet divides. Its methods don't block, and may be called
// from several goroutines.
type QuotaUser interface {
	Usage() []Usage
	SetQuotas(quotas []Quota)
}

// watchLease passes on quotas when the lease expires, and tells the owner's side of shared work that the controller runs.
func (m *Member) watchLease(ctx context.Context) error {
	ticker := time.NewTicker(seconds(m.options.leaseCheckInterval()))
	defer ticker.Stop()
	for {
		m.notifyQuotas()
		m.heartbeat()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// notifyQuotas passes on the quotas if they have changed. A lease counts as expired more than a check before it is, so
// that nothing is begun after its end.
func (m *Member) notifyQuotas() {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	quotas, changed, expired := m.updateQuotas()
	if expired {
		m.log.Warn().Msg("the fleet's lease has expired, guaranteed quotas apply")
		if m.OnIndex != nil {
			m.OnIndex(-1, 0)
		}
	}
	if changed {
		m.quotaUser.SetQuotas(quotas)
	}
}

// updateQuotas gives the present quotas by name, whether they differ from those passed on last, and whether the lease has
// expired since.
func (m *Member) updateQuotas() (quotas []Quota, changed, expired bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock() + m.options.leaseCheckInterval()*leaseCheckMargin
	for _, name := range slices.Sorted(maps.Keys(m.quotas)) {
		quotas = append(quotas, Quota{Quantity: name, Limit: m.lease.Limit(now, m.quotas[name]), LeaseValid: m.lease.Valid(now)})
	}
	last := m.notifiedQuotas
	m.notifiedQuotas = quotas
	expired = len(last) > 0 && len(quotas) > 0 && last[0].LeaseValid && !quotas[0].LeaseValid
	return quotas, !slices.Equal(quotas, last), expired
}

// recordUsage takes the present usage into the lease, and gives it by quantity. It returns with mu locked.
func (m *Member) recordUsage() map[string]Usage {
	usage := m.quotaUser.Usage() // takes locks of its own, so before mu
	m.mu.Lock()
	byQuantity := map[string]Usage{}
	for _, one := range usage {
		if quota := m.quotas[one.Quantity]; quota != nil {
			quota.SetUsage(one.Used, one.Demand)
			byQuantity[one.Quantity] = one
		}
	}
	return byQuantity
}

// needsRenewal tells whether the next request should be made early.
func (m *Member) needsRenewal() bool {
	m.recordUsage()
	defer m.mu.Unlock()
	return m.lease.NeedsRenewal(m.clock())
}
