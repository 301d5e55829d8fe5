package consensus

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/internal/fleet/state"
)

// snapshotFormat is that of the ledger in snapshots: 2 since it holds voters' generations, duties, jobs, orders and lists. Format
// 1, which had none of them, is read.
const snapshotFormat = 2

// snapshotRecord is the ledger as its bytes have it, in one order, so that all voters have the same.
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

// encode and decode give the bytes of the ledger and of the log's entries; docs/notes/fleet-votes.md describes them.
func encode(v any) ([]byte, error) {
	l, whole := v.(*state.Machine)
	if !whole {
		return msgpack.Marshal(v)
	}
	k := snapshotRecord{Format: snapshotFormat, Generation: l.Generation, AppliedCommands: l.AppliedCommands, VoterGeneration: l.VoterGeneration, Overrides: l.SortedOverrides()}
	for _, name := range slices.Sorted(maps.Keys(l.Quantities)) {
		k.Quantities = append(k.Quantities, l.Quantities[name])
	}
	for _, c := range l.SortedControllers() {
		one := controllerRecord{ControllerID: c.ControllerID, Index: c.Index, Replaced: c.Replaced}
		for _, name := range slices.Sorted(maps.Keys(c.Allocations)) {
			one.Allocations = append(one.Allocations, allocationRecord{name, c.Allocations[name]})
		}
		k.Controllers = append(k.Controllers, one)
	}
	for _, name := range slices.Sorted(maps.Keys(l.Shards)) {
		k.Shards = append(k.Shards, shardsRecord{name, l.Shards[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(l.ScheduledJobs)) {
		k.ScheduledJobs = append(k.ScheduledJobs, jobRecord{name, *l.ScheduledJobs[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(l.Lists)) {
		k.Lists = append(k.Lists, listRecord{name, l.Lists[name]})
	}
	return msgpack.Marshal(k)
}

func decode(data []byte, into any) error {
	l, whole := into.(*state.Machine)
	if !whole {
		return msgpack.Unmarshal(data, into)
	}
	var k snapshotRecord
	if err := msgpack.Unmarshal(data, &k); err != nil {
		return err
	}
	if k.Format < 1 || k.Format > snapshotFormat {
		return fmt.Errorf("format %d is not known, this program writes %d", k.Format, snapshotFormat)
	}
	l.Generation, l.AppliedCommands, l.VoterGeneration = k.Generation, k.AppliedCommands, k.VoterGeneration
	for _, q := range k.Quantities {
		l.Quantities[q.Name] = q
	}
	for _, c := range k.Controllers {
		one := &state.Controller{ControllerID: c.ControllerID, Index: c.Index, Replaced: c.Replaced, Allocations: map[string]state.Allocation{}}
		for _, h := range c.Allocations {
			one.Allocations[h.Name] = h.Allocation
		}
		l.Controllers[c.ControllerID] = one
		l.LatestIncarnation[c.Name] = max(l.LatestIncarnation[c.Name], c.Incarnation)
	}
	for _, s := range k.Shards {
		l.Shards[s.Task] = s.Shards
	}
	for _, j := range k.ScheduledJobs {
		l.ScheduledJobs[j.Name] = &state.ScheduledJob{LastDue: j.LastDue, Runs: j.Runs}
	}
	for _, o := range k.Overrides {
		l.Overrides[state.OverrideKey(o.Kind, o.Target)] = o
	}
	for _, p := range k.Lists {
		l.Lists[p.Name] = p.PublishedList
	}
	return nil
}
