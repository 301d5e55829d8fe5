// Package fakeengine holds stand-ins that carry traffic on loopback: engines with a speed, a memory and faults by name
// and seed, and clients. Tests, the demo and measurements use them. What a job costs stands in a comment of its
// statement, as in /* work=0.25 mb=300 pages=2 */.
package fakeengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is something that an engine does to a job instead of running it well.
type Fault string

const (
	Hang       Fault = "hang"  // takes the job and never says anything of it
	Fail       Fault = "fail"  // says after a while that it failed
	Overloaded Fault = "full"  // turns it away
	Reset      Fault = "reset" // loses the connection with it half done
	Slow       Fault = "slow"  // takes five times as long
	Stall      Fault = "stall" // gives the first page and no other
	Duplicate  Fault = "twice" // answers twice
)

// Event is something that an engine saw or did, for checkers.
type Event struct {
	At                  float64 // Unix seconds
	Engine, RequestID   string
	Class, Kind         string // Do: asked, ran, refused, quit, lost, fenced, probed
	Grant, Work, Memory float64
	FencingToken        uint64 // that came along, 0 for none
}

// Engine is one engine. Its fields are set before Start.
type Engine struct {
	Name              string
	Cores             float64 // that its jobs share
	Speed             float64 // of one core
	Memory            float64 // MB; a job that does not fit is turned away as full
	Faults            map[Fault]float64
	Seed              uint64
	OnEvent           func(Event) // may be nil; called from many goroutines
	Address           string      // "127.0.0.1:0" where empty
	ChecksFencing     bool        // a dispatch whose fence is lower than one that was seen for its key is refused
	ReportsPolls      bool        // probes are told too
	OneRequestPerCore bool        // a job has a core to itself, in arrival order; those that wait are told as pending

	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex
	counter   uint64
	running   int
	granted   float64
	work      float64 // done in all
	completed int
	peers     map[net.Conn]bool
	busyCores int             // cores, in turn
	coreQueue []chan struct{} // jobs that wait for one
	polls     int
	opened    int // connections
	fences    map[string]uint64
}

// Start listens, and serves until Stop.
func (e *Engine) Start() error {
	if e.Address == "" {
		e.Address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.listener, e.Address, e.peers = l, l.Addr().String(), map[net.Conn]bool{}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.goroutines.Go(func() {
		for {
			peer, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.peers[peer] = true
			e.opened++
			e.mu.Unlock()
			e.goroutines.Go(func() {
				e.serve(peer)
				peer.Close()
				e.mu.Lock()
				delete(e.peers, peer)
				e.mu.Unlock()
			})
		}
	})
	return nil
}

// Stop ends it as the end of its process would.
func (e *Engine) Stop() {
	e.stop()
	e.listener.Close()
	e.mu.Lock()
	for peer := range e.peers {
		peer.Close()
	}
	e.mu.Unlock()
	e.goroutines.Wait()
}

// CompletedWork tells how many jobs have run to their end and the work done.
func (e *Engine) CompletedWork() (jobs int, work float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.completed, e.work
}

// Running tells how many jobs run.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// PollsAndConnections tells how many probes and connections there were.
func (e *Engine) PollsAndConnections() (probes, connections int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls, e.opened
}

// Connections tells how many connections are open.
func (e *Engine) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers)
}

func (e *Engine) report(do, ref, class string, grant float64, fence uint64, c cost) {
	if e.OnEvent != nil {
		e.OnEvent(Event{At: float64(time.Now().UnixMicro()) / 1e6, Engine: e.Name, RequestID: ref, Class: class, Kind: do, Grant: grant,
			Work: c.work, Memory: c.memory, FencingToken: fence})
	}
}

// isFenced tells whether a fence is lower than one seen for its key.
func (e *Engine) isFenced(key string, fence uint64) bool {
	if !e.ChecksFencing || key == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fences == nil {
		e.fences = map[string]uint64{}
	}
	if fence < e.fences[key] {
		return true
	}
	e.fences[key] = fence
	return false
}

// drawFault decides whether a fault befalls the next job; the same seed gives the same faults to the same arrivals.
func (e *Engine) drawFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counter++
	h := fnv.New64a()
	binary.Write(h, binary.BigEndian, [2]uint64{e.Seed, e.counter})
	x := h.Sum64() * 0x9e3779b97f4a7c15
	chance := float64((x^x>>29)>>11) / (1 << 53)
	for _, f := range []Fault{Hang, Fail, Overloaded, Reset, Slow, Stall, Duplicate} {
		if chance < e.Faults[f] {
			return f
		}
		chance -= e.Faults[f]
	}
	return ""
}

