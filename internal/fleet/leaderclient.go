package fleet

import (
	"context"
	"slices"
	"time"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// leaderClient sends a controller's requests, proposals and load reports to whichever voter leads, over one connection to
// each voter that it has tried. It is used from the goroutine of run, which also ends it.
type leaderClient struct {
	member    *Member
	conns     map[uint64]*leaderConn // by voter
	responses chan consensus.LeaseResponse
}

const (
	responseQueue      = 16                     // responses that may wait; more are dropped, as requests are repeated
	lastRequestTimeout = 100 * time.Millisecond // for the answer to the last request; without it the lease expires by itself
)

func newLeaderClient(m *Member) *leaderClient {
	return &leaderClient{member: m, conns: map[uint64]*leaderConn{}, responses: make(chan consensus.LeaseResponse, responseQueue)}
}

// run renews the leases five times within each, and ten times while more is wanted than may be used, until ctx ends; then
// it returns everything.
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

// sendRequest sends a request to the voter that leads as far as is known, or else to one after the other.
func (c *leaderClient) sendRequest(ctx context.Context, request consensus.LeaseRequest) {
	m := c.member
	m.mu.Lock()
	to := m.leader
	if to == 0 {
		to = m.options.Voters[request.Number%uint64(len(m.options.Voters))].Number
	}
	m.leader = 0 // until it answers
	m.mu.Unlock()
	if to != m.options.voterID() {
		c.send(ctx, to, frame{frameLeaseRequest, encodeMessage(request)})
		return
	}
	if m.voter != nil {
		m.voter.submitRequest(request, func(response consensus.LeaseResponse) { offer(c.responses, response) })
	}
}

// sendProposal sends a proposal to the leader. Without one it is dropped; the proposer repeats it.
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

// sendLoadReports sends load reports to the leader. Without one they are dropped; later ones are newer.
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

// knownLeader is the voter that answered last, 0 for none.
func (m *Member) knownLeader() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// send sends a frame to a voter, if the configuration names it. The connection is opened where there is none.
func (c *leaderClient) send(ctx context.Context, to uint64, f frame) {
	conn := c.conns[to]
	if conn == nil || conn.isClosed() {
		address := c.member.options.voterAddress(to)
		if address == "" {
			return
		}
		conn = openLeaderConn(ctx, c.member, address, c.responses)
		c.conns[to] = conn
	}
	conn.send(f)
}

// returnLeases gives everything back to the leader, if nothing is in use.
func (c *leaderClient) returnLeases() {
	m := c.member
	request := m.nextRequest(true)
	if slices.ContainsFunc(request.Demands, func(d consensus.Demand) bool { return d.Used > 0 }) {
		return
	}
	m.mu.Lock()
	leader := m.leader
	now := m.clock()
	m.shards.Update(now, now, now, nil) // they may be others' as soon as the request is sent
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

// offer sends a value unless the channel is full.
func offer[T any](to chan<- T, value T) (sent bool) {
	select {
	case to <- value:
		return true
	default:
		return false
	}
}
