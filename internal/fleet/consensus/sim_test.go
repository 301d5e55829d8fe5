package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// sim is a fleet in virtual time: voters and controllers with clocks of their own, and a network between them, all from a
// seed. After every event it adds up what each process may still use and what killed ones may still have running.
type sim struct {
	random          *rand.Rand
	now             float64
	events          events
	serial          int
	timing          lease.Timing
	total           float64
	floorReserve    float64
	voterIDs        []uint64
	voters          map[uint64]*simVoter
	controllers     []*simController
	orphaned        []runningRequest // of dead processes, still running at the engines
	cutLinks        map[[2]string]bool
	slowLinks       map[string]float64
	duplicateChance float64
	defect          string
	violation       string
	log             []string
	sharedWork      *workSim       // shared work, nil without
	unchecked       bool           // measured, not checked
	maxControllers  int            // controllers that there may be
	idle            bool           // controllers begin nothing by themselves
	messageCounts   map[string]int // messages at a voter
	byteCounts      map[string]int
	nextVoters      []uint64 // who shall vote, where that changes
	lastGrowthAt    float64  // the latest time at which any controller was told more
}

func (s *sim) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%.3f ", s.now)+fmt.Sprintf(format, args...))
}

// newSim makes a fleet of voters and controllers that share an occupancy and a rate.
func newSim(seed uint64, voters, holders int, defect string) *sim {
	return newSimWith(seed, voters, holders, defect, nil)
}

// newSimWith makes one with shared work.
func newSimWith(seed uint64, voters, holders int, defect string, sharedWork *workSim) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 5)), timing: lease.Timing{TTL: 1, MaxDrift: 0.001, Linger: 0.8}, total: 100, floorReserve: 8,
		voters: map[uint64]*simVoter{}, cutLinks: map[[2]string]bool{}, slowLinks: map[string]float64{}, duplicateChance: 0.02, defect: defect, sharedWork: sharedWork, maxControllers: holders}
	if sharedWork != nil {
		sharedWork.sim = s
	}
	for id := range uint64(voters) {
		s.voterIDs = append(s.voterIDs, id+1)
	}
	for _, id := range s.voterIDs {
		voter := &simVoter{id: id, clockRate: s.drawClockRate(), persisted: Persisted{Snapshot: InitialSnapshot(s.voterIDs)}}
		s.voters[voter.id] = voter
		s.startVoter(voter)
	}
	for i := range holders {
		controller := &simController{name: fmt.Sprintf("c%d", i), clockRate: s.drawClockRate(), clockOffset: 1000 * s.random.Float64(), demand: s.random.Float64()}
		s.controllers = append(s.controllers, controller)
		s.startController(controller)
	}
	return s
}

// drawClockRate is how fast one runs: within the bound on either side.
func (s *sim) drawClockRate() float64 { return 1 + s.timing.MaxDrift*(2*s.random.Float64()-1) }

func (s *sim) quantities() []state.Quantity {
	return []state.Quantity{{Name: "memory", Total: s.total, FloorReserve: s.floorReserve}, {Name: "further", Kind: state.Rate, Total: s.total, FloorReserve: s.floorReserve, Window: 0.5}}
}

func (s *sim) voterName(id uint64) string { return fmt.Sprintf("v%d", id) }

var simQuantities = []string{"memory", "further"}

// check adds up what may be in use of each quantity.
func (s *sim) check() {
	s.orphaned = slices.DeleteFunc(s.orphaned, func(request runningRequest) bool { return request.end <= s.now })
	for _, name := range simQuantities {
		sum := 0.0
		for _, request := range s.orphaned {
			if request.quantity == name {
				sum += request.amount
			}
		}
		for _, controller := range s.controllers {
			if !controller.dead {
				used := controller.quotas[name].Used(s.controllerClock(controller))
				sum += max(controller.lease.Limit(s.controllerClock(controller), controller.quotas[name])-used, 0) // that it may begin yet
				if name == "memory" {                                                                              // jobs end whether or not their controller is awake to see it
					for _, request := range controller.running {
						if request.end > s.now {
							sum += request.amount
						}
					}
				} else {
					sum += used
				}
			}
		}
		if sum > s.total+1e-6 && s.violation == "" {
			s.violation = fmt.Sprintf("B1: at %.3f %.3f of %g of %s may be in use", s.now, sum, s.total, name)
			s.describe(name)
		}
	}
	for _, voter := range s.voters {
		if voter.core != nil && s.violation == "" {
			s.violation = voter.core.machine.CheckInvariants(nil)
		}
	}
	if s.sharedWork != nil && s.violation == "" {
		s.violation = s.sharedWork.checkWork()
	}
}

// describe writes down who holds what.
func (s *sim) describe(name string) {
	for _, controller := range s.controllers {
		s.logf("%s.%d dead %v frozen %v limit %.2f used %.2f, leased until %.3f of %.3f", controller.name, controller.incarnation, controller.dead, controller.frozen, controller.lease.Limit(s.controllerClock(controller), controller.quotas[name]),
			controller.quotas[name].Used(s.controllerClock(controller)), controller.lease.ExpiresAt(), s.controllerClock(controller))
	}
	for _, request := range s.orphaned {
		s.logf("a ghost's job of %.2f of %s until %.3f", request.amount, request.quantity, request.end)
	}
	for _, id := range s.voterIDs {
		voter := s.voters[id]
		if voter.core == nil {
			continue
		}
		s.logf("v%d leads %v term %d frozen %v", id, voter.core.leading, voter.core.Term(), voter.frozen)
		for _, member := range voter.core.machine.SortedControllers() {
			s.logf("  %s.%d replaced %v %+v seen %.3f of %.3f", member.Name, member.Incarnation, member.Replaced, member.Allocations[name], voter.core.lastRequestAt[member.ControllerID], s.now*voter.clockRate)
		}
	}
}
