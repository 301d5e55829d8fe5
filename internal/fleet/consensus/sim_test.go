package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// sim simulates a fleet in virtual time: voters and controllers with their own clocks, and the network between them, all
// determined by a seed. After every event it checks that the sum of what each process may still use, and of what killed
// processes may still have running, does not exceed the total.
type sim struct {
	random          *rand.Rand
	now             float64
	events          events
	serial          int // number of events scheduled so far
	timing          lease.Timing
	total           float64
	floorReserve    float64
	voterIDs        []uint64
	voters          map[uint64]*simVoter
	controllers     []*simController
	orphaned        []runningRequest   // requests of killed controllers that still run at the engines
	cutLinks        map[[2]string]bool // by sender and receiver
	slowLinks       map[string]float64 // maximum extra delay in seconds of links from and to a voter or controller
	duplicateChance float64
	defect          string // name of the seeded defect, "" for none
	violation       string // the first violation, "" if there is none
	log             []string
	sharedWork      *workSim       // shared work, nil if there is none
	unchecked       bool           // the invariants are not checked, because the simulation is for measuring
	maxControllers  int            // number of controllers in the simulation
	idle            bool           // controllers don't begin requests on their own
	messageCounts   map[string]int // messages by voter
	byteCounts      map[string]int // bytes by voter
	nextVoters      []uint64       // configured voters of generation 2, nil if the voters don't change
	lastGrowthAt    float64        // latest time at which the limit of any controller rose
}

func (s *sim) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%.3f ", s.now)+fmt.Sprintf(format, args...))
}

// newSim returns a fleet of voters and controllers that share an occupancy and a rate.
func newSim(seed uint64, voters, controllers int, defect string) *sim {
	return newSimWith(seed, voters, controllers, defect, nil)
}

// newSimWith returns a fleet like newSim, with shared work unless that is nil.
func newSimWith(seed uint64, voters, controllers int, defect string, sharedWork *workSim) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 5)), timing: lease.Timing{TTL: 1, MaxDrift: 0.001, Linger: 0.8}, total: 100, floorReserve: 8,
		voters: map[uint64]*simVoter{}, cutLinks: map[[2]string]bool{}, slowLinks: map[string]float64{}, duplicateChance: 0.02, defect: defect, sharedWork: sharedWork, maxControllers: controllers}
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
	for i := range controllers {
		controller := &simController{name: fmt.Sprintf("c%d", i), clockRate: s.drawClockRate(), clockOffset: 1000 * s.random.Float64(), demand: s.random.Float64()}
		s.controllers = append(s.controllers, controller)
		s.startController(controller)
	}
	return s
}

// drawClockRate draws the rate of a clock within the drift bound.
func (s *sim) drawClockRate() float64 { return 1 + s.timing.MaxDrift*(2*s.random.Float64()-1) }

func (s *sim) quantities() []state.Quantity {
	return []state.Quantity{{Name: "memory", Total: s.total, FloorReserve: s.floorReserve}, {Name: "further", Kind: state.Rate, Total: s.total, FloorReserve: s.floorReserve, Window: 0.5}}
}

func (s *sim) voterName(id uint64) string { return fmt.Sprintf("v%d", id) }

var simQuantities = []string{"memory", "further"}

// check verifies that what may be in use of each quantity does not exceed the total (B1), and the invariants of the states
// and of shared work.
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
				sum += max(controller.lease.Limit(s.controllerClock(controller), controller.quotas[name])-used, 0) // what it may still begin
				if name == "memory" {
					// Requests end even if their controller is frozen and does not observe it.
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
			s.violation = fmt.Sprintf("B1: at %.3f s, %.3f of %s may be in use, the total is %g", s.now, sum, name, s.total)
			s.logState(name)
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

// logState logs how much of a quantity each controller holds, and how each voter's state records it.
func (s *sim) logState(name string) {
	for _, controller := range s.controllers {
		s.logf("%s.%d dead %v frozen %v limit %.2f used %.2f, lease expires at %.3f, its clock shows %.3f", controller.name, controller.incarnation, controller.dead, controller.frozen, controller.lease.Limit(s.controllerClock(controller), controller.quotas[name]),
			controller.quotas[name].Used(s.controllerClock(controller)), controller.lease.ExpiresAt(), s.controllerClock(controller))
	}
	for _, request := range s.orphaned {
		s.logf("orphaned request uses %.2f of %s until %.3f", request.amount, request.quantity, request.end)
	}
	for _, id := range s.voterIDs {
		voter := s.voters[id]
		if voter.core == nil {
			continue
		}
		s.logf("v%d leading %v term %d frozen %v", id, voter.core.leading, voter.core.Term(), voter.frozen)
		for _, member := range voter.core.machine.SortedControllers() {
			s.logf("  %s.%d replaced %v %+v last request at %.3f, the voter's clock shows %.3f", member.Name, member.Incarnation, member.Replaced, member.Allocations[name], voter.core.lastRequestAt[member.ControllerID], s.now*voter.clockRate)
		}
	}
}
