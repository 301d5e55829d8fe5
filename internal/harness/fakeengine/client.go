package fakeengine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Request is a request as a client sends it. Times are in seconds, memory in MB.
type Request struct {
	ID        string            `json:"Ref"`
	Class     string            `json:"Type"`
	Timeout   float64           `json:"Allow"`
	Work      float64           `json:"Work"`
	Memory    float64           `json:"Memory"`
	Statement string            `json:"Statement"`
	Fields    map[string]string `json:"More"` // additional request fields
}

// Outcome is how a request ended for its client.
type Outcome string

// The outcomes of a request.
const (
	Completed         Outcome = "done"
	Rejected          Outcome = "throttled"
	FailedPermanently Outcome = "cancelled for good"
	Lost              Outcome = "lost" // the connection ended without an answer
)

// Answer is the final answer to a request.
type Answer struct {
	Outcome    Outcome
	Rows       string
	Reason     string
	RetryAfter float64        // seconds, 0 if the answer has none
	Latency    float64        // seconds from sending the request to the answer
	ReceivedAt float64        // Unix seconds
	Ready      bool           // answer to a ping: whether the controller is ready
	Estimates  []WaitEstimate // received before the answer, in order
}

// WaitEstimate is an estimate of the remaining wait that a client received. Estimates are in seconds from ReceivedAt.
type WaitEstimate struct {
	ReceivedAt                             float64 // Unix seconds
	Start, Completion, StartLow, StartHigh float64
}

// pending is a request or ping that has no answer yet.
type pending struct {
	answer    chan Answer
	estimates []WaitEstimate
}

// Client is one connection to a controller. It may be used from several goroutines.
type Client struct {
	peer    net.Conn
	writeMu sync.Mutex // serializes writes to peer

	mu       sync.Mutex // guards the fields below
	lastID   uint32
	inFlight map[uint32]*pending
	err      error // that ended the connection

	// OnUnexpectedAnswer, if not nil, is called for a message to which no request is open, such as a second answer.
	OnUnexpectedAnswer func(id uint32)
}

