package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	store "copperrock.example/copperrock/internal/storage/raftlog"
)

// hello opens a connection, from either side.
type hello struct {
	Format      int    `msgpack:"Format"`
	Fleet       string `msgpack:"Fleet"`
	Name        string `msgpack:"Name"`
	Voter       uint64 `msgpack:"Voter"` // 0 for none
	Boot        uint64 `msgpack:"Boot"`  // of a voter: which of its starts this is
	Incarnation uint64 `msgpack:"Life"`
	Rejection   string `msgpack:"Refused"` // why the other side is not talked to
}

// hello is how this voter opens its connections to the others.
func (v *voter) hello() hello {
	return hello{Format: wireFormat, Fleet: v.options.Name, Name: v.options.Self, Voter: v.options.voterID(), Boot: v.file.Boot(), Incarnation: v.incarnation}
}

// hello is how a controller opens a connection for asks.
func (f *Options) hello() hello {
	return hello{Format: wireFormat, Fleet: f.Name, Name: f.Self, Voter: f.voterID()}
}

// reportStaleDisk is told once that the other voters know of a later start of this one: its disk is an older copy.
func (v *voter) reportStaleDisk(why string) {
	v.staleDiskOnce.Do(func() {
		v.log.Error().Str("why", why).Msg("this voter's disk is an older copy: the others hear nothing from it, and it is to be replaced")
	})
}

// errStaleDisk is what a voter is told whose disk is an older copy.
var errStaleDisk = errors.New("a later start of this voter was met")

// handshake is another voter that connects; its answer is why it is not talked to, "" where it is.
type handshake struct {
	voter     uint64
	start     store.Start
	rejection chan string
}

// admitVoter decides whether another voter is talked to, and remembers the latest start of each.
func (v *voter) admitVoter(m handshake) (why string, err error) {
	seen, met := v.file.PeerStarts()[m.voter]
	switch {
	case !v.core.IsVoter(m.voter):
		return fmt.Sprintf("%d is the number of no voter here", m.voter), nil
	case met && m.start.OlderThan(seen):
		v.log.Error().Uint64("voter", m.voter).Uint64("start", m.start.Boot).Uint64("met", seen.Boot).Msg("a voter comes with an older copy of its disk, and is not heard")
		return errStaleDisk.Error(), nil
	case !met || m.start != seen:
		return "", v.file.RecordPeer(m.voter, m.start)
	}
	return "", nil
}

// dial connects to a voter and greets it.
func dial(ctx context.Context, f *Options, address string, own hello) (net.Conn, error) {
	dialer := net.Dialer{Timeout: seconds(f.Lease / 2)}
	peer, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := exchangeHello(peer, f, own); err != nil {
		peer.Close()
		return nil, err
	}
	return peer, nil
}

// exchangeHello says who this is and hears who the other is.
func exchangeHello(peer net.Conn, f *Options, own hello) error {
	within := seconds(f.Lease / 2)
	if err := writeFrame(peer, within, frameHello, encodeMessage(own)); err != nil {
		return err
	}
	peer.SetReadDeadline(time.Now().Add(within))
	defer peer.SetReadDeadline(time.Time{})
	kind, body, err := readFrame(peer)
	if err != nil {
		return err
	}
	var other hello
	if kind != frameHello {
		return errFrame
	}
	if err := decodeMessage(body, &other); err != nil {
		return err
	}
	return own.checkPeer(other)
}

// checkPeer tells why the other is not talked to, nil where it is.
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
