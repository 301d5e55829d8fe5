package merge

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// gate writes down what it is told.
type gate struct{ lines *[]string }

func (g gate) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	*g.lines = append(*g.lines, fmt.Sprintf("  -> mode %d %v", mode, engines))
}

func engine(name string, port int, state discovery.State) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: fmt.Sprintf("10.0.0.1:%d", port), Weight: 1, State: state}
}

// The file goes first by name and by address, each source keeps its last list, and what the channel says is gone is
// told as gone once.
func TestTwoSources(t *testing.T) {
	var lines []string
	j := New(2, gate{&lines}, zerolog.Nop())
	file, channel := j.Source(0), j.Source(1)
	say := func(what string) { lines = append(lines, what) }
	say("channel: a, b")
	channel.UpdateEndpoints(discovery.Snapshot, []discovery.Endpoint{engine("a", 1, discovery.InService), engine("b", 2, discovery.InService)})
	say("file: b elsewhere, c at a's address")
	file.UpdateEndpoints(discovery.DrainingSnapshot, []discovery.Endpoint{engine("b", 9, discovery.InService), engine("c", 1, discovery.InService)})
	say("channel: a terminated")
	channel.UpdateEndpoints(discovery.Delta, []discovery.Endpoint{engine("a", 1, discovery.Terminated)})
	say("channel: d, whole")
	channel.UpdateEndpoints(discovery.Snapshot, []discovery.Endpoint{engine("d", 4, discovery.InService)})
	say("channel: e terminating by a change")
	channel.UpdateEndpoints(discovery.Delta, []discovery.Endpoint{engine("e", 5, discovery.Terminating)})
	say("file: nothing")
	file.UpdateEndpoints(discovery.DrainingSnapshot, nil)
	testutil.CheckTrace(t, lines)
}
