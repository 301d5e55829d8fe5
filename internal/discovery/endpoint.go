package discovery

import (
	"cmp"
	"fmt"
	"slices"
)

// State is the state of an endpoint as its source reports it.
type State string

// The states of an endpoint.
const (
	InService   State = "in_service"
	Terminating State = "terminating" // draining: gets no new requests
	Terminated  State = "terminated"  // its process and its connections are gone
)

// Endpoint is the entry of one engine in an endpoint list.
type Endpoint struct {
	Name, Address, Zone string
	Kind                string // machine type
	Cell                int
	Weight              float64 // relative to the other endpoints; at 0, attempts in flight finish but no new ones start
	State               State
	StartedAt           float64 // Unix time in seconds of a late start, from which the engine warms up; 0 for none
}

// Available reports whether the endpoint may get new requests.
func (e Endpoint) Available() bool { return e.State == InService && e.Weight > 0 }

// List is one complete version of an endpoint list. Endpoints are sorted by name, without duplicates.
type List struct {
	Generation int64
	Confirmed  bool // by the operator, even if the version removes many endpoints
	Endpoints  []Endpoint
}

// AvailableCount returns the number of endpoints that may get new requests.
func (l List) AvailableCount() int {
	count := 0
	for _, e := range l.Endpoints {
		if e.Available() {
			count++
		}
	}
	return count
}

// Lookup returns the endpoint with the given name, and whether the list has one.
func (l List) Lookup(name string) (Endpoint, bool) {
	index, found := slices.BinarySearchFunc(l.Endpoints, name, func(e Endpoint, name string) int {
		return cmp.Compare(e.Name, name)
	})
	if !found {
		return Endpoint{}, false
	}
	return l.Endpoints[index], true
}

// SameEndpoints reports whether two versions have equal endpoints. Their generation and confirmation may differ.
func (l List) SameEndpoints(o List) bool { return slices.Equal(l.Endpoints, o.Endpoints) }

// byName compares endpoints by name.
func byName(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) }

// String describes the endpoint in one line, for logs.
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
