package fleet

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// A frame of an unknown kind, or one longer than the limit of its kind, is rejected by its header, before its body is
// allocated.
func TestBadFrames(t *testing.T) {
	for _, c := range []struct {
		name   string
		length uint32
		kind   frameKind
	}{
		{"length without room for the kind", 0, frameHello},
		{"kind zero", 1, 0},
		{"kind beyond the last", 1, frameLoadFeed + 1},
		{"request too long", maxRequestFrame + 1, frameLeaseRequest},
		{"hello too long", maxRequestFrame + 1, frameHello},
		{"raft message too long", maxRaftFrame + 1, frameRaft},
	} {
		header := append(binary.BigEndian.AppendUint32(nil, c.length), byte(c.kind))
		if _, _, err := readFrame(bytes.NewReader(header)); !errors.Is(err, errInvalidFrame) {
			t.Errorf("%s: got error %v, want errInvalidFrame", c.name, err)
		}
	}
}

// A lease request without a controller's name, or with numbers out of bounds, is rejected.
func TestBadLeaseRequests(t *testing.T) {
	id := state.ControllerID{Name: "a", Incarnation: 1}
	if _, err := decodeLeaseRequest(encodeMessage(consensus.LeaseRequest{Controller: id, Demands: []consensus.Demand{{Used: 1, Weight: 2}}})); err != nil {
		t.Errorf("valid request: got error %v", err)
	}
	zero := 0.0
	for name, request := range map[string]consensus.LeaseRequest{
		"no name":             {},
		"name too long":       {Controller: state.ControllerID{Name: string(make([]byte, maxNameLength+1))}},
		"negative use":        {Controller: id, Demands: []consensus.Demand{{Used: -1}}},
		"demand not a number": {Controller: id, Demands: []consensus.Demand{{Wanted: zero / zero}}},
		"demand too large":    {Controller: id, Demands: []consensus.Demand{{Wanted: 2 * maxReportedAmount}}},
		"weight too large":    {Controller: id, Demands: []consensus.Demand{{Weight: 2 * maxReportedWeight}}},
		"negative capacity":   {Controller: id, WorkCapacity: -1},
		"too many lists":      {Controller: id, ListVersions: manyLists(maxLists + 1)},
	} {
		if _, err := decodeLeaseRequest(encodeMessage(request)); !errors.Is(err, errInvalidFrame) {
			t.Errorf("%s: got error %v, want errInvalidFrame", name, err)
		}
	}
}

func manyLists(count int) map[string]uint64 {
	lists := map[string]uint64{}
	for i := range count {
		lists[string(rune('a'+i))] = 1
	}
	return lists
}

// The reasons for which one side of a connection rejects the other. The text of errStaleDisk is recognized in a rejection.
func TestCheckPeer(t *testing.T) {
	own := hello{Format: wireFormat, Fleet: "f", Name: "own"}
	for _, c := range []struct {
		name  string
		other hello
		want  string
	}{
		{"the same fleet", hello{Format: wireFormat, Fleet: "f", Name: "a"}, ""},
		{"another fleet", hello{Format: wireFormat, Fleet: "g", Name: "a"}, `a is of fleet "g", this is "f"`},
		{"another format", hello{Format: 1, Fleet: "f", Name: "a"}, "a speaks format 1, this program 2"},
		{"a refusal", hello{Format: wireFormat, Fleet: "f", Name: "a", Rejection: "why"}, "refused by a: why"},
		{"a stale disk", hello{Format: wireFormat, Fleet: "f", Name: "a", Rejection: errStaleDisk.Error()}, "a: a later start of this voter was met"},
	} {
		err := own.checkPeer(c.other)
		if got := errorText(err); got != c.want {
			t.Errorf("%s: got error %q, want %q", c.name, got, c.want)
		}
		if isStale := errors.Is(err, errStaleDisk); isStale != (c.name == "a stale disk") {
			t.Errorf("%s: got errStaleDisk %v, want %v", c.name, isStale, !isStale)
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
