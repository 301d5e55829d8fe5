package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/internal/fleet/state"
)

// format is that of the ledger in snapshots: 2 since it holds voters' generations, duties, jobs, orders and lists. Format
// 1, which had none of them, is read.
const format = 2

// kept is the ledger as its bytes have it, in one order, so that all voters have the same.
type kept struct {
	Format      int              `msgpack:"Format"`
	Generation  uint64           `msgpack:"Generation"`
	Applied     uint64           `msgpack:"Applied"`
	Quantities  []state.Quantity `msgpack:"Quantities"`
	Controllers []keptController `msgpack:"Controllers"`

	// Since format 2.
	Voting uint64        `msgpack:"Voting"`
	Slices []keptSlices  `msgpack:"Slices"`
	Jobs   []keptJob     `msgpack:"Jobs"`
	Orders []state.Order `msgpack:"Orders"`
	Lists  []keptList    `msgpack:"Lists"`
}

type keptController struct {
	state.Holder `msgpack:"Holder,inline"`
	Index        int           `msgpack:"Index"`
	Replaced     bool          `msgpack:"Replaced"`
	Holds        []keptHolding `msgpack:"Holds"`
}

type keptHolding struct {
	Name          string `msgpack:"Name"`
	state.Holding `msgpack:"Holding,inline"`
}

type keptSlices struct {
	Duty   string        `msgpack:"Duty"`
	Slices []state.Slice `msgpack:"Slices"`
}

type keptJob struct {
	Name      string `msgpack:"Name"`
	state.Job `msgpack:"Job,inline"`
}

type keptList struct {
	Name            string `msgpack:"Name"`
	state.Published `msgpack:"Published,inline"`
}

// encode and decode give the bytes of the ledger and of the log's entries; docs/notes/fleet-votes.md describes them.
func encode(v any) ([]byte, error) {
	l, whole := v.(*state.Ledger)
	if !whole {
		return msgpack.Marshal(v)
	}
	k := kept{Format: format, Generation: l.Generation, Applied: l.Applied, Voting: l.Voting, Orders: l.Ordered()}
	for _, name := range slices.Sorted(maps.Keys(l.Quantities)) {
		k.Quantities = append(k.Quantities, l.Quantities[name])
	}
	for _, c := range l.Sorted() {
		one := keptController{Holder: c.Holder, Index: c.Index, Replaced: c.Replaced}
		for _, name := range slices.Sorted(maps.Keys(c.Holds)) {
			one.Holds = append(one.Holds, keptHolding{name, c.Holds[name]})
		}
		k.Controllers = append(k.Controllers, one)
	}
	for _, name := range slices.Sorted(maps.Keys(l.Slices)) {
		k.Slices = append(k.Slices, keptSlices{name, l.Slices[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(l.Jobs)) {
		k.Jobs = append(k.Jobs, keptJob{name, *l.Jobs[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(l.Lists)) {
		k.Lists = append(k.Lists, keptList{name, l.Lists[name]})
	}
	return msgpack.Marshal(k)
}

func decode(data []byte, into any) error {
	l, whole := into.(*state.Ledger)
	if !whole {
		return msgpack.Unmarshal(data, into)
	}
	var k kept
	if err := msgpack.Unmarshal(data, &k); err != nil {
		return err
	}
	if k.Format < 1 || k.Format > format {
		return fmt.Errorf("format %d is not known, this program writes %d", k.Format, format)
	}
	l.Generation, l.Applied, l.Voting = k.Generation, k.Applied, k.Voting
	for _, q := range k.Quantities {
		l.Quantities[q.Name] = q
	}
	for _, c := range k.Controllers {
		one := &state.Controller{Holder: c.Holder, Index: c.Index, Replaced: c.Replaced, Holds: map[string]state.Holding{}}
		for _, h := range c.Holds {
			one.Holds[h.Name] = h.Holding
		}
		l.Controllers[c.Holder] = one
		l.Latest[c.Name] = max(l.Latest[c.Name], c.Inc)
	}
	for _, s := range k.Slices {
		l.Slices[s.Duty] = s.Slices
	}
	for _, j := range k.Jobs {
		l.Jobs[j.Name] = &state.Job{Last: j.Last, Runs: j.Runs}
	}
	for _, o := range k.Orders {
		l.Orders[state.OrderKey(o.Kind, o.Target)] = o
	}
	for _, p := range k.Lists {
		l.Lists[p.Name] = p.Published
	}
	return nil
}

// Digest is the same for the same quantities and duties, in any order.
func Digest(all []state.Quantity, duties []state.Duty) uint64 {
	quantities := slices.SortedFunc(slices.Values(all), func(x, y state.Quantity) int { return cmp.Compare(x.Name, y.Name) })
	parts := slices.SortedFunc(slices.Values(duties), func(x, y state.Duty) int { return cmp.Compare(x.Name, y.Name) })
	sum := uint64(14695981039346656037)
	add := func(text string) {
		for _, b := range []byte(text) {
			sum = (sum ^ uint64(b)) * 1099511628211
		}
	}
	for _, q := range quantities {
		add(fmt.Sprintf("%s %d %g %g %g;", q.Name, q.Form, q.Whole, q.Aside, q.Window))
	}
	for _, d := range parts {
		add(fmt.Sprintf("%s %d;", d.Name, d.Slices))
	}
	return sum
}
