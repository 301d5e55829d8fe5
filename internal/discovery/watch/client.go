// Package watch follows the command channel: a stream of events, one per line, that report the endpoint list and its changes.
// Events are numbered. After a reconnect the client resumes after the last event that it applied.
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

// initialLineSize is the initial size of the line buffer in bytes. The buffer grows up to Limits.MaxLine.
const initialLineSize = 4 << 10

var (
	// errGap means that events were missed. The server sends them again on the next connection.
	errGap = errors.New("events were missed")
	// errClosed means that the server has closed the stream.
	errClosed = errors.New("channel closed")
)

// Client is a controller's end of the command channel. Its exported fields must be set before the first call and not changed
// afterwards. Run owns the connection; the other methods are safe for concurrent use.
type Client struct {
	Subscriber discovery.Subscriber
	Limits     limits.Limits
	Log        zerolog.Logger

	mu           sync.Mutex // guards address and cancelStream
	address      string
	cancelStream context.CancelFunc // ends the current stream, so that Run connects to the present address

	eventMu   sync.Mutex // guards lastEvent; held while an event is applied
	lastEvent int64      // number of the last event applied

	connected bool // used by Run only; false from the loss of the channel until the next valid line
}

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
	if c.cancelStream != nil && c.address != address {
		c.cancelStream()
	}
	c.address = address
}

// Run follows the channel until ctx ends. It reconnects whenever the channel closes or is silent for too long.
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

// openStream returns the context of the next stream, which SetAddress may cancel, and the address to connect to.
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

// stream opens a connection and applies the events that arrive on it until it ends.
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
	lines.Buffer(make([]byte, 0, initialLineSize), c.Limits.MaxLine)
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

// applyLine applies an event or a heartbeat. After an error the stream must be reopened from the last event applied, since to
// continue would skip events.
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
