// Package watch follows the command channel: a stream of events, one per line, that report the endpoint list and its changes.
// Events are numbered. After a reconnect the client resumes after the last event that it applied.
package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/limits"
)

// errGap means that events were missed. The server sends them again on the next connection.
var errGap = errors.New("events were missed")

// Client is a controller's end of the command channel. Its exported fields must be set before the first call and not changed
// afterwards. Run owns the connections; the other methods are safe for concurrent use.
type Client struct {
	Subscriber discovery.Subscriber
	Limits     limits.Limits
	Log        zerolog.Logger

	dial dialer // opens connections, net.Dialer's if nil; replaced by tests

	mu             sync.Mutex // guards address and cancelFollower
	address        string
	cancelFollower context.CancelFunc // ends the current follower, so that Run connects to the present address

	eventMu   sync.Mutex // guards lastEvent; held while an event is applied
	lastEvent int64      // number of the last event applied

	// The rest is used by the goroutine of Run only.
	connected bool      // false from the loss of the channel until the next valid line
	lineAt    time.Time // when the last valid line arrived, at first when Run was called
}

// dialer opens connections to the command channel until its context ends.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// ApplyKnown applies those events of a configuration that have not been applied yet. It is called at startup and when the
// configuration is reloaded, since a new configuration may have later events than a channel that is silent or unreachable.
func (c *Client) ApplyKnown(events []json.RawMessage) error {
	for _, e := range events {
		if _, err := c.applyEvent(e); err != nil {
			return err
		}
	}
	return nil
}

// LastEvent returns the number of the last event applied.
func (c *Client) LastEvent() int64 {
	c.eventMu.Lock()
	defer c.eventMu.Unlock()
	return c.lastEvent
}

// SetAddress sets the address of the channel. If it has changed, the client reconnects and resumes after the last event
// applied.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelFollower != nil && c.address != address {
		c.cancelFollower()
	}
	c.address = address
}

// Run follows the channel until ctx ends. It reconnects whenever the channel closes or is silent.
func (c *Client) Run(ctx context.Context) error {
	c.connected, c.lineAt = true, time.Now()
	for ctx.Err() == nil {
		followerCtx, cancel, address := c.openFollower(ctx)
		newFollower(c, address).run(followerCtx)
		cancel()
	}
	return ctx.Err()
}

// openFollower returns the context of the next follower, which SetAddress may cancel, and the address to connect to.
func (c *Client) openFollower(ctx context.Context) (context.Context, context.CancelFunc, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	followerCtx, cancel := context.WithCancel(ctx)
	c.cancelFollower = cancel
	return followerCtx, cancel, c.address
}

// channelLost logs, once until a line arrives again, that the channel is lost.
func (c *Client) channelLost(err error) {
	if c.connected {
		c.Log.Warn().Err(err).Int64("event", c.LastEvent()).Msg("command channel lost")
	}
	c.connected = false
}

// lineReceived records a valid line, on a connection on which none had arrived for waited seconds. If the channel was lost, this
// tells in the log whether the channel had been out of reach or late: only late lines arrive on a connection that has waited.
func (c *Client) lineReceived(waited float64) {
	now := time.Now()
	if !c.connected {
		c.Log.Info().Int64("event", c.LastEvent()).Float64("silent", now.Sub(c.lineAt).Seconds()).Float64("waited", waited).
			Msg("command channel back")
	}
	c.connected, c.lineAt = true, now
}

// applyLine applies an event or a heartbeat; streams call it concurrently. After an error the stream must be reopened from the
// last event applied, since to continue would skip events.
func (c *Client) applyLine(line []byte) error {
	changed := false
	if number, heartbeat := parseHeartbeat(line); heartbeat {
		if number > c.LastEvent() {
			return errGap
		}
	} else {
		var err error
		if changed, err = c.applyEvent(line); err != nil {
			return err
		}
	}
	if changed {
		c.Log.Debug().Int64("event", c.LastEvent()).Msg("endpoint list changed")
	}
	return nil
}

// applyEvent applies one event and reports whether it was new. Nothing of an invalid event is applied.
func (c *Client) applyEvent(line []byte) (bool, error) {
	c.eventMu.Lock()
	defer c.eventMu.Unlock()
	e, err := decodeEvent(line)
	if err != nil {
		return false, err
	}
	switch {
	case e.Cursor <= 0 || e.Nodes != nil && len(e.Nodes.Hosts) > c.Limits.MaxEngines:
		return false, fmt.Errorf("event %d: invalid number or too many endpoints", e.Cursor)
	case e.Cursor <= c.lastEvent:
		return false, nil
	case c.lastEvent > 0 && e.Cursor != c.lastEvent+1 && !e.isSnapshot():
		return false, errGap
	}
	c.lastEvent = e.Cursor
	if e.Nodes != nil {
		c.Subscriber.UpdateEndpoints(e.update())
	}
	return true, nil
}
