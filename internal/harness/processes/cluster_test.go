package processes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/testutil"
)

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

func TestMain(m *testing.M) {
	if at := os.Getenv("FLEET_ECHO"); at != "" { // a process of the fleet
		l, err := net.Listen("tcp", at)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Fprintln(os.Stderr, "serving")
		echo(l)
		return
	}
	os.Exit(m.Run())
}

const patience = 10 * time.Second

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

// A process is frozen, killed and started again under its name, by a plan read from text.
func TestPlan(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	f := New(t.TempDir(), 1)
	defer f.Close()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := f.Add("b", self, nil, []string{"FLEET_ECHO=" + address})
	r, err := f.ProxyTo("a", "b", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Start("b"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	up := func() bool {
		peer, err := net.Dial("tcp", address)
		if err == nil {
			peer.Close()
		}
		return err == nil
	}
	if err := WaitUntil(ctx, "b serves", up); err != nil {
		t.Fatal(err, f.Tail("b", 500))
	}
	plan, err := ParsePlan("# what befalls b\n0.1 freeze b for 0.1\n0 cut a from b for 0.05\n0.25 kill b for 0.05\n")
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	c := dial(t, r.Address)
	if err := f.RunPlan(ctx, plan, func(_ float64, what string) {
		state := "runs"
		switch {
		case p.Frozen():
			state = "is frozen"
		case !p.Running():
			state = "is gone"
		}
		lines = append(lines, fmt.Sprintf("%s; b %s, start %d", what, state, p.Starts()))
	}); err != nil {
		t.Fatal(err)
	}
	lines = append(lines, "its old connection: "+c.hears(patience))
	if err := WaitUntil(ctx, "b serves again", up); err != nil {
		t.Fatal(err)
	}
	if err := WaitUntil(ctx, "its log says so", func() bool { return f.Tail("b", 100) == "serving\nserving\n" }); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"x kill b", "1 eat b", "1 kill", "1 slow a by x", "1 slow a by 1 for", "1 kill b at 2"} {
		_, err := ParsePlan(bad)
		lines = append(lines, fmt.Sprintf("%s: %v", bad, err))
	}
	one, two := RandomPlan(7, []string{"a", "b", "c"}, 0.5, 10), RandomPlan(7, []string{"a", "b", "c"}, 0.5, 10)
	for i, fault := range one {
		if fault.String() != two[i].String() {
			t.Errorf("seed 7 draws %s and %s", fault, two[i])
		}
		if _, err := ParsePlan(fault.String()); err != nil {
			t.Errorf("%s: %v", fault, err)
		}
	}
	testutil.CheckTrace(t, lines)
	if _, err := os.Stat(filepath.Join(f.Folder, "b.log")); err != nil {
		t.Error(err)
	}
	c.Close()
}
