package discovery

import "slices"

// UpdateMode tells what an update of the endpoint list holds.
type UpdateMode int

// The modes of an update.
const (
	Delta            UpdateMode = iota // the endpoints that changed; the others stay
	Snapshot                           // all endpoints; missing ones are terminated
	DrainingSnapshot                   // all endpoints; missing ones drain: they end when nothing is in flight there
)

// Subscriber receives the updates of a source. Each update is to be taken as a whole.
type Subscriber interface {
	UpdateEndpoints(mode UpdateMode, endpoints []Endpoint)
}

// ApplyUpdate applies an update to a source's list. Endpoints that it reports as terminated, or that a Snapshot leaves out,
// are held as terminated in that one list and left out of the next.
func ApplyUpdate(current List, mode UpdateMode, endpoints []Endpoint) List {
	byNames := map[string]Endpoint{}
	for _, e := range current.Endpoints {
		if mode == DrainingSnapshot || e.State == Terminated {
			continue
		}
		if mode == Snapshot {
			e.State = Terminated
		}
		byNames[e.Name] = e
	}
	for _, e := range endpoints {
		byNames[e.Name] = e
	}
	next := List{Generation: current.Generation + 1}
	for _, e := range byNames {
		next.Endpoints = append(next.Endpoints, e)
	}
	slices.SortFunc(next.Endpoints, byName)
	return next
}