// cost is what a statement says of itself.
type cost struct {
	work, memory float64
	pages        int
}

var costPattern = regexp.MustCompile(`(work|mb|pages)=([0-9.]+)`)

func costOf(statement string) cost {
	c := cost{work: 0.01, memory: 32, pages: 1}
	for _, m := range costPattern.FindAllStringSubmatch(statement, -1) {
		v, _ := strconv.ParseFloat(m[2], 64)
		switch m[1] {
		case "work":
			c.work = v
		case "mb":
			c.memory = v
		case "pages":
			c.pages = max(int(v), 1)
		}
	}
	return c
}

// session is one connection.
type session struct {
	*Engine
	peer        net.Conn
	mu          sync.Mutex
	cancels     map[string]context.CancelFunc // of jobs that run, by id
	resultPages map[string]int                // pages of results kept, by id
}

func (e *Engine) serve(peer net.Conn) {
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	s := &session{Engine: e, peer: peer, cancels: map[string]context.CancelFunc{}, resultPages: map[string]int{}}
	in := bufio.NewReader(peer)
	var jobs sync.WaitGroup
	defer jobs.Wait()
	defer cancel()
	for {
		words, err := Command(in)
		if err != nil {
			return
		}
		switch {
		case words[0] == "ASK" && len(words) == 4:
			job, quit := context.WithCancel(ctx)
			s.mu.Lock()
			s.cancels[words[1]] = quit
			s.mu.Unlock()
			jobs.Go(func() {
				defer quit()
				s.run(job, words[1], words[2], words[3])
			})
		case words[0] == "QUIT" && len(words) == 2:
			s.mu.Lock()
			if quit := s.cancels[words[1]]; quit != nil {
				quit()
			}
			s.mu.Unlock()
		case words[0] == "NEXT" && len(words) == 3:
			s.mu.Lock()
			pages := s.resultPages[words[1]]
			s.mu.Unlock()
			if n, _ := strconv.Atoi(words[2]); n > 0 && n < pages {
				s.send(words[1], "page", "at="+words[2], page(words[1], n))
			} else {
				s.send(words[1], "failed", "-", "")
			}
		case words[0] == "FREE" && len(words) == 2:
			s.mu.Lock()
			delete(s.resultPages, words[1])
			s.mu.Unlock()
		case (words[0] == "NOOP" || words[0] == "INFO") && len(words) == 2:
			e.mu.Lock()
			e.polls++
			load := fmt.Sprintf("load=busy_reqs:%d;x0:%.3f", e.running, e.granted/max(e.Memory, 1))
			if e.OneRequestPerCore {
				load += fmt.Sprintf(";pending:%d;cpu_share:%.3f", len(e.coreQueue), float64(e.busyCores)/max(e.Cores, 1))
			}
			e.mu.Unlock()
			if e.ReportsPolls {
				e.report("probed", words[1], "", 0, 0, cost{})
			}
			s.send(words[1], "well", load, "")
		}
	}
}

// page is what a result holds, so that clients can check that it is the job's own and whole.
func page(ref string, n int) string { return fmt.Sprintf("%s\t%d\t-\n", ref, n) }

// Rows is the whole result of a job of so many pages.
func Rows(ref string, pages int) string {
	var b strings.Builder
	for n := range pages {
		b.WriteString(page(ref, n))
	}
	return b.String()
}

