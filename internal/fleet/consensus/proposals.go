package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/state"
)

// maxProposals is the maximum number of waiting proposals. Further proposals are answered with StatusRetry.
const maxProposals = 4096

// HandleProposal handles a proposal of a controller or an operator. A later Ready contains the result.
func (c *Core) HandleProposal(now float64, proposal Proposal) (err error) {
	if c.err != nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	c.updateLeadership(now)
	switch {
	case !c.leading:
		c.answerProposal(proposal, ProposalResult{Status: StatusNotLeader, Leader: c.Leader()})
		return nil
	case len(c.work.proposals) >= maxProposals:
		c.answerProposal(proposal, ProposalResult{Status: StatusRetry})
		return nil
	case !mayPropose(proposal):
		c.answerProposal(proposal, ProposalResult{Rejection: "the proposer may not propose this command"})
		return nil
	}
	c.work.lastProposalID++
	c.work.proposals[c.work.lastProposalID] = proposal
	c.work.unproposed = append(c.work.unproposed, c.work.lastProposalID)
	c.proposeBatch(now)
	return nil
}

// mayPropose reports whether a command is one that its proposer may propose: operators may propose overrides and resolve
// runs, controllers may propose commands about their own runs and lists. Only the leader proposes all others.
func mayPropose(proposal Proposal) bool {
	op := proposal.Command.Op
	if proposal.Controller.Name == "" {
		return op == state.OpResolveRun || op == state.OpSetOverride
	}
	isOwn := proposal.Command.Controller == proposal.Controller
	return isOwn && (op >= state.OpClaimRun && op <= state.OpSkipRun || op == state.OpPublishList)
}

// answerProposal queues a result for the next Ready.
func (c *Core) answerProposal(proposal Proposal, result ProposalResult) {
	result.To, result.Number = proposal.Controller, proposal.Number
	c.work.results = append(c.work.results, result)
}

// prependProposals returns the commands of the proposals that are not in the log yet, followed by a batch of commands, and
// the ids of those proposals.
func (c *Core) prependProposals(batch []state.Command) (commands []state.Command, ids []uint64) {
	for _, id := range c.work.unproposed {
		commands, ids = append(commands, c.work.proposals[id].Command), append(ids, id)
	}
	return append(commands, batch...), ids
}

// completeProposal answers the proposal with an id, whose command has been applied, or rejected with err.
func (c *Core) completeProposal(id uint64, err error) {
	proposal, waiting := c.work.proposals[id]
	if !waiting {
		return
	}
	delete(c.work.proposals, id)
	var result ProposalResult
	if err != nil {
		result.Rejection = err.Error()
	}
	c.answerProposal(proposal, result)
}

// redirectProposals redirects the proposers that wait for a result to the current leader. Their commands may still be
// applied.
func (c *Core) redirectProposals() {
	for _, id := range slices.Sorted(maps.Keys(c.work.proposals)) {
		c.answerProposal(c.work.proposals[id], ProposalResult{Status: StatusNotLeader, Leader: c.Leader()})
	}
	clear(c.work.proposals)
	c.work.unproposed = nil
}
