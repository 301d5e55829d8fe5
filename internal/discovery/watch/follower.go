package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"copperrock.example/copperrock/internal/discovery/watch/reconnect"
	"copperrock.example/copperrock/internal/limits"
)

// errSilent means that no line has arrived for the idle timeout.
var errSilent = errors.New("silent")

// follower keeps connections to one address of the command channel open: one while lines arrive, several while the channel is
// silent. Its set decides which, and the connections report to it. Only the goroutine of run uses it.
type follower struct {
	client  *Client
	address string
	set     *reconnect.Set
	start   time.Time // the set's times are counted from here
	reports chan report
	cancels map[reconnect.ID]context.CancelFunc // close the connections
	streams sync.WaitGroup
}

// report is what a connection reports to its follower.
type report struct {
	id   reconnect.ID
	kind reportKind
	err  error // why the connection has ended
}

type reportKind int

const (
	reportEstablished reportKind = iota
	reportData                   // some data, perhaps a part of a line
	reportLine                   // a valid line, which has been applied
	reportEnded
)

func newFollower(client *Client, address string) *follower {
	return &follower{
		client:  client,
		address: address,
		set: reconnect.New(reconnect.Options{
			IdleTimeout: client.Limits.ChannelIdleTimeout,
			DialTimeout: client.Limits.ChannelDialTimeout,
			RetryDelay:  client.Limits.ChannelRetryDelay,
			ConnTimeout: client.Limits.ChannelConnTimeout,
			MaxConns:    client.Limits.MaxChannelConns,
		}),
		start:   time.Now(),
		reports: make(chan report),
		cancels: map[reconnect.ID]context.CancelFunc{},
	}
}

// run follows the channel until ctx ends, and returns when all connections are closed.
func (f *follower) run(ctx context.Context) {
	defer f.streams.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.reports:
			f.handle(r)
		case <-timer.C:
			f.tick(ctx)
		}
		timer.Reset(limits.Duration(max(f.set.NextTick()-f.now(), 0)))
	}
}

// tick opens and closes the connections that are due.
func (f *follower) tick(ctx context.Context) {
	decision := f.set.Tick(f.now())
	f.close(decision.Close...)
	if decision.Lost {
		f.client.channelLost(errSilent)
	}
	if decision.Open == 0 {
		return
	}
	streamCtx, cancel := context.WithCancel(ctx)
	f.cancels[decision.Open] = cancel
	f.streams.Go(func() {
		defer cancel()
		s := stream{client: f.client, address: f.address, id: decision.Open, reports: f.reports}
		s.run(streamCtx)
	})
}

// handle passes on to the set what a connection has reported.
func (f *follower) handle(r report) {
	now := f.now()
	switch r.kind {
	case reportEstablished:
		f.set.Established(r.id, now)
	case reportData:
		f.set.DataReceived(r.id, now)
	case reportLine:
		f.client.lineReceived(f.set.Silence(r.id, now))
		f.close(f.set.LineReceived(r.id, now)...)
	case reportEnded:
		f.close(r.id)
		if f.set.Ended(r.id, now) {
			f.client.channelLost(r.err)
		}
	}
}

// close closes connections. Their goroutines end without a report.
func (f *follower) close(ids ...reconnect.ID) {
	for _, id := range ids {
		if cancel, open := f.cancels[id]; open {
			cancel()
			delete(f.cancels, id)
		}
	}
}

// now returns the time for the set.
func (f *follower) now() float64 { return time.Since(f.start).Seconds() }
