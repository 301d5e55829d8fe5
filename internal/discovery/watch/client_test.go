package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
)

// recordedUpdates records the updates that it receives, and signals each one on received.
type recordedUpdates struct {
	*testutil.Trace
	received chan bool
}

func (u recordedUpdates) UpdateEndpoints(mode discovery.UpdateMode, endpoints []discovery.Endpoint) {
	u.Recordf("  whole %v", mode == discovery.Snapshot)
	for _, e := range endpoints {
		u.Recordf("  %s at %s, %s %s %d, %s, born %g", e.Name, e.Address, e.Zone, e.Kind, e.Cell, e.State, e.StartedAt)
	}
	u.received <- true
}

func eventText(number int, snapshot bool, state string) string {
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"seq":%d,"whole":%v,"hosts":[{"host":"s-1","dial":"10.1.0.9:9090",`+
		`"site":"east","class":"std","block":2,"health":"%s","share":4,"born_ms":1500}]}}`, number, number, snapshot, state)
}

// runWithFirstEvent runs a client that knows the first event. The function that it returns ends the client.
func runWithFirstEvent(t *testing.T, client *Client, updates recordedUpdates) (stop func()) {
	t.Helper()
	if err := client.ApplyKnown([]json.RawMessage{json.RawMessage(eventText(1, true, "in_service"))}); err != nil {
		t.Fatal(err)
	}
	<-updates.received
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return client.Run(ctx) })
	return func() {
		cancel()
		testutil.WaitCancelled(t, &group)
	}
}

// After a gap, an invalid line, a closed connection or silence the client reconnects and asks for the events that it has
// missed. Events that are repeated are ignored.
func TestChannel(t *testing.T) {
	trace := testutil.NewTrace(t)
	server := trace.StartChannel()
	updates := recordedUpdates{trace, make(chan bool, 10)}
	lim := limits.For(64, 256)
	lim.ChannelRetryDelay, lim.ChannelIdleTimeout = 0, 3600
	client := &Client{address: server.Addr().String(), Subscriber: updates, Limits: lim, Log: zerolog.Nop()}
	if err := client.ApplyKnown([]json.RawMessage{json.RawMessage(eventText(1, true, "in_service")),
		json.RawMessage(eventText(2, false, "terminating"))}); err != nil {
		t.Fatal(err)
	}
	<-updates.received
	<-updates.received
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return client.Run(ctx) })
	server.ExpectConnection()
	server.SendLine("2")
	server.SendLine(eventText(2, false, "repeated"))
	server.SendLine(eventText(3, false, "terminated"))
	<-updates.received
	server.SendLine(eventText(5, false, "after a gap"))
	server.ExpectConnection()
	server.SendLine("4") // a heartbeat with a number past the last event
	server.ExpectConnection()
	server.SendLine(`{"cursor":4,"other":{}}`) // an event about something else
	server.SendLine(`{"cursor":5,"nodes":{"hosts":[{"host":7}]}}`)
	server.ExpectConnection()
	server.SendLine(eventText(5, true, "in_service")) // a snapshot may follow a gap
	<-updates.received
	server.SendLine("nonsense")
	server.ExpectConnection()
	server.SendRaw(eventText(6, false, "cut off")) // complete except for the end of the line
	server.CloseConn()
	server.ExpectConnection()
	next := trace.StartChannel()
	client.SetAddress(next.Addr().String())
	next.ExpectConnection()
	next.SendLine(eventText(6, false, "terminated"))
	<-updates.received
	client.SetAddress(server.Addr().String())
	server.ExpectConnection()
	cancel()
	testutil.WaitCancelled(t, &group)

	lim.ChannelIdleTimeout = 0.001
	client.Limits = lim
	ctx, cancel = context.WithCancel(context.Background())
	group.Go(func() error { return client.Run(ctx) })
	trace.Recordf("silence")
	server.ExpectConnection()
	server.ExpectConnection()
	cancel()
	testutil.WaitCancelled(t, &group)
	trace.Check()
}

// A heartbeat, a number alone or in an object, is not taken for an event. If its number is higher than that of the last event,
// events are missing and the client reconnects to get them. Otherwise it shows that the channel works.
func TestHeartbeats(t *testing.T) {
	trace := testutil.NewTrace(t)
	server := trace.StartChannel()
	updates := recordedUpdates{trace, make(chan bool, 10)}
	lim := limits.For(64, 256)
	lim.ChannelRetryDelay, lim.ChannelIdleTimeout = 0, 3600
	var logs lockedBuffer
	client := &Client{address: server.Addr().String(), Subscriber: updates, Limits: lim, Log: zerolog.New(&logs)}
	stop := runWithFirstEvent(t, client, updates)
	server.ExpectConnection()
	for _, text := range []string{`{"cursor":2}`, "2", `{"cursor": 7 }`} {
		server.SendLine(text)
		server.ExpectConnection()
	}
	server.SendLine(`{"cursor":1}`)
	server.SendLine(eventText(2, false, "terminating")) // the heartbeats before did not advance the last event
	<-updates.received
	stop()
	trace.Recordf("told as back %d times, lost %d", strings.Count(logs.String(), "back"), strings.Count(logs.String(), "lost"))
	trace.Check()
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func FuzzEvent(f *testing.F) {
	f.Add([]byte(eventText(1, true, "in_service")))
	f.Add([]byte(`{"cursor":1,"nodes":null}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		updates := recordedUpdates{testutil.NewTrace(t), make(chan bool, 1)}
		client := &Client{Subscriber: updates, Limits: limits.For(64, 256)}
		if applied, err := client.applyEvent(line); applied && err != nil {
			t.Fatalf("applyEvent = true with error %v, want no error", err)
		}
	})
}

// Another process at the channel's address, whose numbers begin anew, does not replace the list by an older one.
func TestChannelAddressTakenOver(t *testing.T) {
	trace := testutil.NewTrace(t)
	server := trace.StartChannel()
	updates := recordedUpdates{trace, make(chan bool, 10)}
	lim := limits.For(64, 256)
	lim.ChannelRetryDelay, lim.ChannelIdleTimeout = 0, 3600
	client := &Client{address: server.Addr().String(), Subscriber: updates, Limits: lim, Log: zerolog.Nop()}
	stop := runWithFirstEvent(t, client, updates)
	defer stop()
	server.ExpectConnection()
	server.SendLine(eventText(2, false, "terminating"))
	<-updates.received
	server.CloseConn()
	server.ExpectConnection() // the new process
	server.SendLine("1")
	server.SendLine(eventText(1, true, "in_service"))
	server.SendLine(eventText(2, false, "in_service"))
	server.SendLine(eventText(3, false, "terminated"))
	<-updates.received
	if n := len(updates.received); n != 0 || client.LastEvent() != 3 {
		t.Errorf("got %d further updates and last event %d, want none and 3", n, client.LastEvent())
	}
	trace.Check()
}
