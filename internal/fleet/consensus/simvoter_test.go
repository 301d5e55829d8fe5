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

func (s *sim) startVoter(v *simVoter) {
	set := Config{ID: v.id, Voters: s.voterIDs, Timing: s.timing, HeartbeatInterval: 0.05, RebalanceInterval: 0.1, Allocation: allocation.Config{Reserve: 0.05, Hysteresis: 0.1},
		MaxControllers: max(100, s.maxControllers), Generation: 1, Quantities: s.quantities(), Tasks: s.tasks(), VoterGeneration: 1}
	v.boot++
	set.Boot = v.boot
	if s.nextVoters != nil {
		set.Voters, set.VoterGeneration = s.nextVoters, 2
	}
	core, err := New(set, v.persisted)
	if err != nil {
		s.violation = err.Error()
		return
	}
	v.core, v.frozen, v.deferred = core, false, nil
	var tick func()
	tick = func() {
		if v.core != core {
			return
		}
		s.atVoter(v, func() {
			s.fail(core.Tick(s.now * v.clockRate))
			s.drain(v)
		})
		s.schedule(0.05*(0.9+0.2*s.random.Float64()), tick)
	}
	s.schedule(0.05*s.random.Float64(), tick)
}

// atVoter does something at a voter, or once it goes on.
func (s *sim) atVoter(v *simVoter, do func()) {
	if v.frozen {
		if len(v.deferred) < 50 {
			v.deferred = append(v.deferred, do)
		}
		return
	}
	do()
}

// drain carries out what a voter puts out.
func (s *sim) drain(v *simVoter) {
	core := v.core
	if s.defect == "votes that tell too late a time" {
		core.lastLeaderContact = -1e9
	}
	for core.HasReady() {
		out := core.Ready()
		if out.Snapshot != nil {
			v.persisted.Snapshot = out.Snapshot
			v.persisted.Entries = nil
		}
		if out.HardState != nil {
			v.persisted.HardState = out.HardState
		}
		for _, e := range out.Entries {
			for len(v.persisted.Entries) > 0 && v.persisted.Entries[len(v.persisted.Entries)-1].GetIndex() >= e.GetIndex() {
				v.persisted.Entries = v.persisted.Entries[:len(v.persisted.Entries)-1]
			}
			v.persisted.Entries = append(v.persisted.Entries, e)
		}
		for _, m := range out.Messages {
			if s.defect == "votes that tell too late a time" && m.GetType() == raftpb.MsgVoteResp { // as if no leader had been confirmed for long
				m.Context = binary.BigEndian.AppendUint64(nil, math.Float64bits(5))
			}
			peer := s.voters[m.GetTo()]
			s.countMessage(s.voterName(v.id), m)
			if peer == nil {
				continue
			}
			s.send(s.voterName(v.id), s.voterName(peer.id), func() {
				s.atVoter(peer, func() {
					if peer.core != nil {
						_ = peer.core.Step(s.now*peer.clockRate, clone(m)) // it may pass over a message; a failed core shows with its next Tick
						s.drain(peer)
					}
				})
			})
		}
		for _, a := range out.Results {
			for _, h := range s.controllers {
				if h.name == a.To.Name {
					s.send(s.voterName(v.id), h.name, func() { s.atController(h, func() { s.sharedWork.takeResult(h, a) }) })
				}
			}
		}
		for _, a := range out.Responses {
			s.countMessage(s.voterName(v.id), a)
			for _, h := range s.controllers {
				if h.name == a.To.Name {
					s.send(s.voterName(v.id), h.name, func() { s.atController(h, func() { s.handleResponse(h, v.id, a) }) })
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
		if err := core.Advance(s.now * v.clockRate); err != nil {
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

func (s *sim) resumeVoter(v *simVoter) {
	v.frozen = false
	missed := v.deferred
	v.deferred = nil
	for _, do := range missed {
		do()
	}
}
