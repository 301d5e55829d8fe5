package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// Member is one controller's membership in a fleet. It holds the controller's leases, is a client of the leader and, at a
// voter, also serves the other controllers. Run starts all goroutines, which end with Run's context.
type Member struct {
	options   *Options
	log       zerolog.Logger
	quotaUser QuotaUser
	worker    Worker // nil without shared work
	startedAt time.Time
	voter     *voter    // nil at a controller that is not a voter, or can't vote
	loadFeed  *loadFeed // subscriptions of the controllers that are connected to this voter

	// OnIndex, if set, is called with this controller's index among the members, counted from 0, and one past the highest
	// index in use. The index is -1 while the controller has none. A controller that has just joined may use its index only
	// once a lease has passed, because by then every other controller has learned of it. OnIndex is set before Run, and
	// called from Run's goroutines.
	OnIndex func(index, count int)

	notifyMu sync.Mutex // held while quotas are passed to quotaUser, so that they arrive in order; locked before mu

	mu              sync.Mutex // guards the fields below, up to appliedOverride
	incarnation     uint64
	lease           *lease.Holder
	quotas          map[string]*lease.Quota // by quantity
	notifiedQuotas  []Quota                 // quotas that were last passed to quotaUser
	leader          uint64                  // number of the voter that is believed to lead, 0 for none
	lastStatus      consensus.Status
	joined          bool // a lease was granted at least once
	replaced        bool // another process has joined under this controller's name; never reset
	index           int
	indexedSince    float64 // time at which index was assigned, in seconds since the start
	shards          *assignment.Owner
	listVersions    map[string]uint64 // versions of the published lists that were passed to worker, by name
	appliedOverride uint64            // number of the latest override that was passed to worker

	proposals   pendingProposals
	loadReports chan []LoadReport // queue of messages to the leader; those that don't fit are dropped
}

// loadReportQueue is the number of messages with load reports that may wait for the leader's connection.
const loadReportQueue = 16

// NewMember creates a controller's membership. It makes no connection before Run.
func NewMember(options *Options, quotaUser QuotaUser, log zerolog.Logger) *Member {
	checkInterval := options.leaseCheckInterval()
	m := &Member{
		options:      options,
		log:          log,
		quotaUser:    quotaUser,
		startedAt:    time.Now(),
		incarnation:  uint64(time.Now().UnixNano()),
		lease:        lease.New(0, options.leaseTiming()),
		quotas:       map[string]*lease.Quota{},
		shards:       assignment.NewOwner(checkInterval*leaseCheckMargin+options.Lease/20, options.Lease/4),
		loadFeed:     &loadFeed{subscribers: map[int]subscriber{}},
		listVersions: map[string]uint64{},
		loadReports:  make(chan []LoadReport, loadReportQueue),
	}
	m.proposals.init()
	for _, quantity := range options.Quantities {
		m.quotas[quantity.Name] = m.lease.SetQuota(quantity.Name, options.floorOf(quantity), quantity.Window)
	}
	return m
}

// clock returns the monotonic time in seconds since the start. Changes of the wall clock have no effect on it.
func (m *Member) clock() float64 { return time.Since(m.startedAt).Seconds() }

// id returns the controller's name and incarnation. The caller holds mu.
func (m *Member) id() state.ControllerID {
	return state.ControllerID{Name: m.options.Self, Incarnation: m.incarnation}
}

// Run takes part in the fleet until ctx ends. It then returns all leases to the leader, unless something is still in use.
func (m *Member) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if m.options.voterID() > 0 {
		if err := m.startVoter(ctx, group); err != nil {
			return err
		}
	}
	group.Go(func() error { return m.watchLease(ctx) })
	group.Go(func() error { return newLeaderClient(m).run(ctx) })
	return group.Wait()
}
