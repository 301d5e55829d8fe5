package discovery

import "slices"

// UpdateMode specifies which endpoints an update contains, and what happens to the others.
type UpdateMode int

// The modes of an update.
const (
	Delta            UpdateMode = iota // the endpoints that changed; the others remain
	Snapshot                           // all endpoints; missing ones are terminated
	DrainingSnapshot                   // all endpoints; missing ones drain and are removed once nothing is in flight there
)

// Subscriber receives the updates of a source. It must apply each update as a whole.
type Subscriber interface {
	UpdateEndpoints(mode UpdateMode, endpoints []Endpoint)
}

// ApplyUpdate returns a source's list after an update. Endpoints that the update reports as terminated, or that a Snapshot
// leaves out, are terminated in the returned list and dropped by the next update.
func ApplyUpdate(current List, mode UpdateMode, endpoints []Endpoint) List {
	endpointByName := map[string]Endpoint{}
	for _, e := range current.Endpoints {
		if mode == DrainingSnapshot || e.State == Terminated {
			continue
		}
		if mode == Snapshot {
			e.State = Terminated
		}
		endpointByName[e.Name] = e
	}
	for _, e := range endpoints {
		endpointByName[e.Name] = e
	}
	next := List{Generation: current.Generation + 1}
	for _, e := range endpointByName {
		next.Endpoints = append(next.Endpoints, e)
	}
	slices.SortFunc(next.Endpoints, byName)
	return next
}
