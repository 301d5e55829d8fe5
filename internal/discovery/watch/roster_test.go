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

// list says what it is told, and tells the test when a message is whole.
type list struct {
	*testutil.Trace
	whole chan bool
}

func (l list) UpdateEndpoints(mode discovery.UpdateMode, engines []discovery.Endpoint) {
	l.Say("  whole %v", mode == discovery.Snapshot)
	for _, e := range engines {
		l.Say("  %s at %s, %s %s %d, %s, born %g", e.Name, e.Address, e.Zone, e.Kind, e.Cell, e.State, e.StartedAt)
	}
	l.whole <- true
}

func event(n int, whole bool, state string) string {
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"seq":%d,"whole":%v,"hosts":[{"host":"s-1","dial":"10.1.0.9:9090",`+
		`"site":"east","class":"std","block":2,"health":"%s","share":4,"born_ms":1500}]}}`, n, n, whole, state)
}

// Gaps, repeats, bad lines, closes and silence all end in a new connection that asks for what is missing.
func TestChannel(t *testing.T) {
	x := testutil.New(t)
	far := x.Channel()
	l := list{x, make(chan bool, 10)}
	lim := limits.For(64, 256)
	lim.ChannelRetry, lim.ChannelQuiet = 0, 3600
	r := &Client{address: far.Addr().String(), Subscriber: l, Limits: lim, Log: zerolog.Nop()}
	if err := r.ApplyKnown([]json.RawMessage{json.RawMessage(event(1, true, "in_service")),
		json.RawMessage(event(2, false, "terminating"))}); err != nil {
		t.Fatal(err)
	}
	<-l.whole
	<-l.whole
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
	far.Accepts()
	far.Tells("2")
	far.Tells(event(2, false, "repeated"))
	far.Tells(event(3, false, "terminated"))
	<-l.whole
	far.Tells(event(5, false, "after a gap"))
	far.Accepts()
	far.Tells("4") // a tick past what is known
	far.Accepts()
	far.Tells(`{"cursor":4,"other":{}}`) // an event of another kind
	far.Tells(`{"cursor":5,"nodes":{"hosts":[{"host":7}]}}`)
	far.Accepts()
	far.Tells(event(5, true, "in_service")) // a whole list bears a gap
	<-l.whole
	far.Tells("nonsense")
	far.Accepts()
	far.Write(event(6, false, "cut off")) // all of it but its end
	far.Closes()
	far.Accepts()
	next := x.Channel()
	r.SetAddress(next.Addr().String())
	next.Accepts()
	next.Tells(event(6, false, "terminated"))
	<-l.whole
	r.SetAddress(far.Addr().String())
	far.Accepts()
	cancel()
	group.Wait()

	lim.ChannelQuiet = 0.001
	r.Limits = lim
	ctx, cancel = context.WithCancel(context.Background())
	group.Go(func() error { return r.Run(ctx) })
	x.Say("silence")
	far.Accepts()
	far.Accepts()
	cancel()
	group.Wait()
	x.Check()
}

// A tick, as a number or as an object with a number alone, is no event: one past what is known tells that events are
// missing, which come with the next connection; one that is not tells that the channel is heard.
func TestTicks(t *testing.T) {
	x := testutil.New(t)
	far := x.Channel()
	l := list{x, make(chan bool, 10)}
	lim := limits.For(64, 256)
	lim.ChannelRetry, lim.ChannelQuiet = 0, 3600
	var logs lockedBuffer
	r := &Client{address: far.Addr().String(), Subscriber: l, Limits: lim, Log: zerolog.New(&logs)}
	r.ApplyKnown([]json.RawMessage{json.RawMessage(event(1, true, "in_service"))})
	<-l.whole
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
	far.Accepts()
	for _, text := range []string{`{"cursor":2}`, "2", `{"cursor": 7 }`} {
		far.Tells(text)
		far.Accepts()
	}
	far.Tells(`{"cursor":1}`)
	far.Tells(event(2, false, "terminating")) // was not taken for told by the tick before it
	<-l.whole
	cancel()
	group.Wait()
	x.Say("told as back %d times, lost %d", strings.Count(logs.String(), "back"), strings.Count(logs.String(), "lost"))
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
	f.Add([]byte(event(1, true, "in_service")))
	f.Add([]byte(`{"cursor":1,"nodes":null}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		l := list{testutil.New(t), make(chan bool, 1)}
		(&Client{Subscriber: l, Limits: limits.For(64, 256)}).applyEvent(line)
	})
}
