package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/state"
)

// Ready is what the caller has to do. HardState, Entries and Snapshot must be stored before anything else is carried out.
type Ready struct {
	HardState *raftpb.HardState // nil if unchanged
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot // nil if there is none
	MustSync  bool             // what is stored must be synced
	Messages  []*raftpb.Message
	Responses []LeaseResponse
	Results   []ProposalResult
}

// logEntry is the content of an entry of raft's log. Its MessagePack names are part of the format on disk.
type logEntry struct {
	Proposer    uint64          `msgpack:"By"`    // id of the voter that proposed the entry
	Token       uint64          `msgpack:"Token"` // identifies the batch
	Commands    []state.Command `msgpack:"Commands"`
	ProposalIDs []uint64        `msgpack:"Refs"` // proposer's ids of the proposals that hold the first commands; 0 for none
}

// enqueue adds a command to those that wait for the next batch. It drops the command if maxPendingCommands are waiting, or
// one that concerns the same thing (same kind, controller, subject, generation and shard).
func (c *Core) enqueue(command state.Command) {
	isSame := func(other state.Command) bool {
		return other.Op == command.Op && other.Controller == command.Controller && other.Subject == command.Subject &&
			other.Generation == command.Generation && other.Shard == command.Shard
	}
	if len(c.pendingCommands) < maxPendingCommands && !slices.ContainsFunc(c.pendingCommands, isSame) {
		c.pendingCommands = append(c.pendingCommands, command)
	}
}

// proposeBatch proposes the waiting commands and proposals as one log entry. Only one batch is in flight at a time. If it is
// not committed within reproposeHeartbeats, it is no longer waited for.
func (c *Core) proposeBatch(now float64) {
	if c.inFlightBatch != 0 && now < c.batchProposedAt+reproposeHeartbeats*c.config.HeartbeatInterval {
		return
	}
	c.inFlightBatch = 0
	if len(c.pendingCommands)+len(c.work.unproposed) == 0 {
		return
	}
	batch := c.pendingCommands[:min(len(c.pendingCommands), maxBatchCommands)]
	commands, ids := c.prependProposals(slices.Clone(batch))
	c.lastBatchToken++
	data, err := encode(logEntry{Proposer: c.config.ID, Token: c.lastBatchToken, Commands: commands, ProposalIDs: ids})
	if err != nil {
		panic(err) // encoding plain values can't fail
	}
	if c.rawNode.Propose(data) == nil {
		c.inFlightBatch, c.batchProposedAt = c.lastBatchToken, now
		c.pendingCommands = slices.Clone(c.pendingCommands[len(batch):])
		c.work.unproposed = nil
	}
}

// HasReady reports whether Ready has anything to return.
func (c *Core) HasReady() bool {
	return c.err == nil && !c.advancePending && (c.rawNode.HasReady() || len(c.responses)+len(c.work.results) > 0)
}

// Ready returns what the caller has to do. The caller must call Advance when it is done, before the next call of Ready.
func (c *Core) Ready() (out Ready) {
	var err error
	defer c.recoverPanic(&err)
	out.Responses, c.responses = c.responses, nil
	out.Results, c.work.results = c.work.results, nil
	c.advancePending = true
	if !c.rawNode.HasReady() {
		return out
	}
	ready := c.rawNode.Ready()
	c.raftReady = &ready
	out.HardState, out.Entries, out.Messages = ready.HardState, ready.Entries, ready.Messages
	for _, message := range out.Messages {
		if message.GetType() == raftpb.MsgVoteResp && !message.GetReject() {
			message.Context = c.encodeContactAge()
		}
	}
	out.MustSync = ready.MustSync
	if hasSnapshot(&ready) {
		out.Snapshot, out.MustSync = ready.Snapshot, true
	}
	return out
}

func hasSnapshot(ready *raft.Ready) bool {
	return ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot)
}

// Advance records that the caller has carried out the last Ready. It applies committed entries.
func (c *Core) Advance(now float64) (err error) {
	ready := c.raftReady
	c.raftReady, c.advancePending = nil, false
	if c.err != nil || ready == nil {
		return c.err
	}
	defer c.recoverPanic(&err)
	if hasSnapshot(ready) {
		if err := c.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
		if err := c.restoreSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if ready.HardState != nil {
		if err := c.storage.SetHardState(ready.HardState); err != nil {
			return err
		}
	}
	if err := c.storage.Append(ready.Entries); err != nil {
		return err
	}
	for _, entry := range ready.CommittedEntries {
		c.applyEntry(entry)
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

// applyEntry applies a committed entry of the log. An entry that can't be decoded stops the voter.
func (c *Core) applyEntry(entry *raftpb.Entry) {
	c.appliedIndex = entry.GetIndex()
	switch {
	case entry.GetType() == raftpb.EntryConfChangeV2:
		c.applyMembership(entry)
	case entry.GetType() == raftpb.EntryNormal && len(entry.GetData()) > 0:
		c.applyCommands(entry)
	}
}

// applyMembership applies a change of the voters, and records their generation in the state.
func (c *Core) applyMembership(entry *raftpb.Entry) {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		panic(fmt.Sprintf("decoding raft log entry %d: %v", entry.GetIndex(), err))
	}
	c.confState, c.snapshotDue = c.rawNode.ApplyConfChange(change), true
	if generation := change.GetContext(); len(generation) == voterGenerationBytes {
		_ = c.machine.Apply(state.SetVoterGeneration{Generation: binary.BigEndian.Uint64(generation)}.Command()) // never rejected
	}
}

// applyCommands applies a batch of commands, and completes the proposals among them that this voter received.
func (c *Core) applyCommands(raftEntry *raftpb.Entry) {
	var entry logEntry
	if err := decode(raftEntry.GetData(), &entry); err != nil {
		panic(fmt.Sprintf("decoding raft log entry %d: %v", raftEntry.GetIndex(), err))
	}
	isOwn := entry.Proposer == c.config.ID
	for i, command := range entry.Commands {
		err := c.machine.Apply(command)
		if err != nil && len(c.rejections) < maxRejections {
			c.rejections = append(c.rejections, err.Error())
		}
		if isOwn && i < len(entry.ProposalIDs) && entry.ProposalIDs[i] != 0 {
			c.completeProposal(entry.ProposalIDs[i], err)
		}
	}
	if isOwn && entry.Token == c.inFlightBatch {
		c.inFlightBatch = 0
	}
}
