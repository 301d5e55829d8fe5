package fleet

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Usage is a controller's use of one quantity, in the quantity's unit.
type Usage struct {
	Quantity   string
	Used       float64
	Demand     float64 // amount that would be used without a limit
	Weight     float64 // weight relative to other controllers; 0 means 1
	Guaranteed float64 // minimum that is allocated first
}

// Quota is the amount of one quantity that a controller may use now. Without a valid lease it is the floor.
type Quota struct {
	Quantity   string
	Limit      float64
	LeaseValid bool
}

// QuotaUser is the part of the controller that uses the quantities that the fleet divides. Its methods must not block, and
// may be called from several goroutines.
type QuotaUser interface {
	// Usage returns the present use of each quantity.
	Usage() []Usage
	// SetQuotas is called with all quotas whenever one of them has changed.
	SetQuotas(quotas []Quota)
}

// watchLease checks periodically whether the lease has expired, and records a heartbeat so that a pause of the process is
// noticed.
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

// notifyQuotas passes the quotas to the quota user if they have changed. It treats a lease as expired more than one check
// interval early, so that nothing begins after its expiry.
func (m *Member) notifyQuotas() {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	quotas, changed, expired := m.updateQuotas()
	if expired {
		m.log.Warn().Msg("the fleet lease has expired: only the floors may be used")
		if m.OnIndex != nil {
			m.OnIndex(-1, 0)
		}
	}
	if changed {
		m.quotaUser.SetQuotas(quotas)
	}
}

// updateQuotas returns the present quotas sorted by name, whether they differ from the previous ones, and whether the lease
// has expired since then.
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

// recordUsage stores the present usage in the lease's quotas, and returns it by quantity. It returns with mu locked.
func (m *Member) recordUsage() map[string]Usage {
	usages := m.quotaUser.Usage() // called before mu is locked, because it takes locks of its own
	m.mu.Lock()
	byQuantity := map[string]Usage{}
	for _, usage := range usages {
		if quota := m.quotas[usage.Quantity]; quota != nil {
			quota.SetUsage(usage.Used, usage.Demand)
			byQuantity[usage.Quantity] = usage
		}
	}
	return byQuantity
}

// needsRenewal reports whether the next request should be made early.
func (m *Member) needsRenewal() bool {
	m.recordUsage()
	defer m.mu.Unlock()
	return m.lease.NeedsRenewal(m.clock())
}
