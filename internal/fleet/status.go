package fleet

import (
	"cmp"
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/state"
)

// Status is what a voter knows, for operators.
type Status struct {
	Voter         uint64             `msgpack:"Voter"`
	Leader        uint64             `msgpack:"Leader"`
	Term          uint64             `msgpack:"Term"`
	IsLeader      bool               `msgpack:"Leads"`
	Syncs         uint64             `msgpack:"Syncs"` // of its disk, since its start
	Generation    uint64             `msgpack:"Generation"`
	Failed        string             `msgpack:"Failed"`
	Controllers   []ControllerStatus `msgpack:"Controllers"`
	Quantities    []QuantityStatus   `msgpack:"Quantities"`
	Voters        []uint64           `msgpack:"Voters"`
	Tasks         []TaskStatus       `msgpack:"Duties"`
	ScheduledJobs []JobStatus        `msgpack:"Jobs"`
	Overrides     []state.Override   `msgpack:"Orders"`
}

// ControllerStatus is a controller as the ledger has it.
type ControllerStatus struct {
	Name            string `msgpack:"Name"`
	Incarnation     uint64 `msgpack:"Inc"`
	Index           int    `msgpack:"Index"`
	Replaced        bool   `msgpack:"Replaced"`
	AppliedOverride uint64 `msgpack:"Orders"` // the latest that it has taken up, as the leader was told
}

// QuantityStatus is a quantity with all parts.
type QuantityStatus struct {
	Name         string             `msgpack:"Name"`
	Total        float64            `msgpack:"Whole"`
	FloorReserve float64            `msgpack:"Aside"`
	Allocations  []AllocationStatus `msgpack:"Parts"`
}

// AllocationStatus is a holding.
type AllocationStatus struct {
	Controller  string  `msgpack:"Controller"`
	Incarnation uint64  `msgpack:"Inc"`
	Amount      float64 `msgpack:"Amount"`
	Committed   float64 `msgpack:"Bound"`
	Used        float64 `msgpack:"Used"` // as told of late
	Wanted      float64 `msgpack:"Wanted"`
}

// TaskStatus is a duty with the owners of its slices, by name.
type TaskStatus struct {
	Name   string   `msgpack:"Name"`
	Owners []string `msgpack:"Owners"` // "" for none
	Fences []uint64 `msgpack:"Fences"`
}

// JobStatus is a scheduled job.
type JobStatus struct {
	Name    string      `msgpack:"Name"`
	LastDue int64       `msgpack:"Last"`
	Runs    []state.Run `msgpack:"Runs"`
}

func (v *voter) status() (view Status) {
	l := v.core.Machine()
	view = Status{Voter: v.options.voterID(), Leader: v.core.Leader(), Term: v.core.Term(), IsLeader: v.core.IsLeader(), Generation: l.Generation, Syncs: v.file.Syncs()}
	for _, c := range l.SortedControllers() {
		view.Controllers = append(view.Controllers, ControllerStatus{c.Name, c.Incarnation, c.Index, c.Replaced, v.core.AppliedOverride(c.ControllerID)})
	}
	view.Voters, view.Overrides = v.core.Voters(), l.SortedOverrides()
	for _, d := range l.Tasks() {
		one := TaskStatus{Name: d.Name}
		for _, s := range l.Shards[d.Name] {
			one.Owners, one.Fences = append(one.Owners, s.Owner.Name), append(one.Fences, s.Fence)
		}
		view.Tasks = append(view.Tasks, one)
	}
	for _, name := range slices.Sorted(maps.Keys(l.ScheduledJobs)) {
		view.ScheduledJobs = append(view.ScheduledJobs, JobStatus{name, l.ScheduledJobs[name].LastDue, l.ScheduledJobs[name].Runs})
	}
	for _, q := range v.options.sorted(l.Quantities) {
		one := QuantityStatus{Name: q.Name}
		one.Total, one.FloorReserve = l.Total(q.Name)
		for _, c := range l.SortedControllers() {
			if h, holds := c.Allocations[q.Name]; holds {
				d := v.core.Demand(c.ControllerID, q.Name)
				one.Allocations = append(one.Allocations, AllocationStatus{Controller: c.Name, Incarnation: c.Incarnation, Amount: h.Amount, Committed: h.Committed, Used: d.Used, Wanted: d.Wanted})
			}
		}
		view.Quantities = append(view.Quantities, one)
	}
	return view
}

// sorted lists quantities by name.
func (f *Options) sorted(all map[string]state.Quantity) []state.Quantity {
	return slices.SortedFunc(maps.Values(all), func(x, y state.Quantity) int { return cmp.Compare(x.Name, y.Name) })
}
