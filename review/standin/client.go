//go:build review

package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// job is a job as a client sends it.
type job struct {
	id        string
	class     string
	allow     time.Duration // how long the client waits
	effort    time.Duration // estimate of the work
	needMB    int
	statement string
	fields    map[string]string // further fields
}

// answer is the final answer to a job.
type answer struct {
	word string // "served", "Rejected", "failed", "closed" (the connection ended without one)
	text string
	at   float64 // seconds since the start of the run
}

// client is one connection of a client.
type client struct {
	run  *run
	name string
	peer net.Conn

	mu      sync.Mutex
	last    uint32
	open    map[uint32]*call
	quiet   bool // nothing is recorded
	closed  bool // the connection has ended
	answers int  // answers received
}

// call is a job that was sent.
type call struct {
	job
	message uint32
	sentAt  float64 // when its last byte was written
	done    chan struct{}
	answer  answer // valid once done is closed
}

func (r *run) dialClient(name, address string) (*client, error) {
	peer, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{run: r, name: name, peer: peer, open: map[uint32]*call{}}
	go c.read()
	return c, nil
}

func (c *client) read() {
	in := msgpack.NewDecoder(c.peer)
	for {
		var m []any
		if err := in.Decode(&m); err != nil {
			c.mu.Lock()
			c.closed = true
			for id, k := range c.open {
				k.answer = answer{"closed", err.Error(), c.run.seconds()}
				close(k.done)
				delete(c.open, id)
			}
			c.mu.Unlock()
			return
		}
		if len(m) != 4 {
			continue
		}
		var id uint32
		_, _ = fmt.Sscan(fmt.Sprint(m[1]), &id)
		c.mu.Lock()
		k := c.open[id]
		delete(c.open, id)
		c.answers++
		c.mu.Unlock()
		a := answer{at: c.run.seconds()}
		switch fault, _ := m[2].([]any); {
		case m[2] == nil:
			a.word = "served"
			if parts, _ := m[3].([]any); len(parts) > 0 {
				switch v := parts[0].(type) {
				case []byte:
					a.text = string(v)
				default:
					a.text = fmt.Sprint(v)
				}
			}
		case len(fault) > 0 && fault[0] == "Rejected":
			a.word, a.text = "Rejected", fmt.Sprint(fault[1:]...)
		default:
			a.word, a.text = "failed", fmt.Sprint(m[2])
		}
		if k == nil {
			if !c.quiet {
				c.run.note(c.name, "gets an answer to message %d, which is not open: %s %s", id, a.word, a.text)
			}
			continue
		}
		k.answer = a
		if !c.quiet && k.class != "ping" {
			c.run.note(c.name, "job %s is answered after %.3f s: %s %s", k.id, a.at-k.sentAt, a.word, strings.TrimSpace(a.text))
		}
		close(k.done)
	}
}

func (c *client) encode(j job) (*call, []byte) {
	fields := map[string]string{
		"ref":     j.id,
		"allow":   fmt.Sprint(j.allow.Milliseconds()),
		"effort":  fmt.Sprintf("%.1f", float64(j.effort.Microseconds())/1000),
		"need_mb": fmt.Sprint(j.needMB),
	}
	for name, value := range j.fields {
		fields[name] = value
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	k := &call{job: j, message: c.last, done: make(chan struct{})}
	if c.closed {
		k.answer = answer{"closed", "", c.run.seconds()}
		close(k.done)
	} else {
		c.open[k.message] = k
	}
	b, err := msgpack.Marshal([]any{0, k.message, j.class, []any{fields, []byte(j.statement)}})
	if err != nil {
		panic(err)
	}
	return k, b
}

// send sends jobs in one write.
func (c *client) send(jobs ...job) (calls []*call) {
	var all []byte
	for _, j := range jobs {
		k, b := c.encode(j)
		calls, all = append(calls, k), append(all, b...)
	}
	_, err := c.peer.Write(all)
	at := c.run.seconds()
	for _, k := range calls {
		k.sentAt = at
		if !c.quiet {
			c.run.note(c.name, "sends job %s as message %d (%s, allow %v, %v): %s %v", k.id, k.message, k.class, k.allow, k.fields, k.statement, errText(err))
		}
	}
	return calls
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// abort takes calls back.
func (c *client) abort(calls ...*call) {
	var all []byte
	for _, k := range calls {
		b, _ := msgpack.Marshal([]any{2, "abort", []uint32{k.message}})
		all = append(all, b...)
		if !c.quiet {
			c.run.note(c.name, "takes job %s back", k.id)
		}
	}
	_, _ = c.peer.Write(all)
}

// wait waits for the answer to a call.
func (k *call) wait(timeout time.Duration) (answer, bool) {
	select {
	case <-k.done:
		return k.answer, true
	default:
	}
	select {
	case <-k.done:
		return k.answer, true
	case <-time.After(timeout):
		return answer{}, false
	}
}

// ready reports whether the controller at an address answers a ping with true.
func (r *run) ready(address string) bool {
	c, err := r.dialClient("front", address)
	if err != nil {
		return false
	}
	defer c.peer.Close()
	c.quiet = true
	c.mu.Lock()
	c.last++
	k := &call{job: job{class: "ping"}, message: c.last, done: make(chan struct{})}
	c.open[k.message] = k
	c.mu.Unlock()
	b, _ := msgpack.Marshal([]any{0, k.message, "ping", []any{map[string]string{}}})
	if _, err := c.peer.Write(b); err != nil {
		return false
	}
	a, ok := k.wait(time.Second)
	return ok && a.word == "served" && a.text == "true"
}
