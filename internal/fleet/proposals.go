package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// ErrRejected is wrapped by Propose's error for a command that the state machine has rejected.
var ErrRejected = errors.New("refused")

// pendingProposals are this controller's proposals without a result.
type pendingProposals struct {
	mu         sync.Mutex // guards lastNumber and waiting
	lastNumber uint64
	waiting    map[uint64]chan consensus.ProposalResult // by number
	queue      chan consensus.Proposal                  // to the leader client
}

const (
	proposalQueue     = 64 // proposals that may wait for the leader client; more are repeated later
	proposalsPerLease = 4  // a proposal without a result is repeated so often
)

func (p *pendingProposals) init() {
	p.waiting = map[uint64]chan consensus.ProposalResult{}
	p.queue = make(chan consensus.Proposal, proposalQueue)
}

// add numbers a proposal. Its results come on the channel.
func (p *pendingProposals) add() (number uint64, results chan consensus.ProposalResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	results = make(chan consensus.ProposalResult, 1)
	p.waiting[p.lastNumber] = results
	return p.lastNumber, results
}

func (p *pendingProposals) remove(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, number)
}

// Propose has a command applied to the replicated state, and waits for the result. It repeats the proposal where a result
// is lost. When ctx ends first the command may have been applied or not. An error that wraps ErrRejected tells that it was
// rejected.
func (m *Member) Propose(ctx context.Context, command state.Command) error {
	m.mu.Lock()
	id := m.id()
	m.mu.Unlock()
	command.Controller = id
	number, results := m.proposals.add()
	defer m.proposals.remove(number)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-results:
			if result.Status == consensus.StatusGranted {
				return rejectionOf(result)
			}
			m.setLeader(result.Leader)
			timer.Reset(seconds(2 * m.options.HeartbeatInterval))
		case <-timer.C:
			offer(m.proposals.queue, consensus.Proposal{Controller: id, Number: number, Command: command})
			timer.Reset(seconds(m.options.Lease / proposalsPerLease))
		}
	}
}

// rejectionOf is the error of a proposal that was rejected, nil for one that was applied.
func rejectionOf(result consensus.ProposalResult) error {
	if result.Rejection == "" {
		return nil
	}
	return errors.Join(ErrRejected, errors.New(result.Rejection))
}

// setLeader remembers who leads, if that is known.
func (m *Member) setLeader(leader uint64) {
	if leader == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leader = leader
}

// completeProposal passes on the result of one of this controller's proposals.
func (m *Member) completeProposal(result consensus.ProposalResult) {
	m.proposals.mu.Lock()
	defer m.proposals.mu.Unlock()
	if results := m.proposals.waiting[result.Number]; results != nil && result.To.Name == m.options.Self {
		offer(results, result)
	}
}
