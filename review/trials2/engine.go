package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for an executor, as PROTOCOL.md describes one. A statement that contains ms=N takes N milliseconds, any
// other 20. It answers one page of one row, stops what is given up, and answers probes.
type engine struct {
	trial   *trial
	name    string
	address string

	mu   sync.Mutex
	asks []*ask
}

// ask is a dispatch that has come whole to the engine.
type ask struct {
	engine           *engine
	id, fields, body string
	at               time.Time
	over             time.Time // when its end was written or it was given up
	how              string    // how it ended, "" before
	cancel           chan struct{}
	once             sync.Once
	conn             net.Conn
}

var takes = regexp.MustCompile(`ms=(\d+)`)

// startEngine starts an engine on a free loopback address.
func (t *trial) startEngine(name string) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	t.require(err == nil, "engine: %v", err)
	e := &engine{trial: t, name: name, address: l.Addr().String()}
	t.mu.Lock()
	t.stops = append(t.stops, func() { _ = l.Close() })
	t.mu.Unlock()
	t.log("engine %s at %s", name, e.address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

// serve reads the commands of one connection. Its end gives up all that is open on it.
func (e *engine) serve(c net.Conn) {
	var write sync.Mutex
	open := map[string]*ask{}
	defer func() {
		for _, a := range open {
			a.end("given up with its connection")
		}
		_ = c.Close()
	}()
	answer := func(words ...string) {
		write.Lock()
		defer write.Unlock()
		var b strings.Builder
		fmt.Fprintf(&b, "*%d\r\n", len(words))
		for _, w := range words {
			fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
		}
		_, _ = io.WriteString(c, b.String())
	}
	in := bufio.NewReader(c)
	for {
		words, err := readCommand(in)
		if err != nil || len(words) < 2 {
			return
		}
		switch words[0] {
		case "ASK":
			if len(words) != 4 {
				return
			}
			a := e.begin(c, words)
			open[a.id] = a
			go e.run(a, answer)
		case "QUIT":
			if a := open[words[1]]; a != nil {
				a.end("given up")
				delete(open, words[1])
			}
		case "NOOP", "INFO":
			answer(words[1], "well", "load=inflight:"+strconv.Itoa(e.inFlight())+";x0:0.1")
		}
	}
}

// begin records a dispatch.
func (e *engine) begin(c net.Conn, words []string) *ask {
	a := &ask{engine: e, id: words[1], fields: words[2], body: words[3], at: time.Now(), cancel: make(chan struct{}), conn: c}
	e.mu.Lock()
	e.asks = append(e.asks, a)
	e.mu.Unlock()
	e.trial.log("engine %s: ASK %s %s %q", e.name, a.id, a.fields, a.body)
	return a
}

// duration returns how long a statement takes, in milliseconds.
func duration(statement string) int {
	if m := takes.FindStringSubmatch(statement); m != nil {
		n, _ := strconv.Atoi(m[1])
		return n
	}
	return 20
}

var works = regexp.MustCompile(`work=(\d+)`)

// work returns the work of a statement, in milliseconds on one core: N where it contains work=N, or else what it takes.
func work(statement string) int {
	if m := works.FindStringSubmatch(statement); m != nil {
		n, _ := strconv.Atoi(m[1])
		return n
	}
	return duration(statement)
}

// run runs a dispatch and answers it.
func (e *engine) run(a *ask, answer func(words ...string)) {
	took := duration(a.body)
	select {
	case <-a.cancel:
	case <-time.After(time.Duration(took) * time.Millisecond):
		if a.end("done") {
			answer(a.id, "data", fmt.Sprintf("chunks=1,spent=%d,wanted=10", work(a.body)), "row\tof\t"+e.name+"\n")
		}
	}
}

// end ends a dispatch once, and reports whether it was open.
func (a *ask) end(how string) (ended bool) {
	a.once.Do(func() {
		ended = true
		a.engine.mu.Lock()
		a.over, a.how = time.Now(), how
		a.engine.mu.Unlock()
		close(a.cancel)
		a.engine.trial.log("engine %s: %s %s", a.engine.name, a.id, how)
	})
	return ended
}

// inFlight returns how many dispatches are open.
func (e *engine) inFlight() (n int) {
	for _, a := range e.all() {
		if a.how == "" {
			n++
		}
	}
	return n
}

// seen is a copy of what is known of a dispatch.
type seen struct {
	engine, id, body, how string
	at, over              time.Time
}

// all returns all dispatches that have come, in order.
func (e *engine) all() (list []seen) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.asks {
		list = append(list, seen{e.name, a.id, a.body, a.how, a.at, a.over})
	}
	return list
}

// with returns the dispatches whose statement contains a text, over all engines.
func with(text string, engines ...*engine) (list []seen) {
	for _, e := range engines {
		for _, s := range e.all() {
			if strings.Contains(s.body, text) {
				list = append(list, s)
			}
		}
	}
	return list
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readNumber(in, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for i := range words {
		n, err := readNumber(in, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:n])
	}
	return words, nil
}

func readNumber(in *bufio.Reader, sign byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != sign {
		return 0, fmt.Errorf("unexpected %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
