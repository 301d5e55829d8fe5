package balance

import (
	"cmp"

	"copperrock.example/copperrock/admission"
)

// Size of each engine.
const (
	engineCores  = 4
	engineMemory = 4096 // MB
)

// Scenario describes a fleet, its load and the events of a simulation.
type Scenario struct {
	Seed          uint64
	Controllers   int
	Engines       int
	Zones         int     // zones to which controllers are assigned in turn; 1 if 0
	Duration      float64 // seconds during which requests arrive
	MeanWork      float64 // mean work of a request
	Utilization   float64 // work that arrives, relative to the capacity of all cores
	EstimateRatio float64 // estimated work relative to actual work; 1 if 0
	HalfAtFirst   bool    // the first controller gets half of the traffic

	// Settings are the settings of each controller. The scenario itself sets machine types, gateway indexes, what engines and
	// controllers may do, the retry budget, and one workload class if there is none.
	Settings   admission.Settings
	Unreported Unreported          // figures that no engine reports
	Machine    func(i int) Machine // machine of the i-th engine; nil if all are the default Machine{}
	Events     []Event
}

// Unreported selects figures that load reports omit.
type Unreported struct {
	Waiting, CPU, Memory bool
}

// Machine describes an engine, which has 4 cores and 4 GB.
type Machine struct {
	Speed, Weight float64 // 1 if 0
	Zone          int
	Fault         EngineFault
	ReportFault   ReportFault
}

// EngineFault is a fault of an engine.
type EngineFault int

// The faults of an engine.
const (
	Healthy  EngineFault = iota
	Hangs                // accepts attempts and never answers
	FailsAll             // fails every attempt at once
)

// ReportFault is a fault of an engine's load reports.
type ReportFault int

// The faults of load reports.
const (
	Accurate   ReportFault = iota
	Frozen                 // all reports repeat the first one
	Delayed                // reports are three seconds old
	Invalid                // reports contain NaN, infinity and extreme values
	AlwaysIdle             // reports claim that the engine is idle
)

// Event changes the fleet at a time, in seconds since the start.
type Event struct {
	At    float64
	Apply func(s *Simulation)
}

// withDefaults sets the defaults, and the settings that are the same in all scenarios.
func (d Scenario) withDefaults() Scenario {
	d.EstimateRatio = cmp.Or(d.EstimateRatio, 1)
	d.Zones = max(d.Zones, 1)
	settings := &d.Settings
	if len(settings.Classes) == 0 {
		settings.Classes = []admission.Class{{LatencyObjective: 20, PriorityWeight: 1}}
	}
	for i := range settings.Classes {
		settings.Classes[i].Threads = 1
	}
	settings.MachineTypes = []admission.MachineType{{Cores: engineCores, Memory: engineMemory}}
	settings.GatewayCount = d.Controllers
	settings.MaxAttempts = 3
	settings.MayCancel, settings.MayHedge = true, true
	settings.EnginesTakeGrants = true
	settings.EnginesReportMemory = !d.Unreported.Memory
	settings.RetryBudgetFree, settings.RetryBudgetRatio, settings.RetryBudgetWindow = 10, 0.2, 10
	settings.MinPolledWork = cmp.Or(settings.MinPolledWork, 0.02)
	return d
}

// arrivalRate returns the number of requests per second of all clients.
func (d Scenario) arrivalRate() float64 {
	return d.Utilization * float64(d.Engines) * engineCores / d.MeanWork
}
