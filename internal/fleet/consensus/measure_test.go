package consensus

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/lease"
)

// These tests measure figures in virtual time, for docs/results.md: MEASURE=1 go test -v -run Measure ./internal/fleet/consensus

func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE=1 runs it")
	}
}

// arrival is a request that arrives at a controller. It is served if it can begin within maxWait of its arrival.
type arrival struct {
	at, amount, duration float64
	controller           int
}

const maxWait = 0.5 // seconds

// drawArrivals draws arrivals of one of three kinds. They come at the same rate at every controller ("even"), at rates drawn
// at random ("skewed"), or mostly at one half of the controllers and mostly at the other, alternating each second ("swinging").
func drawArrivals(r *rand.Rand, kind string, controllers int, total, load, from, length float64) (all []arrival) {
	weights, sum := make([]float64, controllers), 0.0
	for i := range weights {
		weights[i] = 1
		if kind == "skewed" {
			weights[i] = 0.3 + 0.7*r.ExpFloat64()
		}
		sum += weights[i]
	}
	amount, duration := total/float64(controllers)/12, 0.3 // an even share is enough for a dozen requests
	rate := load * total / amount / duration
	for i, w := range weights {
		for at := from + r.ExpFloat64()/(rate*w/sum); at < from+length; at += r.ExpFloat64() / (rate * w / sum) {
			if kind == "swinging" && r.Float64() > []float64{0.9, 0.1}[(int(at)+i)%2] {
				continue
			}
			all = append(all, arrival{at, amount * (0.5 + r.Float64()), duration * (0.5 + r.Float64()), i})
			if kind == "swinging" && r.Float64() < 0.8 { // so that the busy half has nearly all requests
				all = append(all, arrival{at, amount * (0.5 + r.Float64()), duration * (0.5 + r.Float64()), i})
			}
		}
	}
	slices.SortFunc(all, func(x, y arrival) int { return int(math.Copysign(1, x.at-y.at)) })
	return all
}

// serveWithFixedLimits serves arrivals with a number of limiters that each have a fixed limit, and returns the fraction of the
// work that began within maxWait.
func serveWithFixedLimits(all []arrival, limiters int, limit float64) float64 {
	type runningRequest struct{ end, amount float64 }
	used, running, queues := make([]float64, limiters), make([][]runningRequest, limiters), make([][]arrival, limiters)
	served, sum := 0.0, 0.0
	step := func(i int, now float64) {
		running[i] = slices.DeleteFunc(running[i], func(request runningRequest) bool {
			if request.end <= now {
				used[i] -= request.amount
			}
			return request.end <= now
		})
		for len(queues[i]) > 0 {
			a := queues[i][0]
			if now <= a.at+maxWait && used[i]+a.amount > limit {
				break
			}
			queues[i] = queues[i][1:]
			if now > a.at+maxWait {
				continue
			}
			used[i] += a.amount
			running[i] = append(running[i], runningRequest{now + a.duration, a.amount})
			served += a.amount * a.duration
		}
	}
	for _, a := range all {
		sum += a.amount * a.duration
		i := a.controller % limiters
		step(i, a.at)
		queues[i] = append(queues[i], a)
		step(i, a.at)
	}
	for i := range limiters { // serves what is still queued, in steps of 10 ms
		for now := all[len(all)-1].at; now < all[len(all)-1].at+1; now += 0.01 {
			step(i, now)
		}
	}
	return served / sum
}

// serve serves arrivals with the fleet, and returns the fraction of the work that began within maxWait.
func (s *sim) serve(all []arrival) float64 {
	served, sum := 0.0, 0.0
	queues := make([][]arrival, len(s.controllers))
	var step func(i int)
	step = func(i int) {
		controller := s.controllers[i]
		quota := controller.quotas["memory"]
		for len(queues[i]) > 0 {
			a := queues[i][0]
			if s.now > a.at+maxWait {
				queues[i] = queues[i][1:]
				continue
			}
			if !controller.lease.Acquire(s.controllerClock(controller), quota, a.amount) {
				break
			}
			queues[i] = queues[i][1:]
			served += a.amount * a.duration
			s.schedule(a.duration, func() { quota.Release(a.amount); step(i) })
		}
		demand := quota.Used(s.controllerClock(controller))
		for _, a := range queues[i] {
			demand += a.amount
		}
		quota.SetDemand(demand)
	}
	for _, a := range all {
		sum += a.amount * a.duration
		s.schedule(a.at-s.now, func() { queues[a.controller] = append(queues[a.controller], a); step(a.controller) })
	}
	for i := range s.controllers {
		var poll func()
		poll = func() { step(i); s.schedule(0.02, poll) }
		s.schedule(0.02*s.random.Float64(), poll)
	}
	s.run(all[len(all)-1].at + 1)
	return served / sum
}

