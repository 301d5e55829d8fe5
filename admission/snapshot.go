package admission

import (
	"math"
	"slices"
)

// LearnedState is what a gateway has learned of a deployment, for a later process of it. What it holds against an engine
// belongs to one process of that engine, which its start tells.
type LearnedState struct {
	Version           int             `msgpack:"Version"`
	UsualGrantedShare float64         `msgpack:"UsualRead"`
	Classes           []LearnedClass  `msgpack:"Classes"`
	Engines           []LearnedEngine `msgpack:"Engines"`
}

// LearnedClass is what was learned of a workload class, in the order of the settings.
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

// LearnedEngine is what was learned of an engine's process.
type LearnedEngine struct {
	ID             uint32  `msgpack:"ID"`
	StartedAt      float64 `msgpack:"Up"`
	Slowdown       float64 `msgpack:"Slow"`
	EjectionLeft   float64 `msgpack:"Rest"`   // seconds, where it is suspected
	EjectionLength float64 `msgpack:"Length"` // seconds of its latest ejection
	Suspected      bool    `msgpack:"Doubted"`
}

const (
	learnedVersion  = 1    // of LearnedState; another is not restored
	maxLearnedValue = 1e12 // past which a value is taken as damaged
)

// ExportLearned returns what was learned.
func (c *Controller) ExportLearned(now float64) LearnedState {
	state := LearnedState{Version: learnedVersion, UsualGrantedShare: c.usualGrantedShare}
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

// RestoreLearned takes back what an earlier process had learned, so many seconds ago. Sums over answers weigh the less the
// older they are, and figures go back to the first guesses: half of the way in each half-life. It returns false, and changes
// nothing, for a state of another version, of other classes or with damaged values. Endpoints have to be told before.
func (c *Controller) RestoreLearned(now, age, halfLife float64, state LearnedState) bool {
	if !c.canRestore(age, halfLife, state) {
		return false
	}
	c.now = now
	weight := math.Exp2(-max(age, 0) / halfLife)
	c.usualGrantedShare = blend(c.usualGrantedShare, min(max(state.UsualGrantedShare, 0), maxReportedShare), weight)
	for i, learned := range state.Classes {
		c.classes[i].restore(learned, weight)
	}
	for _, learned := range state.Engines {
		e := c.endpoints.engines[learned.ID]
		if e != nil && e.startedAt == learned.StartedAt && learned.isSound() {
			c.restoreEngine(e, learned, age, weight)
		}
	}
	c.applyRules()
	return true
}

// canRestore tells whether the state is of this version and of as many classes, and all values are sound.
func (c *Controller) canRestore(age, halfLife float64, state LearnedState) bool {
	if state.Version != learnedVersion || len(state.Classes) != len(c.classes) {
		return false
	}
	if !areSound(state.UsualGrantedShare, age) || !(halfLife > 0) {
		return false
	}
	return !slices.ContainsFunc(state.Classes, func(l LearnedClass) bool { return !l.isSound() })
}

func (l LearnedClass) isSound() bool {
	return areSound(l.EstimatedWork, l.NeededWork, l.NeededMemory, l.Answers, l.EstimatedAnswers, l.LogRatios,
		l.SquaredLogRatios, l.Slowdown, l.MeanWork) &&
		l.MeanWork > 0 && l.Slowdown > 0 &&
		min(l.EstimatedWork, l.NeededWork, l.NeededMemory, l.Answers, l.EstimatedAnswers, l.SquaredLogRatios) >= 0
}

func (l LearnedEngine) isSound() bool {
	return areSound(l.Slowdown, l.EjectionLeft, l.EjectionLength) && l.Slowdown > 0
}

// areSound tells whether all values are numbers within bounds.
func areSound(values ...float64) bool {
	return !slices.ContainsFunc(values, func(v float64) bool {
		return math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > maxLearnedValue
	})
}

// blend goes from a value toward a learned one by its weight.
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

// restoreEngine takes back the engine's pace and the rest of its ejection, no more than it had left.
func (c *Controller) restoreEngine(e *engine, learned LearnedEngine, age, weight float64) {
	e.slowdown = blend(e.slowdown, min(learned.Slowdown, maxEngineSlowdown), weight)
	left := min(learned.EjectionLeft, maxEjection) - age
	if learned.Suspected && left > 0 && c.mayEject() {
		e.suspected = true
		e.ejectedUntil = c.now + left
		e.ejectionLength = min(max(learned.EjectionLength, minEjection), maxEjection)
	}
}

// Restarted tells that an earlier process of this gateway ended a moment ago, and how many retries of it lie in the window.
// What it had sent to engines that warm up, and which ordered keys had attempts in flight, is not known: such engines get
// nothing for their window, and keys rest.
func (c *Controller) Restarted(now float64, recentRetries float64) {
	c.now = now
	c.keysBlockedUntil = now + c.settings.OrderedKeyBackoff
	c.slowStartBlockedUntil = now + c.settings.SlowStartBudgetWindow
	c.retries.add(now, recentRetries)
	c.applyRules()
}
