package fleet

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Usage is what a controller tells of one quantity: what it uses, and would use if it had it.
type Usage struct {
	Quantity                         string
	Used, Demand, Weight, Guaranteed float64
}

// Quota is what a controller may use of one quantity now. While it is not Leased only the floor is left.
type Quota struct {
	Quantity   string
	Limit      float64
	LeaseValid bool
}

// QuotaUser is the controller that holds parts. Its methods don't block.
type QuotaUser interface {
	Usage() []Usage
	SetQuotas(shares []Quota)
}

// watchLease tells the spender its parts whenever they change, and when a lease ends.
func (f *Member) watchLease(ctx context.Context) error {
	look := time.NewTicker(seconds(f.leaseCheckInterval())) // the end of a lease is kept to by that
	defer look.Stop()
	for {
		f.notifyQuotas()
		f.heartbeat()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-look.C:
		}
	}
}

// notifyQuotas gives the spender its shares where they differ from what it was told. A lease counts as over a look before it
// ends, so that nothing is begun after it.
func (f *Member) notifyQuotas() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.mu.Lock()
	now := f.clock() + f.leaseCheckInterval()*1.5
	var shares []Quota
	for _, name := range slices.Sorted(maps.Keys(f.quotas)) {
		shares = append(shares, Quota{name, f.lease.Limit(now, f.quotas[name]), f.lease.Valid(now)})
	}
	changed := !slices.Equal(shares, f.notifiedQuotas)
	lost := len(f.notifiedQuotas) > 0 && len(shares) > 0 && f.notifiedQuotas[0].LeaseValid && !shares[0].LeaseValid
	f.notifiedQuotas = shares
	f.mu.Unlock()
	if lost {
		f.log.Warn().Msg("the fleet's lease is over, floors hold")
		if f.OnIndex != nil {
			f.OnIndex(-1, 0)
		}
	}
	if changed {
		f.quotaUser.SetQuotas(shares)
	}
}

// recordUsage takes what is used and wanted of all that is divided; the lock is held when it returns.
func (f *Member) recordUsage() map[string]Usage {
	uses := f.quotaUser.Usage()
	f.mu.Lock()
	more := map[string]Usage{}
	for _, u := range uses {
		if h := f.quotas[u.Quantity]; h != nil {
			h.SetUsage(u.Used, u.Demand)
			more[u.Quantity] = u
		}
	}
	return more
}

// needsRenewal tells whether the fleet should hear soon.
func (f *Member) needsRenewal() bool {
	f.recordUsage()
	defer f.mu.Unlock()
	return f.lease.NeedsRenewal(f.clock())
}
