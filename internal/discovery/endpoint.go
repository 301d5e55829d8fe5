package discovery

import (
	"cmp"
	"fmt"
	"slices"
)

// State is what a source says of an endpoint.
type State string

// The states of an endpoint.
const (
	InService   State = "in_service"
	Terminating State = "terminating" // draining: takes no new request
	Terminated  State = "terminated"  // its process is gone, and its connections with it
)

// Endpoint is the entry of one engine in a list.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Cell                      int
	Weight                    float64 // against the others'; 0 for none: what is in flight there ends, nothing new starts
	State                     State
	StartedAt                 float64 // Unix seconds of a start from which it warms up, 0 for none
}

// Available reports whether the endpoint may get new requests.
func (e Endpoint) Available() bool { return e.State == InService && e.Weight > 0 }

// List is one complete version of a source. Endpoints are sorted by name, without duplicates.
type List struct {
	Generation int64
	Confirmed  bool // by the operator, although it removes many endpoints
	Endpoints  []Endpoint
}

// AvailableCount counts the endpoints that may get new requests.
func (l List) AvailableCount() int {
	count := 0
	for _, e := range l.Endpoints {
		if e.Available() {
			count++
		}
	}
	return count
}

// Lookup finds the endpoint of a name.
func (l List) Lookup(name string) (Endpoint, bool) {
	index, found := slices.BinarySearchFunc(l.Endpoints, name, func(e Endpoint, name string) int {
		return cmp.Compare(e.Name, name)
	})
	if !found {
		return Endpoint{}, false
	}
	return l.Endpoints[index], true
}

// SameEndpoints reports whether two versions hold equal endpoints; generation and confirmation do not count.
func (l List) SameEndpoints(o List) bool { return slices.Equal(l.Endpoints, o.Endpoints) }

// byName orders endpoints by name.
func byName(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) }

// String is the endpoint in one line of a log.
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
