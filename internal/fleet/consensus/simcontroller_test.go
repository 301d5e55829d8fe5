package consensus

import (
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

type simController struct {
	name        string
	lease       *lease.Holder
	quotas      map[string]*lease.Quota
	incarnation uint64
	clockRate   float64
	clockOffset float64
	leader      uint64
	answered    bool // it has had an answer
	dead        bool
	frozen      bool
	deferred    []func()
	running     []runningRequest
	demand      float64 // of tokens a second that it would spend
	starts      int
	index       int
	owner       *assignment.Owner
	worker      *simOwner
}

// runningRequest is something begun that counts until it ends.
type runningRequest struct {
	quantity string
	amount   float64
	end      float64
}

// atController does something at a controller, or once it goes on.
func (s *sim) atController(controller *simController, do func()) {
	switch {
	case controller.dead:
	case controller.frozen:
		if len(controller.deferred) < 20 {
			controller.deferred = append(controller.deferred, do)
		}
	default:
		do()
	}
}

func (s *sim) controllerClock(controller *simController) float64 {
	return s.now*controller.clockRate + controller.clockOffset
}

// startController starts a new incarnation of a controller.
func (s *sim) startController(controller *simController) {
	controller.starts++
	starts := controller.starts
	rules := s.timing
	switch s.defect {
	case "lease too long":
		rules.TTL *= 3
	case "a part kept for good":
		rules.TTL = 1e6
	case "floors from the start":
		rules.Linger = -10
	}
	controller.clockOffset = 1000 * s.random.Float64()
	controller.lease = lease.New(s.controllerClock(controller), rules)
	floor := s.floorReserve / float64(2*len(s.controllers)+20) // as many lives again may be on their way out
	controller.quotas = map[string]*lease.Quota{"memory": controller.lease.SetQuota("memory", floor, 0), "further": controller.lease.SetQuota("further", floor, 0.5)}
	controller.dead, controller.frozen, controller.deferred, controller.running = false, false, nil, nil
	if s.sharedWork != nil {
		s.sharedWork.startOwner(controller)
	}
	if s.defect != "same incarnation" || controller.incarnation == 0 {
		controller.incarnation++
	}
	asked := false
	var ask, work func()
	ask = func() {
		if controller.starts != starts || controller.dead {
			return
		}
		if asked = !asked; asked || controller.lease.NeedsRenewal(s.controllerClock(controller)) {
			s.atController(controller, func() { s.sendRequest(controller) })
		}
		s.schedule(0.1*(0.9+0.2*s.random.Float64()), ask)
	}
	work = func() {
		if controller.starts != starts || controller.dead {
			return
		}
		if !s.idle {
			s.atController(controller, func() { s.runRequests(controller) })
		}
		s.schedule(0.01+0.02*s.random.Float64(), work)
	}
	s.schedule(0.1*s.random.Float64(), ask)
	s.schedule(0.1*s.random.Float64(), work)
}

func (s *sim) sendRequest(controller *simController) {
	for _, name := range simQuantities {
		if quota := controller.quotas[name]; !s.idle {
			quota.SetDemand(quota.Used(s.controllerClock(controller)) + 30*controller.demand)
		}
	}
	number, reports := controller.lease.NewRequest(s.controllerClock(controller))
	request := LeaseRequest{Controller: state.ControllerID{Name: controller.name, Incarnation: controller.incarnation}, Number: number, Generation: 1, ConfigDigest: ConfigDigest(s.quantities(), s.tasks())}
	if s.sharedWork != nil {
		s.sharedWork.addReport(controller, &request)
	}
	for _, report := range reports {
		request.Demands = append(request.Demands, Demand{Quantity: report.Quantity, Revision: report.Revision, Used: report.Used, Wanted: report.Demand})
	}
	to := controller.leader
	if s.voters[to] == nil {
		to = uint64(1 + s.random.IntN(len(s.voters)))
	}
	v := s.voters[to]
	controller.leader = 0 // unless it answers
	s.countMessage(s.voterName(to), request)
	s.send(controller.name, s.voterName(to), func() {
		s.atVoter(v, func() {
			if v.core == nil {
				return
			}
			s.fail(v.core.HandleLeaseRequest(s.now*v.clockRate, request))
			if s.defect == "old leader's word" && v.core.leading { // no quorum is asked
				v.core.pendingReads[0] = pendingRead{requests: v.core.unconfirmed}
				v.core.unconfirmed = nil
				v.core.answerRead(0)
			}
			s.drain(v)
		})
	})
}

func (s *sim) handleResponse(controller *simController, from uint64, response LeaseResponse) {
	if response.To.Incarnation != controller.incarnation {
		return
	}
	controller.leader = from
	if s.defect == "no part after a cut" && controller.answered && !controller.lease.Valid(s.controllerClock(controller)) {
		return
	}
	switch response.Status {
	case StatusGranted:
		controller.answered = true
		before := controller.lease.Limit(s.controllerClock(controller), controller.quotas["memory"])
		asked, _ := controller.lease.RequestedAt(response.Number)
		if controller.lease.Renew(response.Number, response.Grants) {
			controller.index = response.Index
			if s.sharedWork != nil {
				s.sharedWork.takeResponse(controller, asked, response)
			}
			if controller.lease.Limit(s.controllerClock(controller), controller.quotas["memory"]) > before {
				s.lastGrowthAt = s.now
			}
		}
	case StatusNotLeader:
		controller.leader = response.Leader
	case StatusStaleIncarnation:
		controller.incarnation = response.Incarnation + 1
	case StatusReplaced:
		controller.lease.Revoke()
	}
}

// runRequests ends what has run long enough and begins more where the quota has room.
func (s *sim) runRequests(controller *simController) {
	now := s.controllerClock(controller)
	controller.running = slices.DeleteFunc(controller.running, func(request runningRequest) bool {
		if request.end <= s.now {
			controller.quotas["memory"].Release(request.amount)
		}
		return request.end <= s.now
	})
	for _, name := range simQuantities {
		quota := controller.quotas[name]
		amount := 0.2 + 2*s.random.Float64()
		if s.random.Float64() < controller.demand && controller.lease.Acquire(now, quota, amount) && name == "memory" {
			controller.running = append(controller.running, runningRequest{name, amount, s.now + s.timing.Linger*s.random.Float64()})
		}
	}
}

// kill ends an incarnation; what it had running goes on at the engines for its time.
func (s *sim) kill(controller *simController) {
	s.orphaned = append(s.orphaned, controller.running...)
	if used := controller.quotas["further"].Used(s.controllerClock(controller)); used > 0 {
		s.orphaned = append(s.orphaned, runningRequest{"further", used, s.now + 0.5})
	}
	controller.dead, controller.running = true, nil
}

// resumeController resumes a controller with what came meanwhile, in its sockets' buffers as it were.
func (s *sim) resumeController(controller *simController, starts int) {
	if controller.starts != starts || controller.dead {
		return
	}
	controller.frozen = false
	missed := controller.deferred
	controller.deferred = nil
	for _, do := range missed {
		do()
	}
}
