package processes

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

// Link is how a relay treats what passes. The zero value passes everything on at once.
type Link struct {
	BlockForward, BlockBackward bool          // cut: what is sent that way is kept until it heals, as TCP would send it again
	Delay                       time.Duration // one way
	Reset                       float64       // chance that a piece of what passes resets its connection instead
	Refuse                      bool          // new connections are reset at once, open ones too
	Flap                        time.Duration // cut both ways every other such stretch of time
}

// Both is a link cut both ways.
var Both = Link{BlockForward: true, BlockBackward: true}

// Relay stands between one party and another. A connection to it is a connection to the other side; while the link is
// cut, a new one comes up here but nothing of it gets through, which is the harder case of the two for the one who
// dials. It may be used from any goroutine.
type Relay struct {
	Name    string
	Address string // to dial
	Seed    uint64

	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	all      sync.WaitGroup

	mu      sync.Mutex
	to      string
	link    Link
	since   time.Time // that the link is so
	changed chan struct{}
	peers   map[net.Conn]bool
	counter uint64
	passed  int64 // bytes
	opened  int   // connections
}

// NewRelay listens on a free port of loopback for connections to an address, which may be named later by Turn.
func NewRelay(name, to string, seed uint64) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Name: name, Address: l.Addr().String(), Seed: seed, listener: l, to: to, since: time.Now(), changed: make(chan struct{}),
		peers: map[net.Conn]bool{}}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.all.Go(func() {
		for {
			peer, err := l.Accept()
			if err != nil {
				return
			}
			r.all.Go(func() { r.carry(peer) })
		}
	})
	return r, nil
}

// SetTarget has new connections go to another address.
func (r *Relay) SetTarget(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = to
}

// SetLink changes the link, for what passes from now on.
func (r *Relay) SetLink(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link, r.since = l, time.Now()
	close(r.changed)
	r.changed = make(chan struct{})
	if l.Refuse {
		for peer := range r.peers {
			reset(peer)
		}
	}
}

// Passed is how many bytes and connections it has carried.
func (r *Relay) Passed() (bytes int64, connections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed, r.opened
}

// Close ends all connections.
func (r *Relay) Close() {
	r.stop()
	r.listener.Close()
	r.mu.Lock()
	for peer := range r.peers {
		peer.Close()
	}
	r.mu.Unlock()
	r.all.Wait()
}

func reset(peer net.Conn) {
	if tcp, ok := peer.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection alone
	}
	peer.Close()
}

// state is the link as it is now, and what tells of a change.
func (r *Relay) state() (l Link, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l = r.link
	if l.Flap > 0 && int64(time.Since(r.since)/l.Flap)%2 == 0 {
		l.BlockForward, l.BlockBackward = true, true
	}
	return l, r.changed
}

// open waits until the way is open; false at the relay's end.
func (r *Relay) open(there bool) bool {
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

// draw is chance from the seed and a counter.
func (r *Relay) draw() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, [2]uint64{r.Seed, r.counter})
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return float64((x^x>>29)>>11) / (1 << 53)
}

// keep counts a connection among those to be ended, unless the relay is closed.
func (r *Relay) keep(peer net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		peer.Close()
		return false
	}
	r.peers[peer] = true
	return true
}

func (r *Relay) drop(peer net.Conn) {
	peer.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, peer)
}

// carry is the life of one connection.
func (r *Relay) carry(near net.Conn) {
	if !r.keep(near) {
		return
	}
	defer r.drop(near)
	if l, _ := r.state(); l.Refuse {
		reset(near)
		return
	}
	if !r.open(true) || !r.open(false) { // nobody is reached over a link that is cut
		return
	}
	r.mu.Lock()
	to := r.to
	r.opened++
	r.mu.Unlock()
	far, err := net.DialTimeout("tcp", to, 5*time.Second)
	if err != nil {
		reset(near)
		return
	}
	if !r.keep(far) {
		return
	}
	defer r.drop(far)
	var both sync.WaitGroup
	both.Go(func() { r.pass(near, far, true) })
	both.Go(func() { r.pass(far, near, false) })
	both.Wait()
}

// piece is what was read at once, to be written when it is due.
type piece struct {
	bytes []byte
	due   time.Time
}

// pass carries one way. What is under way is bounded: a sender ahead of the link waits, as it would.
func (r *Relay) pass(from, to net.Conn, there bool) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	way := make(chan piece, 64)
	var reader sync.WaitGroup
	var ending error // of the reader
	reader.Go(func() {
		defer close(way)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				l, _ := r.state()
				select {
				case way <- piece{b[:n], time.Now().Add(l.Delay)}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				ending = err
				return
			}
		}
	})
	whole := true
	for p := range way {
		select {
		case <-time.After(time.Until(p.due)):
		case <-ctx.Done():
		}
		if !r.open(there) {
			whole = false
			break
		}
		if l, _ := r.state(); l.Reset > 0 && r.draw() < l.Reset {
			whole = false
			break
		}
		if _, err := to.Write(p.bytes); err != nil {
			whole = false
			break
		}
		r.mu.Lock()
		r.passed += int64(len(p.bytes))
		r.mu.Unlock()
	}
	cancel()
	if whole && r.open(there) { // the end of a stream crosses no cut either
		reader.Wait()
		if far, ok := to.(*net.TCPConn); ok && errors.Is(ending, io.EOF) {
			_ = far.CloseWrite() // the other side may have closed meanwhile
			return
		}
	}
	reset(from)
	reset(to)
	reader.Wait()
}
