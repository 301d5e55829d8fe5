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

// Job is what a client asks for. Times are seconds, memory is MB.
type Job struct {
	Ref       string            `json:"Ref"`
	Type      string            `json:"Type"`
	Allow     float64           `json:"Allow"`
	Work      float64           `json:"Work"`
	Memory    float64           `json:"Memory"`
	Statement string            `json:"Statement"`
	More      map[string]string `json:"More"` // further fields
}

// Outcome is how a job ended for its client.
type Outcome string

const (
	Done      Outcome = "done"
	Throttled Outcome = "throttled"
	Cancelled Outcome = "cancelled for good"
	Lost      Outcome = "lost" // the connection ended without an answer
)

// Answer is a job's final answer.
type Answer struct {
	Outcome  Outcome
	Rows     string
	Why      string
	ComeBack float64 // seconds, 0 where nothing was said
	Wait     float64 // seconds from the last byte to the answer
	At       float64 // Unix seconds
	Ready    bool    // what a ping was answered
	Told     []Told  // waits, as they came
}

// Told is a wait that a client was told, in seconds from then.
type Told struct {
	At                          float64 // Unix seconds
	Dispatch, Done, Least, Most float64
}

// asked is a job, or a ping, that waits for its answer.
type asked struct {
	answer chan Answer
	told   []Told
}

// Client is one connection to a controller. Any number of goroutines may ask.
type Client struct {
	peer  net.Conn
	write sync.Mutex

	mu    sync.Mutex
	next  uint32
	open  map[uint32]*asked
	ended error

	// Odd hears what no job waits for: a second answer.
	Odd func(id uint32)
}

// Dial connects a client.
func Dial(address string) (*Client, error) {
	peer, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{peer: peer, open: map[uint32]*asked{}}
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
			c.wait(m[2])
			continue
		}
		if err == nil && len(m) != 4 {
			err = fmt.Errorf("an answer of %d parts", len(m))
		}
		if err != nil {
			c.mu.Lock()
			c.ended = err
			for id, wait := range c.open {
				wait.answer <- Answer{Outcome: Lost, Why: err.Error()}
				delete(c.open, id)
			}
			c.mu.Unlock()
			c.peer.Close()
			return
		}
		id, _ := number(m[1])
		c.mu.Lock()
		wait := c.open[id]
		delete(c.open, id)
		c.mu.Unlock()
		if wait == nil {
			if c.Odd != nil {
				c.Odd(id)
			}
			continue
		}
		a := answer(m[2], m[3])
		a.Told = wait.told
		wait.answer <- a
	}
}

// wait takes a notification of a job's wait.
func (c *Client) wait(args any) {
	parts, _ := args.([]any)
	if len(parts) != 2 {
		return
	}
	id, _ := number(parts[0])
	fields, _ := parts[1].(map[string]any)
	seconds := func(name string) (v float64) {
		fmt.Sscan(fmt.Sprint(fields[name]), &v)
		return v / 1000
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.open[id]; a != nil {
		a.told = append(a.told, Told{At: float64(time.Now().UnixMicro()) / 1e6, Dispatch: seconds("dispatch_ms"), Done: seconds("done_ms"),
			Least: seconds("least_ms"), Most: seconds("most_ms")})
	} else if c.Odd != nil {
		c.Odd(id) // after the answer
	}
}

func number(v any) (uint32, bool) {
	var n uint32
	_, err := fmt.Sscan(fmt.Sprint(v), &n)
	return n, err == nil
}

func answer(fault, result any) (a Answer) {
	a.At = float64(time.Now().UnixMicro()) / 1e6
	if fault == nil {
		a.Outcome = Done
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
	a.Outcome = Cancelled
	parts, _ := fault.([]any)
	if len(parts) == 2 {
		fields, _ := parts[1].(map[string]any)
		if parts[0] == "Rejected" {
			a.Outcome = Throttled
			var ms float64
			fmt.Sscan(fmt.Sprint(fields["cooldown"]), &ms)
			a.ComeBack = ms / 1000
		}
		a.Why = fmt.Sprint(fields["why"])
	}
	return a
}

func (c *Client) send(wait chan Answer, method string, args ...any) (uint32, error) {
	c.mu.Lock()
	if c.ended != nil {
		c.mu.Unlock()
		return 0, c.ended
	}
	c.next++
	id := c.next
	c.open[id] = &asked{answer: wait}
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

// Ask asks for a job and waits for its answer. At the end of ctx the client stops waiting and says so.
func (c *Client) Ask(ctx context.Context, j Job) Answer {
	fields := map[string]string{"ref": j.Ref, "allow": fmt.Sprintf("%.0f", j.Allow*1000),
		"effort": fmt.Sprintf("%.1f", j.Work*1000), "need_mb": fmt.Sprintf("%.0f", j.Memory)}
	for name, value := range j.More {
		fields[name] = value
	}
	wait, began := make(chan Answer, 1), time.Now()
	id, err := c.send(wait, j.Type, fields, []byte(j.Statement))
	if err != nil {
		return Answer{Outcome: Lost, Why: err.Error()}
	}
	select {
	case a := <-wait:
		a.Wait = time.Since(began).Seconds()
		return a
	case <-ctx.Done():
		if b, err := msgpack.Marshal([]any{2, "abort", []uint32{id}}); err == nil {
			c.write.Lock()
			c.peer.Write(b)
			c.write.Unlock()
		}
		return Answer{Outcome: Lost, Why: ctx.Err().Error(), Wait: time.Since(began).Seconds()}
	}
}

// Ready asks until the controller says that it is ready, or time is up.
func (c *Client) Ready(patience time.Duration) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		wait := make(chan Answer, 1)
		if _, err := c.send(wait, "ping", map[string]string{}); err != nil {
			return err
		}
		a := <-wait
		if a.Outcome == Lost {
			return errors.New(a.Why)
		}
		if a.Ready {
			return nil
		}
	}
	return errors.New("the controller is not ready")
}
