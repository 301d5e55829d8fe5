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

// Channel is one controller's end of the channel.
type Channel struct {
	Gate   discovery.Gate
	Limits limits.Limits
	Log    zerolog.Logger

	mu      sync.Mutex
	address string
	turn    context.CancelFunc // away from the connection under way

	taking sync.Mutex // one event at a time
	last   int64      // the number of the last event taken
	up     bool       // what it says is heard
}

// Known takes the events that the configuration holds, from the start or from a new one: those that have not come yet. A
// channel that is silent or out of reach may be behind what a new configuration knows.
func (r *Channel) Known(events []json.RawMessage) error {
	for _, e := range events {
		if _, err := r.event(e); err != nil {
			return err
		}
	}
	return nil
}

// Last is the number of the last event taken.
func (r *Channel) Last() int64 {
	r.taking.Lock()
	defer r.taking.Unlock()
	return r.last
}

// Turn goes on with the channel at another address, from the last event taken.
func (r *Channel) Turn(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.turn != nil && r.address != address {
		r.turn()
	}
	r.address = address
}

// Run keeps to the channel until ctx ends, and connects anew whenever it closes or falls silent.
func (r *Channel) Run(ctx context.Context) error {
	r.up = true
	for ctx.Err() == nil {
		r.mu.Lock()
		turn, cancel := context.WithCancel(ctx)
		r.turn = cancel
		address := r.address
		r.mu.Unlock()
		err := r.follow(turn, address)
		if turn.Err() == nil {
			if r.up {
				r.Log.Warn().Err(err).Int64("event", r.Last()).Msg("command channel lost")
			}
			r.up = false
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

func (r *Channel) follow(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: limits.Duration(r.Limits.ChannelWait)}
	peer, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer peer.Close()
	defer context.AfterFunc(ctx, func() { peer.Close() })()
	quiet := func() time.Time { return time.Now().Add(limits.Duration(r.Limits.ChannelQuiet)) }
	peer.SetDeadline(quiet())
	if _, err = fmt.Fprintf(peer, "resume %d\n", r.Last()); err != nil {
		return err
	}
	lines := bufio.NewScanner(peer)
	lines.Buffer(make([]byte, 0, 4<<10), r.Limits.Line)
	lines.Split(ended)
	for lines.Scan() {
		peer.SetDeadline(quiet())
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		news, err := false, error(nil)
		if n, ok := tick(line); !ok {
			news, err = r.event(line)
		} else if n > r.Last() {
			err = errGap
		}
		if err != nil { // it comes again: an older list would bring back what is past
			return err
		}
		if !r.up {
			r.Log.Info().Int64("event", r.Last()).Msg("command channel back")
		}
		if r.up = true; news {
			r.Log.Debug().Int64("event", r.Last()).Msg("roster changed")
		}
	}
	return errors.Join(lines.Err(), errors.New("channel closed"))
}

// ended splits lines off. One that the end of the connection cut is none, however whole it looks.
func ended(data []byte, _ bool) (int, []byte, error) {
	if n := bytes.IndexByte(data, '\n'); n >= 0 {
		return n + 1, data[:n], nil
	}
	return 0, nil, nil
}

// tick reads a line with a number alone, as text or as an object that holds nothing else.
func tick(line []byte) (n int64, ok bool) {
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

// event takes one event; false for a repeat. Nothing of one that can't be used is taken.
func (r *Channel) event(line []byte) (bool, error) {
	r.taking.Lock()
	defer r.taking.Unlock()
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
	case e.Cursor <= r.last:
		return false, nil
	case r.last > 0 && e.Cursor != r.last+1 && (e.Nodes == nil || !e.Nodes.Whole):
		return false, errGap
	}
	r.last = e.Cursor
	if e.Nodes == nil {
		return true, nil
	}
	mode, engines := discovery.Changes, make([]discovery.Engine, len(e.Nodes.Hosts))
	if e.Nodes.Whole {
		mode = discovery.Whole
	}
	for i, h := range e.Nodes.Hosts {
		engines[i] = discovery.Engine{Name: h.Host, Address: h.Dial, Zone: h.Site, Kind: h.Class, Cell: h.Block, Weight: 1,
			State: discovery.State(h.Health), Born: h.Born / 1000}
	}
	r.Gate.UpdateEndpoints(mode, engines)
	return true, nil
}
