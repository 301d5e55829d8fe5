package testutil

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// Engine is an engine that records the commands it receives and answers only what the test sends.
type Engine struct {
	*Trace
	net.Listener
	name     string
	commands chan string // received and not yet recorded

	mu    sync.Mutex // guards peers
	peers []net.Conn // in the order in which they connected
}

// readCommands reads the commands of the n-th connection until it ends.
func (e *Engine) readCommands(n int, peer net.Conn) {
	in := bufio.NewReader(peer)
	for {
		words, err := fakeengine.ReadCommand(in)
		if err != nil {
			e.commands <- fmt.Sprintf("%d: %s", n, describeConnError(err))
			return
		}
		e.commands <- fmt.Sprintf("%d: %s", n, waitField.ReplaceAllString(strings.Join(words, " "), "w=_"))
	}
}

// UnreadCommands returns the number of received commands that ExpectCommands has not yet recorded.
func (e *Engine) UnreadCommands() int { return len(e.commands) }

// ExpectCommands waits for n commands and records them in the order in which they arrived.
func (e *Engine) ExpectCommands(n int) {
	e.T.Helper()
	for range n {
		select {
		case s := <-e.commands:
			e.Recordf("%s on %s", e.name, s)
		case <-time.After(testTimeout):
			e.T.Fatalf("%s received no command within the timeout; trace so far:\n%s", e.name, strings.Join(e.Lines, "\n"))
		}
	}
}

// SendAnswer sends an answer on the n-th connection, counted from 1.
func (e *Engine) SendAnswer(n int, words ...string) {
	e.T.Helper()
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	e.SendRaw(n, b.String())
}

// SendRaw sends text on the n-th connection without any framing.
func (e *Engine) SendRaw(n int, text string) {
	e.T.Helper()
	_, err := io.WriteString(e.peer(n), text)
	e.must(err)
}

func (e *Engine) peer(n int) net.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[n-1]
}

// ResetConn resets the n-th connection.
func (e *Engine) ResetConn(n int) {
	e.Recordf("%s cuts %d off", e.name, n)
	e.must(e.peer(n).(*net.TCPConn).SetLinger(0))
	e.peer(n).Close()
}

// StartEngine starts an engine on loopback, which stops when the test ends. The address ":0" selects a free port.
func (x *Trace) StartEngine(name, address string) *Engine {
	x.T.Helper()
	l, err := net.Listen("tcp", "127.0.0.1"+address)
	x.must(err)
	e := &Engine{Trace: x, Listener: l, name: name, commands: make(chan string, 100)}
	x.T.Cleanup(func() {
		l.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, peer := range e.peers {
			peer.Close()
		}
	})
	go func() {
		for n := 1; ; n++ {
			peer, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.peers = append(e.peers, peer)
			e.mu.Unlock()
			go e.readCommands(n, peer)
		}
	}()
	return e
}
