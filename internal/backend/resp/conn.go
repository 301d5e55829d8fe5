package resp

import (
	"net"
	"strconv"
	"sync"
	"time"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/limits"
)

// idleShare is the part of the engine's idle timeout after which a connection is closed from here, so that no attempt
// crosses the engine's close.
const idleShare = 0.8

// conn is one connection to the engine, from before it is up. An Engine makes it and run ends it.
type conn struct {
	*Engine
	writeQueue chan outgoing

	mu        sync.Mutex // guards what follows
	peer      net.Conn   // nil until it is up
	closed    bool
	attempts  map[string]*Attempt  // in flight, by request
	loadPolls map[string]*loadPoll // in flight, by tag
	lastTag   int                  // of a load poll
	abandoned map[string]struct{}  // requests whose attempt was cancelled or has failed here: a late answer may come

	timer     *time.Timer // calls checkLiveness
	idleSince time.Time
	evicted   bool // by the idle pool: it closes soon, unless it is used

	lastAnswerAt  time.Time
	lastCancelAt  time.Time // of an attempt that was overdue
	lastAttemptAt time.Time

	keepaliveAfter      time.Duration // silence after which a keep-alive is sent
	keepaliveSentAt     time.Time     // of one without an answer, zero for none
	keepaliveElsewhere  bool          // was sent on another connection as well
	answeredElsewhereAt time.Time     // the engine was seen to answer on another connection since
}

// outgoing is what waits to be written: an attempt, or a short command.
type outgoing struct {
	attempt *Attempt
	words   []string
	flushed chan struct{} // closed once it is with the system, or the connection has ended; nil where nobody waits
}

// release lets go of what is written or never will be.
func (o outgoing) release() {
	if o.attempt != nil {
		o.attempt.Statement.Free()
	}
	if o.flushed != nil {
		close(o.flushed)
	}
}

// loadPoll is a question for a load report.
type loadPoll struct {
	answer func(deployment.Load, bool)
	timer  *time.Timer
}

func newConn(e *Engine) *conn {
	c := &conn{
		Engine:     e,
		writeQueue: make(chan outgoing, e.Limits.WriteQueue),
		attempts:   map[string]*Attempt{},
		loadPolls:  map[string]*loadPoll{},
		abandoned:  map[string]struct{}{},
	}
	c.timer = time.AfterFunc(time.Hour, c.checkLiveness)
	c.timer.Stop()
	return c
}

// lock and unlock do nothing for an attempt that never had a connection.
func (c *conn) lock() {
	if c != nil {
		c.mu.Lock()
	}
}

func (c *conn) unlock() {
	if c != nil {
		c.mu.Unlock()
	}
}

// accepts reports whether an attempt of a request may join, how many there are, and whether the connection is up. A request
// of which an attempt ended here before could get that one's late answer. A connection that has been silent since a cancel
// or a keep-alive may be cut off, which a new one will show.
func (c *conn) accepts(requestID string) (attempts int, up, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, inFlight := c.attempts[requestID]
	_, abandoned := c.abandoned[requestID]
	usable := !c.closed && len(c.attempts) < c.Settings.AttemptsPerConn && !inFlight && !abandoned
	full := len(c.abandoned) >= c.Limits.MaxAbandonedPerConn || len(c.writeQueue) >= cap(c.writeQueue)/2
	suspect := c.lastCancelAt.After(c.lastAnswerAt) || c.keepaliveSentAt.After(c.lastAnswerAt)
	return len(c.attempts), c.peer != nil, usable && !full && !suspect
}

// start takes an attempt; false where the connection has closed since it was picked.
func (c *conn) start(a *Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	a.conn = c
	c.attempts[a.RequestID] = a
	c.leaveIdle()
	c.lastAttemptAt, c.keepaliveAfter = time.Now(), limits.Duration(c.Limits.KeepaliveAfter)
	c.timer.Reset(c.keepaliveAfter)
	a.Statement.Hold()
	c.enqueue(outgoing{attempt: a})
	return true
}

// enqueue hands over to the writer. A queue that is full belongs to an engine that does not read.
func (c *conn) enqueue(o outgoing) {
	if !c.closed {
		select {
		case c.writeQueue <- o:
			return
		default:
			c.close()
		}
	}
	o.release()
}

// close ends the connection; run sees to what is in flight.
func (c *conn) close() {
	c.IdlePool.remove(c)
	c.closed = true
	if c.peer != nil {
		c.peer.Close()
	}
}

