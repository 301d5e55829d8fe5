package merge

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// recorder records the updates that it receives.
type recorder struct{ lines *[]string }

func (r recorder) UpdateEndpoints(mode discovery.UpdateMode, endpoints []discovery.Endpoint) {
	*r.lines = append(*r.lines, fmt.Sprintf("  -> mode %d %v", mode, endpoints))
}

func endpoint(name string, port int, state discovery.State) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: fmt.Sprintf("10.0.0.1:%d", port), Weight: 1, State: state}
}

// The file takes precedence by name and by address, the latest list of each source remains in effect, and an endpoint that
// the channel reports as terminated is passed on as terminated once.
func TestTwoSources(t *testing.T) {
	var lines []string
	aggregator := New(2, recorder{&lines}, zerolog.Nop())
	file, channel := aggregator.Source(0), aggregator.Source(1)
	record := func(step string) { lines = append(lines, step) }
	record("channel: a, b")
	channel.UpdateEndpoints(discovery.Snapshot, []discovery.Endpoint{
		endpoint("a", 1, discovery.InService), endpoint("b", 2, discovery.InService),
	})
	record("file: b elsewhere, c at a's address")
	file.UpdateEndpoints(discovery.DrainingSnapshot, []discovery.Endpoint{
		endpoint("b", 9, discovery.InService), endpoint("c", 1, discovery.InService),
	})
	record("channel: a terminated")
	channel.UpdateEndpoints(discovery.Delta, []discovery.Endpoint{endpoint("a", 1, discovery.Terminated)})
	record("channel: d, whole")
	channel.UpdateEndpoints(discovery.Snapshot, []discovery.Endpoint{endpoint("d", 4, discovery.InService)})
	record("channel: e terminating by a change")
	channel.UpdateEndpoints(discovery.Delta, []discovery.Endpoint{endpoint("e", 5, discovery.Terminating)})
	record("file: nothing")
	file.UpdateEndpoints(discovery.DrainingSnapshot, nil)
	testutil.CheckTrace(t, lines)
}
