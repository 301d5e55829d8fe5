// Package watch follows the command channel, which tells the list of engines.
package watch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/limits"
)

// Client is one controller's end of the channel.
type Client struct {
	Subscriber discovery.Subscriber
	Limits     limits.Limits
	Log        zerolog.Logger

	mu           sync.Mutex
	address      string
	cancelStream context.CancelFunc // away from the connection under way

	eventMu   sync.Mutex // one event at a time
	lastEvent int64      // the number of the last event taken
	connected bool       // what it says is heard
}

// ApplyKnown takes the events that the configuration holds, from the start or from a new one: those that have not come yet. A
// channel that is silent or out of reach may be behind what a new configuration knows.
func (r *Client) ApplyKnown(events []json.RawMessage) error {
	for _, e := range events {
		if _, err := r.applyEvent(e); err != nil {
			return err
		}
	}
	return nil
}

// LastEvent is the number of the last event taken.
func (r *Client) LastEvent() int64 {
	r.eventMu.Lock()
	defer r.eventMu.Unlock()
	return r.lastEvent
}

// SetAddress goes on with the channel at another address, from the last event taken.
func (r *Client) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelStream != nil && r.address != address {
		r.cancelStream()
	}
	r.address = address
}

// Run keeps to the channel until ctx ends, and connects anew whenever it closes or falls silent.
func (r *Client) Run(ctx context.Context) error {
	r.connected = true
	for ctx.Err() == nil {
		r.mu.Lock()
		turn, cancel := context.WithCancel(ctx)
		r.cancelStream = cancel
		address := r.address
		r.mu.Unlock()
		err := r.stream(turn, address)
		if turn.Err() == nil {
			if r.connected {
				r.Log.Warn().Err(err).Int64("event", r.LastEvent()).Msg("command channel lost")
			}
			r.connected = false
			select {
			case <-turn.Done():
			case <-time.After(limits.Duration(r.Limits.ChannelRetry)):
			}
		}
		cancel()
	}
	return ctx.Err()
}

// errGap tells that events were missed; they come with the next connection.
var errGap = errors.New("events are missing")

func (r *Client) stream(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: limits.Duration(r.Limits.ChannelWait)}
	peer, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer peer.Close()
	defer context.AfterFunc(ctx, func() { peer.Close() })()
	quiet := func() time.Time { return time.Now().Add(limits.Duration(r.Limits.ChannelQuiet)) }
	peer.SetDeadline(quiet())
	if _, err = fmt.Fprintf(peer, "resume %d\n", r.LastEvent()); err != nil {
		return err
	}
	lines := bufio.NewScanner(peer)
	lines.Buffer(make([]byte, 0, 4<<10), r.Limits.Line)
	lines.Split(scanCompleteLines)
	for lines.Scan() {
		peer.SetDeadline(quiet())
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		news, err := false, error(nil)
		if n, ok := parseHeartbeat(line); !ok {
			news, err = r.applyEvent(line)
		} else if n > r.LastEvent() {
			err = errGap
		}
		if err != nil { // it comes again: an older list would bring back what is past
			return err
		}
		if !r.connected {
			r.Log.Info().Int64("event", r.LastEvent()).Msg("command channel back")
		}
		if r.connected = true; news {
			r.Log.Debug().Int64("event", r.LastEvent()).Msg("roster changed")
		}
	}
	return errors.Join(lines.Err(), errors.New("channel closed"))
}

// scanCompleteLines splits lines off. One that the end of the connection cut is none, however whole it looks.
func scanCompleteLines(data []byte, _ bool) (int, []byte, error) {
	if n := bytes.IndexByte(data, '\n'); n >= 0 {
		return n + 1, data[:n], nil
	}
	return 0, nil, nil
}

// parseHeartbeat reads a line with a number alone, as text or as an object that holds nothing else.
func parseHeartbeat(line []byte) (n int64, ok bool) {
	if n, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		return n, true
	}
	var alone map[string]json.RawMessage
	if len(line) > 64 || json.Unmarshal(line, &alone) != nil || len(alone) != 1 {
		return 0, false
	}
	n, err := strconv.ParseInt(string(alone["cursor"]), 10, 64)
	return n, err == nil
}

// applyEvent takes one event; false for a repeat. Nothing of one that can't be used is taken.
func (r *Client) applyEvent(line []byte) (bool, error) {
	r.eventMu.Lock()
	defer r.eventMu.Unlock()
	var e struct {
		Cursor int64 `json:"Cursor"`
		Nodes  *struct {
			Whole bool `json:"Whole"`
			Hosts []struct {
				Host   string  `json:"Host"`
				Dial   string  `json:"Dial"`
				Site   string  `json:"Site"`
				Class  string  `json:"Class"`
				Block  int     `json:"Block"`
				Health string  `json:"Health"`
				Born   float64 `json:"born_ms"`
			} `json:"Hosts"`
		} `json:"Nodes"`
	}
	if err := json.Unmarshal(line, &e); err != nil {
		return false, fmt.Errorf("an event that can't be read: %w", err)
	}
	switch {
	case e.Cursor <= 0 || e.Nodes != nil && len(e.Nodes.Hosts) > r.Limits.Engines:
		return false, fmt.Errorf("event %d with what can't be", e.Cursor)
	case e.Cursor <= r.lastEvent:
		return false, nil
	case r.lastEvent > 0 && e.Cursor != r.lastEvent+1 && (e.Nodes == nil || !e.Nodes.Whole):
		return false, errGap
	}
	r.lastEvent = e.Cursor
	if e.Nodes == nil {
		return true, nil
	}
	mode, engines := discovery.Delta, make([]discovery.Endpoint, len(e.Nodes.Hosts))
	if e.Nodes.Whole {
		mode = discovery.Snapshot
	}
	for i, h := range e.Nodes.Hosts {
		engines[i] = discovery.Endpoint{Name: h.Host, Address: h.Dial, Zone: h.Site, Kind: h.Class, Cell: h.Block, Weight: 1,
			State: discovery.State(h.Health), StartedAt: h.Born / 1000}
	}
	r.Subscriber.UpdateEndpoints(mode, engines)
	return true, nil
}
