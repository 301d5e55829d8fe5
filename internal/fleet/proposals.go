package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// ErrRejected is a command that the ledger does not carry out.
var ErrRejected = errors.New("refused")

// pendingProposals are acts on their way.
type pendingProposals struct {
	mu         sync.Mutex
	lastNumber uint64
	waiting    map[uint64]chan consensus.ProposalResult
	queue      chan consensus.Proposal
}

func (a *pendingProposals) init() {
	a.waiting, a.queue = map[uint64]chan consensus.ProposalResult{}, make(chan consensus.Proposal, 64)
}

// Propose has a command carried out by the ledger, and waits for it, asking again where an answer is lost. It gives up at the
// end of ctx, and then the command may have been carried out or not. ErrRefused says that it was not.
func (f *Member) Propose(ctx context.Context, c state.Command) error {
	answer := make(chan consensus.ProposalResult, 1)
	f.mu.Lock()
	holder := state.ControllerID{Name: f.options.Self, Incarnation: f.incarnation}
	f.mu.Unlock()
	c.Controller = holder
	f.proposals.mu.Lock()
	f.proposals.lastNumber++
	number := f.proposals.lastNumber
	f.proposals.waiting[number] = answer
	f.proposals.mu.Unlock()
	defer func() {
		f.proposals.mu.Lock()
		delete(f.proposals.waiting, number)
		f.proposals.mu.Unlock()
	}()
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-answer:
			switch {
			case a.Status != consensus.StatusGranted:
				if a.Leader != 0 {
					f.mu.Lock()
					f.leader = a.Leader
					f.mu.Unlock()
				}
				again.Reset(seconds(2 * f.options.HeartbeatInterval))
			case a.Rejection != "":
				return errors.Join(ErrRejected, errors.New(a.Rejection))
			default:
				return nil
			}
		case <-again.C:
			select {
			case f.proposals.queue <- consensus.Proposal{Controller: holder, Number: number, Command: c}:
			default: // the link is stuck; tried again below
			}
			again.Reset(seconds(f.options.Lease / 4))
		}
	}
}

// sendProposal sends an act to whoever leads as far as is known.
func (f *Member) sendProposal(ctx context.Context, links map[uint64]*leaderConn, answers chan consensus.LeaseResponse, a consensus.Proposal) {
	f.mu.Lock()
	to := f.leader
	f.mu.Unlock()
	switch {
	case to == 0:
	case to == f.options.voterID():
		if f.voter != nil {
			f.proposeLocally(a, f.completeProposal)
		}
	default:
		if l := f.connection(ctx, links, answers, to); l != nil {
			l.send(frameProposal, encodeMessage(a))
		}
	}
}

// proposeLocally gives an act to the voter in this process.
func (f *Member) proposeLocally(a consensus.Proposal, answer func(consensus.ProposalResult)) {
	select {
	case f.voter.proposals <- proposalCall{a, answer}:
	default: // asked again within a lease
	}
}

// completeProposal takes the answer to an act of this controller's.
func (f *Member) completeProposal(a consensus.ProposalResult) {
	f.proposals.mu.Lock()
	defer f.proposals.mu.Unlock()
	if answer := f.proposals.waiting[a.Number]; answer != nil && a.To.Name == f.options.Self {
		select {
		case answer <- a:
		default:
		}
	}
}
