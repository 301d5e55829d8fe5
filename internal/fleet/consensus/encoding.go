package consensus

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/internal/fleet/state"
)

// snapshotFormat is the format of the state in snapshots: 2 since it holds the voters' generation, tasks, jobs, overrides
// and lists. Format 1, which had none of them, is read.
const snapshotFormat = 2

// snapshotRecord is the state as a snapshot holds it, in one order, so that all voters have the same bytes. Its MessagePack
// names, and those of the records in it, are part of the format.
type snapshotRecord struct {
	Format          int                `msgpack:"Format"`
	Generation      uint64             `msgpack:"Generation"`
	AppliedCommands uint64             `msgpack:"Applied"`
	Quantities      []state.Quantity   `msgpack:"Quantities"`
	Controllers     []controllerRecord `msgpack:"Controllers"`

	// Since format 2.
	VoterGeneration uint64           `msgpack:"Voting"`
	Shards          []shardsRecord   `msgpack:"Slices"`
	ScheduledJobs   []jobRecord      `msgpack:"Jobs"`
	Overrides       []state.Override `msgpack:"Orders"`
	Lists           []listRecord     `msgpack:"Lists"`
}

type controllerRecord struct {
	state.ControllerID `msgpack:"Holder,inline"`
	Index              int                `msgpack:"Index"`
	Replaced           bool               `msgpack:"Replaced"`
	Allocations        []allocationRecord `msgpack:"Holds"`
}

type allocationRecord struct {
	Name             string `msgpack:"Name"`
	state.Allocation `msgpack:"Holding,inline"`
}

type shardsRecord struct {
	Task   string        `msgpack:"Duty"`
	Shards []state.Shard `msgpack:"Slices"`
}

type jobRecord struct {
	Name               string `msgpack:"Name"`
	state.ScheduledJob `msgpack:"Job,inline"`
}

type listRecord struct {
	Name                string `msgpack:"Name"`
	state.PublishedList `msgpack:"Published,inline"`
}

// encode gives the bytes of a log entry or of the state; docs/notes/fleet-votes.md describes them.
func encode(value any) ([]byte, error) {
	if machine, isState := value.(*state.Machine); isState {
		return msgpack.Marshal(recordOf(machine))
	}
	return msgpack.Marshal(value)
}

// decode reads what encode wrote; into a state it adds to what is there, so that is to be empty.
func decode(data []byte, into any) error {
	machine, isState := into.(*state.Machine)
	if !isState {
		return msgpack.Unmarshal(data, into)
	}
	var record snapshotRecord
	if err := msgpack.Unmarshal(data, &record); err != nil {
		return err
	}
	if record.Format < 1 || record.Format > snapshotFormat {
		return fmt.Errorf("format %d is not known, this program writes %d", record.Format, snapshotFormat)
	}
	record.fill(machine)
	return nil
}

// recordOf makes the record of a state.
func recordOf(machine *state.Machine) snapshotRecord {
	record := snapshotRecord{
		Format:          snapshotFormat,
		Generation:      machine.Generation,
		AppliedCommands: machine.AppliedCommands,
		VoterGeneration: machine.VoterGeneration,
		Overrides:       machine.SortedOverrides(),
	}
	for _, name := range slices.Sorted(maps.Keys(machine.Quantities)) {
		record.Quantities = append(record.Quantities, machine.Quantities[name])
	}
	for _, controller := range machine.SortedControllers() {
		one := controllerRecord{ControllerID: controller.ControllerID, Index: controller.Index, Replaced: controller.Replaced}
		for _, name := range slices.Sorted(maps.Keys(controller.Allocations)) {
			one.Allocations = append(one.Allocations, allocationRecord{name, controller.Allocations[name]})
		}
		record.Controllers = append(record.Controllers, one)
	}
	for _, task := range slices.Sorted(maps.Keys(machine.Shards)) {
		record.Shards = append(record.Shards, shardsRecord{task, machine.Shards[task]})
	}
	for _, name := range slices.Sorted(maps.Keys(machine.ScheduledJobs)) {
		record.ScheduledJobs = append(record.ScheduledJobs, jobRecord{name, *machine.ScheduledJobs[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(machine.Lists)) {
		record.Lists = append(record.Lists, listRecord{name, machine.Lists[name]})
	}
	return record
}

// fill puts a record into an empty state.
func (r snapshotRecord) fill(machine *state.Machine) {
	machine.Generation, machine.AppliedCommands, machine.VoterGeneration = r.Generation, r.AppliedCommands, r.VoterGeneration
	for _, quantity := range r.Quantities {
		machine.Quantities[quantity.Name] = quantity
	}
	for _, one := range r.Controllers {
		controller := &state.Controller{ControllerID: one.ControllerID, Index: one.Index, Replaced: one.Replaced, Allocations: map[string]state.Allocation{}}
		for _, held := range one.Allocations {
			controller.Allocations[held.Name] = held.Allocation
		}
		machine.Controllers[one.ControllerID] = controller
		machine.LatestIncarnation[one.Name] = max(machine.LatestIncarnation[one.Name], one.Incarnation)
	}
	for _, one := range r.Shards {
		machine.Shards[one.Task] = one.Shards
	}
	for _, one := range r.ScheduledJobs {
		machine.ScheduledJobs[one.Name] = &state.ScheduledJob{LastDue: one.LastDue, Runs: one.Runs}
	}
	for _, one := range r.Overrides {
		machine.Overrides[state.OverrideKey(one.Kind, one.Target)] = one
	}
	for _, one := range r.Lists {
		machine.Lists[one.Name] = one.PublishedList
	}
}
