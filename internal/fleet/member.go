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

// Member is one controller's place in a fleet: the holder of its leases, the client of the leader and, at a voter, the
// server for all others. Run starts all goroutines; each ends with Run's context.
type Member struct {
	options   *Options
	log       zerolog.Logger
	quotaUser QuotaUser
	worker    Worker // nil without shared work
	startedAt time.Time
	voter     *voter    // nil at a controller that is none, or can't vote
	loadFeed  *loadFeed // controllers that are connected to this voter

	// OnIndex, where set, hears this controller's index among the members, from 0, and one past the highest index in use;
	// -1 while it has none. A newcomer gets one only after a lease, by when every other controller has heard of it. It is
	// set before Run, and called from Run's goroutines.
	OnIndex func(index, count int)

	notifyMu sync.Mutex // held while quotas are passed on, so that they arrive in order; taken before mu

	mu              sync.Mutex // guards the following
	incarnation     uint64
	lease           *lease.Holder
	quotas          map[string]*lease.Quota // by quantity
	notifiedQuotas  []Quota                 // as the quota user was told last
	leader          uint64                  // voter to be asked next, 0 for any
	lastStatus      consensus.Status
	joined          bool // a lease was granted
	replaced        bool // another process has the name; never reset
	index           int
	indexedSince    float64 // seconds since the start, of index
	shards          *assignment.Owner
	listVersions    map[string]uint64 // of the published lists that were passed on, by name
	appliedOverride uint64            // number of the latest that was passed on

	proposals   pendingProposals
	loadReports chan []LoadReport // on their way to the leader; more are dropped
}

// loadReportQueue is how many messages of load reports may wait for the leader's connection.
const loadReportQueue = 16

// NewMember makes a controller's place. It connects to nobody before Run.
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

// clock is monotonic, in seconds since the start, so that changes of the wall clock have no effect.
func (m *Member) clock() float64 { return time.Since(m.startedAt).Seconds() }

// id is this incarnation of the controller. It is called under the lock.
func (m *Member) id() state.ControllerID {
	return state.ControllerID{Name: m.options.Self, Incarnation: m.incarnation}
}

// Run takes part in the fleet until ctx ends, and then returns everything that is not in use.
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
