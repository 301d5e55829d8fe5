package balance

import (
	"cmp"

	"copperrock.example/copperrock/admission"
)

// Size of an engine.
const (
	engineCores  = 4
	engineMemory = 4096 // MB
)

// Scenario is a fleet and what happens to it.
type Scenario struct {
	Seed          uint64
	Controllers   int
	Engines       int
	Zones         int     // of the controllers, in turn; 1 where 0
	Duration      float64 // seconds for which requests arrive
	MeanWork      float64 // of a request
	Utilization   float64 // work that arrives over what all engines' cores can do
	EstimateRatio float64 // estimated over true work, 1 where 0
	HalfAtFirst   bool    // one controller has half of the traffic

	// Settings are those of each controller, but for what the scenario itself sets: machine types, indexes, what engines
	// and the controllers may do, the retry budget, and one workload class where none is named.
	Settings   admission.Settings
	Unreported Unreported          // what no engine reports
	Machine    func(i int) Machine // the i-th engine's; nil where all are alike
	Events     []Event
}

// Unreported names the figures that load reports leave out.
type Unreported struct {
	Waiting, CPU, Memory bool
}

// Machine is an engine of 4 cores and 4 GB.
type Machine struct {
	Speed, Weight float64 // 1 where 0
	Zone          int
	Fault         EngineFault
	ReportFault   ReportFault
}

// EngineFault is what is wrong with an engine.
type EngineFault int

// The faults of an engine.
const (
	Healthy  EngineFault = iota
	Hangs                // says nothing of what it takes
	FailsAll             // fails every request at once
)

// ReportFault is what is wrong with an engine's load reports.
type ReportFault int

// The faults of load reports.
const (
	Accurate   ReportFault = iota
	Frozen                 // all are as the first one
	Delayed                // three seconds old
	Invalid                // NaN and beyond all bounds
	AlwaysIdle             // tell of nothing to do
)

// Event is something done to the fleet at a time since the start.
type Event struct {
	At    float64
	Apply func(s *Simulation)
}

// withDefaults fills in what every controller has alike.
func (d Scenario) withDefaults() Scenario {
	d.EstimateRatio = cmp.Or(d.EstimateRatio, 1)
	d.Zones = max(d.Zones, 1)
	set := &d.Settings
	if len(set.Classes) == 0 {
		set.Classes = []admission.Class{{LatencyObjective: 20, PriorityWeight: 1}}
	}
	for i := range set.Classes {
		set.Classes[i].Threads = 1
	}
	set.MachineTypes = []admission.MachineType{{Cores: engineCores, Memory: engineMemory}}
	set.GatewayCount = d.Controllers
	set.MaxAttempts = 3
	set.MayCancel, set.MayHedge = true, true
	set.EnginesTakeGrants = true
	set.EnginesReportMemory = !d.Unreported.Memory
	set.RetryBudgetFree, set.RetryBudgetRatio, set.RetryBudgetWindow = 10, 0.2, 10
	set.MinPolledWork = cmp.Or(set.MinPolledWork, 0.02)
	return d
}

// arrivalRate is how many requests a second all clients send.
func (d Scenario) arrivalRate() float64 {
	return d.Utilization * float64(d.Engines) * engineCores / d.MeanWork
}
