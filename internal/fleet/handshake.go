package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"copperrock.example/copperrock/internal/storage/raftlog"
)

// hello is the first message on a connection, in both directions. The side that was called answers; it names a Rejection
// if it closes the connection.
type hello struct {
	Format      int    `msgpack:"Format"`
	Fleet       string `msgpack:"Fleet"`
	Name        string `msgpack:"Name"`
	Voter       uint64 `msgpack:"Voter"`   // number among the voters, 0 for none
	Boot        uint64 `msgpack:"Boot"`    // of a voter's own connections: number of its start on its disk, else 0
	Incarnation uint64 `msgpack:"Life"`    // of the voter's process that made the start
	Rejection   string `msgpack:"Refused"` // why the connection is not accepted, "" where it is
}

// isVoter tells whether the connection is a voter's, for raft, rather than a controller's.
func (h hello) isVoter() bool { return h.Voter != 0 && h.Boot != 0 }

// hello is what this voter says on its connections to the others.
func (v *voter) hello() hello {
	own := v.options.hello()
	own.Boot, own.Incarnation = v.file.Boot(), v.incarnation
	return own
}

// hello is what a controller says on its connections to voters.
func (o *Options) hello() hello {
	return hello{Format: wireFormat, Fleet: o.Name, Name: o.Self, Voter: o.voterID()}
}

// errStaleDisk tells a voter that the others know of a later start of it, so its disk is an older copy.
var errStaleDisk = errors.New("a later start of this voter was met")

// checkPeer tells why the other side is not to be talked to, nil where it is.
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
	within := options.writeTimeout()
	if err := writeFrame(conn, within, frameHello, encodeMessage(own)); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(within))
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
		return other, errFrame
	}
	err = decodeMessage(body, &other)
	return other, err
}

// handshake asks the voter's goroutine whether another voter may connect. The rejection is sent once, "" for none.
type handshake struct {
	voter     uint64
	start     raftlog.Start
	rejection chan string // of capacity one
}

// admitVoter decides whether another voter may connect, and records the latest start of each on disk.
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

// reportStaleDisk logs, once, that the other voters know of a later start of this one.
func (v *voter) reportStaleDisk(why string) {
	v.staleDiskOnce.Do(func() {
		v.log.Error().Str("why", why).Msg("this voter's disk is an older copy: the other voters ignore it, replace it")
	})
}
