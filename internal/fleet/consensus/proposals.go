package consensus

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/state"
)

// acts that may wait at once; more are told to ask again.
const maxProposals = 4096

// HandleProposal takes an act. Its answer comes with an output.
func (c *Core) HandleProposal(now float64, a Proposal) (err error) {
	if c.err != nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	c.updateLeadership(now)
	refuse := func(with ProposalResult) {
		with.To, with.Number = a.Controller, a.Number
		c.work.results = append(c.work.results, with)
	}
	switch op, own := a.Command.Op, a.Command.Controller == a.Controller; {
	case !c.leading:
		refuse(ProposalResult{Status: StatusNotLeader, Leader: c.Leader()})
		return nil
	case len(c.work.proposals) >= maxProposals:
		refuse(ProposalResult{Status: StatusRetry})
		return nil
	case a.Controller.Name == "" && (op == state.OpResolveRun || op == state.OpSetOverride):
	case a.Controller.Name != "" && own && (op >= state.OpClaimRun && op <= state.OpSkipRun || op == state.OpPublishList):
	default:
		refuse(ProposalResult{Rejection: "that is not for this controller to do"})
		return nil
	}
	c.work.lastProposalID++
	c.work.proposals[c.work.lastProposalID] = a
	c.work.unproposed = append(c.work.unproposed, c.work.lastProposalID)
	c.proposeBatch(now)
	return nil
}

// prependProposals puts the acts that wait before a batch of commands.
func (c *Core) prependProposals(batch []state.Command) (commands []state.Command, refs []uint64) {
	for _, ref := range c.work.unproposed {
		commands, refs = append(commands, c.work.proposals[ref].Command), append(refs, ref)
	}
	return append(commands, batch...), refs
}

// completeProposal answers an act.
func (c *Core) completeProposal(ref uint64, err error) {
	a, waits := c.work.proposals[ref]
	if !waits {
		return
	}
	delete(c.work.proposals, ref)
	acted := ProposalResult{To: a.Controller, Number: a.Number}
	if err != nil {
		acted.Rejection = err.Error()
	}
	c.work.results = append(c.work.results, acted)
}

// abandonProposals tells those who wait to ask whoever leads now; what they asked for may come about all the same.
func (c *Core) abandonProposals() {
	for _, ref := range slices.Sorted(maps.Keys(c.work.proposals)) {
		a := c.work.proposals[ref]
		c.work.results = append(c.work.results, ProposalResult{To: a.Controller, Number: a.Number, Status: StatusNotLeader, Leader: c.Leader()})
	}
	clear(c.work.proposals)
	c.work.unproposed = nil
}
