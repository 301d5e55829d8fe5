package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// Controllers talk over TCP in frames: the length of what follows in four bytes, a byte for the kind, the message. The
// first frame of each side says who it is. Votes and the log go in raft's own protobuf, asks and answers in MessagePack,
// which the program speaks anyway.
const (
	frameHello byte = 1 + iota // to and from: hello
	frameRaft                  // raft's messages, between voters
	frameLeaseRequest
	frameLeaseResponse
	frameStatusRequest // what a voter knows, for operators
	frameStatus
	frameProposal       // of owners of slices and operators: quorum.Act
	frameProposalResult // quorum.Acted
	frameLoadReports    // readings, from the one that took them to whoever leads
	frameLoadFeed       // the same, from there to all
)

// wireFormat is the number of this form of talk.
const wireFormat = 2

// Bounds of a frame, checked before anything is allocated. An ask names a few quantities of some 60 bytes each; the
// ledger of some thousand controllers, in raft's messages, has some hundred KB.
const (
	maxRequestFrame = 256 << 10
	maxRaftFrame    = 16 << 20
)

var errFrame = errors.New("a frame that can't be used")

// writeFrame writes one frame within a time.
func writeFrame(to net.Conn, within time.Duration, kind byte, body []byte) error {
	b := make([]byte, 0, 5+len(body))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+1))
	b = append(append(b, kind), body...)
	to.SetWriteDeadline(time.Now().Add(within))
	_, err := to.Write(b)
	return err
}

// readFrame reads one frame. most bounds each kind.
func readFrame(from io.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return 0, nil, err
	}
	size, kind := binary.BigEndian.Uint32(head[:]), head[4]
	most := uint32(maxRequestFrame)
	if kind == frameRaft || kind == frameStatus || kind == frameLeaseResponse || kind == frameProposal {
		most = maxRaftFrame
	}
	if kind < frameHello || kind > frameLoadFeed || size < 1 || size > most {
		return 0, nil, fmt.Errorf("%w: kind %d of %d bytes", errFrame, kind, size)
	}
	body = make([]byte, size-1)
	_, err = io.ReadFull(from, body)
	return kind, body, err
}

func encodeMessage(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // plain values of our own
	}
	return b
}

// decodeMessage reads a message of ours; one that is not whole is an error.
func decodeMessage(b []byte, into any) error {
	if err := msgpack.Unmarshal(b, into); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}

// decodeLeaseRequest reads an ask and checks what it says.
func decodeLeaseRequest(b []byte) (a consensus.LeaseRequest, err error) {
	if err = decodeMessage(b, &a); err != nil {
		return a, err
	}
	if a.Controller.Name == "" || len(a.Controller.Name) > 256 || len(a.Demands) > 10000 || len(a.Quantities) > 10000 {
		return a, errFrame
	}
	if len(a.ReturnedShards) > 100000 || len(a.ListVersions) > 100 || len(a.ScheduledJobs) > 10000 || len(a.Tasks) > 100 || !(a.WorkCapacity >= 0) {
		return a, errFrame
	}
	for _, d := range a.Demands {
		if !(d.Used >= 0) || !(d.Wanted >= 0) || !(d.Weight >= 0) || !(d.Guaranteed >= 0) || d.Used > 1e15 || d.Wanted > 1e15 || d.Weight > 1e6 {
			return a, errFrame
		}
	}
	return a, nil
}

func decodeRaftMessage(b []byte) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	}
	return m, nil
}
