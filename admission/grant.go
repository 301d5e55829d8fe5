package admission

import (
	"cmp"
	"math"
)

const (
	maxGrantShare      = 0.25 // largest share of an engine's memory per request, unless the settings set a lower one
	fillThreadsPerCore = 3    // the smallest grants fill the memory at this many threads per core, so that cores don't thrash
	meanNeedMargin     = 1.8  // multiple of the mean need that is granted to a request without an estimate
)

// grant returns the memory grant that an attempt asks for, 0 for none, and the memory that is booked for it, both in MB.
func (c *Controller) grant(r *request, machine MachineType) (granted, booked float64) {
	class := r.class
	maxMemory := machine.Memory * min(maxGrantShare, cmp.Or(c.settings.MaxGrantShare, 1))
	minMemory := min(machine.Memory*class.Threads/(fillThreadsPerCore*machine.Cores), maxMemory)
	switch {
	case r.estimatedMemory > 0:
		granted = min(max(class.memoryMargin()*r.estimatedMemory, minMemory), maxMemory)
	case class.answers > 0:
		granted = min(max(meanNeedMargin*class.neededMemory/class.answers, minMemory), maxMemory)
	default:
		return 0, minMemory
	}
	return granted, granted
}

// MaxGrant returns the largest grant, in MB, that a request of the class with this estimate would get now on any machine type.
func (c *Controller) MaxGrant(class int, estimatedMemory float64) float64 {
	largest := 0.0
	r := &request{class: c.classes[class], estimatedMemory: estimatedMemory}
	for _, machine := range c.settings.MachineTypes {
		_, booked := c.grant(r, machine)
		largest = max(largest, booked)
	}
	return largest
}

const (
	priorAnswers  = 5   // weight of the prior, in answers
	priorStdDev   = 0.4 // standard deviation of ln(memory needed / memory estimated) until there are answers
	marginStdDevs = 0.8 // standard deviations above the mean, below which eight needs in ten lie
)

// memoryMargin returns the ratio of a grant to the estimate: the usual ratio of needed to estimated memory, as learned from
// answers, plus a part of its spread. A larger margin wastes memory; with a smaller one, requests spill.
func (class *classState) memoryMargin() float64 {
	n := priorAnswers + class.estimatedAnswers
	mean := class.logRatios / n
	return math.Exp(mean + marginStdDevs*math.Sqrt((class.squaredLogRatios+priorAnswers*priorStdDev*priorStdDev)/n-mean*mean))
}
