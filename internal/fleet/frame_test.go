package fleet

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// A frame of an unknown kind, or longer than its kind may be, is not read; nothing of it is allocated.
func TestBadFrames(t *testing.T) {
	for _, c := range []struct {
		name   string
		length uint32
		kind   frameKind
	}{
		{"no kind", 0, frameHello},
		{"kind zero", 1, 0},
		{"a kind past the last", 1, frameLoadFeed + 1},
		{"a request that is too long", maxRequestFrame + 1, frameLeaseRequest},
		{"a hello that is too long", maxRequestFrame + 1, frameHello},
		{"a message of raft that is too long", maxRaftFrame + 1, frameRaft},
	} {
		header := append(binary.BigEndian.AppendUint32(nil, c.length), byte(c.kind))
		if _, _, err := readFrame(bytes.NewReader(header)); !errors.Is(err, errFrame) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// A lease request whose numbers are absurd, or that names no controller, is not taken.
func TestBadLeaseRequests(t *testing.T) {
	id := state.ControllerID{Name: "a", Incarnation: 1}
	if _, err := decodeLeaseRequest(encodeMessage(consensus.LeaseRequest{Controller: id, Demands: []consensus.Demand{{Used: 1, Weight: 2}}})); err != nil {
		t.Error(err)
	}
	zero := 0.0
	for name, request := range map[string]consensus.LeaseRequest{
		"no name":                {},
		"a name that is long":    {Controller: state.ControllerID{Name: string(make([]byte, maxNameLength+1))}},
		"less than nothing used": {Controller: id, Demands: []consensus.Demand{{Used: -1}}},
		"no number":              {Controller: id, Demands: []consensus.Demand{{Wanted: zero / zero}}},
		"too much wanted":        {Controller: id, Demands: []consensus.Demand{{Wanted: 2 * maxReportedAmount}}},
		"too much weight":        {Controller: id, Demands: []consensus.Demand{{Weight: 2 * maxReportedWeight}}},
		"negative capacity":      {Controller: id, WorkCapacity: -1},
		"too many lists":         {Controller: id, ListVersions: manyLists(maxLists + 1)},
	} {
		if _, err := decodeLeaseRequest(encodeMessage(request)); !errors.Is(err, errFrame) {
			t.Errorf("%s: %v", name, err)
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

// What the two sides of a connection refuse each other for.
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
			t.Errorf("%s: %q", c.name, got)
		}
		if isStale := errors.Is(err, errStaleDisk); isStale != (c.name == "a stale disk") {
			t.Errorf("%s: stale disk %v", c.name, isStale)
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
