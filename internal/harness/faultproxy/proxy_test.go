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

const patience = 10 * time.Second // ends a test that hangs

// echo answers each line, as a process of the tests' own program does too.
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

type testConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, to string) *testConn {
	t.Helper()
	peer, err := net.Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return &testConn{peer, bufio.NewReader(peer)}
}

// hears tells whether an answer comes within a time.
func (l *testConn) hears(within time.Duration) string {
	l.SetReadDeadline(time.Now().Add(within))
	text, err := l.in.ReadString('\n')
	if err == nil {
		return text[:len(text)-1]
	}
	var wait net.Error
	if errors.As(err, &wait) && wait.Timeout() {
		return "nothing yet"
	}
	return "connection ended"
}

func TestProxy(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go echo(l)
	r, err := New("a>b", l.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var lines []string
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	c := dial(t, r.Address)
	fmt.Fprintln(c, "one")
	say("open: %s", c.hears(patience))
	r.SetLink(Link{BlockForward: true})
	fmt.Fprintln(c, "two")
	say("cut there: %s", c.hears(50*time.Millisecond))
	r.SetLink(Link{})
	say("healed: %s", c.hears(patience))
	r.SetLink(Link{BlockBackward: true})
	fmt.Fprintln(c, "three")
	say("cut back: %s", c.hears(50*time.Millisecond))
	late := dial(t, r.Address)
	fmt.Fprintln(late, "four")
	say("a new one while it is cut: %s", late.hears(50*time.Millisecond))
	r.SetLink(Link{})
	say("healed: %s, %s", c.hears(patience), late.hears(patience))
	r.SetLink(Link{Delay: 60 * time.Millisecond})
	began := time.Now()
	fmt.Fprintln(c, "five")
	say("slow: %s, after twice the delay: %v", c.hears(patience), time.Since(began) >= 120*time.Millisecond)
	r.SetLink(Link{Flap: 20 * time.Millisecond})
	fmt.Fprintln(c, "six")
	say("flapping: %s", c.hears(patience))
	r.SetLink(Link{Reset: 1})
	fmt.Fprintln(c, "seven")
	say("reset: %s", c.hears(patience))
	r.SetLink(Link{Refuse: true})
	refused := "connection ended"
	if peer, err := net.Dial("tcp", r.Address); err == nil { // it may come up before it is reset
		refused = (&testConn{peer, bufio.NewReader(peer)}).hears(patience)
		peer.Close()
	}
	say("refused: %s", refused)
	r.SetLink(Link{})
	again := dial(t, r.Address)
	fmt.Fprintln(again, "eight")
	say("open: %s", again.hears(patience))
	testutil.CheckTrace(t, lines)
}
