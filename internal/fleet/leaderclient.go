package fleet

import (
	"context"
	"slices"
	"time"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// leaderClient sends a controller's lease requests, proposals and load reports to the leader. It has one connection to each
// voter that it has tried. It is used only by the goroutine of run, which closes it.
type leaderClient struct {
	member    *Member
	conns     map[uint64]*leaderConn // by voter number
	responses chan consensus.LeaseResponse
}

const (
	responseQueue      = 16                     // responses that may wait; more are dropped, because requests are repeated
	lastRequestTimeout = 100 * time.Millisecond // for the answer to the last request; if it is lost, the leases expire
)

func newLeaderClient(m *Member) *leaderClient {
	return &leaderClient{member: m, conns: map[uint64]*leaderConn{}, responses: make(chan consensus.LeaseResponse, responseQueue)}
}

// run renews the leases until ctx ends, and then returns them. It sends five requests within a lease, or ten while demand
// exceeds a limit or the leader has not yet settled an allocation.
func (c *leaderClient) run(ctx context.Context) error {
	defer c.close()
	m := c.member
	interval := seconds(m.options.Lease / renewalsPerLease)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastRequest time.Time
	for {
		select {
		case <-ctx.Done():
			c.returnLeases()
			return ctx.Err()
		case response := <-c.responses:
			if retryAfter := m.handleResponse(response); retryAfter > 0 {
				lastRequest = time.Time{}
				timer.Reset(retryAfter)
			}
		case <-timer.C:
			timer.Reset(interval)
			if now := time.Now(); m.needsRenewal() || now.Sub(lastRequest) > 3*interval/2 {
				lastRequest = now
				c.sendRequest(ctx, m.nextRequest(false))
			}
		case proposal := <-m.proposals.queue:
			c.sendProposal(ctx, proposal)
		case reports := <-m.loadReports:
			c.sendLoadReports(ctx, reports)
		}
	}
}

// sendRequest sends a request to the last known leader. While none is known, successive requests go to the voters in turn.
func (c *leaderClient) sendRequest(ctx context.Context, request consensus.LeaseRequest) {
	m := c.member
	m.mu.Lock()
	voter := m.leader
	if voter == 0 {
		voter = m.options.Voters[request.Number%uint64(len(m.options.Voters))].Number
	}
	m.leader = 0 // unknown until the voter answers
	m.mu.Unlock()
	if voter != m.options.voterID() {
		c.send(ctx, voter, frame{frameLeaseRequest, encodeMessage(request)})
		return
	}
	if m.voter != nil {
		m.voter.submitRequest(request, func(response consensus.LeaseResponse) { trySend(c.responses, response) })
	}
}

// sendProposal sends a proposal to the leader. It is dropped while no leader is known; Propose repeats it.
func (c *leaderClient) sendProposal(ctx context.Context, proposal consensus.Proposal) {
	m := c.member
	switch leader := m.knownLeader(); {
	case leader == 0:
	case leader != m.options.voterID():
		c.send(ctx, leader, frame{frameProposal, encodeMessage(proposal)})
	case m.voter != nil:
		m.voter.submitProposal(proposal, m.completeProposal)
	}
}

// sendLoadReports sends load reports to the leader. They are dropped while no leader is known; newer ones follow.
func (c *leaderClient) sendLoadReports(ctx context.Context, reports []LoadReport) {
	m := c.member
	body := encodeMessage(reports)
	switch leader := m.knownLeader(); {
	case leader == 0:
	case leader != m.options.voterID():
		c.send(ctx, leader, frame{frameLoadReports, body})
	case m.voter != nil:
		m.loadFeed.publish(m.options.Self, body)
	}
}

// knownLeader returns the number of the voter that is believed to lead, 0 for none.
func (m *Member) knownLeader() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// send sends a frame to a voter, over a new connection if there is none. Nothing is sent to a voter that isn't configured.
func (c *leaderClient) send(ctx context.Context, voter uint64, f frame) {
	conn := c.conns[voter]
	if conn == nil || conn.isClosed() {
		address := c.member.options.voterAddress(voter)
		if address == "" {
			return
		}
		conn = openLeaderConn(ctx, c.member, address, c.responses)
		c.conns[voter] = conn
	}
	conn.send(f)
}

// returnLeases returns all leases to the leader when the controller leaves the fleet, unless something is still in use.
func (c *leaderClient) returnLeases() {
	m := c.member
	request := m.nextRequest(true)
	if slices.ContainsFunc(request.Demands, func(d consensus.Demand) bool { return d.Used > 0 }) {
		return
	}
	m.mu.Lock()
	leader := m.leader
	now := m.clock()
	m.shards.Update(now, now, now, nil) // as soon as the request is sent, the shards may be assigned to other controllers
	m.mu.Unlock()
	conn := c.conns[leader]
	if conn == nil || conn.isClosed() {
		return
	}
	conn.send(frame{frameLeaseRequest, encodeMessage(request)})
	select {
	case <-c.responses:
	case <-time.After(lastRequestTimeout):
	}
}

// close closes all connections and waits for their goroutines.
func (c *leaderClient) close() {
	for _, conn := range c.conns {
		conn.close()
	}
}

// trySend sends a value unless that would block.
func trySend[T any](channel chan<- T, value T) (sent bool) {
	select {
	case channel <- value:
		return true
	default:
		return false
	}
}
