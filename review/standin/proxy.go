//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// delayProxy passes connections on to a target. While a delay is set, what the target sends arrives that much later, in order.
type delayProxy struct {
	run     *run
	address string
	target  string

	mu    sync.Mutex
	delay time.Duration
	count int // connections so far
}

// chunk is what the target has sent in one piece, and when it is passed on.
type chunk struct {
	bytes []byte
	due   time.Time
}

func (r *run) startDelayProxy(target string) (*delayProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &delayProxy{run: r, address: l.Addr().String(), target: target}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(from)
		}
	}()
	return p, nil
}

// setDelay sets the delay of what the target sends from now on.
func (p *delayProxy) setDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run.note("proxy", "what the channel tells is passed on %v later from now on", delay)
	p.delay = delay
}

func (p *delayProxy) pass(from net.Conn) {
	p.mu.Lock()
	p.count++
	n := p.count
	p.mu.Unlock()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		from.Close()
		return
	}
	p.run.note("proxy", "connection %d opened", n)
	chunks := make(chan chunk, 1024)
	go func() { // from the target, late
		for c := range chunks {
			time.Sleep(time.Until(c.due))
			if _, err := from.Write(c.bytes); err == nil {
				p.run.note("proxy", "connection %d passes on %q", n, c.bytes)
			}
		}
		from.Close()
	}()
	go func() { // from the target, as it comes
		defer close(chunks)
		last := time.Now()
		for {
			b := make([]byte, 64<<10)
			size, err := to.Read(b)
			if size > 0 {
				p.mu.Lock()
				due := time.Now().Add(p.delay)
				p.mu.Unlock()
				if due.Before(last) { // in order
					due = last
				}
				last = due
				chunks <- chunk{b[:size], due}
			}
			if err != nil {
				return
			}
		}
	}()
	b := make([]byte, 4<<10)
	for {
		size, err := from.Read(b)
		if size > 0 {
			if _, err := to.Write(b[:size]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	p.run.note("proxy", "connection %d ended by the controller", n)
	to.Close()
}
