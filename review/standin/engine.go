//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// dispatch is a job as it has come whole to an engine.
type dispatch struct {
	engine     string
	id         string
	class      string
	fields     string
	statement  string
	receivedAt float64 // seconds since the start of the run
	endedAt    float64 // 0 while it runs
	end        string  // "done", "quit", "closed" or the word of the answer
}

// engine is a sound engine: it runs all that it gets at once, for the time that the statement names (/* ms=300 */), answers it,
// and stops what is given up with QUIT or by the end of its connection.
type engine struct {
	run     *run
	name    string
	address string
	rows    func(d *dispatch) string // the result; by default one row with the id
	answer  func(d *dispatch) string // if set, the word of the answer instead of "data", "" for data

	runMillis func(d *dispatch) float64 // if set, how long a job runs
	resets    func(d *dispatch) bool    // if set, called when a job has run: whether its connection is reset before the answer

	mu         sync.Mutex
	listener   net.Listener
	peers      map[net.Conn]bool
	dispatches []*dispatch
}

// startEngine starts an engine on a free port.
func (r *run) startEngine(name string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{run: r, name: name, address: l.Addr().String(), listener: l, peers: map[net.Conn]bool{}}
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
	return e, nil
}

// received returns the dispatches that have come so far.
func (e *engine) received() []*dispatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*dispatch(nil), e.dispatches...)
}

// dispatchesOf returns the dispatches of one job.
func (e *engine) dispatchesOf(id string) (found []*dispatch) {
	for _, d := range e.received() {
		if d.id == id {
			found = append(found, d)
		}
	}
	return found
}

func readWords(in *bufio.Reader) ([]string, error) {
	count := func(sign byte) (int, error) {
		line, err := in.ReadString('\n')
		if err != nil || len(line) < 4 || line[0] != sign {
			return 0, fmt.Errorf("%q: %w", line, err)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := count('*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range n {
		size, err := count('$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}

// session is one connection to an engine.
type session struct {
	*engine
	peer net.Conn

	writeMu sync.Mutex
	mu      sync.Mutex
	quit    map[string]chan string // of the running jobs, by id
}

func (e *engine) serve(peer net.Conn) {
	s := &session{engine: e, peer: peer, quit: map[string]chan string{}}
	defer func() {
		peer.Close()
		s.mu.Lock()
		for id, quit := range s.quit {
			delete(s.quit, id)
			quit <- "closed"
		}
		s.mu.Unlock()
		e.mu.Lock()
		delete(e.peers, peer)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(peer)
	for {
		words, err := readWords(in)
		if err != nil {
			return
		}
		switch {
		case words[0] == "ASK" && len(words) == 4:
			s.ask(words[1], words[2], words[3])
		case words[0] == "QUIT" && len(words) == 2:
			s.give(words[1], "quit")
		case (words[0] == "INFO" || words[0] == "NOOP") && len(words) == 2:
			s.send(words[1], "well", "load=busy_reqs:"+strconv.Itoa(s.running())+";x0:0.1;cpu_share:0.1")
		}
	}
}

func (s *session) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.quit)
}

func (s *session) give(id, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if quit := s.quit[id]; quit != nil {
		delete(s.quit, id)
		quit <- why
	}
}

func (s *session) ask(id, fields, statement string) {
	d := &dispatch{engine: s.name, id: id, fields: fields, statement: statement, receivedAt: s.run.seconds()}
	for pair := range strings.SplitSeq(fields, ",") {
		if name, value, _ := strings.Cut(pair, "="); name == "c" {
			d.class = value
		}
	}
	s.engine.mu.Lock()
	s.engine.dispatches = append(s.engine.dispatches, d)
	s.engine.mu.Unlock()
	s.run.note(s.name, "gets job %s (%s): %s", id, fields, statement)
	quit := make(chan string, 2)
	s.mu.Lock()
	s.quit[id] = quit
	s.mu.Unlock()
	runMillis := numberIn(statement, "ms")
	if s.runMillis != nil {
		runMillis = s.runMillis(d)
	}
	go func() {
		timer := time.NewTimer(time.Duration(runMillis * float64(time.Millisecond)))
		defer timer.Stop()
		end := "done"
		select {
		case <-timer.C:
		case end = <-quit:
		}
		s.mu.Lock()
		if s.quit[id] == quit {
			delete(s.quit, id)
		}
		s.mu.Unlock()
		s.engine.mu.Lock()
		d.endedAt, d.end = s.run.seconds(), end
		s.engine.mu.Unlock()
		s.run.note(s.name, "job %s ends: %s", id, end)
		if end != "done" {
			return
		}
		if s.resets != nil && s.resets(d) {
			s.run.note(s.name, "the connection of job %s is reset before its answer", id)
			_ = s.peer.(*net.TCPConn).SetLinger(0)
			s.peer.Close()
			return
		}
		if s.answer != nil {
			if word := s.answer(d); word != "" {
				s.send(id, word, "-")
				return
			}
		}
		rows := id + "\tran\ton " + s.name + "\n"
		if s.rows != nil {
			rows = s.rows(d)
		}
		s.send(id, "data", fmt.Sprintf("chunks=1,spent=%.0f,wanted=10", runMillis), rows)
	}()
}

func (s *session) send(words ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_, _ = s.peer.Write([]byte(b.String()))
}

// resetPeers resets all connections to the engine.
func (e *engine) resetPeers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for peer := range e.peers {
		_ = peer.(*net.TCPConn).SetLinger(0)
		peer.Close()
	}
}
