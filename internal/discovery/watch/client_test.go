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

// recordedUpdates says what it is told, and tells the test when a message is whole.
type recordedUpdates struct {
	*testutil.Trace
	received chan bool
}

func (l recordedUpdates) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	l.Recordf("  whole %v", mode == discovery.Snapshot)
	for _, e := range engines {
		l.Recordf("  %s at %s, %s %s %d, %s, born %g", e.Name, e.Address, e.Zone, e.Kind, e.Cell, e.State, e.StartedAt)
	}
	l.received <- true
}

func eventText(n int, whole bool, state string) string {
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"seq":%d,"whole":%v,"hosts":[{"host":"s-1","dial":"10.1.0.9:9090",`+
		`"site":"east","class":"std","block":2,"health":"%s","share":4,"born_ms":1500}]}}`, n, n, whole, state)
}

// Gaps, repeats, bad lines, closes and silence all end in a new connection that asks for what is missing.
func TestChannel(t *testing.T) {
	x := testutil.NewTrace(t)
	server := x.StartChannel()
	updates := recordedUpdates{x, make(chan bool, 10)}
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
	server.SendLine("4") // a tick past what is known
	server.ExpectConnection()
	server.SendLine(`{"cursor":4,"other":{}}`) // an event of another kind
	server.SendLine(`{"cursor":5,"nodes":{"hosts":[{"host":7}]}}`)
	server.ExpectConnection()
	server.SendLine(eventText(5, true, "in_service")) // a whole list bears a gap
	<-updates.received
	server.SendLine("nonsense")
	server.ExpectConnection()
	server.SendRaw(eventText(6, false, "cut off")) // all of it but its end
	server.CloseConn()
	server.ExpectConnection()
	next := x.StartChannel()
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
	x.Recordf("silence")
	server.ExpectConnection()
	server.ExpectConnection()
	cancel()
	testutil.WaitCancelled(t, &group)
	x.Check()
}

// A tick, as a number or as an object with a number alone, is no event: one past what is known tells that events are
// missing, which come with the next connection; one that is not tells that the channel is heard.
func TestHeartbeats(t *testing.T) {
	x := testutil.NewTrace(t)
	server := x.StartChannel()
	updates := recordedUpdates{x, make(chan bool, 10)}
	lim := limits.For(64, 256)
	lim.ChannelRetryDelay, lim.ChannelIdleTimeout = 0, 3600
	var logs lockedBuffer
	client := &Client{address: server.Addr().String(), Subscriber: updates, Limits: lim, Log: zerolog.New(&logs)}
	if err := client.ApplyKnown([]json.RawMessage{json.RawMessage(eventText(1, true, "in_service"))}); err != nil {
		t.Fatal(err)
	}
	<-updates.received
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return client.Run(ctx) })
	server.ExpectConnection()
	for _, text := range []string{`{"cursor":2}`, "2", `{"cursor": 7 }`} {
		server.SendLine(text)
		server.ExpectConnection()
	}
	server.SendLine(`{"cursor":1}`)
	server.SendLine(eventText(2, false, "terminating")) // was not taken for told by the tick before it
	<-updates.received
	cancel()
	testutil.WaitCancelled(t, &group)
	x.Recordf("told as back %d times, lost %d", strings.Count(logs.String(), "back"), strings.Count(logs.String(), "lost"))
	x.Check()
}

// lockedBuffer is written by one goroutine and read by another.
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
		l := recordedUpdates{testutil.NewTrace(t), make(chan bool, 1)}
		client := &Client{Subscriber: l, Limits: limits.For(64, 256)}
		if applied, err := client.applyEvent(line); applied && err != nil {
			t.Fatalf("applied with an error: %v", err)
		}
	})
}
