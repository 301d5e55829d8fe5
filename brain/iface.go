// Package brain decides where and when each job of a gateway runs. brain.go
// holds the decisions; this file is what passes in and out of them.
package brain

// Effect tells what a repeat of a job may do.
type Effect int

const (
	Restartable Effect = iota
	Keyed
	RunOnce
)

// Group tells which engines drop the repeats of a keyed job.
type Group int

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Status tells how a dispatch or a probe ended.
type Status int

const (
	Done Status = iota
	Failed
	Full
	TimedOut
	NoConnection
	Reset
	CalledOff
	Moot
)

// ListMode tells what a roster message holds.
type ListMode int

const (
	Changes ListMode = iota
	Whole
	Cached
	Missing
)

// Settings are what the module reads of a deployment, decoded once at start.
// Times are seconds, memory is megabytes.
type Settings struct {
	Index, Gateways, Zone                    int
	AskRoster, MayCancel, MayCopy, MayProbe  bool
	Grants, Priorities, Line                 bool
	MostDispatches                           int
	MostComeBack, Grace                      float64
	Cold, ColdFrom, FallMultiple, FallWindow float64
	KeyRest                                  float64
	ExtraFree, ExtraShare, ExtraWindow       float64
	OverWorth, LargestShare                  float64
	Kinds                                    []Kind
	Classes                                  []Class
	Tenants                                  []float64 // jobs a second within each share, over all gateways
}

// Kind is a kind of machine.
type Kind struct {
	Cores, Memory float64
}

// Class is a reservation type. Zones and Kinds, where not nil, bind it.
type Class struct {
	Aim, Stretch, Timeout, Worth, Late, Window float64
	Effect                                     Effect
	Group                                      Group
	InOrder, Load, Waits                       bool
	Threads                                    float64
	Zones, Kinds                               []int
}

// Actions is the way out. Jobs and engines go by the ids they came in with.
type Actions interface {
	Dispatch(job, engine uint32, timeout float64)
	Terms(job uint32, priority uint8, grant float64)
	Throttle(job uint32, comeBack float64)
	CancelForGood(job uint32)
	CallOff(job uint32, dispatch int)
	Probe(engine uint32)
	Watch()
	Wake(after float64)
}
