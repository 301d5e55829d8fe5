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

// Figures in virtual time, for docs/results.md: MEASURE=1 go test -v -run Measure ./internal/fleet/consensus

func measuring(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE=1")
	}
}

// arrival is a job that is served if it can begin within its patience.
type arrival struct {
	at, amount, runs float64
	holder           int
}

const patience = 0.5

// drawArrivals draws a day's arrivals: the same rate everywhere, rates that differ by draws, or two halves that swing each second.
func drawArrivals(r *rand.Rand, kind string, holders int, whole, load, from, length float64) (all []arrival) {
	weights, sum := make([]float64, holders), 0.0
	for i := range weights {
		weights[i] = 1
		if kind == "skewed" {
			weights[i] = 0.3 + 0.7*r.ExpFloat64()
		}
		sum += weights[i]
	}
	amount, runs := whole/float64(holders)/12, 0.3 // an even share holds a dozen jobs
	rate := load * whole / amount / runs
	for i, w := range weights {
		for at := from + r.ExpFloat64()/(rate*w/sum); at < from+length; at += r.ExpFloat64() / (rate * w / sum) {
			if kind == "swinging" && r.Float64() > []float64{0.9, 0.1}[(int(at)+i)%2] {
				continue
			}
			all = append(all, arrival{at, amount * (0.5 + r.Float64()), runs * (0.5 + r.Float64()), i})
			if kind == "swinging" && r.Float64() < 0.8 { // the half that is up has nearly all
				all = append(all, arrival{at, amount * (0.5 + r.Float64()), runs * (0.5 + r.Float64()), i})
			}
		}
	}
	slices.SortFunc(all, func(x, y arrival) int { return int(math.Copysign(1, x.at-y.at)) })
	return all
}

// playTallies plays arrivals through tallies that each bear a limit, and gives the part of the work that began in its patience.
func playTallies(all []arrival, tallies int, limit float64) float64 {
	type open struct{ end, amount float64 }
	used, runs, lines := make([]float64, tallies), make([][]open, tallies), make([][]arrival, tallies)
	good, sum := 0.0, 0.0
	step := func(i int, now float64) {
		runs[i] = slices.DeleteFunc(runs[i], func(o open) bool {
			if o.end <= now {
				used[i] -= o.amount
			}
			return o.end <= now
		})
		for len(lines[i]) > 0 {
			a := lines[i][0]
			if now <= a.at+patience && used[i]+a.amount > limit {
				break
			}
			lines[i] = lines[i][1:]
			if now > a.at+patience {
				continue
			}
			used[i] += a.amount
			runs[i] = append(runs[i], open{now + a.runs, a.amount})
			good += a.amount * a.runs
		}
	}
	for _, a := range all {
		sum += a.amount * a.runs
		i := a.holder % tallies
		step(i, a.at)
		lines[i] = append(lines[i], a)
		step(i, a.at)
	}
	for i := range tallies { // in steps of a hundredth
		for now := all[len(all)-1].at; now < all[len(all)-1].at+1; now += 0.01 {
			step(i, now)
		}
	}
	return good / sum
}

// play plays arrivals through the fleet.
func (s *sim) playDemand(all []arrival) float64 {
	good, sum := 0.0, 0.0
	lines := make([][]arrival, len(s.controllers))
	var step func(i int)
	step = func(i int) {
		h := s.controllers[i]
		hold := h.quotas["memory"]
		for len(lines[i]) > 0 {
			a := lines[i][0]
			if s.now > a.at+patience {
				lines[i] = lines[i][1:]
				continue
			}
			if !h.lease.Acquire(s.controllerClock(h), hold, a.amount) {
				break
			}
			lines[i] = lines[i][1:]
			good += a.amount * a.runs
			s.schedule(a.runs, func() { hold.Release(a.amount); step(i) })
		}
		want := hold.Used(s.controllerClock(h))
		for _, a := range lines[i] {
			want += a.amount
		}
		hold.SetDemand(want)
	}
	for _, a := range all {
		sum += a.amount * a.runs
		s.schedule(a.at-s.now, func() { lines[a.holder] = append(lines[a.holder], a); step(a.holder) })
	}
	for i := range s.controllers {
		var look func()
		look = func() { step(i); s.schedule(0.02, look) }
		s.schedule(0.02*s.random.Float64(), look)
	}
	s.run(all[len(all)-1].at + 1)
	return good / sum
}

