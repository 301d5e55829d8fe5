package fleet

import (
	"fmt"
	"time"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// processReady carries out the core's output: it first writes the raft state to disk, and then sends messages, responses and
// results.
func (v *voter) processReady() error {
	for v.core.HasReady() {
		ready := v.core.Ready()
		if err := v.file.Save(ready); err != nil {
			return fmt.Errorf("save raft state: %w", err)
		}
		v.deliver(ready)
		if err := v.core.Advance(v.clock()); err != nil {
			return err
		}
	}
	if len(v.pendingRequests) > 4*v.options.MaxControllers {
		clear(v.pendingRequests) // no quorum has confirmed them, and their controllers have sent new ones
	}
	for _, reason := range v.core.TakeRejections() {
		v.log.Debug().Str("why", reason).Msg("the fleet's state rejected a command")
	}
	if err := v.compactFile(); err != nil {
		return err
	}
	if isLeader := v.core.IsLeader(); isLeader != v.wasLeader {
		v.wasLeader = isLeader
		v.log.Info().Bool("leads", isLeader).Uint64("term", v.core.Term()).Msg("fleet leadership changed")
	}
	return nil
}

// deliver sends raft messages to the other voters, and responses and results to the callers that wait for them.
func (v *voter) deliver(ready consensus.Ready) {
	for _, message := range ready.Messages {
		if peer := v.peers[message.GetTo()]; peer != nil {
			peer.enqueue(message)
		}
	}
	for _, response := range ready.Responses {
		key := requestKey{response.To, response.Number}
		if respond := v.pendingRequests[key]; respond != nil {
			delete(v.pendingRequests, key)
			respond(response)
		}
	}
	for _, result := range ready.Results {
		key := requestKey{result.To, result.Number}
		if respond := v.pendingProposals[key]; respond != nil {
			delete(v.pendingProposals, key)
			respond(result)
		}
	}
}

// compactFile compacts the raft log if it has grown enough and the core has a newer snapshot.
func (v *voter) compactFile() error {
	snapshot := v.core.SnapshotIndex()
	if snapshot == v.savedSnapshot || !v.file.NeedsCompaction() {
		return nil
	}
	v.savedSnapshot = snapshot
	persisted, err := v.core.Persisted()
	if err == nil {
		v.file.ForgetPeers(func(voter uint64) bool { return !v.core.IsVoter(voter) })
		err = v.file.Compact(persisted)
	}
	if err != nil {
		return fmt.Errorf("compact raft log: %w", err)
	}
	return nil
}

// expireOverrides revokes, once a second, the overrides that have expired by this machine's clock. A revocation that was
// lost is proposed again at the next check.
func (v *voter) expireOverrides() error {
	now := time.Now()
	if now.Sub(v.overridesCheckedAt) < overrideCheckInterval && !now.Before(v.overridesCheckedAt) {
		return nil
	}
	v.overridesCheckedAt = now
	for _, override := range v.core.Machine().SortedOverrides() {
		if override.ExpiresAt == 0 || override.Revoked || now.Unix() < override.ExpiresAt {
			continue
		}
		v.log.Info().Str("kind", override.Kind).Str("target", override.Target).Uint64("number", override.Number).Msg("override expired")
		revoke := state.SetOverride{Kind: override.Kind, Target: override.Target, Number: override.Number, Revoke: true}
		if err := v.core.HandleProposal(v.clock(), consensus.Proposal{Number: override.Number, Command: revoke.Command()}); err != nil {
			return err
		}
	}
	return nil
}
