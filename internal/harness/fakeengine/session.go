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

// writeTimeout bounds the time to write an answer. A controller that does not read in that time is considered gone.
const writeTimeout = 2 * time.Second

// session serves one connection of a controller.
type session struct {
	*Engine
	peer net.Conn

	mu          sync.Mutex                    // guards the fields below and writes to peer
	cancels     map[string]context.CancelFunc // cancels an attempt, by request ID
	resultPages map[string]int                // number of pages of each stored result, by request ID
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

// handle executes one command. Unknown commands are ignored.
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

// sendPage sends a page of a stored result other than the first, which the answer itself contains.
func (s *session) sendPage(id, number string) {
	s.mu.Lock()
	pages := s.resultPages[id]
	s.mu.Unlock()
	n, _ := strconv.Atoi(number) // 0 if invalid, which is rejected below
	if n < 1 || n >= pages {
		s.send(id, "failed", "-")
		return
	}
	s.send(id, "page", "at="+number, page(id, n))
}

// sendLoad answers a load poll or keep-alive with a load report.
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

// send writes an answer. Write errors are ignored, because the read loop notices that the connection has ended.
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
	grant        float64 // MB
	reserved     float64 // MB of the engine's memory
	fencingKey   string
	fencingToken uint64
	ended        bool
}

// newAttempt creates an attempt from the fields and the statement of its command.
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
	a.reserved = max(a.grant, 1)
	return a
}

// reportEvent reports an event of the attempt.
func (a *attempt) reportEvent(kind EventKind) {
	a.report(Event{Kind: kind, RequestID: a.id, Class: a.class, Grant: a.grant, Work: a.cost.work, Memory: a.cost.memory,
		FencingToken: a.fencingToken})
}

// run runs the attempt and answers it, unless it is cancelled.
func (a *attempt) run(ctx context.Context) {
	if a.isFenced(a.fencingKey, a.fencingToken) {
		a.reportEvent(AttemptFenced)
		a.send(a.id, "failed", "-")
		return
	}
	a.reportEvent(AttemptReceived)
	fault := a.drawFault()
	if !a.admit(fault) {
		a.reportEvent(AttemptRejected)
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
		a.reportEvent(AttemptStarted)
	}
	if a.runWork(ctx, workWithFault(fault, a.cost.work)) {
		a.answer(fault)
	}
}

// admit reserves memory for the attempt and reports whether it may run. It rejects the attempt if memory is short or the fault is
// Overloaded.
func (a *attempt) admit(fault Fault) bool {
	const roundingTolerance = 1.01 // controllers round grants up
	e := a.Engine
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.Memory > 0 && e.granted+a.reserved > roundingTolerance*e.Memory
	if full || fault == Overloaded {
		return false
	}
	e.running++
	e.granted += a.reserved
	return true
}

// workWithFault returns the work that an attempt with a fault does before it ends.
func workWithFault(fault Fault, work float64) float64 {
	switch fault {
	case Slow:
		return 5 * work
	case Fail, Reset:
		return work / 2
	}
	return work
}

// end releases the memory of the attempt and reports the event that ended it. Only the first call has an effect.
func (a *attempt) end(kind EventKind) {
	if a.ended {
		return
	}
	a.ended = true
	e := a.Engine
	e.mu.Lock()
	e.running--
	e.granted -= a.reserved
	if kind == AttemptCompleted {
		e.completed++
		e.completedWork += a.cost.work
	}
	e.mu.Unlock()
	a.reportEvent(kind)
}

// answer ends an attempt after its work and sends its result, as far as the fault allows.
func (a *attempt) answer(fault Fault) {
	switch fault {
	case Fail:
		a.end(AttemptFailed)
		a.send(a.id, "failed", "-")
		return
	case Reset:
		a.end(ConnectionReset)
		if peer, ok := a.peer.(*net.TCPConn); ok {
			_ = peer.SetLinger(0) // fails only if the connection is already closed
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
