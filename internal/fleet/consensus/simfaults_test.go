package consensus

import (
	"slices"
)

// names are the names of all.
func (s *sim) names() (all []string) {
	for id := range uint64(len(s.voters)) {
		all = append(all, s.voterName(id+1))
	}
	for _, h := range s.controllers {
		all = append(all, h.name)
	}
	return all
}

// isolate cuts a party off, or joins it again; only asks or answers where there or back alone is set.
func (s *sim) isolate(name string, there, back bool) {
	for _, o := range s.names() {
		s.cutLinks[[2]string{name, o}], s.cutLinks[[2]string{o, name}] = there, back
	}
}

// partition cuts some voters from the others, or joins them again; controllers reach all.
func (s *sim) partition(some []string, cut bool) {
	for _, id := range s.voterIDs {
		if o := s.voterName(id); !slices.Contains(some, o) {
			for _, name := range some {
				s.cutLinks[[2]string{name, o}], s.cutLinks[[2]string{o, name}] = cut, cut
			}
		}
	}
}

// injectFault does one thing drawn by chance, and undoes it later.
func (s *sim) injectFault() {
	length := 0.2 + 3*s.random.Float64()
	all := s.names()
	who := all[s.random.IntN(len(all))]
	voter := s.voters[uint64(1+s.random.IntN(len(s.voters)))]
	if leader := s.leader(); leader != nil && s.random.IntN(2) == 0 {
		voter = leader
	}
	controller := s.controllers[s.random.IntN(len(s.controllers))]
	switch s.random.IntN(11) {
	case 0:
		s.logf("%s cut off", who)
		s.isolate(who, true, true)
		s.schedule(length, func() { s.isolate(who, false, false) })
	case 1:
		s.logf("%s is not heard", who)
		s.isolate(who, true, false)
		s.schedule(length, func() { s.isolate(who, false, false) })
	case 2:
		s.logf("%s hears nothing", who)
		s.isolate(who, false, true)
		s.schedule(length, func() { s.isolate(who, false, false) })
	case 3:
		s.logf("%s slow", who)
		s.slowLinks[who] = 0.5
		s.schedule(length, func() { delete(s.slowLinks, who) })
	case 4:
		if voter.core == nil || voter.frozen {
			return
		}
		s.logf("%s killed", s.voterName(voter.id))
		voter.core = nil
		s.schedule(length, func() { s.startVoter(voter) })
	case 5:
		if voter.core == nil || voter.frozen {
			return
		}
		s.logf("%s frozen", s.voterName(voter.id))
		voter.frozen = true
		s.schedule(length, func() { s.resumeVoter(voter) })
	case 6:
		if controller.dead || controller.frozen {
			return
		}
		s.logf("%s killed", controller.name)
		s.kill(controller)
		if s.random.IntN(2) == 0 {
			length = 0.01
		}
		s.schedule(length, func() { s.startController(controller) })
	case 7:
		if controller.dead || controller.frozen {
			return
		}
		s.logf("%s frozen", controller.name)
		controller.frozen = true
		starts := controller.starts
		s.schedule(length, func() { s.resumeController(controller, starts) })
	case 9, 10: // a leader cut from its quorum but not from its controllers, or voters split in two
		var some []string
		for i, id := range s.voterIDs {
			if name := s.voterName(id); id == voter.id || s.random.IntN(2) == 0 && i < len(s.voterIDs)/2 {
				some = append(some, name)
			}
		}
		s.logf("%v cut off from the other voters", some)
		s.partition(some, true)
		s.schedule(length, func() { s.partition(some, false) })
	case 8:
		s.logf("demand turns")
		for _, controller := range s.controllers {
			controller.demand = s.random.Float64()
		}
	}
}
