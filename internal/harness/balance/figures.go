package balance

import (
	"fmt"
	"math"
)

// Figures are the results of a scenario. The waits from which evenness is computed include the extra time that requests take on
// slow engines.
type Figures struct {
	Requests, Completed, Rejected int
	Lost                          int // neither answered nor rejected
	Duplicates                    int // runs of non-idempotent requests beyond the first

	EngineEvenness, EngineEvennessP99 float64 // of the wait at engines: mean and 99th percentile
	TotalEvenness, TotalEvennessP99   float64 // of the total wait: mean and 99th percentile
	MeanWait, WaitP99                 float64 // seconds, of the total wait
	MinBusy, MaxBusy                  float64 // least and most busy time of an engine, relative to the mean of all engines
	PollRate                          float64 // polls per engine and second

	MeanHerd, MaxHerd float64 // attempts at a joined engine in the second after its first one, relative to its share
	FirstRequestDelay float64 // longest time in seconds until a joined engine received its first attempt
	SlowStartLoad     float64 // highest work sent to an engine within a slow start budget window, relative to the budget

	BusyShares [][]float64 // share of busy cores, by engine and second
}

// String formats the figures on one line. Golden traces contain it.
func (f Figures) String() string {
	return fmt.Sprintf("%d requests, %d rejected, %d lost, %d duplicates | engines %.2f, %.2f | all %.2f, %.2f | "+
		"wait %.4f, %.3f | busy %.2f to %.2f | polls %.1f | joined %.2f and %.2f after %.2f, slow start load %.2f",
		f.Requests, f.Rejected, f.Lost, f.Duplicates,
		f.EngineEvenness, f.EngineEvennessP99, f.TotalEvenness, f.TotalEvennessP99,
		f.MeanWait, f.WaitP99, f.MinBusy, f.MaxBusy, f.PollRate,
		f.MeanHerd, f.MaxHerd, f.FirstRequestDelay, f.SlowStartLoad)
}

// recordBusyShares records the share of busy cores of each engine in the last second.
func (s *Simulation) recordBusyShares() {
	f := &s.figures
	for i, e := range s.Engines {
		if i == len(f.BusyShares) {
			f.BusyShares = append(f.BusyShares, make([]float64, max(int(s.Now())-1, 0)))
		}
		busy := e.busyTime(s.now)
		f.BusyShares[i] = append(f.BusyShares[i], (busy-e.recordedBusy)/engineCores)
		e.recordedBusy = busy
	}
}

// recordBusyTimes records the busy times of the engines that existed from the start.
func (s *Simulation) recordBusyTimes() {
	for _, e := range s.Engines[:s.Scenario.Engines] {
		s.busyTimes = append(s.busyTimes, e.busyTime(s.now))
	}
}

// summarize computes the figures.
func (s *Simulation) summarize() Figures {
	f := &s.figures
	f.Requests, f.Completed = len(s.arrivals), len(s.totalWaits)
	f.Lost = f.Requests - f.Completed - f.Rejected
	f.MeanWait, f.WaitP99 = Mean(s.totalWaits), Quantile(s.totalWaits, 0.99)
	f.MinBusy, f.MaxBusy = LoadRange(s.busyTimes)
	s.compareWaits()
	s.summarizeJoins()
	return *f
}

// compareWaits computes the evenness by comparing the waits with those of the random and of the central choice.
func (s *Simulation) compareWaits() {
	f, engines := &s.figures, s.comparedEngines()
	random, central := RandomWaits(engines, s.arrivals, s.Seed), CentralWaits(engines, s.arrivals)
	p99 := func(waits []float64) float64 { return Quantile(waits, 0.99) }
	f.EngineEvenness = Evenness(Mean(s.engineWaits), Mean(random), Mean(central))
	f.EngineEvennessP99 = Evenness(p99(s.engineWaits), p99(random), p99(central))
	f.TotalEvenness = Evenness(Mean(s.totalWaits), Mean(random), Mean(central))
	f.TotalEvennessP99 = Evenness(p99(s.totalWaits), p99(random), p99(central))
}

// comparedEngines returns the engines that existed from the start.
func (s *Simulation) comparedEngines() Fleet {
	engines := Fleet{Count: s.Scenario.Engines, Cores: engineCores, Speed: 1}
	if s.Machine != nil {
		for _, e := range s.Engines[:s.Scenario.Engines] {
			engines.Speeds = append(engines.Speeds, e.Speed)
		}
	}
	return engines
}

// summarizeJoins computes the poll rate and the figures of engines that joined.
func (s *Simulation) summarizeJoins() {
	f, n := &s.figures, float64(len(s.Engines))
	share, joined := s.arrivalRate()/n, 0.0
	for _, e := range s.Engines {
		f.PollRate += float64(e.polls) / s.Duration / n
		if e.joinedAt == 0 {
			continue
		}
		joined++
		count, delay := e.firstSecond()
		f.MeanHerd += count / share
		f.MaxHerd = max(f.MaxHerd, count/share)
		f.FirstRequestDelay = max(f.FirstRequestDelay, delay)
	}
	f.MeanHerd /= max(joined, 1)
}

// firstSecond returns, for an engine that joined, the number of attempts in the second after its first one, and the time in
// seconds until the first one.
func (e *Engine) firstSecond() (count, delay float64) {
	delay = math.Inf(1)
	for _, at := range e.arrivals {
		if delay = min(delay, at-e.joinedAt); at < e.joinedAt+delay+1 {
			count++
		}
	}
	return count, delay
}
