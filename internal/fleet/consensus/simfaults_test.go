package consensus

import (
	"slices"
)

// names returns the names of all voters and controllers.
func (s *sim) names() (names []string) {
	for id := range uint64(len(s.voters)) {
		names = append(names, s.voterName(id+1))
	}
	for _, controller := range s.controllers {
		names = append(names, controller.name)
	}
	return names
}

// isolate cuts or restores the links between one voter or controller and all others, separately for those from it (outbound)
// and those to it (inbound).
func (s *sim) isolate(name string, outbound, inbound bool) {
	for _, other := range s.names() {
		s.cutLinks[[2]string{name, other}], s.cutLinks[[2]string{other, name}] = outbound, inbound
	}
}

// partition cuts or restores the links between a group of voters and the other voters. Controllers still reach all voters.
func (s *sim) partition(group []string, cut bool) {
	for _, id := range s.voterIDs {
		if other := s.voterName(id); !slices.Contains(group, other) {
			for _, name := range group {
				s.cutLinks[[2]string{name, other}], s.cutLinks[[2]string{other, name}] = cut, cut
			}
		}
	}
}

// injectFault injects one random fault, and schedules its end.
func (s *sim) injectFault() {
	duration := 0.2 + 3*s.random.Float64()
	all := s.names()
	name := all[s.random.IntN(len(all))]
	voter := s.voters[uint64(1+s.random.IntN(len(s.voters)))]
	if leader := s.leader(); leader != nil && s.random.IntN(2) == 0 {
		voter = leader
	}
	controller := s.controllers[s.random.IntN(len(s.controllers))]
	switch s.random.IntN(11) {
	case 0:
		s.logf("%s isolated", name)
		s.isolate(name, true, true)
		s.schedule(duration, func() { s.isolate(name, false, false) })
	case 1:
		s.logf("%s: outbound links cut", name)
		s.isolate(name, true, false)
		s.schedule(duration, func() { s.isolate(name, false, false) })
	case 2:
		s.logf("%s: inbound links cut", name)
		s.isolate(name, false, true)
		s.schedule(duration, func() { s.isolate(name, false, false) })
	case 3:
		s.logf("%s: slow links", name)
		s.slowLinks[name] = 0.5
		s.schedule(duration, func() { delete(s.slowLinks, name) })
	case 4:
		if voter.core == nil || voter.frozen {
			return
		}
		s.logf("%s killed", s.voterName(voter.id))
		voter.core = nil
		s.schedule(duration, func() { s.startVoter(voter) })
	case 5:
		if voter.core == nil || voter.frozen {
			return
		}
		s.logf("%s frozen", s.voterName(voter.id))
		voter.frozen = true
		s.schedule(duration, func() { s.resumeVoter(voter) })
	case 6:
		if controller.dead || controller.frozen {
			return
		}
		s.logf("%s killed", controller.name)
		s.kill(controller)
		if s.random.IntN(2) == 0 {
			duration = 0.01
		}
		s.schedule(duration, func() { s.startController(controller) })
	case 7:
		if controller.dead || controller.frozen {
			return
		}
		s.logf("%s frozen", controller.name)
		controller.frozen = true
		starts := controller.starts
		s.schedule(duration, func() { s.resumeController(controller, starts) })
	case 9, 10: // a leader is cut off from its quorum but not from the controllers, or the voters are split into two groups
		var group []string
		for i, id := range s.voterIDs {
			if name := s.voterName(id); id == voter.id || s.random.IntN(2) == 0 && i < len(s.voterIDs)/2 {
				group = append(group, name)
			}
		}
		s.logf("%v cut off from the other voters", group)
		s.partition(group, true)
		s.schedule(duration, func() { s.partition(group, false) })
	case 8:
		s.logf("demands change")
		for _, controller := range s.controllers {
			controller.demand = s.random.Float64()
		}
	}
}
