package fleet

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// encodeFrame returns the bytes that writeFrame writes to a connection.
func encodeFrame(t *testing.T, kind frameKind, body []byte) []byte {
	t.Helper()
	writeEnd, readEnd := net.Pipe()
	writeErr := make(chan error, 1)
	go func() {
		writeErr <- writeFrame(writeEnd, time.Minute, kind, body)
		writeEnd.Close()
	}()
	frame, err := io.ReadAll(readEnd)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-writeErr; err != nil {
		t.Fatal(err)
	}
	return frame
}

// One frame of each kind, with every field of its message set, is written and read in the same format as by earlier builds,
// so that controllers of different builds understand each other.
func TestGoldenFrames(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    frameKind
		message any // pointer to a message of the frame's type
	}{
		{"greeting", frameHello, new(hello)},
		{"asking", frameLeaseRequest, new(consensus.LeaseRequest)},
		{"answering-restored", frameLeaseResponse, new(consensus.LeaseResponse)},
		{"viewed", frameStatus, new(Status)},
		{"acting", frameProposal, new(consensus.Proposal)},
		{"acted", frameProposalResult, new(consensus.ProposalResult)},
		{"telling", frameLoadReports, new([]LoadReport)},
		{"news", frameLoadFeed, new([]LoadReport)},
	} {
		t.Run(c.name, func(t *testing.T) {
			testutil.FillFields(c.message)
			golden := testutil.CheckGolden(t, "frames/"+c.name, encodeFrame(t, c.kind, encodeMessage(c.message)))
			kind, body, err := readFrame(bytes.NewReader(golden))
			if err != nil || kind != c.kind {
				t.Fatalf("got kind %d and error %v, want kind %d", kind, err, c.kind)
			}
			got := newOfSameType(c.message)
			if err := decodeMessage(body, got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.message, got, cmpopts.IgnoreUnexported(consensus.Demand{})); diff != "" {
				t.Errorf("message read from the golden file (-want +got):\n%s", diff)
			}
		})
	}
}

// A lease response of builds without ScheduledJob.Restored, with every field set that they had, is read, and a response in which
// that field is not set is written as they wrote it.
func TestGoldenFrameWithoutRestored(t *testing.T) {
	golden, err := os.ReadFile("testdata/frames/answering.golden")
	if err != nil {
		t.Fatal(err)
	}
	kind, body, err := readFrame(bytes.NewReader(golden))
	if err != nil || kind != frameLeaseResponse {
		t.Fatalf("got kind %d and error %v, want kind %d", kind, err, frameLeaseResponse)
	}
	var response consensus.LeaseResponse
	if err := decodeMessage(body, &response); err != nil {
		t.Fatal(err)
	}
	for _, job := range response.ScheduledJobs {
		if job.Name == "" || job.LastDue == 0 || len(job.OpenRuns) != 2 || job.Restored {
			t.Errorf("got job %+v", job)
		}
	}
	testutil.CheckGolden(t, "frames/answering", encodeFrame(t, kind, encodeMessage(&response)))
}

// newOfSameType returns a pointer to a zero value of the type that message points to.
func newOfSameType(message any) any {
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

// Like TestGoldenFrames, for the kinds whose body is not MessagePack: raft messages, and the status request, which has no
// body.
func TestGoldenOtherFrames(t *testing.T) {
	request := testutil.CheckGolden(t, "frames/viewing", encodeFrame(t, frameStatusRequest, nil))
	if kind, body, err := readFrame(bytes.NewReader(request)); err != nil || kind != frameStatusRequest || len(body) != 0 {
		t.Errorf("status request: got kind %d, %d bytes and error %v, want kind %d without a body", kind, len(body), err, frameStatusRequest)
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
	kind, body, err := readFrame(bytes.NewReader(testutil.CheckGolden(t, "frames/votes", encodeFrame(t, frameRaft, data))))
	if err != nil || kind != frameRaft {
		t.Fatalf("raft message: got kind %d and error %v, want kind %d", kind, err, frameRaft)
	}
	if got, err := decodeRaftMessage(body); err != nil || !proto.Equal(want, got) {
		t.Errorf("raft message: got %v and error %v, want %v", got, err, want)
	}
}
