package fleet

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// frameOf gives the bytes that writeFrame puts on a connection.
func frameOf(t *testing.T, kind frameKind, body []byte) []byte {
	t.Helper()
	near, far := net.Pipe()
	written := make(chan error, 1)
	go func() {
		written <- writeFrame(near, time.Minute, kind, body)
		near.Close()
	}()
	frame, err := io.ReadAll(far)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	return frame
}

// One frame of each kind, every field of its message set, is written and read as the builds before did.
func TestGoldenFrames(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    frameKind
		message any // a pointer, so that a frame can be read into another of its type
	}{
		{"greeting", frameHello, new(hello)},
		{"asking", frameLeaseRequest, new(consensus.LeaseRequest)},
		{"answering", frameLeaseResponse, new(consensus.LeaseResponse)},
		{"viewed", frameStatus, new(Status)},
		{"acting", frameProposal, new(consensus.Proposal)},
		{"acted", frameProposalResult, new(consensus.ProposalResult)},
		{"telling", frameLoadReports, new([]LoadReport)},
		{"news", frameLoadFeed, new([]LoadReport)},
	} {
		t.Run(c.name, func(t *testing.T) {
			testutil.Fill(c.message)
			golden := testutil.Golden(t, "frames/"+c.name, frameOf(t, c.kind, encodeMessage(c.message)))
			kind, body, err := readFrame(bytes.NewReader(golden))
			if err != nil || kind != c.kind {
				t.Fatalf("kind %d, error %v", kind, err)
			}
			got := blankOf(c.message)
			if err := decodeMessage(body, got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.message, got, cmpopts.IgnoreUnexported(consensus.Demand{})); diff != "" {
				t.Errorf("message read from the golden file (-want +got):\n%s", diff)
			}
		})
	}
}

// blankOf gives a pointer to the zero value of the type that another pointer leads to.
func blankOf(message any) any {
	switch message.(type) {
	case *hello:
		return new(hello)
	case *consensus.LeaseRequest:
		return new(consensus.LeaseRequest)
	case *consensus.LeaseResponse:
		return new(consensus.LeaseResponse)
	case *Status:
		return new(Status)
	case *consensus.Proposal:
		return new(consensus.Proposal)
	case *consensus.ProposalResult:
		return new(consensus.ProposalResult)
	default:
		return new([]LoadReport)
	}
}

// The kinds that carry no MessagePack: raft's messages, and the question for what a voter knows, which has no body.
func TestGoldenOtherFrames(t *testing.T) {
	ask := testutil.Golden(t, "frames/viewing", frameOf(t, frameStatusRequest, nil))
	if kind, body, err := readFrame(bytes.NewReader(ask)); err != nil || kind != frameStatusRequest || len(body) != 0 {
		t.Errorf("viewing: kind %d, %d bytes, error %v", kind, len(body), err)
	}
	want := &raftpb.Message{
		Type: raftpb.MessageType_MsgApp.Enum(), From: proto.Uint64(1), To: proto.Uint64(2), Term: proto.Uint64(7),
		LogTerm: proto.Uint64(6), Index: proto.Uint64(40), Commit: proto.Uint64(39),
		Entries: []*raftpb.Entry{{Index: proto.Uint64(41), Term: proto.Uint64(7), Data: []byte("data")}},
	}
	data, err := proto.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	kind, body, err := readFrame(bytes.NewReader(testutil.Golden(t, "frames/votes", frameOf(t, frameRaft, data))))
	if err != nil || kind != frameRaft {
		t.Fatalf("votes: kind %d, error %v", kind, err)
	}
	if got, err := decodeRaftMessage(body); err != nil || !proto.Equal(want, got) {
		t.Errorf("votes: %v, error %v", got, err)
	}
}
