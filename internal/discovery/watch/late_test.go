package watch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
)

// The bounds of the tests of a slow channel. Heartbeats come far more often than the idle timeout, as they do in operation.
const (
	testIdleTimeout = 100 * time.Millisecond
	testHeartbeat   = testIdleTimeout / 10
	testDelay       = 4 * testIdleTimeout
	testWait        = 10 * time.Second
)

// slowChannel is a server of the command channel that has two events, of which the client knows the first.
type slowChannel struct {
	net.Listener
	idle    time.Duration // the client's idle and dial timeout, testIdleTimeout if 0
	delay   time.Duration // how late everything arrives, on each connection
	pieces  int           // number of pieces in which an event is sent, over the delay; 0 for a whole
	isDead  func(n int) bool
	newest  bool // whether only the client's newest connection stays open
	serving sync.WaitGroup

	mu     sync.Mutex
	opened int // connections so far
	open   int
	last   net.Conn // the newest connection, if only that stays open
}

func startSlowChannel(t *testing.T, c *slowChannel) *slowChannel {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.Listener = listener
	c.serving.Go(func() {
		for {
			peer, err := listener.Accept()
			if err != nil {
				return
			}
			c.serving.Go(func() { c.serve(peer) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		c.serving.Wait()
	})
	return c
}

// serve sends what the client does not know, and then heartbeats, until the client closes the connection.
func (c *slowChannel) serve(peer net.Conn) {
	defer peer.Close()
	n := c.count(1)
	defer c.count(-1)
	c.closeOlder(peer)
	in := bufio.NewReader(peer)
	var last int
	if _, err := fmt.Fscanf(in, "resume %d\n", &last); err != nil {
		return
	}
	if c.isDead != nil && c.isDead(n) {
		_, _ = in.ReadByte() // until the client closes the connection
		return
	}
	if c.pieces == 0 {
		time.Sleep(c.delay)
	}
	if last < 2 && !c.sendEvent(peer) {
		return
	}
	for {
		if _, err := fmt.Fprintln(peer, 2); err != nil {
			return
		}
		time.Sleep(testHeartbeat)
	}
}

// sendEvent sends the second event, in pieces if the channel is to do so.
func (c *slowChannel) sendEvent(peer net.Conn) bool {
	text := []byte(eventText(2, false, "terminating") + "\n")
	for i := range max(c.pieces, 1) {
		if c.pieces > 0 {
			time.Sleep(c.delay / time.Duration(c.pieces))
		}
		from, to := i*len(text)/max(c.pieces, 1), (i+1)*len(text)/max(c.pieces, 1)
		if _, err := peer.Write(text[from:to]); err != nil {
			return false
		}
	}
	return true
}

// count adds to the number of open connections, and returns the number of those opened so far.
func (c *slowChannel) count(change int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += change
	c.opened += max(change, 0)
	return c.opened
}

// closeOlder closes the connection before the given one, if only the newest stays open.
func (c *slowChannel) closeOlder(newest net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest && c.last != nil {
		c.last.Close()
	}
	c.last = newest
}

func (c *slowChannel) counts() (opened, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened, c.open
}

// followSlowChannel runs a client, which knows the first event, until the test ends, and waits until it has applied the second
// event. It returns the client's log.
func followSlowChannel(t *testing.T, c *slowChannel, dial dialer) *lockedBuffer {
	trace := testutil.NewTrace(t)
	startSlowChannel(t, c)
	updates := recordedUpdates{trace, make(chan bool, 10)}
	if c.idle == 0 {
		c.idle = testIdleTimeout
	}
	lim := limits.For(64, 256)
	lim.ChannelRetryDelay, lim.ChannelIdleTimeout, lim.ChannelDialTimeout = 0.01, c.idle.Seconds(), c.idle.Seconds()
	var logs lockedBuffer
	client := &Client{address: c.Addr().String(), Subscriber: updates, Limits: lim, Log: zerolog.New(&logs), dial: dial}
	t.Cleanup(runWithFirstEvent(t, client, updates))
	select {
	case <-updates.received:
	case <-time.After(testWait):
		opened, _ := c.counts()
		t.Fatalf("the event is not known after %v and %d connections", testWait, opened)
	}
	return &logs
}

// waitForOneConnection waits until the client has closed all connections but one.
func (c *slowChannel) waitForOneConnection(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testWait); ; time.Sleep(testHeartbeat) {
		_, open := c.counts()
		if open == 1 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want 1", open)
		}
	}
}

// All that the channel sends is later than the idle timeout, on each connection. Guards against the client closing each
// connection before its first line arrives, so that it never hears of an engine that drains. The log tells that the
// channel is late: the line came on a connection that had waited.
func TestLateChannel(t *testing.T) {
	channel := &slowChannel{delay: testDelay}
	logs := followSlowChannel(t, channel, nil)
	channel.waitForOneConnection(t)
	line := firstLogLine(t, logs, "command channel back")
	if line.Waited < testIdleTimeout.Seconds() || line.Silent < line.Waited {
		t.Errorf("the log has silent %v, waited %v, want at least %v", line.Silent, line.Waited, testIdleTimeout.Seconds())
	}
}

// The first connections never carry anything, and the later ones are late. Guards against a client that waits for a dead
// connection, or that gives up the others before their first line arrives.
func TestLateChannelAfterDeadConnections(t *testing.T) {
	channel := &slowChannel{delay: testDelay, isDead: func(n int) bool { return n <= 2 }}
	followSlowChannel(t, channel, nil)
	channel.waitForOneConnection(t)
}

// A line takes longer than the idle timeout to arrive, as a long list over a slow network does. Guards against the client
// closing the connection in the middle of it, each time, and against further connections that would slow it down. The idle timeout
// is far longer than the time between two pieces, also on a busy machine.
func TestSlowLine(t *testing.T) {
	channel := &slowChannel{idle: 10 * testIdleTimeout, delay: 30 * testIdleTimeout, pieces: 100}
	followSlowChannel(t, channel, nil)
	if opened, _ := channel.counts(); opened != 1 {
		t.Errorf("%d connections were opened, want 1", opened)
	}
}

// Each connection takes longer than the dial timeout to be established. Guards against the client giving up each of them.
func TestLateConnection(t *testing.T) {
	channel := &slowChannel{}
	followSlowChannel(t, channel, func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(testDelay):
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	channel.waitForOneConnection(t)
}

// The channel is late, and closes the older connection of a client when it connects again. Guards against the client replacing
// the connections that are closed so, each time, before their first line arrives.
func TestLateChannelWithOneConnection(t *testing.T) {
	channel := &slowChannel{delay: testDelay, newest: true}
	followSlowChannel(t, channel, nil)
	channel.waitForOneConnection(t)
}

// logLine is a line of the client's log.
type logLine struct {
	Message string  `json:"message"`
	Silent  float64 `json:"silent"`
	Waited  float64 `json:"waited"`
}

// firstLogLine returns the first line of the log with the given message.
func firstLogLine(t *testing.T, logs *lockedBuffer, message string) logLine {
	t.Helper()
	for text := range bytes.Lines([]byte(logs.String())) {
		var line logLine
		if err := json.Unmarshal(text, &line); err != nil {
			t.Fatal(err)
		}
		if line.Message == message {
			return line
		}
	}
	t.Fatalf("the log has no line %q:\n%s", message, logs)
	return logLine{}
}
