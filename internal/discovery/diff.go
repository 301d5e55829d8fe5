package discovery

import (
	"fmt"
	"maps"
	"slices"
)

// Change is an endpoint that is in both versions of a list, with different values.
type Change struct{ Before, After Endpoint }

// Difference describes how two versions of a list differ. Its slices are sorted by name.
type Difference struct {
	Added, Removed []Endpoint
	Changed        []Change
}

// Diff returns the difference between two versions, whose endpoints must be sorted by name.
func Diff(before, after List) Difference {
	var d Difference
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

// Apply returns the list that results from applying the difference to before, with the given generation.
func (d Difference) Apply(before List, generation int64) List {
	endpoints := make(map[string]Endpoint, len(before.Endpoints)+len(d.Added))
	for _, e := range before.Endpoints {
		endpoints[e.Name] = e
	}
	for _, e := range d.Removed {
		delete(endpoints, e.Name)
	}
	for _, c := range d.Changed {
		endpoints[c.After.Name] = c.After
	}
	for _, e := range d.Added {
		endpoints[e.Name] = e
	}
	after := List{Generation: generation}
	if len(endpoints) > 0 {
		after.Endpoints = slices.SortedFunc(maps.Values(endpoints), byName)
	}
	return after
}

// Lines describes the difference in text, one line per endpoint.
func (d Difference) Lines() []string {
	var lines []string
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

// Empty reports whether the two versions have equal endpoints.
func (d Difference) Empty() bool { return len(d.Added)+len(d.Removed)+len(d.Changed) == 0 }

// String describes the change in one line, for logs.
func (c Change) String() string {
	s, x, y := c.After.Name, c.Before, c.After
	field := func(name string, from, to any) {
		if from != to {
			s += fmt.Sprintf(", %s %v -> %v", name, from, to)
		}
	}
	field("address", x.Address, y.Address)
	field("zone", x.Zone, y.Zone)
	field("kind", x.Kind, y.Kind)
	field("cell", x.Cell, y.Cell)
	field("weight", x.Weight, y.Weight)
	field("state", x.State, y.State)
	field("born", x.StartedAt, y.StartedAt)
	return s
}
