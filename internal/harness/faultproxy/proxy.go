// Package faultproxy is a TCP proxy on loopback that treats what passes as a bad network would: partitioned both ways or one
// way, slow, flapping, with connections reset or refused. Its faults are set while it runs.
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

// Link is how a proxy treats what passes. The zero value passes everything on at once.
type Link struct {
	BlockForward, BlockBackward bool          // cut: what is sent that way is kept until it heals, as TCP would send it again
	Delay                       time.Duration // one way
	Reset                       float64       // chance that a piece of what passes resets its connection instead
	Refuse                      bool          // new connections are reset at once, open ones too
	Flap                        time.Duration // cut both ways every other such stretch of time
}

// Partition is a link cut both ways.
var Partition = Link{BlockForward: true, BlockBackward: true}

// Proxy stands between one party and another. A connection to it is a connection to the other side; while the link is
// cut, a new one comes up here but nothing of it gets through, which is the harder case of the two for the one who
// dials. It may be used from any goroutine.
type Proxy struct {
	Name    string
	Address string // to dial
	Seed    uint64

	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu          sync.Mutex
	target      string
	link        Link
	linkSince   time.Time // that the link is so
	changed     chan struct{}
	peers       map[net.Conn]bool
	counter     uint64
	passedBytes int64 // bytes
	connections int   // connections
}

// New listens on a free port of loopback for connections to an address, which may be named later by Turn.
func New(name, to string, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Proxy{Name: name, Address: l.Addr().String(), Seed: seed, listener: l, target: to, linkSince: time.Now(), changed: make(chan struct{}),
		peers: map[net.Conn]bool{}}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.goroutines.Go(func() {
		for {
			peer, err := l.Accept()
			if err != nil {
				return
			}
			r.goroutines.Go(func() { r.serve(peer) })
		}
	})
	return r, nil
}

// SetTarget has new connections go to another address.
func (r *Proxy) SetTarget(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = to
}

// SetLink changes the link, for what passes from now on.
func (r *Proxy) SetLink(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link, r.linkSince = l, time.Now()
	close(r.changed)
	r.changed = make(chan struct{})
	if l.Refuse {
		for peer := range r.peers {
			reset(peer)
		}
	}
}

// Forwarded is how many bytes and connections it has carried.
func (r *Proxy) Forwarded() (bytes int64, connections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passedBytes, r.connections
}

// Close ends all connections.
func (r *Proxy) Close() {
	r.stop()
	r.listener.Close()
	r.mu.Lock()
	for peer := range r.peers {
		peer.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

func reset(peer net.Conn) {
	if tcp, ok := peer.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection alone
	}
	peer.Close()
}

// state is the link as it is now, and what tells of a change.
func (r *Proxy) state() (l Link, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l = r.link
	if l.Flap > 0 && int64(time.Since(r.linkSince)/l.Flap)%2 == 0 {
		l.BlockForward, l.BlockBackward = true, true
	}
	return l, r.changed
}

// isOpen waits until the way is open; false at the relay's end.
func (r *Proxy) isOpen(there bool) bool {
	for {
		l, changed := r.state()
		blocked := l.BlockBackward
		if there {
			blocked = l.BlockForward
		}
		if !blocked {
			return r.ctx.Err() == nil
		}
		again := time.After(time.Hour)
		if l.Flap > 0 {
			again = time.After(l.Flap / 8) // near enough to the end of the stretch
		}
		select {
		case <-changed:
		case <-again:
		case <-r.ctx.Done():
			return false
		}
	}
}

// random is chance from the seed and a counter.
func (r *Proxy) random() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, [2]uint64{r.Seed, r.counter})
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return float64((x^x>>29)>>11) / (1 << 53)
}

// add counts a connection among those to be ended, unless the relay is closed.
func (r *Proxy) add(peer net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		peer.Close()
		return false
	}
	r.peers[peer] = true
	return true
}

func (r *Proxy) remove(peer net.Conn) {
	peer.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, peer)
}

// serve is the life of one connection.
func (r *Proxy) serve(near net.Conn) {
	if !r.add(near) {
		return
	}
	defer r.remove(near)
	if l, _ := r.state(); l.Refuse {
		reset(near)
		return
	}
	if !r.isOpen(true) || !r.isOpen(false) { // nobody is reached over a link that is cut
		return
	}
	r.mu.Lock()
	to := r.target
	r.connections++
	r.mu.Unlock()
	far, err := net.DialTimeout("tcp", to, 5*time.Second)
	if err != nil {
		reset(near)
		return
	}
	if !r.add(far) {
		return
	}
	defer r.remove(far)
	var both sync.WaitGroup
	both.Go(func() { r.copyOneWay(near, far, true) })
	both.Go(func() { r.copyOneWay(far, near, false) })
	both.Wait()
}

const (
	maxInFlight = 64       // chunks
	chunkSize   = 16 << 10 // bytes
)

// chunk is what was read at once, to be written when it is due.
type chunk struct {
	bytes []byte
	due   time.Time
}

// copyOneWay carries one direction of a connection. What is in flight is bounded: a sender ahead of the link waits, as it
// would.
func (r *Proxy) copyOneWay(from, to net.Conn, forward bool) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	inFlight := make(chan chunk, maxInFlight)
	var reader sync.WaitGroup
	var readErr error
	reader.Go(func() {
		defer close(inFlight)
		readErr = r.readChunks(ctx, from, inFlight)
	})
	complete := r.writeChunks(ctx, inFlight, to, forward)
	cancel()
	if complete && r.isOpen(forward) { // the end of a stream crosses no partition either
		reader.Wait()
		if conn, ok := to.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
			_ = conn.CloseWrite() // the other side may have closed meanwhile
			return
		}
	}
	reset(from)
	reset(to)
	reader.Wait()
}

// readChunks reads until the stream or ctx ends; the error is that of the stream.
func (r *Proxy) readChunks(ctx context.Context, from net.Conn, inFlight chan<- chunk) error {
	for {
		b := make([]byte, chunkSize)
		n, err := from.Read(b)
		if n > 0 {
			l, _ := r.state()
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

// writeChunks writes each chunk when it is due; false where the connection is to be reset.
func (r *Proxy) writeChunks(ctx context.Context, inFlight <-chan chunk, to net.Conn, forward bool) bool {
	for c := range inFlight {
		select {
		case <-time.After(time.Until(c.due)):
		case <-ctx.Done():
		}
		if !r.isOpen(forward) {
			return false
		}
		if l, _ := r.state(); l.Reset > 0 && r.random() < l.Reset {
			return false
		}
		if _, err := to.Write(c.bytes); err != nil {
			return false
		}
		r.mu.Lock()
		r.passedBytes += int64(len(c.bytes))
		r.mu.Unlock()
	}
	return true
}
