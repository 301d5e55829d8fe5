// Package discovery decides who is there. Lists of engines come from sources: a file of the operator's, the command
// channel. This package parses and checks a file's text, compares versions, decides which one is taken, and merges
// what the sources say. It does no I/O and reads no clock; internal/discovery/file and internal/discovery/watch do.
package discovery

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"copperrock.example/copperrock/internal/config/schema"
)

// State is what a source says of an engine.
type State string

const (
	InService   State = "in_service"
	Terminating State = "terminating" // takes nothing new
	Terminated  State = "terminated"  // its process is gone: connections to it are of no use
)

// Endpoint is one entry of a list.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Cell                      int
	Weight                    float64 // against the others'; 0: keeps what it has, gets nothing new
	State                     State
	StartedAt                 float64 // Unix seconds of a late start, 0 where there was none
}

// Available tells whether the engine may get new jobs.
func (e Endpoint) Available() bool { return e.State == InService && e.Weight > 0 }

// List is one whole version of a source. Engines are in the order of their names, none twice.
type List struct {
	Generation int64
	Confirmed  bool // by the operator, although it takes many engines away
	Endpoints  []Endpoint
}

// AvailableCount counts the engines that may get new jobs.
func (l List) AvailableCount() (n int) {
	for _, e := range l.Endpoints {
		if e.Available() {
			n++
		}
	}
	return n
}

// Lookup gives the engine of a name.
func (l List) Lookup(name string) (Endpoint, bool) {
	at, found := slices.BinarySearchFunc(l.Endpoints, name, func(e Endpoint, n string) int { return cmp.Compare(e.Name, n) })
	if !found {
		return Endpoint{}, false
	}
	return l.Endpoints[at], true
}

// SameEndpoints tells whether two versions name the same engines in the same way; generation and confirmation do not count.
func (l List) SameEndpoints(o List) bool { return slices.Equal(l.Endpoints, o.Endpoints) }

// Bounds are what a list must keep to. Zones and Kinds, where not nil, are the names that there are.
type Bounds struct {
	MaxEndpoints int // at most
	MaxBytes     int // bytes of the file
	Zones, Kinds []string
}

// figures that no list of engines needs to pass.
const (
	maxWeight      = 1000 // a part a thousand times another's is a slip of the hand
	maxCell        = 1 << 20
	maxStartMillis = 1 << 52 // milliseconds; a year a hundred thousand years away
)

