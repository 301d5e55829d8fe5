package consensus

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"copperrock.example/copperrock/internal/fleet/allocation"
	"copperrock.example/copperrock/internal/fleet/state"
)

type simVoter struct {
	id        uint64
	core      *Core
	persisted Persisted
	clockRate float64 // of its clock
	frozen    bool
	deferred  []func()
	boot      uint64
}

func (s *sim) startVoter(voter *simVoter) {
	config := Config{ID: voter.id, Voters: s.voterIDs, Timing: s.timing, HeartbeatInterval: 0.05, RebalanceInterval: 0.1, Allocation: allocation.Config{Reserve: 0.05, Hysteresis: 0.1},
		MaxControllers: max(100, s.maxControllers), Generation: 1, Quantities: s.quantities(), Tasks: s.tasks(), VoterGeneration: 1}
	voter.boot++
	config.Boot = voter.boot
	if s.nextVoters != nil {
		config.Voters, config.VoterGeneration = s.nextVoters, 2
	}
	core, err := New(config, voter.persisted)
	if err != nil {
		s.violation = err.Error()
		return
	}
	voter.core, voter.frozen, voter.deferred = core, false, nil
	var tick func()
	tick = func() {
		if voter.core != core {
			return
		}
		s.atVoter(voter, func() {
			s.fail(core.Tick(s.now * voter.clockRate))
			s.drain(voter)
		})
		s.schedule(0.05*(0.9+0.2*s.random.Float64()), tick)
	}
	s.schedule(0.05*s.random.Float64(), tick)
}

// atVoter does something at a voter, or once it goes on.
func (s *sim) atVoter(voter *simVoter, do func()) {
	if voter.frozen {
		if len(voter.deferred) < 50 {
			voter.deferred = append(voter.deferred, do)
		}
		return
	}
	do()
}

// drain carries out what a voter puts out.
func (s *sim) drain(voter *simVoter) {
	core := voter.core
	if s.defect == "votes that tell too late a time" {
		core.lastLeaderContact = -1e9
	}
	for core.HasReady() {
		ready := core.Ready()
		if ready.Snapshot != nil {
			voter.persisted.Snapshot = ready.Snapshot
			voter.persisted.Entries = nil
		}
		if ready.HardState != nil {
			voter.persisted.HardState = ready.HardState
		}
		for _, entry := range ready.Entries {
			for len(voter.persisted.Entries) > 0 && voter.persisted.Entries[len(voter.persisted.Entries)-1].GetIndex() >= entry.GetIndex() {
				voter.persisted.Entries = voter.persisted.Entries[:len(voter.persisted.Entries)-1]
			}
			voter.persisted.Entries = append(voter.persisted.Entries, entry)
		}
		for _, message := range ready.Messages {
			if s.defect == "votes that tell too late a time" && message.GetType() == raftpb.MsgVoteResp { // as if no leader had been confirmed for long
				message.Context = binary.BigEndian.AppendUint64(nil, math.Float64bits(5))
			}
			peer := s.voters[message.GetTo()]
			s.countMessage(s.voterName(voter.id), message)
			if peer == nil {
				continue
			}
			s.send(s.voterName(voter.id), s.voterName(peer.id), func() {
				s.atVoter(peer, func() {
					if peer.core != nil {
						_ = peer.core.Step(s.now*peer.clockRate, clone(message)) // it may pass over a message; a failed core shows with its next Tick
						s.drain(peer)
					}
				})
			})
		}
		for _, result := range ready.Results {
			for _, controller := range s.controllers {
				if controller.name == result.To.Name {
					s.send(s.voterName(voter.id), controller.name, func() { s.atController(controller, func() { s.sharedWork.takeResult(controller, result) }) })
				}
			}
		}
		for _, response := range ready.Responses {
			s.countMessage(s.voterName(voter.id), response)
			for _, controller := range s.controllers {
				if controller.name == response.To.Name {
					s.send(s.voterName(voter.id), controller.name, func() { s.atController(controller, func() { s.handleResponse(controller, voter.id, response) }) })
				}
			}
		}
		if s.defect == "settled early" && core.leading {
			for _, c := range core.machine.SortedControllers() {
				for _, name := range simQuantities {
					if hold := c.Allocations[name]; hold.Committed > hold.Amount {
						core.enqueue(state.Command{Op: state.OpSettle, Controller: c.ControllerID, Subject: name, Number: hold.Revision})
					}
				}
			}
		}
		if err := core.Advance(s.now * voter.clockRate); err != nil {
			s.violation = err.Error()
		}
	}
}

// fail notes an error of a core, which none should have.
func (s *sim) fail(err error) {
	if err != nil && s.violation == "" {
		s.violation = err.Error()
	}
}

func clone(m *raftpb.Message) *raftpb.Message {
	c := &raftpb.Message{}
	b, err := marshal(m)
	if err == nil {
		err = unmarshal(b, c)
	}
	if err != nil {
		panic(err)
	}
	return c
}

// leader is the voter that leads with the latest term, nil for none.
func (s *sim) leader() (best *simVoter) {
	for _, id := range slices.Sorted(maps.Keys(s.voters)) {
		if v := s.voters[id]; v.core != nil && v.core.leading && (best == nil || v.core.Term() > best.core.Term()) {
			best = v
		}
	}
	return best
}

func (s *sim) resumeVoter(voter *simVoter) {
	voter.frozen = false
	missed := voter.deferred
	voter.deferred = nil
	for _, do := range missed {
		do()
	}
}
