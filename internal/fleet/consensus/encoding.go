package consensus

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/internal/fleet/state"
)

// snapshotFormat is the format of the state in snapshots. Format 2 added the voters' generation, tasks, jobs, overrides and
// lists. Format 1 can still be read.
const snapshotFormat = 2

// snapshotRecord is the encoded form of the state in a snapshot. Its lists are in a fixed order, so that all voters produce
// the same bytes. Its MessagePack names, and those of the records in it, are part of the format.
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

// encode encodes a log entry or the state. docs/notes/fleet-votes.md describes the encoding.
func encode(value any) ([]byte, error) {
	if machine, isState := value.(*state.Machine); isState {
		return msgpack.Marshal(recordOf(machine))
	}
	return msgpack.Marshal(value)
}

// decode decodes what encode has encoded. A state to decode into must be empty, because decode adds to it.
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
		return fmt.Errorf("unknown snapshot format %d, this program writes format %d", record.Format, snapshotFormat)
	}
	record.fill(machine)
	return nil
}

// recordOf returns the snapshot record of a state.
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
		encoded := controllerRecord{ControllerID: controller.ControllerID, Index: controller.Index, Replaced: controller.Replaced}
		for _, name := range slices.Sorted(maps.Keys(controller.Allocations)) {
			encoded.Allocations = append(encoded.Allocations, allocationRecord{name, controller.Allocations[name]})
		}
		record.Controllers = append(record.Controllers, encoded)
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

// fill copies the record into an empty state.
func (r snapshotRecord) fill(machine *state.Machine) {
	machine.Generation, machine.AppliedCommands, machine.VoterGeneration = r.Generation, r.AppliedCommands, r.VoterGeneration
	for _, quantity := range r.Quantities {
		machine.Quantities[quantity.Name] = quantity
	}
	for _, record := range r.Controllers {
		controller := &state.Controller{ControllerID: record.ControllerID, Index: record.Index, Replaced: record.Replaced, Allocations: map[string]state.Allocation{}}
		for _, allocation := range record.Allocations {
			controller.Allocations[allocation.Name] = allocation.Allocation
		}
		machine.Controllers[record.ControllerID] = controller
		machine.LatestIncarnation[record.Name] = max(machine.LatestIncarnation[record.Name], record.Incarnation)
	}
	for _, record := range r.Shards {
		machine.Shards[record.Task] = record.Shards
	}
	for _, record := range r.ScheduledJobs {
		machine.ScheduledJobs[record.Name] = &record.ScheduledJob
	}
	for _, override := range r.Overrides {
		machine.Overrides[state.OverrideKey(override.Kind, override.Target)] = override
	}
	for _, record := range r.Lists {
		machine.Lists[record.Name] = record.PublishedList
	}
}