// Dial connects a client to a controller.
func Dial(address string) (*Client, error) {
	peer, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{peer: peer, inFlight: map[uint32]*pending{}}
	go c.read()
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() { c.peer.Close() }

// read dispatches incoming messages until the connection ends, and then ends all open requests as Lost.
func (c *Client) read() {
	in := msgpack.NewDecoder(c.peer)
	for {
		var m []any
		err := in.Decode(&m)
		if err == nil && len(m) == 3 && m[1] == "wait" {
			c.addEstimate(m[2])
			continue
		}
		if err == nil && len(m) != 4 {
			err = fmt.Errorf("got an answer of %d parts, want 4", len(m))
		}
		if err != nil {
			c.mu.Lock()
			c.err = err
			for id, request := range c.inFlight {
				request.answer <- Answer{Outcome: Lost, Reason: err.Error()}
				delete(c.inFlight, id)
			}
			c.mu.Unlock()
			c.peer.Close()
			return
		}
		id := toUint32(m[1])
		c.mu.Lock()
		request := c.inFlight[id]
		delete(c.inFlight, id)
		c.mu.Unlock()
		if request == nil {
			if c.OnUnexpectedAnswer != nil {
				c.OnUnexpectedAnswer(id)
			}
			continue
		}
		a := decodeAnswer(m[2], m[3])
		a.Estimates = request.estimates
		request.answer <- a
	}
}

// addEstimate adds a wait estimate to its open request.
func (c *Client) addEstimate(args any) {
	parts, _ := args.([]any)
	if len(parts) != 2 {
		return
	}
	id := toUint32(parts[0])
	fields, _ := parts[1].(map[string]any)
	seconds := func(name string) (v float64) {
		_, _ = fmt.Sscan(fmt.Sprint(fields[name]), &v) // stays 0 if the field is missing
		return v / 1000
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if request := c.inFlight[id]; request != nil {
		request.estimates = append(request.estimates, WaitEstimate{
			ReceivedAt: float64(time.Now().UnixMicro()) / 1e6,
			Start:      seconds("dispatch_ms"),
			Completion: seconds("done_ms"),
			StartLow:   seconds("least_ms"),
			StartHigh:  seconds("most_ms"),
		})
	} else if c.OnUnexpectedAnswer != nil {
		c.OnUnexpectedAnswer(id) // an estimate after the answer
	}
}

// toUint32 converts a decoded integer of any type, and returns 0 for any other value.
func toUint32(v any) uint32 {
	var n uint32
	_, _ = fmt.Sscan(fmt.Sprint(v), &n)
	return n
}

// decodeAnswer decodes the error and the result of an answer message; one of them is nil.
func decodeAnswer(fault, result any) (a Answer) {
	a.ReceivedAt = float64(time.Now().UnixMicro()) / 1e6
	if fault == nil {
		a.Outcome = Completed
		if parts, ok := result.([]any); ok && len(parts) > 0 {
			switch v := parts[0].(type) {
			case []byte:
				a.Rows = string(v)
			case bool:
				a.Ready = v
			}
		}
		return a
	}
	a.Outcome = FailedPermanently
	parts, _ := fault.([]any)
	if len(parts) == 2 {
		fields, _ := parts[1].(map[string]any)
		if parts[0] == "Rejected" {
			a.Outcome = Rejected
			var ms float64
			_, _ = fmt.Sscan(fmt.Sprint(fields["cooldown"]), &ms) // stays 0 if the field is missing
			a.RetryAfter = ms / 1000
		}
		a.Reason = fmt.Sprint(fields["why"])
	}
	return a
}

// send sends a request or ping; its answer goes to the given channel.
func (c *Client) send(answer chan Answer, method string, args ...any) (uint32, error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return 0, c.err
	}
	c.lastID++
	id := c.lastID
	c.inFlight[id] = &pending{answer: answer}
	c.mu.Unlock()
	b, err := msgpack.Marshal([]any{0, id, method, args})
	if err != nil {
		return 0, err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.peer.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err = c.peer.Write(b)
	return id, err
}

// Do sends a request and waits for its answer. If ctx ends first, the client aborts the request and returns Lost.
func (c *Client) Do(ctx context.Context, r Request) Answer {
	fields := map[string]string{"ref": r.ID, "allow": fmt.Sprintf("%.0f", r.Timeout*1000),
		"effort": fmt.Sprintf("%.1f", r.Work*1000), "need_mb": fmt.Sprintf("%.0f", r.Memory)}
	for name, value := range r.Fields {
		fields[name] = value
	}
	answer, sentAt := make(chan Answer, 1), time.Now()
	id, err := c.send(answer, r.Class, fields, []byte(r.Statement))
	if err != nil {
		return Answer{Outcome: Lost, Reason: err.Error()}
	}
	select {
	case a := <-answer:
		a.Latency = time.Since(sentAt).Seconds()
		return a
	case <-ctx.Done():
		if b, err := msgpack.Marshal([]any{2, "abort", []uint32{id}}); err == nil {
			c.writeMu.Lock()
			_, _ = c.peer.Write(b) // read handles a connection that has ended
			c.writeMu.Unlock()
		}
		return Answer{Outcome: Lost, Reason: ctx.Err().Error(), Latency: time.Since(sentAt).Seconds()}
	}
}

// WaitReady pings the controller until it is ready, and returns an error after the timeout.
func (c *Client) WaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		answer := make(chan Answer, 1)
		if _, err := c.send(answer, "ping", map[string]string{}); err != nil {
			return err
		}
		a := <-answer
		if a.Outcome == Lost {
			return errors.New(a.Reason)
		}
		if a.Ready {
			return nil
		}
	}
	return errors.New("the controller is not ready")
}
