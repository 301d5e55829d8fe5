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

func TestMain(m *testing.M) {
	if address := os.Getenv("FLEET_ECHO"); address != "" { // this is a process that TestPlan has started
		l, err := net.Listen("tcp", address)
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

const testTimeout = 10 * time.Second // ends a test that hangs

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

// A plan parsed from text partitions a link and freezes, kills and restarts a process.
func TestPlan(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	cluster := New(t.TempDir(), 1)
	defer cluster.Close()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := cluster.Add("b", executable, nil, []string{"FLEET_ECHO=" + address})
	proxy, err := cluster.ProxyTo("a", "b", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := cluster.Start("b"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	serves := func() bool {
		peer, err := net.Dial("tcp", address)
		if err == nil {
			peer.Close()
		}
		return err == nil
	}
	if err := WaitUntil(ctx, "b serves", serves); err != nil {
		t.Fatal(err, cluster.Tail("b", 500))
	}
	plan, err := ParsePlan("# faults of b\n0.1 freeze b for 0.1\n0 cut a from b for 0.05\n0.25 kill b for 0.05\n")
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	c := dial(t, proxy.Address)
	if err := cluster.RunPlan(ctx, plan, func(_ float64, step string) {
		state := "runs"
		switch {
		case p.Frozen():
			state = "is frozen"
		case !p.Running():
			state = "is gone"
		}
		lines = append(lines, fmt.Sprintf("%s; b %s, start %d", step, state, p.Starts()))
	}); err != nil {
		t.Fatal(err)
	}
	lines = append(lines, "its old connection: "+c.readLine(testTimeout))
	if err := WaitUntil(ctx, "b serves again", serves); err != nil {
		t.Fatal(err)
	}
	bothStarts := func() bool { return cluster.Tail("b", 100) == "serving\nserving\n" }
	if err := WaitUntil(ctx, "its log shows both starts", bothStarts); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"x kill b", "1 eat b", "1 kill", "1 slow a by x", "1 slow a by 1 for", "1 kill b at 2"} {
		_, err := ParsePlan(bad)
		lines = append(lines, fmt.Sprintf("%s: %v", bad, err))
	}
	plan1, plan2 := RandomPlan(7, []string{"a", "b", "c"}, 0.5, 10), RandomPlan(7, []string{"a", "b", "c"}, 0.5, 10)
	for i, fault := range plan1 {
		if fault.String() != plan2[i].String() {
			t.Errorf("fault %d of seed 7: got %s and %s, want the same", i, fault, plan2[i])
		}
		if _, err := ParsePlan(fault.String()); err != nil {
			t.Errorf("%s: %v", fault, err)
		}
	}
	testutil.CheckTrace(t, lines)
	if _, err := os.Stat(filepath.Join(cluster.Folder, "b.log")); err != nil {
		t.Error(err)
	}
	c.Close()
}
