package fleet

import (
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/fleet/state"
)

// Status is the fleet's state as a voter knows it, for operators.
type Status struct {
	Voter         uint64             `msgpack:"Voter"`
	Leader        uint64             `msgpack:"Leader"`
	Term          uint64             `msgpack:"Term"`
	IsLeader      bool               `msgpack:"Leads"`
	Syncs         uint64             `msgpack:"Syncs"` // number of syncs of the voter's raft log since its start
	Generation    uint64             `msgpack:"Generation"`
	Failed        string             `msgpack:"Failed"`
	Controllers   []ControllerStatus `msgpack:"Controllers"`
	Quantities    []QuantityStatus   `msgpack:"Quantities"`
	Voters        []uint64           `msgpack:"Voters"`
	Tasks         []TaskStatus       `msgpack:"Duties"`
	ScheduledJobs []JobStatus        `msgpack:"Jobs"`
	Overrides     []state.Override   `msgpack:"Orders"`
}

// ControllerStatus is the state of one controller.
type ControllerStatus struct {
	Name            string `msgpack:"Name"`
	Incarnation     uint64 `msgpack:"Inc"`
	Index           int    `msgpack:"Index"`
	Replaced        bool   `msgpack:"Replaced"`
	AppliedOverride uint64 `msgpack:"Orders"` // number of the latest override that it has reported to this voter as applied
}

// QuantityStatus is a quantity with all its allocations.
type QuantityStatus struct {
	Name         string             `msgpack:"Name"`
	Total        float64            `msgpack:"Whole"`
	FloorReserve float64            `msgpack:"Aside"`
	Allocations  []AllocationStatus `msgpack:"Parts"`
}

// AllocationStatus is a controller's allocation of a quantity.
type AllocationStatus struct {
	Controller  string  `msgpack:"Controller"`
	Incarnation uint64  `msgpack:"Inc"`
	Amount      float64 `msgpack:"Amount"`
	Committed   float64 `msgpack:"Bound"`
	Used        float64 `msgpack:"Used"`   // amount in use, as last reported to this voter
	Wanted      float64 `msgpack:"Wanted"` // demand, as last reported to this voter
}

// TaskStatus is a shared task with the owners of its shards.
type TaskStatus struct {
	Name   string   `msgpack:"Name"`
	Owners []string `msgpack:"Owners"` // controllers' names by shard, "" for none
	Fences []uint64 `msgpack:"Fences"` // fencing tokens by shard
}

// JobStatus is a scheduled job with its runs.
type JobStatus struct {
	Name    string      `msgpack:"Name"`
	LastDue int64       `msgpack:"Last"` // latest due time that was claimed or skipped, in Unix seconds
	Runs    []state.Run `msgpack:"Runs"`
}

// status returns the voter's status. It is called from the voter's goroutine.
func (v *voter) status() Status {
	machine := v.core.Machine()
	status := Status{
		Voter:       v.options.voterID(),
		Leader:      v.core.Leader(),
		Term:        v.core.Term(),
		IsLeader:    v.core.IsLeader(),
		Generation:  machine.Generation,
		Syncs:       v.file.Syncs(),
		Controllers: v.controllerStatus(machine),
		Quantities:  v.quantityStatus(machine),
		Voters:      v.core.Voters(),
		Tasks:       taskStatus(machine),
		Overrides:   machine.SortedOverrides(),
	}
	for _, name := range slices.Sorted(maps.Keys(machine.ScheduledJobs)) {
		job := machine.ScheduledJobs[name]
		status.ScheduledJobs = append(status.ScheduledJobs, JobStatus{Name: name, LastDue: job.LastDue, Runs: job.Runs})
	}
	return status
}

func (v *voter) controllerStatus(machine *state.Machine) (all []ControllerStatus) {
	for _, controller := range machine.SortedControllers() {
		all = append(all, ControllerStatus{
			Name:            controller.Name,
			Incarnation:     controller.Incarnation,
			Index:           controller.Index,
			Replaced:        controller.Replaced,
			AppliedOverride: v.core.AppliedOverride(controller.ControllerID),
		})
	}
	return all
}

func (v *voter) quantityStatus(machine *state.Machine) (all []QuantityStatus) {
	for _, name := range slices.Sorted(maps.Keys(machine.Quantities)) {
		quantity := QuantityStatus{Name: name}
		quantity.Total, quantity.FloorReserve = machine.Total(name)
		for _, controller := range machine.SortedControllers() {
			held, exists := controller.Allocations[name]
			if !exists {
				continue
			}
			demand := v.core.Demand(controller.ControllerID, name)
			quantity.Allocations = append(quantity.Allocations, AllocationStatus{
				Controller:  controller.Name,
				Incarnation: controller.Incarnation,
				Amount:      held.Amount,
				Committed:   held.Committed,
				Used:        demand.Used,
				Wanted:      demand.Wanted,
			})
		}
		all = append(all, quantity)
	}
	return all
}

func taskStatus(machine *state.Machine) (all []TaskStatus) {
	for _, task := range machine.Tasks() {
		status := TaskStatus{Name: task.Name}
		for _, shard := range machine.Shards[task.Name] {
			status.Owners = append(status.Owners, shard.Owner.Name)
			status.Fences = append(status.Fences, shard.Fence)
		}
		all = append(all, status)
	}
	return all
}