// Measures the work served in time with allocations that follow demand, compared with fixed even allocations and with one
// limiter for the whole fleet.
func TestMeasureServed(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, n := range []int{10, 100, 300} {
		for _, kind := range []string{"even", "skewed", "swinging"} {
			s := newSim(1, 3, n, "")
			s.unchecked, s.idle = true, true
			s.run(4)
			all := drawArrivals(rand.New(rand.NewPCG(7, uint64(n))), kind, n, s.total-s.floorReserve, 0.8, 5, 8)
			byDemand := s.serve(all)
			t.Logf("%3d controllers, %-8s demand: fixed allocations %.3f, allocations by demand %.3f, one limiter %.3f", n, kind,
				serveWithFixedLimits(all, n, (s.total-s.floorReserve)/float64(n)), byDemand, serveWithFixedLimits(all, 1, s.total-s.floorReserve))
		}
	}
}

// Measures how long it takes until a killed controller's allocation is allocated again, until a new leader is elected, and
// until shards have a new owner, and how many messages and bytes the leader handles.
func TestMeasureTimes(t *testing.T) {
	skipUnlessMeasuring(t)
	summarize := func(all []float64) string {
		slices.Sort(all)
		quantile := func(p float64) float64 { return all[min(int(p*float64(len(all))), len(all)-1)] }
		return fmt.Sprintf("p50 %.2f s, p99 %.2f s of %d", quantile(0.5), quantile(0.99), len(all))
	}
	var reallocated, leaderless []float64
	for seed := uint64(1); seed <= 60; seed++ {
		s := newSim(seed, 3, 6, "")
		s.unchecked = true
		for _, controller := range s.controllers {
			controller.demand = 1
		}
		if waitAllocated(s, 0.85, 6) < 0 {
			continue
		}
		s.run(s.now + 1)
		s.kill(s.controllers[seed%6])
		start := s.now
		if at := waitAllocated(s, 0.85, 8); at > 0 {
			reallocated = append(reallocated, at-start)
		}
		s.leader().core = nil
		start = s.now
		for s.leader() == nil && s.now < start+10 {
			s.run(s.now + 0.005)
		}
		leaderless = append(leaderless, s.now-start)
	}
	t.Logf("lease 1 s, linger 0.8 s: killed controller's amount allocated again after %s; new leader after %s", summarize(reallocated), summarize(leaderless))
	for _, fault := range []string{"killed", "frozen", "cut off"} {
		var durations []float64
		for seed := uint64(1); seed <= 60; seed++ {
			s := newWorkSim(seed, 3, 4, "")
			s.unchecked, s.idle = true, true
			if s.sharedWork.waitOwned(10) < 0 {
				continue
			}
			s.run(s.now + 2)
			victim := s.controllers[seed%4]
			lost := map[assignment.ShardID]bool{}
			for _, assigned := range victim.owner.Assignments() {
				lost[assigned.ShardID] = true
			}
			switch fault {
			case "killed":
				s.kill(victim)
			case "frozen":
				victim.frozen = true
			default:
				s.isolate(victim.name, true, true)
			}
			start := s.now
			for s.now < start+10 && len(lost) > 0 {
				s.run(s.now + 0.01)
				for shard := range lost {
					for _, other := range s.controllers {
						if _, ok := other.owner.CanBegin(s.controllerClock(other), shard); other != victim && ok && !other.dead && !other.frozen {
							durations = append(durations, s.now-start)
							delete(lost, shard)
							break
						}
					}
				}
			}
		}
		t.Logf("lease 1 s: a shard whose owner is %s has a new owner after %s", fault, summarize(durations))
	}
	for _, n := range []int{10, 100, 300, 1000} {
		s := newSim(2, 3, n, "")
		s.unchecked, s.idle = true, true
		s.timing = lease.Timing{TTL: 1, MaxDrift: 0.001, Linger: 0.8}
		s.run(4)
		s.messageCounts, s.byteCounts = map[string]int{}, map[string]int{}
		s.run(9)
		leader := s.leader()
		if leader == nil {
			t.Errorf("%d controllers: no voter leads", n)
			continue
		}
		name := s.voterName(leader.id)
		t.Logf("%4d controllers, lease 1 s: the leader handles %.0f messages and %.0f KB per second, %.1f and %.2f KB per controller", n,
			float64(s.messageCounts[name])/5, float64(s.byteCounts[name])/5e3, float64(s.messageCounts[name])/5/float64(n), float64(s.byteCounts[name])/5e3/float64(n))
	}
}
