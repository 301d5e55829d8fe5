package admission

import (
	"cmp"
	"math"
)

const (
	maxGrantShare      = 0.25 // of an engine's memory, unless the settings name less
	fillThreadsPerCore = 3    // the least grant lets so many threads a core fill the memory, so that cores don't thrash
	meanNeedMargin     = 1.8  // times the mean need, for requests without an estimate
)

// grant is the memory that an attempt names, 0 for none, and what the tallies count for it, in MB.
func (c *Controller) grant(r *request, machine MachineType) (named, counted float64) {
	class := r.class
	most := machine.Memory * min(maxGrantShare, cmp.Or(c.settings.MaxGrantShare, 1))
	least := min(machine.Memory*class.Threads/(fillThreadsPerCore*machine.Cores), most)
	switch {
	case r.estimatedMemory > 0:
		named = min(max(class.memoryMargin()*r.estimatedMemory, least), most)
	case class.answers > 0:
		named = min(max(meanNeedMargin*class.neededMemory/class.answers, least), most)
	default:
		return 0, least
	}
	return named, named
}

// MaxGrant is the most memory that a request of a class would be granted now on any machine type, in MB.
func (c *Controller) MaxGrant(class int, estimatedMemory float64) float64 {
	most := 0.0
	r := &request{class: c.classes[class], estimatedMemory: estimatedMemory}
	for _, machine := range c.settings.MachineTypes {
		_, counted := c.grant(r, machine)
		most = max(most, counted)
	}
	return most
}

const (
	priorAnswers  = 5   // answers' worth of belief in the prior
	priorSpread   = 0.4 // standard deviation of the logarithm of memory needed over estimated, before answers tell
	marginSpreads = 0.8 // standard deviations over the mean, where eight needs in ten lie
)

// memoryMargin is what a grant is over the estimate: the usual need over it, as answers told, and some of the spread more.
// More wastes memory, less has requests spill.
func (class *classState) memoryMargin() float64 {
	n := priorAnswers + class.estimatedAnswers
	mean := class.logRatios / n
	return math.Exp(mean + marginSpreads*math.Sqrt((class.squaredLogRatios+priorAnswers*priorSpread*priorSpread)/n-mean*mean))
}