func (s *session) run(ctx context.Context, ref, fields, statement string) {
	e, c, grant, class, key, fence := s.Engine, costOf(statement), 0.0, "", "", uint64(0)
	for pair := range strings.SplitSeq(fields, ",") {
		switch name, value, _ := strings.Cut(pair, "="); name {
		case "reserve":
			grant, _ = strconv.ParseFloat(value, 64)
		case "c":
			class = value
		case "fence":
			name, number, _ := strings.Cut(value, ":")
			key = name
			fence, _ = strconv.ParseUint(number, 10, 64)
		}
	}
	if e.isFenced(key, fence) {
		e.report("fenced", ref, class, grant, fence, c)
		s.send(ref, "failed", "-", "")
		return
	}
	e.report("asked", ref, class, grant, fence, c)
	fault := e.drawFault()
	holds := max(grant, 1)
	e.mu.Lock()
	crowd := e.granted+holds > 1.01*e.Memory && e.Memory > 0 // grants come rounded up
	if !crowd && fault != Overloaded {
		e.running++
		e.granted += holds
	}
	e.mu.Unlock()
	if crowd || fault == Overloaded {
		e.report("refused", ref, class, grant, fence, c)
		s.send(ref, "full", "-", "")
		return
	}
	ended := false
	end := func(do string) {
		if ended {
			return
		}
		ended = true
		e.mu.Lock()
		e.running--
		e.granted -= holds
		if do == "ran" {
			e.completed++
			e.work += c.work
		}
		e.mu.Unlock()
		e.report(do, ref, class, grant, fence, c)
	}
	defer func() { end("quit") }()
	if fault == Hang {
		<-ctx.Done()
		return
	}
	work := c.work
	if fault == Slow {
		work *= 5
	}
	if fault == Fail || fault == Reset {
		work /= 2
	}
	if e.OneRequestPerCore {
		if !e.acquireCore(ctx) {
			return
		}
		defer e.releaseCore()
		e.report("began", ref, class, grant, fence, c)
	}
	if !e.runWork(ctx, work) {
		return
	}
	switch fault {
	case Fail:
		end("failed")
		s.send(ref, "failed", "-", "")
		return
	case Reset:
		end("lost")
		if peer, ok := s.peer.(*net.TCPConn); ok {
			peer.SetLinger(0)
		}
		s.peer.Close()
		return
	}
	end("ran")
	pages := c.pages
	if fault == Stall && pages > 1 {
		pages = 1
	}
	s.mu.Lock()
	s.resultPages[ref] = pages
	s.mu.Unlock()
	good := fmt.Sprintf("chunks=%d,spent=%.1f,wanted=%.0f", c.pages, c.work*1000, c.memory)
	s.send(ref, "data", good, page(ref, 0))
	if fault == Duplicate {
		s.send(ref, "data", good, page(ref, 0))
	}
}

// acquireCore waits for a core in arrival order.
func (e *Engine) acquireCore(ctx context.Context) bool {
	e.mu.Lock()
	if e.busyCores < int(e.Cores) {
		e.busyCores++
		e.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	e.coreQueue = append(e.coreQueue, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.coreQueue, turn); at >= 0 {
		e.coreQueue = slices.Delete(e.coreQueue, at, at+1)
		return false
	}
	e.passCore() // the core came at the same moment
	return false
}

// releaseCore gives the core to the next in the line.
func (e *Engine) releaseCore() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.passCore()
}

func (e *Engine) passCore() {
	if len(e.coreQueue) == 0 {
		e.busyCores--
		return
	}
	close(e.coreQueue[0])
	e.coreQueue = e.coreQueue[1:]
}

// runWork spends the time that work costs beside the others, in steps so that it follows their number.
func (e *Engine) runWork(ctx context.Context, work float64) bool {
	const step = 0.01 // a hundredth of a second is fine enough for jobs of some hundredths and more
	for work > 0 {
		e.mu.Lock()
		pace := max(e.Speed, 0.001) * min(1, max(e.Cores, 1)/float64(max(e.running, 1)))
		e.mu.Unlock()
		if e.OneRequestPerCore {
			pace = max(e.Speed, 0.001)
		}
		wait := min(step, work/pace)
		if e.OneRequestPerCore { // nothing changes its pace
			wait = work / pace
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(wait * float64(time.Second))):
		}
		work -= wait * pace
		if work < 1e-9 {
			break
		}
	}
	return true
}

func (s *session) send(words ...string) {
	if words[len(words)-1] == "" {
		words = words[:len(words)-1]
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peer.SetWriteDeadline(time.Now().Add(2 * time.Second)) // a controller that does not read is none
	s.peer.Write(b.Bytes())
}

// Command reads one array of bulk strings, as controllers send them.
func Command(in *bufio.Reader) (words []string, err error) {
	var parts, size int
	if _, err = fmt.Fscanf(in, "*%d\r\n", &parts); err != nil {
		return nil, err
	}
	if parts < 1 || parts > 8 {
		return nil, fmt.Errorf("a command of %d words", parts)
	}
	for range parts {
		if _, err = fmt.Fscanf(in, "$%d\r\n", &size); err != nil {
			return nil, err
		}
		if size < 0 || size > 1<<20 {
			return nil, fmt.Errorf("a word of %d bytes", size)
		}
		b := make([]byte, size+2)
		if _, err = io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}
