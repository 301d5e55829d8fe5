package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// ErrRejected is wrapped by Propose's error for a command that the replicated state machine has rejected.
var ErrRejected = errors.New("refused")

// pendingProposals tracks this controller's proposals that have no result yet.
type pendingProposals struct {
	mu         sync.Mutex // guards lastNumber and waiting
	lastNumber uint64
	waiting    map[uint64]chan consensus.ProposalResult // channel for the result, by number
	queue      chan consensus.Proposal                  // to the leader client
}

const (
	proposalQueue     = 64 // proposals that may wait for the leader client; those that don't fit are sent by a later repetition
	proposalsPerLease = 4  // number of times per lease that a proposal without a result is sent
)

func (p *pendingProposals) init() {
	p.waiting = map[uint64]chan consensus.ProposalResult{}
	p.queue = make(chan consensus.Proposal, proposalQueue)
}

// add registers a new proposal. Its results are sent to the returned channel until remove is called.
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

// Propose applies a command to the replicated state and waits for the result. It repeats the proposal until a result
// arrives. Its error wraps ErrRejected if the command was rejected. If ctx ends first, the command may or may not have been
// applied.
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
				return rejectionError(result)
			}
			m.setLeader(result.Leader)
			timer.Reset(seconds(2 * m.options.HeartbeatInterval))
		case <-timer.C:
			trySend(m.proposals.queue, consensus.Proposal{Controller: id, Number: number, Command: command})
			timer.Reset(seconds(m.options.Lease / proposalsPerLease))
		}
	}
}

// rejectionError returns the error of a proposal that was rejected, nil for one that was applied.
func rejectionError(result consensus.ProposalResult) error {
	if result.Rejection == "" {
		return nil
	}
	return errors.Join(ErrRejected, errors.New(result.Rejection))
}

// setLeader stores which voter leads; 0 changes nothing.
func (m *Member) setLeader(leader uint64) {
	if leader == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leader = leader
}

// completeProposal passes a result to the call of Propose that waits for it, if there still is one.
func (m *Member) completeProposal(result consensus.ProposalResult) {
	m.proposals.mu.Lock()
	defer m.proposals.mu.Unlock()
	if results := m.proposals.waiting[result.Number]; results != nil && result.To.Name == m.options.Self {
		trySend(results, result)
	}
}
