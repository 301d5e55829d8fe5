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
func (s *sim) atController(h *simController, do func()) {
	switch {
	case h.dead:
	case h.frozen:
		if len(h.deferred) < 20 {
			h.deferred = append(h.deferred, do)
		}
	default:
		do()
	}
}

func (s *sim) controllerClock(h *simController) float64 { return s.now*h.clockRate + h.clockOffset }

// startController starts a new incarnation of a controller.
func (s *sim) startController(h *simController) {
	h.starts++
	life := h.starts
	rules := s.timing
	switch s.defect {
	case "lease too long":
		rules.TTL *= 3
	case "a part kept for good":
		rules.TTL = 1e6
	case "floors from the start":
		rules.Linger = -10
	}
	h.clockOffset = 1000 * s.random.Float64()
	h.lease = lease.New(s.controllerClock(h), rules)
	floor := s.floorReserve / float64(2*len(s.controllers)+20) // as many lives again may be on their way out
	h.quotas = map[string]*lease.Quota{"memory": h.lease.SetQuota("memory", floor, 0), "further": h.lease.SetQuota("further", floor, 0.5)}
	h.dead, h.frozen, h.deferred, h.running = false, false, nil, nil
	if s.sharedWork != nil {
		s.sharedWork.startOwner(h)
	}
	if s.defect != "same incarnation" || h.incarnation == 0 {
		h.incarnation++
	}
	asked := false
	var ask, work func()
	ask = func() {
		if h.starts != life || h.dead {
			return
		}
		if asked = !asked; asked || h.lease.NeedsRenewal(s.controllerClock(h)) {
			s.atController(h, func() { s.sendRequest(h) })
		}
		s.schedule(0.1*(0.9+0.2*s.random.Float64()), ask)
	}
	work = func() {
		if h.starts != life || h.dead {
			return
		}
		if !s.idle {
			s.atController(h, func() { s.runRequests(h) })
		}
		s.schedule(0.01+0.02*s.random.Float64(), work)
	}
	s.schedule(0.1*s.random.Float64(), ask)
	s.schedule(0.1*s.random.Float64(), work)
}

func (s *sim) sendRequest(h *simController) {
	for _, name := range simQuantities {
		if hold := h.quotas[name]; !s.idle {
			hold.SetDemand(hold.Used(s.controllerClock(h)) + 30*h.demand)
		}
	}
	number, reports := h.lease.NewRequest(s.controllerClock(h))
	a := LeaseRequest{Controller: state.ControllerID{Name: h.name, Incarnation: h.incarnation}, Number: number, Generation: 1, ConfigDigest: ConfigDigest(s.quantities(), s.tasks())}
	if s.sharedWork != nil {
		s.sharedWork.addReport(h, &a)
	}
	for _, r := range reports {
		a.Demands = append(a.Demands, Demand{Quantity: r.Quantity, Revision: r.Revision, Used: r.Used, Wanted: r.Demand})
	}
	to := h.leader
	if s.voters[to] == nil {
		to = uint64(1 + s.random.IntN(len(s.voters)))
	}
	v := s.voters[to]
	h.leader = 0 // unless it answers
	s.countMessage(s.voterName(to), a)
	s.send(h.name, s.voterName(to), func() {
		s.atVoter(v, func() {
			if v.core == nil {
				return
			}
			s.fail(v.core.HandleLeaseRequest(s.now*v.clockRate, a))
			if s.defect == "old leader's word" && v.core.leading { // no quorum is asked
				v.core.pendingReads[0] = pendingRead{requests: v.core.unconfirmed}
				v.core.unconfirmed = nil
				v.core.answerRead(0)
			}
			s.drain(v)
		})
	})
}

func (s *sim) handleResponse(h *simController, from uint64, a LeaseResponse) {
	if a.To.Incarnation != h.incarnation {
		return
	}
	h.leader = from
	if s.defect == "no part after a cut" && h.answered && !h.lease.Valid(s.controllerClock(h)) {
		return
	}
	switch a.Status {
	case StatusGranted:
		h.answered = true
		before := h.lease.Limit(s.controllerClock(h), h.quotas["memory"])
		asked, _ := h.lease.RequestedAt(a.Number)
		if h.lease.Renew(a.Number, a.Grants) {
			h.index = a.Index
			if s.sharedWork != nil {
				s.sharedWork.takeResponse(h, asked, a)
			}
			if h.lease.Limit(s.controllerClock(h), h.quotas["memory"]) > before {
				s.lastGrowthAt = s.now
			}
		}
	case StatusNotLeader:
		h.leader = a.Leader
	case StatusStaleIncarnation:
		h.incarnation = a.Incarnation + 1
	case StatusReplaced:
		h.lease.Revoke()
	}
}

// runRequests ends what has run long enough and begins more where the quota has room.
func (s *sim) runRequests(h *simController) {
	now := s.controllerClock(h)
	h.running = slices.DeleteFunc(h.running, func(j runningRequest) bool {
		if j.end <= s.now {
			h.quotas["memory"].Release(j.amount)
		}
		return j.end <= s.now
	})
	for _, name := range simQuantities {
		hold := h.quotas[name]
		amount := 0.2 + 2*s.random.Float64()
		if s.random.Float64() < h.demand && h.lease.Acquire(now, hold, amount) && name == "memory" {
			h.running = append(h.running, runningRequest{name, amount, s.now + s.timing.Linger*s.random.Float64()})
		}
	}
}

// kill ends an incarnation; what it had running goes on at the engines for its time.
func (s *sim) kill(h *simController) {
	s.orphaned = append(s.orphaned, h.running...)
	if used := h.quotas["further"].Used(s.controllerClock(h)); used > 0 {
		s.orphaned = append(s.orphaned, runningRequest{"further", used, s.now + 0.5})
	}
	h.dead, h.running = true, nil
}

// resumeController resumes a controller with what came meanwhile, in its sockets' buffers as it were.
func (s *sim) resumeController(h *simController, life int) {
	if h.starts != life || h.dead {
		return
	}
	h.frozen = false
	missed := h.deferred
	h.deferred = nil
	for _, do := range missed {
		do()
	}
}
