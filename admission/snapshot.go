package admission

import (
	"math"
	"slices"
)

// LearnedState is what a gateway has learned about a deployment, for a later process of the same gateway. What is held against
// an engine applies to one process of that engine, which is identified by its start time.
type LearnedState struct {
	Version             int             `msgpack:"Version"`
	AverageGrantedShare float64         `msgpack:"UsualRead"`
	Classes             []LearnedClass  `msgpack:"Classes"`
	Engines             []LearnedEngine `msgpack:"Engines"`
}

// LearnedClass is what was learned about a workload class. Classes are in the order of the settings.
type LearnedClass struct {
	EstimatedWork    float64 `msgpack:"Told"`
	NeededWork       float64 `msgpack:"Work"`
	NeededMemory     float64 `msgpack:"Memory"`
	Answers          float64 `msgpack:"Answers"`
	EstimatedAnswers float64 `msgpack:"Rated"`
	LogRatios        float64 `msgpack:"Logs"`
	SquaredLogRatios float64 `msgpack:"Squares"`
	Slowdown         float64 `msgpack:"Slow"`
	MeanWork         float64 `msgpack:"Mean"`
}

// LearnedEngine is what was learned about one process of an engine.
type LearnedEngine struct {
	ID             uint32  `msgpack:"ID"`
	StartedAt      float64 `msgpack:"Up"`
	Slowdown       float64 `msgpack:"Slow"`
	EjectionLeft   float64 `msgpack:"Rest"`   // remaining seconds of its ejection, if it is suspected
	EjectionLength float64 `msgpack:"Length"` // length of its latest ejection in seconds
	Suspected      bool    `msgpack:"Doubted"`
}

const (
	learnedVersion  = 1    // version of LearnedState; other versions are not restored
	maxLearnedValue = 1e12 // magnitude above which a value is taken to be damaged
)

// ExportLearned returns what was learned so far.
func (c *Controller) ExportLearned(now float64) LearnedState {
	state := LearnedState{Version: learnedVersion, AverageGrantedShare: c.averageGrantedShare}
	for _, class := range c.classes {
		state.Classes = append(state.Classes, class.export())
	}
	for _, e := range c.endpoints.ready {
		if e.suspected || e.slowdown != 1 {
			state.Engines = append(state.Engines, e.export(now))
		}
	}
	return state
}

func (class *classState) export() LearnedClass {
	return LearnedClass{
		EstimatedWork:    class.estimatedWork,
		NeededWork:       class.neededWork,
		NeededMemory:     class.neededMemory,
		Answers:          class.answers,
		EstimatedAnswers: class.estimatedAnswers,
		LogRatios:        class.logRatios,
		SquaredLogRatios: class.squaredLogRatios,
		Slowdown:         class.slowdown,
		MeanWork:         class.meanWork,
	}
}

func (e *engine) export(now float64) LearnedEngine {
	return LearnedEngine{
		ID:             e.id,
		StartedAt:      e.startedAt,
		Slowdown:       e.slowdown,
		EjectionLeft:   max(e.ejectedUntil-now, 0),
		EjectionLength: e.ejectionLength,
		Suspected:      e.suspected,
	}
}

// RestoreLearned restores what an earlier process had learned, age seconds ago. The weight of the learned state halves with
// every halfLife seconds of age: sums over answers are multiplied by the weight, and other figures move by it from their
// initial values toward the learned ones. RestoreLearned returns false, and changes nothing, for a state of another version, with
// another number of classes or with damaged values of classes. An entry of an engine is skipped if its values are damaged or if
// the engine's process has been started again. The endpoint list must have been received before.
func (c *Controller) RestoreLearned(now, age, halfLife float64, state LearnedState) bool {
	if !c.canRestore(age, halfLife, state) {
		return false
	}
	c.now = now
	weight := math.Exp2(-max(age, 0) / halfLife)
	c.averageGrantedShare = blend(c.averageGrantedShare, min(max(state.AverageGrantedShare, 0), maxReportedShare), weight)
	for i, learned := range state.Classes {
		c.classes[i].restore(learned, weight)
	}
	for _, learned := range state.Engines {
		e := c.endpoints.engines[learned.ID]
		if e != nil && e.startedAt == learned.StartedAt && learned.isValid() {
			c.restoreEngine(e, learned, age, weight)
		}
	}
	c.applyRules()
	return true
}

