package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// recordingWorker records the overrides and lists that are passed to it.
type recordingWorker struct{ calls []string }

func (w *recordingWorker) Capacity() float64                      { return 1 }
func (w *recordingWorker) ShardsChanged([]assignment.Change)      {}
func (w *recordingWorker) ScheduledJobs([]consensus.ScheduledJob) {}
func (w *recordingWorker) LoadReported([]LoadReport)              {}
func (w *recordingWorker) EnginesPolled() []uint32                { return nil }
func (w *recordingWorker) SetWidelyPolled([]uint32)               {}
func (w *recordingWorker) ApplyOverride(override state.Override) {
	w.calls = append(w.calls, fmt.Sprintf("%s of %s, revoked %v", override.Kind, override.Target, override.Revoked))
}

func (w *recordingWorker) ListPublished(name string, _, version uint64, _ []byte) {
	w.calls = append(w.calls, fmt.Sprintf("list %s, version %d", name, version))
}

// noQuotas is a QuotaUser that uses no quantity.
type noQuotas struct{}

func (noQuotas) Usage() []Usage    { return nil }
func (noQuotas) SetQuotas([]Quota) {}

// A response that arrives after a later one must not bring back an override that was revoked in between, or an older version
// of a list.
func TestOverridesAndListsOutOfOrder(t *testing.T) {
	options := &Options{Self: "c1", Voters: []Voter{{Name: "c0", Number: 1}}, Lease: 1, MaxControllers: 8}
	member := NewMember(options, noQuotas{}, zerolog.Nop())
	worker := &recordingWorker{}
	member.SetWorker(worker)
	drain := state.Override{Number: 7, Kind: state.DrainEngine, Target: "e1"}
	revoked := state.Override{Number: 9, Kind: state.DrainEngine, Target: "e1", Revoked: true}
	first, second := member.nextRequest(false).Number, member.nextRequest(false).Number
	respond := func(number uint64, override state.Override, version uint64) {
		member.handleResponse(consensus.LeaseResponse{
			To:        state.ControllerID{Name: "c1", Incarnation: member.incarnation},
			Number:    number,
			Status:    consensus.StatusGranted,
			Leader:    1,
			Overrides: []state.Override{override},
			Lists:     []consensus.PublishedList{{Name: "engines", Version: version}},
		})
	}
	respond(first, revoked, 4) // the leader handled the first request after the second one
	respond(second, drain, 3)
	want := []string{"drain of e1, revoked true", "list engines, version 4"}
	if !slices.Equal(worker.calls, want) {
		t.Errorf("got calls %q, want %q", worker.calls, want)
	}
	if request := member.nextRequest(false); request.AppliedOverride != 9 || request.ListVersions["engines"] != 4 {
		t.Errorf("request reports override %d and list version %d, want 9 and 4", request.AppliedOverride, request.ListVersions["engines"])
	}
}