// Parse reads the text of a file whole. The error is schema.Faults, and then there is no list.
func Parse(file string, text []byte, b Bounds) (List, error) {
	var l List
	bounds := schema.Usual
	bounds.Size = b.MaxBytes
	err := schema.Read(file, text, bounds, func(o *schema.Object) { l.declare(o, b) })
	if err != nil {
		return List{}, err
	}
	slices.SortFunc(l.Endpoints, func(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return l, nil
}

// Describe lists what the file may hold.
func Describe() []schema.Option {
	return schema.Describe(func(o *schema.Object) { new(List).declare(o, Bounds{MaxEndpoints: 10000}) })
}

func (l *List) declare(o *schema.Object, b Bounds) {
	var format, end int64
	schema.Whole(o, &format, "format", "the form of this file", schema.Required(), schema.Between(1, 1))
	schema.Whole(o, &l.Generation, "generation", "number of the version; a later version has a higher one",
		schema.Required(), schema.Between(1, 1<<53))
	o.Bool(&l.Confirmed, "confirmed", "take this version although it takes away many engines", schema.Default(false))
	n := min(o.Len("engines"), b.MaxEndpoints)
	names, addresses := make(map[string]int, n), make(map[netip.AddrPort]int, n)
	l.Endpoints = slices.Grow(l.Endpoints, n)
	// A list may be long: what is said of an entry's options is said once.
	say := func(is ...schema.Is) []schema.Is { return is }
	ofName, ofAddress := say(schema.Required(), schema.Check(checkName)), say(schema.Required(), schema.Check(checkAddress))
	ofZone, ofKind, ofCell := oneOfNames(b.Zones), oneOfNames(b.Kinds), say(schema.Default(0), schema.Between(0, maxCell))
	ofWeight := say(schema.Default(1.0), schema.Between(0, maxWeight))
	ofState := say(schema.Default(string(InService)), schema.OneOf(string(InService), string(Terminating)))
	ofBorn := say(schema.Default(0), schema.Between(0, maxStartMillis), schema.Unit("ms"))
	o.List("engines", "the engines, in any order", b.MaxEndpoints, func(o *schema.Object, i int) {
		e, ms := Endpoint{}, int64(0)
		o.Text(&e.Name, "name", "unique among all engines", ofName...)
		o.Text(&e.Address, "address", "host and port, the host as an IP address", ofAddress...)
		o.Text(&e.Zone, "zone", "one of the deployment's zones", ofZone...)
		o.Text(&e.Kind, "kind", "one of the deployment's kinds of machine", ofKind...)
		schema.Whole(o, &e.Cell, "cell", "number of the cell, for keyed jobs", ofCell...)
		o.Number(&e.Weight, "weight", "its part against the others'; 0 keeps what it has and gets nothing new", ofWeight...)
		o.Text((*string)(&e.State), "state", "terminating gets nothing new", ofState...)
		schema.Whole(o, &ms, "born_ms", "Unix time of a late start, from which the engine warms up", ofBorn...)
		e.StartedAt = float64(ms) / 1000
		if first, twice := names[e.Name]; twice && e.Name != "" {
			o.Fault("name", "%q is the name of engines[%d] already", e.Name, first)
		}
		names[e.Name] = i
		if where, err := netip.ParseAddrPort(e.Address); err == nil {
			where = netip.AddrPortFrom(where.Addr().Unmap(), where.Port())
			if first, twice := addresses[where]; twice {
				o.Fault("address", "%s is the address of engines[%d] already", e.Address, first)
			}
			addresses[where] = i
		}
		l.Endpoints = append(l.Endpoints, e)
	}, schema.Required())
	schema.Whole(o, &end, "end", "where it stands, equals generation; as the last key it shows that the file is of one piece",
		schema.Between(1, 1<<53))
	if o.Has("end") && end != l.Generation {
		o.Fault("end", "is %d, but generation is %d: the file is a mix of two versions", end, l.Generation)
	}
}

func oneOfNames(names []string) []schema.Is {
	if names == nil {
		return []schema.Is{schema.Default("")}
	}
	fallback := ""
	if len(names) > 0 {
		fallback = names[0]
	}
	return []schema.Is{schema.Default(fallback), schema.OneOf(names...)}
}

// checkName refuses names that could not stand in a log line as one word.
func checkName(name string) error {
	if name == "" || strings.ContainsAny(name, " \t\"\\") {
		return fmt.Errorf("%q is no name: one word, without quotes", name)
	}
	return nil
}

// checkAddress wants an IP address and a port that can be dialled. Names would need a look-up.
func checkAddress(address string) error {
	where, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return fmt.Errorf("%q is no IP address with a port", address)
	case where.Port() == 0 || where.Addr().IsUnspecified() || where.Addr().IsMulticast():
		return fmt.Errorf("%q can't be dialled", address)
	}
	return nil
}

// Format gives the text of a list; parsing it gives the list again.
func (l List) Format() []byte {
	b := fmt.Appendf(nil, "{\n  \"format\": 1,\n  \"generation\": %d,\n", l.Generation)
	if l.Confirmed {
		b = append(b, "  \"confirmed\": true,\n"...)
	}
	b = append(b, "  \"engines\": ["...)
	for i, e := range l.Endpoints {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, "\n    {"...)
		b = fmt.Appendf(b, `"name": %s, "address": %s`, quote(e.Name), quote(e.Address))
		if e.Zone != "" {
			b = fmt.Appendf(b, `, "zone": %s`, quote(e.Zone))
		}
		if e.Kind != "" {
			b = fmt.Appendf(b, `, "kind": %s`, quote(e.Kind))
		}
		if e.Cell != 0 {
			b = fmt.Appendf(b, `, "cell": %d`, e.Cell)
		}
		if e.Weight != 1 {
			b = append(b, `, "weight": `...)
			b = strconv.AppendFloat(b, e.Weight, 'g', -1, 64)
		}
		if e.State != InService {
			b = fmt.Appendf(b, `, "state": %s`, quote(string(e.State)))
		}
		if e.StartedAt != 0 {
			b = fmt.Appendf(b, `, "born_ms": %d`, int64(math.Round(e.StartedAt*1000)))
		}
		b = append(b, '}')
	}
	return fmt.Appendf(b, "\n  ],\n  \"end\": %d\n}\n", l.Generation)
}

