package consensus

import (
	"slices"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/lease"
	"copperrock.example/copperrock/internal/fleet/state"
)

// simController is a simulated controller. Across restarts it keeps its name and gets a new incarnation.
type simController struct {
	name        string
	lease       *lease.Holder
	quotas      map[string]*lease.Quota
	incarnation uint64
	clockRate   float64 // rate of its clock relative to the simulated time
	clockOffset float64
	leader      uint64 // id of the voter to which it sends its requests, 0 for a random one
	answered    bool   // a lease request has been granted
	dead        bool
	frozen      bool
	deferred    []func() // events that arrived while it was frozen
	running     []runningRequest
	demand      float64 // from 0 to 1: how likely it is to begin a request, and how much it demands
	starts      int
	index       int
	owner       *assignment.Owner
	worker      *simWorker
}

// runningRequest is a request that uses an amount of a quantity until it ends.
type runningRequest struct {
	quantity string
	amount   float64
	end      float64
}

// atController executes an event at a controller now or, if the controller is frozen, when it resumes. A frozen controller
// defers at most 20 events and loses further ones, a dead one loses all.
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
	timing := s.timing
	switch s.defect {
	case "lease too long":
		timing.TTL *= 3
	case "lease never expires":
		timing.TTL = 1e6
	case "floor without delay":
		timing.Linger = -10
	}
	controller.clockOffset = 1000 * s.random.Float64()
	controller.lease = lease.New(s.controllerClock(controller), timing)
	floor := s.floorReserve / float64(2*len(s.controllers)+20) // half is for earlier incarnations that have not expired yet
	controller.quotas = map[string]*lease.Quota{"memory": controller.lease.SetQuota("memory", floor, 0), "further": controller.lease.SetQuota("further", floor, 0.5)}
	controller.dead, controller.frozen, controller.deferred, controller.running = false, false, nil, nil
	if s.sharedWork != nil {
		s.sharedWork.startOwner(controller)
	}
	if s.defect != "same incarnation" || controller.incarnation == 0 {
		controller.incarnation++
	}
	due := false // toggles, so that a request is sent in every second interval even if the lease needs no renewal
	var renew, work func()
	renew = func() {
		if controller.starts != starts || controller.dead {
			return
		}
		if due = !due; due || controller.lease.NeedsRenewal(s.controllerClock(controller)) {
			s.atController(controller, func() { s.sendRequest(controller) })
		}
		s.schedule(0.1*(0.9+0.2*s.random.Float64()), renew)
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
	s.schedule(0.1*s.random.Float64(), renew)
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
	voter := s.voters[to]
	controller.leader = 0 // until the voter responds
	s.countMessage(s.voterName(to), request)
	s.send(controller.name, s.voterName(to), func() {
		s.atVoter(voter, func() {
			if voter.core == nil {
				return
			}
			s.fail(voter.core.HandleLeaseRequest(s.now*voter.clockRate, request))
			if s.defect == "grants without a quorum" && voter.core.leading {
				voter.core.pendingReads[0] = pendingRead{requests: voter.core.unconfirmed}
				voter.core.unconfirmed = nil
				voter.core.answerRead(0)
			}
			s.processReady(voter)
		})
	})
}

func (s *sim) handleResponse(controller *simController, from uint64, response LeaseResponse) {
	if response.To.Incarnation != controller.incarnation {
		return
	}
	controller.leader = from
	if s.defect == "no renewal after a partition" && controller.answered && !controller.lease.Valid(s.controllerClock(controller)) {
		return
	}
	switch response.Status {
	case StatusGranted:
		controller.answered = true
		limitBefore := controller.lease.Limit(s.controllerClock(controller), controller.quotas["memory"])
		requestedAt, _ := controller.lease.RequestedAt(response.Number)
		if controller.lease.Renew(response.Number, response.Grants) {
			controller.index = response.Index
			if s.sharedWork != nil {
				s.sharedWork.updateOwner(controller, requestedAt, response)
			}
			if controller.lease.Limit(s.controllerClock(controller), controller.quotas["memory"]) > limitBefore {
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

// runRequests ends the requests that are due to end, and begins new ones where the quotas permit.
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

// kill ends an incarnation. The requests that it had running continue at the engines until they end.
func (s *sim) kill(controller *simController) {
	s.orphaned = append(s.orphaned, controller.running...)
	if used := controller.quotas["further"].Used(s.controllerClock(controller)); used > 0 {
		s.orphaned = append(s.orphaned, runningRequest{"further", used, s.now + 0.5})
	}
	controller.dead, controller.running = true, nil
}

// resumeController resumes a frozen controller, which first processes the events that arrived while it was frozen, as if they
// had been in its sockets' buffers.
func (s *sim) resumeController(controller *simController, starts int) {
	if controller.starts != starts || controller.dead {
		return
	}
	controller.frozen = false
	deferred := controller.deferred
	controller.deferred = nil
	for _, event := range deferred {
		event()
	}
}
