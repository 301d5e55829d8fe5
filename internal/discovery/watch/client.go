// Package watch follows the command channel: a stream of events, one a line, that report the endpoint list and its changes.
// Each event has a number; after a break the client resumes after the last one that it applied.
package watch

import (
	"bufio"
	"bytes"
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

// initialLine is the size of the buffer for a line; it grows up to the limits' bound.
const initialLine = 4 << 10

var (
	// errGap tells that events were missed; they come again with the next connection.
	errGap = errors.New("events are missing")
	// errClosed tells that the other side has closed the stream.
	errClosed = errors.New("channel closed")
)

// Client is a controller's end of the channel. Its exported fields are set before the first call and not changed. Run owns
// the connection; the other methods may be called from any goroutine.
type Client struct {
	Subscriber discovery.Subscriber
	Limits     limits.Limits
	Log        zerolog.Logger

	mu           sync.Mutex // guards the address and the running stream
	address      string
	cancelStream context.CancelFunc // ends the stream, so that Run connects to the address as it is now

	eventMu   sync.Mutex // held while an event is applied
	lastEvent int64      // number of the last event applied

	connected bool // of Run's goroutine: something came on the stream since it was opened
}

// ApplyKnown applies the events that a configuration holds, at the start or when it is reloaded, as far as they are new. A
// channel that is silent or out of reach may be behind what a new configuration knows.
func (c *Client) ApplyKnown(events []json.RawMessage) error {
	for _, e := range events {
		if _, err := c.applyEvent(e); err != nil {
			return err
		}
	}
	return nil
}

// LastEvent is the number of the last event applied.
func (c *Client) LastEvent() int64 {
	c.eventMu.Lock()
	defer c.eventMu.Unlock()
	return c.lastEvent
}

// SetAddress has the client go on with the channel at another address, after the last event applied.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelStream != nil && c.address != address {
		c.cancelStream()
	}
	c.address = address
}

// Run follows the channel until ctx ends, and reconnects whenever it closes or falls silent.
func (c *Client) Run(ctx context.Context) error {
	c.connected = true
	for ctx.Err() == nil {
		streamCtx, cancel, address := c.openStream(ctx)
		err := c.stream(streamCtx, address)
		if streamCtx.Err() == nil {
			c.streamLost(err)
			select {
			case <-streamCtx.Done():
			case <-time.After(limits.Duration(c.Limits.ChannelRetryDelay)):
			}
		}
		cancel()
	}
	return ctx.Err()
}

// openStream returns the context of the next stream, which SetAddress may cancel, and its address.
func (c *Client) openStream(ctx context.Context) (context.Context, context.CancelFunc, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	streamCtx, cancel := context.WithCancel(ctx)
	c.cancelStream = cancel
	return streamCtx, cancel, c.address
}

func (c *Client) streamLost(err error) {
	if c.connected {
		c.Log.Warn().Err(err).Int64("event", c.LastEvent()).Msg("command channel lost")
	}
	c.connected = false
}

// stream opens a connection and applies its events until it ends.
func (c *Client) stream(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: limits.Duration(c.Limits.ChannelDialTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	idleTimeout := limits.Duration(c.Limits.ChannelIdleTimeout)
	conn.SetDeadline(time.Now().Add(idleTimeout))
	if _, err = fmt.Fprintf(conn, "resume %d\n", c.LastEvent()); err != nil {
		return err
	}
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, initialLine), c.Limits.MaxLine)
	lines.Split(scanCompleteLines)
	for lines.Scan() {
		conn.SetDeadline(time.Now().Add(idleTimeout))
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			if err := c.applyLine(line); err != nil {
				return err
			}
		}
	}
	return errors.Join(lines.Err(), errClosed)
}

// applyLine applies an event or a heartbeat. After an error the stream has to be opened anew, from the last event applied:
// to go on would leave a gap.
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
	if !c.connected {
		c.Log.Info().Int64("event", c.LastEvent()).Msg("command channel back")
	}
	c.connected = true
	if changed {
		c.Log.Debug().Int64("event", c.LastEvent()).Msg("endpoint list changed")
	}
	return nil
}

// applyEvent applies one event; false for one that was applied before. Nothing of an event that can't be used is applied.
func (c *Client) applyEvent(line []byte) (bool, error) {
	c.eventMu.Lock()
	defer c.eventMu.Unlock()
	e, err := decodeEvent(line)
	if err != nil {
		return false, err
	}
	switch {
	case e.Cursor <= 0 || e.Nodes != nil && len(e.Nodes.Hosts) > c.Limits.MaxEngines:
		return false, fmt.Errorf("event %d with what can't be", e.Cursor)
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
