// Package fakeengine holds stand-ins that carry traffic on loopback: engines with a speed, a memory and faults by name
// and seed, and clients. Tests, the demo and measurements use them. What a job costs stands in a comment of its
// statement, as in /* work=0.25 mb=300 pages=2 */.
package fakeengine

import (
	"context"
	"net"
	"sync"
	"time"
)

// EventKind is what an event is about.
type EventKind string

// The kinds of events.
const (
	AttemptReceived  EventKind = "asked" // an attempt has arrived
	AttemptStarted   EventKind = "began" // it has a core, where each request has one to itself
	AttemptCompleted EventKind = "ran"
	AttemptFailed    EventKind = "failed"
	AttemptRejected  EventKind = "refused" // it was answered as overloaded and did not run
	AttemptCancelled EventKind = "quit"    // it was cancelled, or its connection has ended
	ConnectionReset  EventKind = "lost"    // its connection was reset by a fault
	AttemptFenced    EventKind = "fenced"  // it was refused for its fencing token
	PollReceived     EventKind = "probed"  // a load poll or a keep-alive
)

// Event is something that an engine saw or did, for checkers.
type Event struct {
	At           float64 // Unix seconds
	Engine       string
	Kind         EventKind
	RequestID    string // or the tag of a poll
	Class        string
	Grant        float64 // MB
	Work, Memory float64 // that the request costs: seconds on one core, MB
	FencingToken uint64  // that came along, 0 for none
}

// Engine is one engine. Its fields are set before Start.
type Engine struct {
	Name              string
	Cores             float64 // that its jobs share
	Speed             float64 // of one core
	Memory            float64 // MB; a job that does not fit is turned away as full
	Faults            map[Fault]float64
	Seed              uint64
	OnEvent           func(Event) // may be nil; called from many goroutines
	Address           string      // "127.0.0.1:0" where empty
	ChecksFencing     bool        // a dispatch whose fence is lower than one that was seen for its key is refused
	ReportsPolls      bool        // probes are told too
	OneRequestPerCore bool        // a job has a core to itself, in arrival order; those that wait are told as pending

	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex
	counter   uint64
	running   int
	granted   float64
	work      float64 // done in all
	completed int
	peers     map[net.Conn]bool
	busyCores int             // cores, in turn
	coreQueue []chan struct{} // jobs that wait for one
	polls     int
	opened    int // connections
	fences    map[string]uint64
}

// Start listens, and serves until Stop.
func (e *Engine) Start() error {
	if e.Address == "" {
		e.Address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.listener, e.Address, e.peers = l, l.Addr().String(), map[net.Conn]bool{}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.goroutines.Go(func() {
		for {
			peer, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.peers[peer] = true
			e.opened++
			e.mu.Unlock()
			e.goroutines.Go(func() {
				e.serve(peer)
				peer.Close()
				e.mu.Lock()
				delete(e.peers, peer)
				e.mu.Unlock()
			})
		}
	})
	return nil
}

// Stop ends it as the end of its process would.
func (e *Engine) Stop() {
	e.stop()
	e.listener.Close()
	e.mu.Lock()
	for peer := range e.peers {
		peer.Close()
	}
	e.mu.Unlock()
	e.goroutines.Wait()
}

// CompletedWork tells how many jobs have run to their end and the work done.
func (e *Engine) CompletedWork() (jobs int, work float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.completed, e.work
}

// Running tells how many jobs run.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// PollsAndConnections tells how many probes and connections there were.
func (e *Engine) PollsAndConnections() (probes, connections int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls, e.opened
}

// Connections tells how many connections are open.
func (e *Engine) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers)
}

// report passes an event on, with the engine and the time.
func (e *Engine) report(event Event) {
	if e.OnEvent == nil {
		return
	}
	event.At = float64(time.Now().UnixMicro()) / 1e6
	event.Engine = e.Name
	e.OnEvent(event)
}
