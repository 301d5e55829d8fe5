package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// frameKind identifies the type of a frame's body. Controllers exchange frames over TCP. A frame consists of the length of
// the rest (four bytes, big-endian), the kind (one byte) and the body. The first frame in each direction is a hello. Bodies
// are encoded as MessagePack, except for raft messages, which are protobuf.
type frameKind byte

// The kinds of frame, with the type of the body and the direction.
const (
	frameHello          frameKind = 1 + iota // hello, in both directions
	frameRaft                                // raftpb.Message, between voters
	frameLeaseRequest                        // consensus.LeaseRequest, from a controller to a voter
	frameLeaseResponse                       // consensus.LeaseResponse, its answer
	frameStatusRequest                       // no body, from an operator's command to a voter
	frameStatus                              // Status, its answer
	frameProposal                            // consensus.Proposal, from a controller or an operator's command to a voter
	frameProposalResult                      // consensus.ProposalResult, its answer
	frameLoadReports                         // []LoadReport, from a controller to the leader
	frameLoadFeed                            // []LoadReport, from the leader to all other controllers
)

// wireFormat is the protocol version in a hello. Both sides must have the same version.
const wireFormat = 2

// Layout of a frame and limits of its length, which are checked before a body is allocated. A request names a few
// quantities of some 60 bytes each. The state of a thousand controllers, which raft messages carry, takes some hundred KB.
const (
	frameLengthBytes = 4
	frameHeaderBytes = frameLengthBytes + 1
	maxRequestFrame  = 256 << 10
	maxRaftFrame     = 16 << 20
)

// errInvalidFrame is wrapped by every error about a frame or a message that can't be decoded or is out of bounds.
var errInvalidFrame = errors.New("invalid frame")

// frame is a frame to be written.
type frame struct {
	kind frameKind
	body []byte
}

// maxLength returns the largest length of a frame of this kind, as its length field has it: the kind and the body.
func (k frameKind) maxLength() uint32 {
	switch k {
	case frameRaft, frameStatus, frameLeaseResponse, frameProposal:
		return maxRaftFrame
	default:
		return maxRequestFrame
	}
}

// writeFrame writes one frame, or fails after the timeout.
func writeFrame(conn net.Conn, timeout time.Duration, kind frameKind, body []byte) error {
	buffer := make([]byte, 0, frameHeaderBytes+len(body))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)+1))
	buffer = append(buffer, byte(kind))
	buffer = append(buffer, body...)
	conn.SetWriteDeadline(time.Now().Add(timeout))
	_, err := conn.Write(buffer)
	return err
}

// readFrame reads one frame. Its error wraps errInvalidFrame if the header is invalid.
func readFrame(r io.Reader) (kind frameKind, body []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length, kind := binary.BigEndian.Uint32(header[:]), frameKind(header[frameLengthBytes])
	if kind < frameHello || kind > frameLoadFeed || length < 1 || length > kind.maxLength() {
		return 0, nil, fmt.Errorf("%w: kind %d of %d bytes", errInvalidFrame, kind, length)
	}
	body = make([]byte, length-1)
	_, err = io.ReadFull(r, body)
	return kind, body, err
}
