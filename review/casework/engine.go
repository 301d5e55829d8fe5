package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a sound server of the controllers: it runs all that it is sent at once. How long a statement takes stands in a
// comment in it, as in /* work=1.5 */. Work stops when it is given up, or when its connection ends.
type engine struct {
	c       *caseRun
	name    string
	address string
	memory  time.Duration // for how long it drops repeats of a request that it has run; 0 for not at all

	// answer, if set, is called when a request has run, before its answer is sent. It returns whether to reset the connection
	// in place of the answer.
	answer func(id string) (reset bool)

	listener net.Listener
	mu       sync.Mutex
	peers    map[net.Conn]bool
	running  int
	asks     []ask
}

// ask is a request that has come whole to an engine.
type ask struct {
	engine, id, class, statement string
	at                           time.Time
	ranAt                        time.Time // zero if it has not run to its end
	endedAt                      time.Time // when it ran, was given up or lost its connection; zero while it runs
	repeat                       bool      // dropped as a repeat
}

func (c *caseRun) startEngine(name string) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.must(err)
	e := &engine{c: c, name: name, address: l.Addr().String(), listener: l, peers: map[net.Conn]bool{}}
	c.engines = append(c.engines, e)
	go func() {
		for {
			peer, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.peers[peer] = true
			e.mu.Unlock()
			go e.serve(peer)
		}
	}()
	return e
}

func (e *engine) stop() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for peer := range e.peers {
		peer.Close()
	}
}

// received returns a copy of what has come so far.
func (e *engine) received() []ask {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ask(nil), e.asks...)
}

var workComment = regexp.MustCompile(`work=([0-9.]+)`)

func (e *engine) serve(peer net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() {
		peer.Close()
		e.mu.Lock()
		delete(e.peers, peer)
		e.mu.Unlock()
	}()
	var write sync.Mutex
	send := func(words ...string) {
		write.Lock()
		defer write.Unlock()
		peer.SetWriteDeadline(time.Now().Add(2 * time.Second))
		_, _ = peer.Write(appendCommand(nil, words...))
	}
	cancels := map[string]context.CancelFunc{}
	in := bufio.NewReader(peer)
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		switch {
		case words[0] == "ASK" && len(words) == 4:
			askCtx, askCancel := context.WithCancel(ctx)
			cancels[words[1]] = askCancel
			go e.run(askCtx, peer, send, words[1], words[2], words[3])
		case words[0] == "QUIT" && len(words) == 2:
			if give := cancels[words[1]]; give != nil {
				give()
			}
		case words[0] == "NEXT" && len(words) == 3:
			send(words[1], "failed", "-")
		case (words[0] == "NOOP" || words[0] == "INFO") && len(words) == 2:
			e.mu.Lock()
			load := fmt.Sprintf("load=busy_reqs:%d;x0:0.1", e.running)
			e.mu.Unlock()
			send(words[1], "well", load)
		}
	}
}

func (e *engine) run(ctx context.Context, peer net.Conn, send func(...string), id, fields, statement string) {
	a := ask{engine: e.name, id: id, statement: statement, at: time.Now()}
	for pair := range strings.SplitSeq(fields, ",") {
		if name, value, _ := strings.Cut(pair, "="); name == "c" {
			a.class = value
		}
	}
	e.mu.Lock()
	for _, earlier := range e.asks {
		known := earlier.id == id && !earlier.ranAt.IsZero() && a.at.Before(earlier.at.Add(e.memory))
		a.repeat = a.repeat || known
	}
	n := len(e.asks)
	e.asks = append(e.asks, a)
	e.running++
	e.mu.Unlock()
	e.c.note("%s: asked %s %s (%s)", e.name, id, a.class, fields)
	end := func(what string, ran bool) {
		e.mu.Lock()
		e.running--
		e.asks[n].endedAt = time.Now()
		if ran {
			e.asks[n].ranAt = e.asks[n].endedAt
		}
		e.mu.Unlock()
		e.c.note("%s: %s %s", e.name, what, id)
	}
	work := 0.01
	if m := workComment.FindStringSubmatch(statement); m != nil {
		work, _ = strconv.ParseFloat(m[1], 64)
	}
	if a.repeat {
		end("dropped the repeat", false)
	} else {
		select {
		case <-ctx.Done():
			end("gave up", false)
			return
		case <-time.After(time.Duration(work * float64(time.Second))):
		}
		end("ran", true)
	}
	if e.answer != nil && e.answer(id) {
		e.c.note("%s: resets the connection under %s", e.name, id)
		_ = peer.(*net.TCPConn).SetLinger(0)
		peer.Close()
		return
	}
	send(id, "data", fmt.Sprintf("chunks=1,spent=%.1f,wanted=30", work*1000), "a\tb\tc\n")
}
