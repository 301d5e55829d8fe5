// Package faultproxy provides a TCP proxy on loopback that simulates a faulty network: partitioned in one or both directions,
// slow, flapping, or with connections that are reset or refused. Faults can be changed while the proxy runs.
package faultproxy

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"sync"
	"time"
)

// Link describes how a proxy treats traffic. The zero value forwards everything at once. "Forward" is the direction from the
// party that dials the proxy to the proxy's target.
type Link struct {
	BlockForward, BlockBackward bool          // hold data back until unblocked; nothing is lost, because TCP would retransmit
	Delay                       time.Duration // in each direction
	Reset                       float64       // probability that a chunk of data resets its connection instead of being forwarded
	Refuse                      bool          // reset all open connections, and new ones when they are accepted
	Flap                        time.Duration // block both directions in every other period of this length
}

// Partition is a link that is blocked in both directions.
var Partition = Link{BlockForward: true, BlockBackward: true}

// Proxy forwards connections from one party to another. While the link is blocked, the proxy accepts new connections but forwards
// nothing, which is harder on the dialing party than a refused connection. It may be used from several goroutines.
type Proxy struct {
	Name    string
	Address string // that parties dial to reach the target
	Seed    uint64 // of random resets

	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu             sync.Mutex // guards the fields below
	target         string
	link           Link
	linkSince      time.Time         // when the link was set
	linkChanged    chan struct{}     // closed when the link is set again
	conns          map[net.Conn]bool // open connections of both sides
	counter        uint64            // of random numbers
	forwardedBytes int64
	connections    int // forwarded since New
}

// New starts a proxy on a free loopback port that forwards connections to a target address, which SetTarget can change.
func New(name, target string, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Name: name, Address: l.Addr().String(), Seed: seed, listener: l, target: target, linkSince: time.Now(),
		linkChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.goroutines.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.goroutines.Go(func() { p.serve(conn) })
		}
	})
	return p, nil
}

// SetTarget makes the proxy forward new connections to another address.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetLink replaces the link. It applies from now on, also to open connections.
func (p *Proxy) SetLink(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link, p.linkSince = l, time.Now()
	close(p.linkChanged)
	p.linkChanged = make(chan struct{})
	if l.Refuse {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

// Forwarded returns the number of bytes and connections forwarded since New.
func (p *Proxy) Forwarded() (bytes int64, connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forwardedBytes, p.connections
}

// Close stops listening, closes all connections and waits until all goroutines have ended.
func (p *Proxy) Close() {
	p.stop()
	p.listener.Close()
	p.mu.Lock()
	for conn := range p.conns {
		conn.Close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	conn.Close()
}

// currentLink returns the link, with the effect of flapping at this moment, and a channel that is closed when the link is
// replaced.
func (p *Proxy) currentLink() (l Link, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l = p.link
	if l.Flap > 0 && int64(time.Since(p.linkSince)/l.Flap)%2 == 0 {
		l.BlockForward, l.BlockBackward = true, true
	}
	return l, p.linkChanged
}

// waitUnblocked waits until a direction is not blocked. It returns false if the proxy is closed.
func (p *Proxy) waitUnblocked(forward bool) bool {
	for {
		l, changed := p.currentLink()
		blocked := l.BlockBackward
		if forward {
			blocked = l.BlockForward
		}
		if !blocked {
			return p.ctx.Err() == nil
		}
		recheck := time.After(time.Hour)
		if l.Flap > 0 {
			recheck = time.After(l.Flap / 8) // often enough to notice the end of the period soon
		}
		select {
		case <-changed:
		case <-recheck:
		case <-p.ctx.Done():
			return false
		}
	}
}

// random returns the next random number in [0, 1).
func (p *Proxy) random() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counter++
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, [2]uint64{p.Seed, p.counter})
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return float64((x^x>>29)>>11) / (1 << 53)
}

// add registers a connection, so that Close closes it. If the proxy is already closed, it closes the connection and returns
// false.
func (p *Proxy) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		conn.Close()
		return false
	}
	p.conns[conn] = true
	return true
}

// remove closes and unregisters a connection.
func (p *Proxy) remove(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// serve forwards one accepted connection until it ends.
func (p *Proxy) serve(accepted net.Conn) {
	if !p.add(accepted) {
		return
	}
	defer p.remove(accepted)
	if l, _ := p.currentLink(); l.Refuse {
		reset(accepted)
		return
	}
	if !p.waitUnblocked(true) || !p.waitUnblocked(false) { // no connection is set up over a blocked link
		return
	}
	p.mu.Lock()
	target := p.target
	p.connections++
	p.mu.Unlock()
	dialed, err := net.DialTimeout("tcp", target, 5*time.Second)
	if err != nil {
		reset(accepted)
		return
	}
	if !p.add(dialed) {
		return
	}
	defer p.remove(dialed)
	var directions sync.WaitGroup
	directions.Go(func() { p.copyOneWay(accepted, dialed, true) })
	directions.Go(func() { p.copyOneWay(dialed, accepted, false) })
	directions.Wait()
}

const (
	maxInFlight = 64       // chunks in each direction of a connection
	chunkSize   = 16 << 10 // bytes
)

// chunk is data that was read in one call and is written when it is due.
type chunk struct {
	bytes []byte
	due   time.Time
}

// copyOneWay forwards one direction of a connection. The data in flight is bounded: a sender that is faster than the link has to
// wait, as with a real network.
func (p *Proxy) copyOneWay(from, to net.Conn, forward bool) {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	inFlight := make(chan chunk, maxInFlight)
	var reader sync.WaitGroup
	var readErr error
	reader.Go(func() {
		defer close(inFlight)
		readErr = p.readChunks(ctx, from, inFlight)
	})
	complete := p.writeChunks(ctx, inFlight, to, forward)
	cancel()
	if complete && p.waitUnblocked(forward) { // a partition also blocks the end of the stream
		reader.Wait()
		if conn, ok := to.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
			_ = conn.CloseWrite() // fails if the other side has closed in the meantime
			return
		}
	}
	reset(from)
	reset(to)
	reader.Wait()
}

// readChunks reads until the stream or ctx ends. It returns the error of the stream, io.EOF at its regular end.
func (p *Proxy) readChunks(ctx context.Context, from net.Conn, inFlight chan<- chunk) error {
	for {
		b := make([]byte, chunkSize)
		n, err := from.Read(b)
		if n > 0 {
			l, _ := p.currentLink()
			select {
			case inFlight <- chunk{b[:n], time.Now().Add(l.Delay)}:
			case <-ctx.Done():
				return nil
			}
		}
		if err != nil {
			return err
		}
	}
}

// writeChunks writes each chunk when it is due. It returns false if the connection must be reset.
func (p *Proxy) writeChunks(ctx context.Context, inFlight <-chan chunk, to net.Conn, forward bool) bool {
	for c := range inFlight {
		select {
		case <-time.After(time.Until(c.due)):
		case <-ctx.Done():
		}
		if !p.waitUnblocked(forward) {
			return false
		}
		if l, _ := p.currentLink(); l.Reset > 0 && p.random() < l.Reset {
			return false
		}
		if _, err := to.Write(c.bytes); err != nil {
			return false
		}
		p.mu.Lock()
		p.forwardedBytes += int64(len(c.bytes))
		p.mu.Unlock()
	}
	return true
}
