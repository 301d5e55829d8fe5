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

// Engine is an engine at one address.
type Engine struct {
	*Trace
	net.Listener
	name  string
	said  chan string
	mu    sync.Mutex
	peers []net.Conn
}

func (e *Engine) hear(n int, peer net.Conn) {
	in := bufio.NewReader(peer)
	for {
		words, err := fakeengine.ReadCommand(in)
		if err != nil {
			e.said <- fmt.Sprintf("%d: %s", n, ending(err))
			return
		}
		e.said <- fmt.Sprintf("%d: %s", n, wait.ReplaceAllString(strings.Join(words, " "), "w=_"))
	}
}

// UnreadCommands is how many commands have come that no Hears has told yet.
func (e *Engine) UnreadCommands() int { return len(e.said) }

// ExpectCommands waits for so many commands; those at once come in the order of the alphabet.
func (e *Engine) ExpectCommands(n int) {
	e.T.Helper()
	for range n {
		select {
		case s := <-e.said:
			e.Recordf("%s on %s", e.name, s)
		case <-time.After(patience):
			e.T.Fatalf("%s hears nothing; so far:\n%s", e.name, strings.Join(e.Lines, "\n"))
		}
	}
}

// SendAnswer answers on its n-th connection.
func (e *Engine) SendAnswer(n int, words ...string) {
	e.T.Helper()
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	e.SendRaw(n, b.String())
}

// SendRaw writes bytes as they are.
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

// ResetConn resets its n-th connection.
func (e *Engine) ResetConn(n int) {
	e.Recordf("%s cuts %d off", e.name, n)
	e.must(e.peer(n).(*net.TCPConn).SetLinger(0))
	e.peer(n).Close()
}

// StartEngine starts an engine, at a free port for the address ":0".
func (x *Trace) StartEngine(name, address string) *Engine {
	x.T.Helper()
	l, err := net.Listen("tcp", "127.0.0.1"+address)
	x.must(err)
	e := &Engine{Trace: x, Listener: l, name: name, said: make(chan string, 100)}
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
			go e.hear(n, peer)
		}
	}()
	return e
}
