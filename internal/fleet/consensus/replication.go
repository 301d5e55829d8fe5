package consensus

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/state"
)

// logEntry is what an entry of the log holds.
type logEntry struct {
	Proposer    uint64          `msgpack:"By"`
	Token       uint64          `msgpack:"Token"`
	Commands    []state.Command `msgpack:"Commands"`
	ProposalIDs []uint64        `msgpack:"Refs"` // acts that wait for a command's end here, 0 for none
}

// enqueue keeps a command to be proposed, once.
func (c *Core) enqueue(command state.Command) {
	const most = 4096 // commands; a holder asks again within a lease
	if len(c.pendingCommands) < most && !slices.ContainsFunc(c.pendingCommands, func(o state.Command) bool {
		return o.Op == command.Op && o.Controller == command.Controller && o.Subject == command.Subject && o.Generation == command.Generation && o.Shard == command.Shard
	}) {
		c.pendingCommands = append(c.pendingCommands, command)
	}
}

// proposeBatch has what is kept go into the log, one batch at a time.
func (c *Core) proposeBatch(now float64) {
	if c.inFlightBatch != 0 && now < c.batchProposedAt+20*c.config.HeartbeatInterval { // a batch that a quorum does not take is given up
		return
	}
	c.inFlightBatch = 0
	if len(c.pendingCommands)+len(c.work.unproposed) == 0 {
		return
	}
	const batch = 512 // some 40 KB
	some := c.pendingCommands[:min(len(c.pendingCommands), batch)]
	commands, refs := c.prependProposals(slices.Clone(some))
	c.lastBatchToken++
	data, err := encode(logEntry{Proposer: c.config.ID, Token: c.lastBatchToken, Commands: commands, ProposalIDs: refs})
	if err != nil {
		panic(err) // plain values
	}
	if c.rawNode.Propose(data) == nil {
		c.inFlightBatch, c.batchProposedAt = c.lastBatchToken, now
		c.pendingCommands = slices.Clone(c.pendingCommands[len(some):])
		c.work.unproposed = nil
	}
}

// Ready is what a step leads to. State, Entries and Snapshot are to be on disk before the rest is done.
type Ready struct {
	HardState *raftpb.HardState // nil for unchanged
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot // nil for none
	Messages  []*raftpb.Message
	Responses []LeaseResponse
	Results   []ProposalResult
	MustSync  bool // State and Entries have to be synced
}

// HasReady tells whether something is to be done.
func (c *Core) HasReady() bool {
	return c.err == nil && !c.advancePending && (c.rawNode.HasReady() || len(c.responses)+len(c.work.results) > 0)
}

// Ready gives what is to be done; Done is to be called once it is.
func (c *Core) Ready() (out Ready) {
	var err error
	defer c.recoverPanic(&err)
	out.Responses, c.responses = c.responses, nil
	out.Results, c.work.results = c.work.results, nil
	if c.advancePending = true; !c.rawNode.HasReady() {
		return out
	}
	ready := c.rawNode.Ready()
	c.raftReady = &ready
	out.HardState, out.Entries, out.Messages = ready.HardState, ready.Entries, ready.Messages
	for _, m := range out.Messages {
		if m.GetType() == raftpb.MsgVoteResp && !m.GetReject() {
			m.Context = binary.BigEndian.AppendUint64(nil, math.Float64bits(max(c.now-c.lastLeaderContact, 0)))
		}
	}
	out.MustSync = ready.MustSync
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		out.Snapshot, out.MustSync = ready.Snapshot, true
	}
	return out
}

// Advance tells that the last output is on disk and sent.
func (c *Core) Advance(now float64) (err error) {
	ready := c.raftReady
	c.raftReady, c.advancePending = nil, false
	if c.err != nil || ready == nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		if err := c.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
		if err := c.restoreSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if ready.HardState != nil {
		c.storage.SetHardState(ready.HardState)
	}
	if err := c.storage.Append(ready.Entries); err != nil {
		return err
	}
	for _, e := range ready.CommittedEntries {
		c.applyEntry(e)
	}
	c.rawNode.Advance(*ready)
	c.readStates = append(c.readStates, ready.ReadStates...)
	for len(c.readStates) > 0 && c.readStates[0].Index <= c.appliedIndex {
		c.answerRead(binary.BigEndian.Uint64(c.readStates[0].RequestCtx))
		c.readStates = c.readStates[1:]
	}
	c.updateLeadership(now)
	return c.compactLog()
}

// applyEntry carries out an entry of the log.
func (c *Core) applyEntry(e *raftpb.Entry) {
	c.appliedIndex = e.GetIndex()
	if e.GetType() == raftpb.EntryConfChangeV2 {
		change := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			panic(fmt.Sprintf("entry %d of the log can't be read: %v", e.GetIndex(), err))
		}
		c.confState, c.snapshotDue = c.rawNode.ApplyConfChange(change), true
		if len(change.GetContext()) == 8 {
			c.machine.Apply(state.Command{Op: state.OpSetVoterGeneration, Generation: binary.BigEndian.Uint64(change.GetContext())})
		}
		return
	}
	if len(e.GetData()) == 0 || e.GetType() != raftpb.EntryNormal {
		return
	}
	var entry logEntry
	if err := decode(e.GetData(), &entry); err != nil {
		panic(fmt.Sprintf("entry %d of the log can't be read: %v", e.GetIndex(), err))
	}
	for i, command := range entry.Commands {
		err := c.machine.Apply(command)
		if err != nil && len(c.rejections) < 100 {
			c.rejections = append(c.rejections, err.Error())
		}
		if entry.Proposer == c.config.ID && i < len(entry.ProposalIDs) && entry.ProposalIDs[i] != 0 {
			c.completeProposal(entry.ProposalIDs[i], err)
		}
	}
	if entry.Proposer == c.config.ID && entry.Token == c.inFlightBatch {
		c.inFlightBatch = 0
	}
}
