// Package testutil holds what tests share: traces, and stand-ins for clients, engines and the command channel
// that speak their published protocols on loopback.
package testutil

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	_ "pgregory.net/rapid" // has the flag

	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// update writes the traces anew; it is asked for by UPDATE=1, which goes through all packages at once.
var update = os.Getenv("UPDATE") != ""

// patience ends a test that hangs; no verdict rests on it.
const patience = 10 * time.Second

// Properties are drawn from one seed, so that a run of the tests has one verdict; -rapid.seed=0 draws another each time.
func init() {
	flag.Set("rapid.seed", "1")
}

// CheckTrace compares lines with the trace kept under testdata.
func CheckTrace(t testing.TB, lines []string) {
	t.Helper()
	file := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "Test")+".trace")
	got := strings.Join(lines, "\n") + "\n"
	if update {
		os.Mkdir("testdata", 0o755)
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("trace differs from %s (-kept +got):\n%s", file, diff)
	}
}

// Bytes reads hex with blanks.
func Bytes(text string) []byte {
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		panic(err)
	}
	return b
}

// Trace gathers what the parties see, in the order in which the test looks.
type Trace struct {
	T     testing.TB
	Lines []string
}

// New starts a trace and makes sure that nothing is left over at the test's end.
func New(t testing.TB) *Trace {
	goroutines, descriptors := runtime.NumGoroutine(), open()
	t.Cleanup(func() {
		for end := time.Now().Add(patience); runtime.NumGoroutine() > goroutines || open() > descriptors; {
			if time.Now().After(end) {
				stacks := make([]byte, 1<<16)
				t.Fatalf("%d goroutines and %d descriptors more than before\n%s", runtime.NumGoroutine()-goroutines,
					open()-descriptors, stacks[:runtime.Stack(stacks, true)])
			}
			time.Sleep(time.Millisecond)
		}
	})
	return &Trace{T: t}
}

// open counts sockets: the runtime's own descriptors come and go.
func open() (n int) {
	files, _ := filepath.Glob("/proc/self/fd/*")
	for _, f := range files {
		if to, _ := os.Readlink(f); strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// Recordf adds a line.
func (x *Trace) Recordf(format string, args ...any) {
	x.Lines = append(x.Lines, fmt.Sprintf(format, args...))
}

// Check compares the trace with the kept one.
func (x *Trace) Check() { x.T.Helper(); CheckTrace(x.T, x.Lines) }

func (x *Trace) must(err error) {
	if err != nil {
		x.T.Helper()
		x.T.Fatal(err)
	}
}

// Client is a client on one connection.
type Client struct {
	*Trace
	net.Conn
	in *msgpack.Decoder
}

// Dial connects a client.
func (x *Trace) Dial(address string) *Client {
	x.T.Helper()
	var peer net.Conn
	for end := time.Now().Add(patience); peer == nil; {
		var err error
		if peer, err = net.Dial("tcp", address); err != nil && time.Now().After(end) {
			x.T.Fatal(err)
		}
	}
	peer.SetDeadline(time.Now().Add(patience))
	x.T.Cleanup(func() { peer.Close() })
	return &Client{x, peer, msgpack.NewDecoder(peer)}
}

// Send writes a message as it is.
func (c *Client) Send(message ...any) {
	b, err := msgpack.Marshal(message)
	c.must(err)
	_, err = c.Write(b)
	c.must(err)
}

// SendRequest asks for a job whose ref is its message id sixteen times over.
func (c *Client) SendRequest(id int, class string, allow int, statement string) {
	c.T.Helper()
	c.Recordf("client: job %d %s", id, class)
	c.Send(0, id, class, []any{map[string]string{"ref": RequestID(id), "allow": fmt.Sprint(allow), "effort": "820.0",
		"need_mb": "96"}, []byte(statement)})
}

// RequestID is the id of a job.
func RequestID(id int) string { return strings.Repeat(fmt.Sprintf("%x", id%16), 16) }

// ReadAnswer reads one answer.
func (c *Client) ReadAnswer() {
	c.T.Helper()
	var answer []any
	if err := c.in.Decode(&answer); err != nil {
		c.Recordf("client: %s", ending(err))
		return
	}
	if len(answer) == 3 {
		c.Recordf("client: told %v", answer)
		return
	}
	if done, ok := answer[3].([]any); ok {
		if rows, ok := done[0].([]byte); ok {
			done[0] = fmt.Sprintf("%q", rows)
		}
	}
	c.Recordf("client: answer %v", answer)
}

// ReadPong reads the answer to a ping.
func (c *Client) ReadPong() bool {
	var answer []any
	c.must(c.in.Decode(&answer))
	return answer[3].([]any)[0].(bool)
}

// Engine is an engine at one address.
type Engine struct {
	*Trace
	net.Listener
	name  string
	said  chan string
	mu    sync.Mutex
	peers []net.Conn
}

// Listen starts an engine, at a free port for the address ":0".
func (x *Trace) Listen(name, address string) *Engine {
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

// What differs from run to run.
var (
	wait = regexp.MustCompile(`w=\d+`)
	port = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

func (e *Engine) hear(n int, peer net.Conn) {
	in := bufio.NewReader(peer)
	for {
		words, err := fakeengine.Command(in)
		if err != nil {
			e.said <- fmt.Sprintf("%d: %s", n, ending(err))
			return
		}
		e.said <- fmt.Sprintf("%d: %s", n, wait.ReplaceAllString(strings.Join(words, " "), "w=_"))
	}
}

// Unread is how many commands have come that no Hears has told yet.
func (e *Engine) Unread() int { return len(e.said) }

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
	e.peer(n).(*net.TCPConn).SetLinger(0)
	e.peer(n).Close()
}

// Channel is the command channel.
type Channel struct {
	*Trace
	net.Listener
	peer net.Conn
}

// Channel starts one.
func (x *Trace) Channel() *Channel {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	x.must(err)
	x.T.Cleanup(func() { l.Close() })
	return &Channel{Trace: x, Listener: l}
}

// ExpectConnection waits for a controller and what it asks for.
func (c *Channel) ExpectConnection() {
	c.T.Helper()
	peer, err := c.Accept()
	c.must(err)
	c.T.Cleanup(func() { peer.Close() })
	line, err := bufio.NewReader(peer).ReadString('\n')
	c.must(err)
	c.Recordf("channel: %q", line)
	c.peer = peer
}

// SendLine writes a line.
func (c *Channel) SendLine(line string) {
	c.T.Helper()
	c.Write(line + "\n")
}

// Write writes bytes as they are.
func (c *Channel) Write(text string) {
	c.T.Helper()
	c.Recordf("channel tells %s", port.ReplaceAllString(strings.TrimSuffix(text, "\n"), "127.0.0.1:_"))
	_, err := io.WriteString(c.peer, text)
	c.must(err)
}

// CloseConn ends the connection.
func (c *Channel) CloseConn() { c.peer.Close() }

// ending words the end of a connection the same way each time.
func ending(err error) string {
	if strings.Contains(err.Error(), "reset") || strings.Contains(err.Error(), "EOF") ||
		strings.Contains(err.Error(), "closed") {
		return "connection ended"
	}
	return err.Error()
}
