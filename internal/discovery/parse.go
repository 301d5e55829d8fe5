package discovery

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"copperrock.example/copperrock/internal/config/schema"
)

// Bounds limit what a list may contain. Zones and Kinds, if not nil, are the names that its entries may use.
type Bounds struct {
	MaxEndpoints int
	MaxBytes     int // maximum size of the file
	Zones, Kinds []string
}

// Values beyond these limits are taken for typing errors.
const (
	maxWeight      = 1000
	maxCell        = 1 << 20
	maxStartMillis = 1 << 52 // Unix time in milliseconds
	maxGeneration  = 1 << 53 // JSON numbers are exact up to this value

	documentedMaxEndpoints = 10000 // the limit that the documentation states
)

// Parse parses and validates the complete text of a file. An error is of type schema.FieldErrors; the list is then empty.
func Parse(file string, text []byte, b Bounds) (List, error) {
	var l List
	bounds := schema.DefaultBounds
	bounds.MaxBytes = b.MaxBytes
	err := schema.Read(file, text, bounds, func(o *schema.Object) { l.declare(o, b) })
	if err != nil {
		return List{}, err
	}
	slices.SortFunc(l.Endpoints, byName)
	return l, nil
}

// Describe returns the options of the file format, for its documentation.
func Describe() []schema.Option {
	return schema.Describe(func(o *schema.Object) { new(List).declare(o, Bounds{MaxEndpoints: documentedMaxEndpoints}) })
}

// declare declares the options of the file and stores their values in l.
func (l *List) declare(o *schema.Object, b Bounds) {
	var format, end int64
	schema.Integer(o, &format, "format", "version of the file format", schema.Required(), schema.Between(1, 1))
	schema.Integer(o, &l.Generation, "generation", "number of this version of the list; it must be higher in each new version",
		schema.Required(), schema.Between(1, maxGeneration))
	o.Bool(&l.Confirmed, "confirmed", "apply this version even if it removes many engines", schema.Default(false))
	l.declareEndpoints(o, b)
	schema.Integer(o, &end, "end", "if present, must equal generation; as the last key it shows that the file is complete",
		schema.Between(1, maxGeneration))
	if o.Has("end") && end != l.Generation {
		o.AddError("end", "is %d, but generation is %d: the file is a mix of two versions", end, l.Generation)
	}
}

func (l *List) declareEndpoints(o *schema.Object, b Bounds) {
	count := min(o.Len("engines"), b.MaxEndpoints)
	l.Endpoints = slices.Grow(l.Endpoints, count)
	rules := newEntryRules(b)
	duplicates := newDuplicates(count)
	o.List("engines", "the engines, in any order", b.MaxEndpoints, func(o *schema.Object, i int) {
		e := rules.declare(o)
		duplicates.check(o, i, e)
		l.Endpoints = append(l.Endpoints, e)
	}, schema.Required())
}

// entryRules holds the validation rules of an entry's options. All entries share one instance, since a list may be long.
type entryRules struct {
	name, address, zone, kind, cell, weight, state, startedAt []schema.Rule
}

func newEntryRules(b Bounds) entryRules {
	return entryRules{
		name:      []schema.Rule{schema.Required(), schema.Check(checkName)},
		address:   []schema.Rule{schema.Required(), schema.Check(checkAddress)},
		zone:      oneOfNames(b.Zones),
		kind:      oneOfNames(b.Kinds),
		cell:      []schema.Rule{schema.Default(0), schema.Between(0, maxCell)},
		weight:    []schema.Rule{schema.Default(1.0), schema.Between(0, maxWeight)},
		state:     []schema.Rule{schema.Default(string(InService)), schema.OneOf(string(InService), string(Terminating))},
		startedAt: []schema.Rule{schema.Default(0), schema.Between(0, maxStartMillis), schema.Unit("ms")},
	}
}

// declare declares the options of one entry and returns their values.
func (r *entryRules) declare(o *schema.Object) Endpoint {
	var e Endpoint
	var startMillis int64
	o.String(&e.Name, "name", "unique among all engines", r.name...)
	o.String(&e.Address, "address", "host and port, the host as an IP address", r.address...)
	o.String(&e.Zone, "zone", "one of the deployment's zones", r.zone...)
	o.String(&e.Kind, "kind", "one of the deployment's kinds of machine", r.kind...)
	schema.Integer(o, &e.Cell, "cell", "number of the cell, for keyed jobs", r.cell...)
	o.Number(&e.Weight, "weight",
		"share of new jobs relative to the other engines; at 0, running jobs finish and no new ones start", r.weight...)
	o.String((*string)(&e.State), "state", "a terminating engine gets no new jobs", r.state...)
	schema.Integer(o, &startMillis, "born_ms", "Unix time of a late start, from which the engine warms up", r.startedAt...)
	e.StartedAt = float64(startMillis) / 1000
	return e
}

// oneOfNames returns the rules of an option that names one of a deployment's zones or kinds. The first one is the default.
func oneOfNames(names []string) []schema.Rule {
	if names == nil {
		return []schema.Rule{schema.Default("")}
	}
	fallback := ""
	if len(names) > 0 {
		fallback = names[0]
	}
	return []schema.Rule{schema.Default(fallback), schema.OneOf(names...)}
}

// duplicates detects names and addresses that occur more than once in a list.
type duplicates struct {
	names     map[string]int // to the index of the latest entry with it
	addresses map[netip.AddrPort]int
}

func newDuplicates(count int) duplicates {
	return duplicates{names: make(map[string]int, count), addresses: make(map[netip.AddrPort]int, count)}
}

func (d *duplicates) check(o *schema.Object, index int, e Endpoint) {
	if previous, duplicate := d.names[e.Name]; duplicate && e.Name != "" {
		o.AddError("name", "%q is the name of engines[%d] already", e.Name, previous)
	}
	d.names[e.Name] = index
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return // reported by checkAddress
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if previous, duplicate := d.addresses[address]; duplicate {
		o.AddError("address", "%s is the address of engines[%d] already", e.Address, previous)
	}
	d.addresses[address] = index
}

// checkName rejects names that would not appear in a log line as a single word.
func checkName(name string) error {
	if name == "" || strings.ContainsAny(name, " \t\"\\") {
		return fmt.Errorf("%q is no name: one word, without quotes", name)
	}
	return nil
}

// checkAddress requires an IP address and a port that can be dialled. Host names are rejected since they need a DNS lookup.
func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return fmt.Errorf("%q is no IP address with a port", address)
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		return fmt.Errorf("%q can't be dialled", address)
	}
	return nil
}
