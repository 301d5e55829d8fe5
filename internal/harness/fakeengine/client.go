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

// Request is what a client asks for. Times are seconds, memory is MB.
type Request struct {
	ID        string            `json:"Ref"`
	Class     string            `json:"Type"`
	Timeout   float64           `json:"Allow"`
	Work      float64           `json:"Work"`
	Memory    float64           `json:"Memory"`
	Statement string            `json:"Statement"`
	Fields    map[string]string `json:"More"` // further fields
}

// Outcome is how a job ended for its client.
type Outcome string

// The outcomes of a request.
const (
	Completed         Outcome = "done"
	Rejected          Outcome = "throttled"
	FailedPermanently Outcome = "cancelled for good"
	Lost              Outcome = "lost" // the connection ended without an answer
)

// Answer is a job's final answer.
type Answer struct {
	Outcome    Outcome
	Rows       string
	Reason     string
	RetryAfter float64        // seconds, 0 where nothing was said
	Latency    float64        // seconds from the last byte to the answer
	ReceivedAt float64        // Unix seconds
	Ready      bool           // what a ping was answered
	Estimates  []WaitEstimate // waits, as they came
}

// WaitEstimate is a wait that a client was told, in seconds from then.
type WaitEstimate struct {
	ReceivedAt                             float64 // Unix seconds
	Start, Completion, StartLow, StartHigh float64
}

// pending is a job, or a ping, that waits for its answer.
type pending struct {
	answer chan Answer
	told   []WaitEstimate
}

// Client is one connection to a controller. Any number of goroutines may ask.
type Client struct {
	peer  net.Conn
	write sync.Mutex

	mu       sync.Mutex
	next     uint32
	inFlight map[uint32]*pending
	err      error

	// OnUnexpectedAnswer hears what no job waits for: a second answer.
	OnUnexpectedAnswer func(id uint32)
}

// Dial connects a client.
func Dial(address string) (*Client, error) {
	peer, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{peer: peer, inFlight: map[uint32]*pending{}}
	go c.read()
	return c, nil
}

// Close ends the connection.
func (c *Client) Close() { c.peer.Close() }

func (c *Client) read() {
	in := msgpack.NewDecoder(c.peer)
	for {
		var m []any
		err := in.Decode(&m)
		if err == nil && len(m) == 3 && m[1] == "wait" {
			c.estimated(m[2])
			continue
		}
		if err == nil && len(m) != 4 {
			err = fmt.Errorf("an answer of %d parts", len(m))
		}
		if err != nil {
			c.mu.Lock()
			c.err = err
			for id, wait := range c.inFlight {
				wait.answer <- Answer{Outcome: Lost, Reason: err.Error()}
				delete(c.inFlight, id)
			}
			c.mu.Unlock()
			c.peer.Close()
			return
		}
		id := number(m[1])
		c.mu.Lock()
		wait := c.inFlight[id]
		delete(c.inFlight, id)
		c.mu.Unlock()
		if wait == nil {
			if c.OnUnexpectedAnswer != nil {
				c.OnUnexpectedAnswer(id)
			}
			continue
		}
		a := answer(m[2], m[3])
		a.Estimates = wait.told
		wait.answer <- a
	}
}

// estimated takes a notification of a job's wait.
func (c *Client) estimated(args any) {
	parts, _ := args.([]any)
	if len(parts) != 2 {
		return
	}
	id := number(parts[0])
	fields, _ := parts[1].(map[string]any)
	seconds := func(name string) (v float64) {
		_, _ = fmt.Sscan(fmt.Sprint(fields[name]), &v) // 0 for none
		return v / 1000
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.inFlight[id]; a != nil {
		a.told = append(a.told, WaitEstimate{ReceivedAt: float64(time.Now().UnixMicro()) / 1e6, Start: seconds("dispatch_ms"), Completion: seconds("done_ms"),
			StartLow: seconds("least_ms"), StartHigh: seconds("most_ms")})
	} else if c.OnUnexpectedAnswer != nil {
		c.OnUnexpectedAnswer(id) // after the answer
	}
}

// number is a decoded whole number, 0 for none.
func number(v any) uint32 {
	var n uint32
	_, _ = fmt.Sscan(fmt.Sprint(v), &n)
	return n
}

func answer(fault, result any) (a Answer) {
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
			_, _ = fmt.Sscan(fmt.Sprint(fields["cooldown"]), &ms) // 0 for none
			a.RetryAfter = ms / 1000
		}
		a.Reason = fmt.Sprint(fields["why"])
	}
	return a
}

func (c *Client) send(wait chan Answer, method string, args ...any) (uint32, error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return 0, c.err
	}
	c.next++
	id := c.next
	c.inFlight[id] = &pending{answer: wait}
	c.mu.Unlock()
	b, err := msgpack.Marshal([]any{0, id, method, args})
	if err != nil {
		return 0, err
	}
	c.write.Lock()
	defer c.write.Unlock()
	c.peer.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err = c.peer.Write(b)
	return id, err
}

// Do asks for a job and waits for its answer. At the end of ctx the client stops waiting and says so.
func (c *Client) Do(ctx context.Context, j Request) Answer {
	fields := map[string]string{"ref": j.ID, "allow": fmt.Sprintf("%.0f", j.Timeout*1000),
		"effort": fmt.Sprintf("%.1f", j.Work*1000), "need_mb": fmt.Sprintf("%.0f", j.Memory)}
	for name, value := range j.Fields {
		fields[name] = value
	}
	wait, began := make(chan Answer, 1), time.Now()
	id, err := c.send(wait, j.Class, fields, []byte(j.Statement))
	if err != nil {
		return Answer{Outcome: Lost, Reason: err.Error()}
	}
	select {
	case a := <-wait:
		a.Latency = time.Since(began).Seconds()
		return a
	case <-ctx.Done():
		if b, err := msgpack.Marshal([]any{2, "abort", []uint32{id}}); err == nil {
			c.write.Lock()
			_, _ = c.peer.Write(b) // the reader finds out that the connection is gone
			c.write.Unlock()
		}
		return Answer{Outcome: Lost, Reason: ctx.Err().Error(), Latency: time.Since(began).Seconds()}
	}
}

// WaitReady asks until the controller says that it is ready, or time is up.
func (c *Client) WaitReady(patience time.Duration) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		wait := make(chan Answer, 1)
		if _, err := c.send(wait, "ping", map[string]string{}); err != nil {
			return err
		}
		a := <-wait
		if a.Outcome == Lost {
			return errors.New(a.Reason)
		}
		if a.Ready {
			return nil
		}
	}
	return errors.New("the controller is not ready")
}