// isIdle reports whether nothing is in flight.
func (c *conn) isIdle() bool { return len(c.attempts) == 0 && len(c.loadPolls) == 0 }

// becomeIdle starts the idle time, if nothing is in flight any more.
func (c *conn) becomeIdle() {
	if c.closed || !c.isIdle() {
		return
	}
	if c.draining.Load() {
		c.close()
		return
	}
	c.idleSince = time.Now()
	c.timer.Reset(c.idleTimeout())
	c.IdlePool.add(c)
}

// leaveIdle tells that something is in flight.
func (c *conn) leaveIdle() {
	c.evicted = false
	c.IdlePool.remove(c)
}

func (c *conn) idleTimeout() time.Duration {
	return limits.Duration(c.Settings.EngineIdleTimeout * idleShare)
}

// idleTimeLeft is how long the connection may still be idle.
func (c *conn) idleTimeLeft() time.Duration {
	if c.evicted {
		return evictionGrace - time.Since(c.idleSince)
	}
	return c.idleTimeout() - time.Since(c.idleSince)
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() {
		c.close()
	}
}

// drain ends the attempts that were not sent, and the connection where nothing is in flight or the process is gone.
func (c *conn) drain(gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.state == attemptQueued { // the engine is not at fault
			a.end(admission.NotStarted)
		}
	}
	if gone || len(c.attempts) == 0 {
		c.close()
	}
}

// cancelAttempt ends the attempt unless it has ended; ran tells whether its first byte may have been sent.
func (c *conn) cancelAttempt(a *Attempt) (cancelled, ran bool) {
	if c == nil {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := a.state
	if before == attemptEnded {
		return false, true
	}
	a.state = attemptEnded
	delete(c.attempts, a.RequestID)
	c.becomeIdle()
	if before == attemptQueued {
		return true, false
	}
	c.abandoned[a.RequestID] = struct{}{}
	if now := time.Now(); now.After(a.overdueAt) { // else the silence tells nothing of the connection
		c.lastCancelAt = now
	}
	command := commandCancel
	if before == attemptPaged {
		command = commandFree
	}
	c.enqueue(outgoing{words: []string{command, a.RequestID}, flushed: a.cancelSent})
	// One that takes nothing more, and on which nothing is in flight whose answer could change that, is of no use. Each that
	// stayed would have a further one opened, until the engine takes no more.
	if c.lastCancelAt.After(c.lastAnswerAt) && !c.closed && c.isIdle() {
		c.closeSoon()
	}
	return true, true
}

// closeSoon has the connection close after a short time, unless it is used.
func (c *conn) closeSoon() {
	c.evicted = true
	c.timer.Reset(evictionGrace)
}

func (c *conn) withhold(a *Attempt) {
	c.lock()
	defer c.unlock()
	if a.state == attemptQueued {
		a.end(admission.NotStarted)
	}
}

func (c *conn) fetchPages(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := 1; n < len(a.pages) && a.state == attemptPaged; n++ {
		c.enqueue(outgoing{words: []string{commandFetchPage, a.RequestID, strconv.Itoa(n)}})
	}
}

func (c *conn) setPriority(a *Attempt, priority int) {
	c.lock()
	defer c.unlock()
	if a.Priority == priority {
		return
	}
	a.Priority = priority
	if a.state == attemptSent {
		c.enqueue(outgoing{words: []string{commandPriority, a.RequestID, strconv.Itoa(priority)}})
	}
}

// pollLoad asks for a load report; false where the connection has closed since it was picked.
func (c *conn) pollLoad(answer func(deployment.Load, bool)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.lastTag++
	tag := loadPollTag + strconv.Itoa(c.lastTag)
	poll := &loadPoll{answer: answer}
	timeout := limits.Duration(c.Limits.LoadPollTimeout)
	poll.timer = time.AfterFunc(timeout, func() { c.endLoadPoll(tag, deployment.NoLoad, false) })
	c.loadPolls[tag] = poll
	c.leaveIdle()
	if len(c.attempts) == 0 {
		c.timer.Stop()
	}
	c.enqueue(outgoing{words: []string{commandLoad, tag}})
	return true
}

// endLoadPoll answers a load poll, if that has not been done.
func (c *conn) endLoadPoll(tag string, load deployment.Load, ok bool) {
	c.mu.Lock()
	poll := c.loadPolls[tag]
	delete(c.loadPolls, tag)
	c.becomeIdle()
	c.mu.Unlock()
	if poll != nil {
		poll.timer.Stop()
		poll.answer(load, ok)
	}
}
