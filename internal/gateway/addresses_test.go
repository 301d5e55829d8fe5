package gateway

import (
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// Guards against requests for an engine that has gone, which go to another engine's process at the same address: in another zone,
// of another kind, or cold. The list may have the new engine before it drops the old one.
func TestAddressTakenOver(t *testing.T) {
	entry := func(name string, state discovery.State, startedAt float64) discovery.Endpoint {
		return discovery.Endpoint{Name: name, Address: "127.0.0.1:9", Weight: 1, State: state, StartedAt: startedAt}
	}
	type update struct {
		mode    discovery.UpdateMode
		entries []discovery.Endpoint
	}
	var lines []string
	for _, c := range []struct {
		name    string
		updates []update
	}{
		{"a change lists the new engine, a later one terminates the old", []update{
			{discovery.Snapshot, []discovery.Endpoint{entry("old", discovery.InService, 0)}},
			{discovery.Delta, []discovery.Endpoint{entry("new", discovery.InService, 100)}},
			{discovery.Delta, []discovery.Endpoint{entry("old", discovery.Terminated, 0)}},
		}},
		{"the old entry comes again", []update{
			{discovery.Snapshot, []discovery.Endpoint{entry("old", discovery.InService, 0)}},
			{discovery.Delta, []discovery.Endpoint{entry("new", discovery.InService, 100)}},
			{discovery.Delta, []discovery.Endpoint{entry("old", discovery.InService, 0)}},
			{discovery.Delta, []discovery.Endpoint{entry("old", discovery.InService, 200)}},
		}},
		{"without a start time", []update{
			{discovery.Snapshot, []discovery.Endpoint{entry("old", discovery.InService, 50)}},
			{discovery.Delta, []discovery.Endpoint{entry("new", discovery.InService, 0)}},
		}},
		{"both in one list", []update{
			{discovery.Snapshot, []discovery.Endpoint{entry("new", discovery.InService, 100), entry("old", discovery.InService, 0)}},
		}},
		{"the old one drains", []update{
			{discovery.Snapshot, []discovery.Endpoint{entry("old", discovery.InService, 0)}},
			{discovery.Snapshot, []discovery.Endpoint{entry("new", discovery.InService, 100), entry("old", discovery.Terminating, 0)}},
		}},
		{"terminated and replaced in one change", []update{
			{discovery.Snapshot, []discovery.Endpoint{entry("old", discovery.InService, 50)}},
			{discovery.Delta, []discovery.Endpoint{entry("new", discovery.InService, 0), entry("old", discovery.Terminated, 50)}},
		}},
		{"replaced in a whole list, and back", []update{
			{discovery.Snapshot, []discovery.Endpoint{entry("old", discovery.InService, 0)}},
			{discovery.DrainingSnapshot, []discovery.Endpoint{entry("new", discovery.InService, 0)}},
			{discovery.DrainingSnapshot, []discovery.Endpoint{entry("old", discovery.InService, 0)}},
		}},
	} {
		lines = append(lines, c.name)
		g := newGateway(t)
		for _, u := range c.updates {
			g.UpdateEndpoints(u.mode, u.entries)
			lines = append(lines, fmt.Sprintf("  %v", g.ReadyEndpoints()))
		}
	}
	testutil.CheckTrace(t, lines)
}