// Work served in time by allocations that follow demand, beside fixed even ones and one tally that knows all.
func TestMeasureServed(t *testing.T) {
	measuring(t)
	for _, n := range []int{10, 100, 300} {
		for _, kind := range []string{"even", "skewed", "swinging"} {
			s := newSim(1, 3, n, "")
			s.unchecked, s.idle = true, true
			s.run(4)
			all := drawArrivals(rand.New(rand.NewPCG(7, uint64(n))), kind, n, s.total-s.floorReserve, 0.8, 5, 8)
			parts := s.playDemand(all)
			t.Logf("%3d controllers, %-8s demand: fixed parts %.3f, parts by demand %.3f, one tally %.3f", n, kind,
				playTallies(all, n, (s.total-s.floorReserve)/float64(n)), parts, playTallies(all, 1, s.total-s.floorReserve))
		}
	}
}

// Times from a death to divided anew, without a leader, and to a new owner; messages and bytes at the leader.
func TestMeasureTimes(t *testing.T) {
	measuring(t)
	figure := func(all []float64) string {
		slices.Sort(all)
		at := func(p float64) float64 { return all[min(int(p*float64(len(all))), len(all)-1)] }
		return fmt.Sprintf("p50 %.2f s, p99 %.2f s of %d", at(0.5), at(0.99), len(all))
	}
	var again, leaderless []float64
	for seed := uint64(1); seed <= 60; seed++ {
		s := newSim(seed, 3, 6, "")
		s.unchecked = true
		for _, h := range s.controllers {
			h.demand = 1
		}
		if waitAllocated(s, 0.85, 6) < 0 {
			continue
		}
		s.run(s.now + 1)
		s.kill(s.controllers[seed%6])
		from := s.now
		if at := waitAllocated(s, 0.85, 8); at > 0 {
			again = append(again, at-from)
		}
		s.leader().core = nil
		from = s.now
		for s.leader() == nil && s.now < from+10 {
			s.run(s.now + 0.005)
		}
		leaderless = append(leaderless, s.now-from)
	}
	t.Logf("lease 1 s, linger 0.8 s: a dead holder's part divided again %s; without a leader %s", figure(again), figure(leaderless))
	for _, fault := range []string{"killed", "frozen", "cut off"} {
		var takes []float64
		for seed := uint64(1); seed <= 60; seed++ {
			s := newWorkSim(seed, 3, 4, "")
			s.unchecked, s.idle = true, true
			if s.sharedWork.waitOwned(10) < 0 {
				continue
			}
			s.run(s.now + 2)
			h := s.controllers[seed%4]
			lost := map[assignment.ShardID]bool{}
			for _, g := range h.owner.Assignments() {
				lost[g.ShardID] = true
			}
			switch fault {
			case "killed":
				s.kill(h)
			case "frozen":
				h.frozen = true
			default:
				s.isolate(h.name, true, true)
			}
			from := s.now
			for s.now < from+10 && len(lost) > 0 {
				s.run(s.now + 0.01)
				for slot := range lost {
					for _, o := range s.controllers {
						if _, may := o.owner.CanBegin(s.controllerClock(o), slot); o != h && may && !o.dead && !o.frozen {
							takes = append(takes, s.now-from)
							delete(lost, slot)
							break
						}
					}
				}
			}
		}
		t.Logf("lease 1 s: a slice whose owner is %s has another %s", fault, figure(takes))
	}
	for _, n := range []int{10, 100, 300, 1000} {
		s := newSim(2, 3, n, "")
		s.unchecked, s.idle = true, true
		s.timing = lease.Timing{TTL: 1, MaxDrift: 0.001, Linger: 0.8}
		s.run(4)
		s.messageCounts, s.byteCounts = map[string]int{}, map[string]int{}
		s.run(9)
		l := s.leader()
		if l == nil {
			t.Errorf("%d holders: nobody leads", n)
			continue
		}
		name := s.voterName(l.id)
		t.Logf("%4d holders at a lease of 1 s: %.0f messages and %.0f KB a second at the leader, %.1f and %.2f KB for each holder", n,
			float64(s.messageCounts[name])/5, float64(s.byteCounts[name])/5e3, float64(s.messageCounts[name])/5/float64(n), float64(s.byteCounts[name])/5e3/float64(n))
	}
}
