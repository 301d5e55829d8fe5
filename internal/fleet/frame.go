package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// frameKind is the second field of a frame. Controllers talk over TCP in frames: the length of the rest in four bytes,
// big-endian; the kind in one byte; the body. The first frame of each side is a hello. Raft's messages are protobuf, all
// other bodies MessagePack.
type frameKind byte

// The kinds of frame, with the type of their body.
const (
	frameHello          frameKind = 1 + iota // hello, in both directions
	frameRaft                                // raftpb.Message, between voters
	frameLeaseRequest                        // consensus.LeaseRequest, to a voter
	frameLeaseResponse                       // consensus.LeaseResponse
	frameStatusRequest                       // none; from an operator to a voter
	frameStatus                              // Status
	frameProposal                            // consensus.Proposal, of a controller or an operator to a voter
	frameProposalResult                      // consensus.ProposalResult
	frameLoadReports                         // []LoadReport, to the leader
	frameLoadFeed                            // []LoadReport, from the leader to everyone else
)

// wireFormat is the version of the protocol that a hello names. Both sides have to speak the same.
const wireFormat = 2

// Limits and layout of a frame. A body is bounded before it is allocated: a request names a few quantities of some 60
// bytes each; the state of a thousand controllers, in raft's messages, has some hundred KB.
const (
	frameLengthBytes = 4
	frameHeaderBytes = frameLengthBytes + 1
	maxRequestFrame  = 256 << 10
	maxRaftFrame     = 16 << 20
)

// errFrame is wrapped by every error about a frame or a message that can't be read.
var errFrame = errors.New("a frame that can't be used")

// frame is one frame to be written.
type frame struct {
	kind frameKind
	body []byte
}

// maxLength is how long a frame of a kind may be, its kind included.
func (k frameKind) maxLength() uint32 {
	switch k {
	case frameRaft, frameStatus, frameLeaseResponse, frameProposal:
		return maxRaftFrame
	default:
		return maxRequestFrame
	}
}

// writeFrame writes one frame, within a time.
func writeFrame(conn net.Conn, within time.Duration, kind frameKind, body []byte) error {
	buffer := make([]byte, 0, frameHeaderBytes+len(body))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)+1))
	buffer = append(buffer, byte(kind))
	buffer = append(buffer, body...)
	conn.SetWriteDeadline(time.Now().Add(within))
	_, err := conn.Write(buffer)
	return err
}

// readFrame reads one frame.
func readFrame(from io.Reader) (kind frameKind, body []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return 0, nil, err
	}
	length, kind := binary.BigEndian.Uint32(header[:]), frameKind(header[frameLengthBytes])
	if kind < frameHello || kind > frameLoadFeed || length < 1 || length > kind.maxLength() {
		return 0, nil, fmt.Errorf("%w: kind %d of %d bytes", errFrame, kind, length)
	}
	body = make([]byte, length-1)
	_, err = io.ReadFull(from, body)
	return kind, body, err
}
