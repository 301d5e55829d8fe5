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
)

// Member is one controller's place in a fleet.
type Member struct {
	options     *Options
	log         zerolog.Logger
	quotaUser   QuotaUser
	worker      Worker // nil where there are no duties
	startedAt   time.Time
	voter       *voter
	incarnation uint64
	loadFeed    *loadFeed // connections of others to this voter, for news

	// OnIndex, where set, hears this controller's number, from 0, and how many numbers there may be; -1 while it has none.
	// A newcomer has one only after a lease, by when all others have heard of it. It is set before Run.
	OnIndex func(index, numbers int)

	notifyMu sync.Mutex // one word after the other

	mu              sync.Mutex
	lease           *lease.Holder
	quotas          map[string]*lease.Quota
	notifiedQuotas  []Quota
	leader          uint64 // voter that is asked next
	lastStatus      consensus.Status
	joined          bool // an answer has counted
	replaced        bool
	index           int
	liveControllers int
	indexedSince    float64 // of the present run of answers

	shards          *assignment.Owner
	listVersions    map[string]uint64 // versions of published lists that were taken
	appliedOverride uint64            // the latest order that was taken up
	proposals       pendingProposals
	loadReports     chan []LoadReport // taken here, on their way to whoever leads
}

// NewMember makes a controller's place. It asks nobody before Run.
func NewMember(options *Options, spender QuotaUser, log zerolog.Logger) *Member {
	f := &Member{options: options, log: log, quotaUser: spender, startedAt: time.Now(), incarnation: uint64(time.Now().UnixNano()), quotas: map[string]*lease.Quota{},
		loadFeed: &loadFeed{}, listVersions: map[string]uint64{}, loadReports: make(chan []LoadReport, 16)}
	f.shards = assignment.NewOwner(f.leaseCheckInterval()*1.5+options.Lease/20, options.Lease/4)
	f.proposals.init()
	f.lease = lease.New(0, options.leaseTiming())
	for _, q := range options.Quantities {
		f.quotas[q.Name] = f.lease.SetQuota(q.Name, options.floorOf(q), q.Window)
	}
	return f
}

// clock is monotonic, in seconds from the start. The wall clock may jump as it will.
func (f *Member) clock() float64 { return time.Since(f.startedAt).Seconds() }

// leaseCheckInterval is how often the end of a lease is looked for.
func (f *Member) leaseCheckInterval() float64 { return min(f.options.Lease/20, 0.1) }

// Run takes part until ctx ends, and then gives all back.
func (f *Member) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if f.options.voterID() > 0 {
		if err := f.startVoter(ctx, group); err != nil {
			return err
		}
	}
	group.Go(func() error { return f.watchLease(ctx) })
	group.Go(func() error { return f.renewLoop(ctx) })
	return group.Wait()
}
