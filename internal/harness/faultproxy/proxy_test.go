package faultproxy

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/testutil"
)

const testTimeout = 10 * time.Second // ends a test that hangs

// echo accepts connections and sends each line that it receives back.
func echo(l net.Listener) {
	for {
		peer, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer peer.Close()
			in := bufio.NewScanner(peer)
			for in.Scan() {
				fmt.Fprintf(peer, "%s\n", in.Text())
			}
		}()
	}
}

// testConn is a connection from which a test reads lines.
type testConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, address string) *testConn {
	t.Helper()
	peer, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return &testConn{peer, bufio.NewReader(peer)}
}

// readLine returns the next line, or a description if none arrives within the timeout or the connection has ended.
func (c *testConn) readLine(timeout time.Duration) string {
	c.SetReadDeadline(time.Now().Add(timeout))
	text, err := c.in.ReadString('\n')
	if err == nil {
		return text[:len(text)-1]
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return "nothing yet"
	}
	return "connection ended"
}

// A line that is sent through the proxy is received, delayed, held back or lost as the link says.
func TestProxy(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go echo(l)
	proxy, err := New("a>b", l.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	var lines []string
	record := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	c := dial(t, proxy.Address)
	fmt.Fprintln(c, "one")
	record("open: %s", c.readLine(testTimeout))
	proxy.SetLink(Link{BlockForward: true})
	fmt.Fprintln(c, "two")
	record("cut there: %s", c.readLine(50*time.Millisecond))
	proxy.SetLink(Link{})
	record("healed: %s", c.readLine(testTimeout))
	proxy.SetLink(Link{BlockBackward: true})
	fmt.Fprintln(c, "three")
	record("cut back: %s", c.readLine(50*time.Millisecond))
	late := dial(t, proxy.Address)
	fmt.Fprintln(late, "four")
	record("a new one while it is cut: %s", late.readLine(50*time.Millisecond))
	proxy.SetLink(Link{})
	record("healed: %s, %s", c.readLine(testTimeout), late.readLine(testTimeout))
	proxy.SetLink(Link{Delay: 60 * time.Millisecond})
	start := time.Now()
	fmt.Fprintln(c, "five")
	record("slow: %s, after twice the delay: %v", c.readLine(testTimeout), time.Since(start) >= 120*time.Millisecond)
	proxy.SetLink(Link{Flap: 20 * time.Millisecond})
	fmt.Fprintln(c, "six")
	record("flapping: %s", c.readLine(testTimeout))
	proxy.SetLink(Link{Reset: 1})
	fmt.Fprintln(c, "seven")
	record("reset: %s", c.readLine(testTimeout))
	proxy.SetLink(Link{Refuse: true})
	refused := "connection ended"
	if peer, err := net.Dial("tcp", proxy.Address); err == nil { // the proxy may accept it before it resets it
		refused = (&testConn{peer, bufio.NewReader(peer)}).readLine(testTimeout)
		peer.Close()
	}
	record("refused: %s", refused)
	proxy.SetLink(Link{})
	again := dial(t, proxy.Address)
	fmt.Fprintln(again, "eight")
	record("open: %s", again.readLine(testTimeout))
	testutil.CheckTrace(t, lines)
}