// canRestore reports whether the state has this version, as many classes as the settings, and only valid values.
func (c *Controller) canRestore(age, halfLife float64, state LearnedState) bool {
	if state.Version != learnedVersion || len(state.Classes) != len(c.classes) {
		return false
	}
	if !areValid(state.AverageGrantedShare, age) || !(halfLife > 0) {
		return false
	}
	return !slices.ContainsFunc(state.Classes, func(l LearnedClass) bool { return !l.isValid() })
}

func (l LearnedClass) isValid() bool {
	return areValid(l.EstimatedWork, l.NeededWork, l.NeededMemory, l.Answers, l.EstimatedAnswers, l.LogRatios,
		l.SquaredLogRatios, l.Slowdown, l.MeanWork) &&
		l.MeanWork > 0 && l.Slowdown > 0 &&
		min(l.EstimatedWork, l.NeededWork, l.NeededMemory, l.Answers, l.EstimatedAnswers, l.SquaredLogRatios) >= 0
}

func (l LearnedEngine) isValid() bool {
	return areValid(l.Slowdown, l.EjectionLeft, l.EjectionLength) && l.Slowdown > 0
}

// areValid reports whether all values are finite and at most maxLearnedValue in magnitude.
func areValid(values ...float64) bool {
	return !slices.ContainsFunc(values, func(v float64) bool {
		return math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > maxLearnedValue
	})
}

// blend moves value toward learned by the given weight.
func blend(value, learned, weight float64) float64 { return value + weight*(learned-value) }

func (class *classState) restore(learned LearnedClass, weight float64) {
	class.estimatedWork = weight * learned.EstimatedWork
	class.neededWork = weight * learned.NeededWork
	class.neededMemory = weight * learned.NeededMemory
	class.answers = weight * learned.Answers
	class.estimatedAnswers = weight * learned.EstimatedAnswers
	class.logRatios = weight * learned.LogRatios
	class.squaredLogRatios = weight * learned.SquaredLogRatios
	class.slowdown = blend(class.slowdown, min(learned.Slowdown, maxClassSlowdown), weight)
	class.meanWork = blend(class.meanWork, learned.MeanWork, weight)
}

// restoreEngine restores the engine's slowdown and the rest of its ejection, which ends no later than it would have without the
// restart.
func (c *Controller) restoreEngine(e *engine, learned LearnedEngine, age, weight float64) {
	e.slowdown = blend(e.slowdown, min(learned.Slowdown, maxEngineSlowdown), weight)
	remaining := min(learned.EjectionLeft, maxEjection) - age
	if learned.Suspected && remaining > 0 && c.mayEject() {
		e.suspected = true
		e.ejectedUntil = c.now + remaining
		e.ejectionLength = min(max(learned.EjectionLength, minEjection), maxEjection)
	}
}

// Restarted tells the controller that an earlier process of this gateway ended a moment ago, after it had started recentRetries
// retries within the window. It is not known what that process had sent to engines that are warming up, nor which ordered keys
// had attempts in flight. So such engines get nothing for their budget window, and ordered keys are blocked for
// OrderedKeyBackoff.
func (c *Controller) Restarted(now float64, recentRetries float64) {
	c.now = now
	c.keysBlockedUntil = now + c.settings.OrderedKeyBackoff
	c.slowStartBlockedUntil = now + c.settings.SlowStartBudgetWindow
	c.retries.add(now, recentRetries)
	c.applyRules()
}