// quote writes a checked text as JSON has it: no control signs are in it, and Go's way differs for others.
func quote(s string) string {
	return `"` + escaped.Replace(s) + `"`
}

var escaped = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

// Change is an engine that stands in both versions, but otherwise.
type Change struct{ Before, After Endpoint }

// Difference is what leads from one version to another. All are in the order of their names.
type Difference struct {
	Added, Removed []Endpoint
	Changed        []Change
}

// Diff gives the difference between two versions.
func Diff(before, after List) (d Difference) {
	x, y := before.Endpoints, after.Endpoints
	for len(x) > 0 || len(y) > 0 {
		switch {
		case len(y) == 0 || len(x) > 0 && x[0].Name < y[0].Name:
			d.Removed, x = append(d.Removed, x[0]), x[1:]
		case len(x) == 0 || y[0].Name < x[0].Name:
			d.Added, y = append(d.Added, y[0]), y[1:]
		default:
			if x[0] != y[0] {
				d.Changed = append(d.Changed, Change{x[0], y[0]})
			}
			x, y = x[1:], y[1:]
		}
	}
	return d
}

// Apply gives the version that the difference leads to, with the given generation.
func (d Difference) Apply(before List, generation int64) List {
	all := make(map[string]Endpoint, len(before.Endpoints)+len(d.Added))
	for _, e := range before.Endpoints {
		all[e.Name] = e
	}
	for _, e := range d.Removed {
		delete(all, e.Name)
	}
	for _, c := range d.Changed {
		all[c.After.Name] = c.After
	}
	for _, e := range d.Added {
		all[e.Name] = e
	}
	l := List{Generation: generation}
	if len(all) > 0 {
		l.Endpoints = slices.SortedFunc(maps.Values(all), func(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	}
	return l
}

// Lines words the difference, a line an engine.
func (d Difference) Lines() (lines []string) {
	for _, e := range d.Removed {
		lines = append(lines, "- "+e.String())
	}
	for _, e := range d.Added {
		lines = append(lines, "+ "+e.String())
	}
	for _, c := range d.Changed {
		lines = append(lines, "~ "+c.String())
	}
	return lines
}

// Empty tells whether nothing differs.
func (d Difference) Empty() bool { return len(d.Added)+len(d.Removed)+len(d.Changed) == 0 }

// String names the engine and where it is.
func (e Endpoint) String() string {
	s := fmt.Sprintf("%s at %s", e.Name, e.Address)
	for _, part := range []string{e.Zone, e.Kind} {
		if part != "" {
			s += ", " + part
		}
	}
	if e.Weight != 1 {
		s += fmt.Sprintf(", weight %g", e.Weight)
	}
	if e.State != InService {
		s += ", " + string(e.State)
	}
	return s
}

// String names what has changed and how.
func (c Change) String() string {
	s, x, y := c.After.Name, c.Before, c.After
	say := func(what string, from, to any) {
		if from != to {
			s += fmt.Sprintf(", %s %v -> %v", what, from, to)
		}
	}
	say("address", x.Address, y.Address)
	say("zone", x.Zone, y.Zone)
	say("kind", x.Kind, y.Kind)
	say("cell", x.Cell, y.Cell)
	say("weight", x.Weight, y.Weight)
	say("state", x.State, y.State)
	say("born", x.StartedAt, y.StartedAt)
	return s
}
