package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"copperrock.example/copperrock/internal/storage/raftlog"
)

// hello is the first message on a connection, in both directions. The side that accepted the connection answers the other's
// hello, with a Rejection if it is going to close the connection.
type hello struct {
	Format      int    `msgpack:"Format"`
	Fleet       string `msgpack:"Fleet"`
	Name        string `msgpack:"Name"`
	Voter       uint64 `msgpack:"Voter"`   // the voter's number, 0 for a controller that is not a voter
	Boot        uint64 `msgpack:"Boot"`    // on connections for raft, the number of the voter's start, kept on its disk; otherwise 0
	Incarnation uint64 `msgpack:"Life"`    // incarnation of the voter's process at that start
	Rejection   string `msgpack:"Refused"` // why the connection is rejected, "" if it is accepted
}

// isVoter reports whether the connection carries raft messages of a voter, rather than a controller's requests.
func (h hello) isVoter() bool { return h.Voter != 0 && h.Boot != 0 }

// hello returns this voter's hello for its connections with other voters.
func (v *voter) hello() hello {
	own := v.options.hello()
	own.Boot, own.Incarnation = v.file.Boot(), v.incarnation
	return own
}

// hello returns a controller's hello for its connections to voters.
func (o *Options) hello() hello {
	return hello{Format: wireFormat, Fleet: o.Name, Name: o.Self, Voter: o.voterID()}
}

// errStaleDisk is the error of a voter whose disk is an older copy: another voter has recorded a later start of it. Its text
// is sent as the Rejection of a hello, and compared with it, so it must not change.
var errStaleDisk = errors.New("a later start of this voter was met")

// checkPeer returns why the connection to the sender of the other hello must be closed, or nil. The text of the error is
// sent to the other side as the Rejection.
func (h hello) checkPeer(other hello) error {
	switch {
	case other.Rejection == errStaleDisk.Error():
		return fmt.Errorf("%s: %w", other.Name, errStaleDisk)
	case other.Rejection != "":
		return fmt.Errorf("refused by %s: %s", other.Name, other.Rejection)
	case other.Format != h.Format:
		return fmt.Errorf("%s speaks format %d, this program %d", other.Name, other.Format, h.Format)
	case other.Fleet != h.Fleet:
		return fmt.Errorf("%s is of fleet %q, this is %q", other.Name, other.Fleet, h.Fleet)
	}
	return nil
}

// dial connects to a voter and exchanges hellos. The caller closes the connection.
func dial(ctx context.Context, options *Options, address string, own hello) (net.Conn, error) {
	dialer := net.Dialer{Timeout: options.writeTimeout()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := exchangeHello(conn, options, own); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// exchangeHello sends a hello and checks the answer.
func exchangeHello(conn net.Conn, options *Options, own hello) error {
	timeout := options.writeTimeout()
	if err := writeFrame(conn, timeout, frameHello, encodeMessage(own)); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(timeout))
	defer conn.SetReadDeadline(time.Time{})
	other, err := readHello(conn)
	if err != nil {
		return err
	}
	return own.checkPeer(other)
}

// readHello reads the first frame of a connection.
func readHello(conn net.Conn) (other hello, err error) {
	kind, body, err := readFrame(conn)
	if err != nil {
		return other, err
	}
	if kind != frameHello {
		return other, errInvalidFrame
	}
	err = decodeMessage(body, &other)
	return other, err
}

// handshake asks the voter's goroutine whether another voter may connect. The goroutine sends the rejection once, "" for
// none.
type handshake struct {
	voter     uint64
	start     raftlog.Start
	rejection chan string // has a buffer of one, so that sending never blocks
}

// admitVoter decides whether another voter may connect, and records the latest start of each voter on disk.
func (v *voter) admitVoter(peer handshake) (rejection string, err error) {
	latest, known := v.file.PeerStarts()[peer.voter]
	switch {
	case !v.core.IsVoter(peer.voter):
		return fmt.Sprintf("%d is the number of no voter here", peer.voter), nil
	case known && peer.start.OlderThan(latest):
		v.log.Error().Uint64("voter", peer.voter).Uint64("start", peer.start.Boot).Uint64("met", latest.Boot).Msg("a voter with an older copy of its disk is ignored")
		return errStaleDisk.Error(), nil
	case !known || peer.start != latest:
		return "", v.file.RecordPeer(peer.voter, peer.start)
	}
	return "", nil
}

// reportStaleDisk logs, once, that the other voters have recorded a later start of this voter.
func (v *voter) reportStaleDisk(reason string) {
	v.staleDiskOnce.Do(func() {
		v.log.Error().Str("why", reason).Msg("this voter's disk is an older copy and the other voters ignore it: replace this voter")
	})
}
