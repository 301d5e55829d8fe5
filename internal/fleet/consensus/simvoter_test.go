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

// simVoter is a simulated voter. core is nil while it is down.
type simVoter struct {
	id        uint64
	core      *Core
	persisted Persisted
	clockRate float64 // rate of its clock relative to the simulated time
	frozen    bool
	deferred  []func() // events that arrived while it was frozen
	boot      uint64
}

// contactTooOld is a defect: each vote reports that the voter's last contact with another leader is older than it is.
const contactTooOld = "votes report too old a contact"

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
			s.processReady(voter)
		})
		s.schedule(0.05*(0.9+0.2*s.random.Float64()), tick)
	}
	s.schedule(0.05*s.random.Float64(), tick)
}

// atVoter executes an event at a voter now or, if the voter is frozen, when it resumes. A frozen voter defers at most 50
// events and loses further ones.
func (s *sim) atVoter(voter *simVoter, do func()) {
	if voter.frozen {
		if len(voter.deferred) < 50 {
			voter.deferred = append(voter.deferred, do)
		}
		return
	}
	do()
}

// processReady carries out everything that a voter's core returns from Ready.
func (s *sim) processReady(voter *simVoter) {
	core := voter.core
	if s.defect == contactTooOld {
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
			if s.defect == contactTooOld && message.GetType() == raftpb.MsgVoteResp { // as if the last contact were 5 s old
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
						_ = peer.core.Step(s.now*peer.clockRate, clone(message)) // may reject a message; the next Tick reports a failed core
						s.processReady(peer)
					}
				})
			})
		}
		for _, result := range ready.Results {
			for _, controller := range s.controllers {
				if controller.name == result.To.Name {
					s.send(s.voterName(voter.id), controller.name, func() { s.atController(controller, func() { s.sharedWork.handleResult(controller, result) }) })
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
			for _, controller := range core.machine.SortedControllers() {
				for _, name := range simQuantities {
					if allocation := controller.Allocations[name]; allocation.Committed > allocation.Amount {
						core.enqueue(state.Command{Op: state.OpSettle, Controller: controller.ControllerID, Subject: name, Number: allocation.Revision})
					}
				}
			}
		}
		if err := core.Advance(s.now * voter.clockRate); err != nil {
			s.violation = err.Error()
		}
	}
}

// fail records an unexpected error of a core as a violation.
func (s *sim) fail(err error) {
	if err != nil && s.violation == "" {
		s.violation = err.Error()
	}
}

func clone(message *raftpb.Message) *raftpb.Message {
	copied := &raftpb.Message{}
	data, err := marshal(message)
	if err == nil {
		err = unmarshal(data, copied)
	}
	if err != nil {
		panic(err)
	}
	return copied
}

// leader returns the leader with the latest term, nil if no voter leads.
func (s *sim) leader() (latest *simVoter) {
	for _, id := range slices.Sorted(maps.Keys(s.voters)) {
		if voter := s.voters[id]; voter.core != nil && voter.core.leading && (latest == nil || voter.core.Term() > latest.core.Term()) {
			latest = voter
		}
	}
	return latest
}

// resumeVoter resumes a frozen voter, which first processes the events that arrived while it was frozen.
func (s *sim) resumeVoter(voter *simVoter) {
	voter.frozen = false
	deferred := voter.deferred
	voter.deferred = nil
	for _, event := range deferred {
		event()
	}
}
