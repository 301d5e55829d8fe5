package fakeengine

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// writeTimeout is for a controller to take an answer; one that does not read is none.
const writeTimeout = 2 * time.Second

// session is one connection of a controller.
type session struct {
	*Engine
	peer net.Conn

	mu          sync.Mutex
	cancels     map[string]context.CancelFunc // of attempts, by request
	resultPages map[string]int                // of results that are stored, by request
}

// serve answers the commands of a connection until it ends.
func (e *Engine) serve(peer net.Conn) {
	ctx, cancel := context.WithCancel(e.ctx)
	s := &session{Engine: e, peer: peer, cancels: map[string]context.CancelFunc{}, resultPages: map[string]int{}}
	in := bufio.NewReader(peer)
	var attempts sync.WaitGroup
	defer attempts.Wait()
	defer cancel()
	for {
		words, err := ReadCommand(in)
		if err != nil {
			return
		}
		s.handle(ctx, &attempts, words)
	}
}

// handle carries out one command. Unknown ones are passed over.
func (s *session) handle(ctx context.Context, attempts *sync.WaitGroup, words []string) {
	switch {
	case words[0] == "ASK" && len(words) == 4:
		ctx, cancel := context.WithCancel(ctx)
		s.mu.Lock()
		s.cancels[words[1]] = cancel
		s.mu.Unlock()
		attempts.Go(func() {
			defer cancel()
			newAttempt(s, words[1], words[2], words[3]).run(ctx)
		})
	case words[0] == "QUIT" && len(words) == 2:
		s.mu.Lock()
		defer s.mu.Unlock()
		if cancel := s.cancels[words[1]]; cancel != nil {
			cancel()
		}
	case words[0] == "NEXT" && len(words) == 3:
		s.sendPage(words[1], words[2])
	case words[0] == "FREE" && len(words) == 2:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.resultPages, words[1])
	case (words[0] == "NOOP" || words[0] == "INFO") && len(words) == 2:
		s.sendLoad(words[1])
	}
}

// sendPage sends a further page of a stored result.
func (s *session) sendPage(id, number string) {
	s.mu.Lock()
	pages := s.resultPages[id]
	s.mu.Unlock()
	n, _ := strconv.Atoi(number) // 0 for none, which is no further page
	if n < 1 || n >= pages {
		s.send(id, "failed", "-")
		return
	}
	s.send(id, "page", "at="+number, page(id, n))
}

// sendLoad answers a load poll or a keep-alive.
func (s *session) sendLoad(tag string) {
	e := s.Engine
	e.mu.Lock()
	e.polls++
	load := fmt.Sprintf("load=busy_reqs:%d;x0:%.3f", e.running, e.granted/max(e.Memory, 1))
	if e.OneRequestPerCore {
		load += fmt.Sprintf(";pending:%d;cpu_share:%.3f", len(e.coreQueue), float64(e.busyCores)/max(e.Cores, 1))
	}
	e.mu.Unlock()
	if e.ReportsPolls {
		e.report(Event{Kind: PollReceived, RequestID: tag})
	}
	s.send(tag, "well", load)
}

// send writes an answer. When the connection is gone its reader finds out.
func (s *session) send(words ...string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peer.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = s.peer.Write(b.Bytes())
}

// attempt is one attempt of a request on the engine.
type attempt struct {
	*session
	id, class    string
	cost         cost
	grant        float64 // memory, in MB
	booked       float64 // of the engine's memory
	fencingKey   string
	fencingToken uint64
	ended        bool
}

// newAttempt reads the fields of an attempt's command.
func newAttempt(s *session, id, fields, statement string) *attempt {
	a := &attempt{session: s, id: id, cost: costOf(statement)}
	for pair := range strings.SplitSeq(fields, ",") {
		switch name, value, _ := strings.Cut(pair, "="); name {
		case "reserve":
			a.grant, _ = strconv.ParseFloat(value, 64)
		case "c":
			a.class = value
		case "fence":
			key, number, _ := strings.Cut(value, ":")
			a.fencingKey = key
			a.fencingToken, _ = strconv.ParseUint(number, 10, 64)
		}
	}
	a.booked = max(a.grant, 1)
	return a
}

// observed reports an event of the attempt.
func (a *attempt) observed(kind EventKind) {
	a.report(Event{Kind: kind, RequestID: a.id, Class: a.class, Grant: a.grant, Work: a.cost.work, Memory: a.cost.memory,
		FencingToken: a.fencingToken})
}

// run is the attempt's life, from its command to its answer.
func (a *attempt) run(ctx context.Context) {
	if a.isFenced(a.fencingKey, a.fencingToken) {
		a.observed(AttemptFenced)
		a.send(a.id, "failed", "-")
		return
	}
	a.observed(AttemptReceived)
	fault := a.drawFault()
	if !a.admit(fault) {
		a.observed(AttemptRejected)
		a.send(a.id, "full", "-")
		return
	}
	defer a.end(AttemptCancelled)
	if fault == Hang {
		<-ctx.Done()
		return
	}
	if a.OneRequestPerCore {
		if !a.acquireCore(ctx) {
			return
		}
		defer a.releaseCore()
		a.observed(AttemptStarted)
	}
	if a.runWork(ctx, workUnder(fault, a.cost.work)) {
		a.answer(fault)
	}
}

// admit books the attempt, unless the engine's memory does not suffice or the fault says so.
func (a *attempt) admit(fault Fault) bool {
	const roundingTolerance = 1.01 // grants come rounded up
	e := a.Engine
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.Memory > 0 && e.granted+a.booked > roundingTolerance*e.Memory
	if full || fault == Overloaded {
		return false
	}
	e.running++
	e.granted += a.booked
	return true
}

// workUnder is the work that a faulty attempt does before its end.
func workUnder(fault Fault, work float64) float64 {
	switch fault {
	case Slow:
		return 5 * work
	case Fail, Reset:
		return work / 2
	}
	return work
}

// end frees what the attempt has booked, once.
func (a *attempt) end(kind EventKind) {
	if a.ended {
		return
	}
	a.ended = true
	e := a.Engine
	e.mu.Lock()
	e.running--
	e.granted -= a.booked
	if kind == AttemptCompleted {
		e.completed++
		e.work += a.cost.work
	}
	e.mu.Unlock()
	a.observed(kind)
}

// answer ends an attempt whose work is done.
func (a *attempt) answer(fault Fault) {
	switch fault {
	case Fail:
		a.end(AttemptFailed)
		a.send(a.id, "failed", "-")
		return
	case Reset:
		a.end(ConnectionReset)
		if peer, ok := a.peer.(*net.TCPConn); ok {
			_ = peer.SetLinger(0) // fails on a closed connection alone
		}
		a.peer.Close()
		return
	}
	a.end(AttemptCompleted)
	pages := a.cost.pages
	if fault == Stall && pages > 1 {
		pages = 1
	}
	a.mu.Lock()
	a.resultPages[a.id] = pages
	a.mu.Unlock()
	fields := fmt.Sprintf("chunks=%d,spent=%.1f,wanted=%.0f", a.cost.pages, a.cost.work*1000, a.cost.memory)
	a.send(a.id, "data", fields, page(a.id, 0))
	if fault == Duplicate {
		a.send(a.id, "data", fields, page(a.id, 0))
	}
}
