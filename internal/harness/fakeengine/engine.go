// Package fakeengine provides fake engines and clients that exchange real traffic on loopback, for tests, the demo and
// measurements. An engine has a speed, a memory size and faults that are drawn from a seed. The cost of a request is read from a
// comment in its statement, as in /* work=0.25 mb=300 pages=2 */.
package fakeengine

import (
	"context"
	"net"
	"sync"
	"time"
)

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	AttemptReceived  EventKind = "asked"   // an attempt arrived
	AttemptStarted   EventKind = "began"   // the attempt got a core; reported only with OneRequestPerCore
	AttemptCompleted EventKind = "ran"     // the attempt finished its work
	AttemptFailed    EventKind = "failed"  // a fault caused the attempt to fail
	AttemptRejected  EventKind = "refused" // answered as overloaded; the attempt did not run
	AttemptCancelled EventKind = "quit"    // cancelled, or the connection ended
	ConnectionReset  EventKind = "lost"    // a fault reset the connection
	AttemptFenced    EventKind = "fenced"  // rejected because of a stale fencing token
	PollReceived     EventKind = "probed"  // a load poll or keep-alive; reported only with ReportsPolls
)

// Event is something that happened at an engine, for checkers.
type Event struct {
	At           float64 // Unix seconds
	Engine       string
	Kind         EventKind
	RequestID    string // for polls: the tag
	Class        string
	Grant        float64 // MB
	Work, Memory float64 // cost of the request: core seconds and MB
	FencingToken uint64  // 0 for none
}

// Engine is a fake engine. Its exported fields are set before Start.
type Engine struct {
	Name              string
	Cores             float64           // shared by all running attempts
	Speed             float64           // of each core; at 1, a core second of work takes a second
	Memory            float64           // MB; an attempt that does not fit is rejected as overloaded; 0 for no limit
	Faults            map[Fault]float64 // probability of each fault, per attempt
	Seed              uint64            // of the faults
	OnEvent           func(Event)       // may be nil; called from several goroutines
	Address           string            // "127.0.0.1:0" if empty
	ChecksFencing     bool              // rejects an attempt whose fencing token is lower than one seen for the same key
	ReportsPolls      bool              // also reports events for polls
	OneRequestPerCore bool              // each attempt gets its own core, in arrival order; load reports include those that wait

	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu                sync.Mutex // guards the fields below
	faultsDrawn       uint64
	running           int     // attempts
	granted           float64 // MB
	completed         int     // attempts
	completedWork     float64 // core seconds
	peers             map[net.Conn]bool
	busyCores         int             // with OneRequestPerCore
	coreQueue         []chan struct{} // one for each attempt that waits for a core
	polls             int
	connectionsOpened int
	fencingTokens     map[string]uint64 // highest token seen, by key
}

// Start listens on Address and serves until Stop.
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
			e.connectionsOpened++
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

// Stop closes the listener and all connections, as the end of the engine's process would, and waits for all goroutines.
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

// CompletedWork returns the number of completed attempts and their work in core seconds.
func (e *Engine) CompletedWork() (attempts int, work float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.completed, e.completedWork
}

// Running returns the number of running attempts, including those that wait for a core.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// PollsAndConnections returns the number of polls received and of connections accepted since Start.
func (e *Engine) PollsAndConnections() (polls, connections int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls, e.connectionsOpened
}

// Connections returns the number of open connections.
func (e *Engine) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers)
}

// report sets the engine and the time of an event and passes it to OnEvent.
func (e *Engine) report(event Event) {
	if e.OnEvent == nil {
		return
	}
	event.At = float64(time.Now().UnixMicro()) / 1e6
	event.Engine = e.Name
	e.OnEvent(event)
}
