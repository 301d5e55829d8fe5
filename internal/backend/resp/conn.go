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

// idleTimeoutFraction is the fraction of the engine's idle timeout after which this side closes an idle connection, so that no
// attempt is sent while the engine closes it.
const idleTimeoutFraction = 0.8

// conn is one connection to the engine, including the time before it is established. Engine.open creates it, and run closes it.
type conn struct {
	*Engine
	writeQueue chan outgoing

	mu        sync.Mutex // guards the fields below
	peer      net.Conn   // nil until the connection is established
	closed    bool
	attempts  map[string]*Attempt  // attempts in flight, by request ID
	loadPolls map[string]*loadPoll // load polls in flight, by tag
	lastTag   int                  // number of the last load poll's tag
	abandoned map[string]struct{}  // IDs of requests whose attempt was cancelled or has failed here: a late answer may arrive

	timer     *time.Timer // calls checkLiveness
	idleSince time.Time
	evicted   bool // the connection closes after evictionGrace unless it is used

	lastAnswerAt  time.Time
	lastCancelAt  time.Time // time of the last cancel of an overdue attempt
	lastAttemptAt time.Time

	keepaliveAfter      time.Duration // silence after which a keep-alive is sent
	keepaliveSentAt     time.Time     // time of the unanswered keep-alive, zero if there is none
	keepaliveOnNewConn  bool          // a poll was sent on a new connection since then
	answeredElsewhereAt time.Time     // time at which the engine was found to have answered on another connection since then
}

// outgoing is an entry of the write queue: an attempt or a short command.
type outgoing struct {
	attempt *Attempt
	words   []string
	flushed chan struct{} // closed once the entry is flushed or the connection has ended; nil if nothing waits for it
}

// release releases the resources of an entry that has been written or will never be written.
func (o outgoing) release() {
	if o.attempt != nil {
		o.attempt.Statement.Free()
	}
	if o.flushed != nil {
		close(o.flushed)
	}
}

// loadPoll is a load poll in flight.
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

// lock and unlock do nothing if c is nil, as it is for an attempt that never had a connection.
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

// accepts reports whether the connection accepts an attempt of the request (ok), how many attempts it has, and whether it is
// established (up). A request with an abandoned attempt on this connection is not accepted, because the new attempt could
// receive the late answer to the old one. A connection that has been silent since a keep-alive or the cancel of an overdue
// attempt may be broken and accepts nothing: the engine is tried on a new connection instead.
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

// start queues an attempt. It returns false if the connection has closed since it was picked.
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

// enqueue adds an entry to the write queue. A full queue means that the engine does not read, so the connection is closed. c.mu
// must be held.
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

// close closes the connection; run then ends what is in flight. c.mu must be held.
func (c *conn) close() {
	c.IdlePool.remove(c)
	c.closed = true
	if c.peer != nil {
		c.peer.Close()
	}
}

// isIdle reports whether no attempt and no load poll is in flight. c.mu must be held.
func (c *conn) isIdle() bool { return len(c.attempts) == 0 && len(c.loadPolls) == 0 }

// becomeIdle starts the idle timeout if nothing is in flight any more. While the engine is draining it closes the connection
// instead. c.mu must be held.
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

// leaveIdle takes the connection out of the idle pool when an attempt or a load poll starts. c.mu must be held.
func (c *conn) leaveIdle() {
	c.evicted = false
	c.IdlePool.remove(c)
}

func (c *conn) idleTimeout() time.Duration {
	return limits.Duration(c.Settings.EngineIdleTimeout * idleTimeoutFraction)
}

// idleTimeLeft returns how much longer the connection may be idle.
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

// drain ends the attempts that have not been sent. It closes the connection if no attempt is left or the engine process has
// terminated.
func (c *conn) drain(terminated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.state == attemptQueued { // the engine is not at fault
			a.end(admission.NotStarted)
		}
	}
	if terminated || len(c.attempts) == 0 {
		c.close()
	}
}

// cancelAttempt cancels the attempt unless it has already ended. ran reports whether its first byte may have been sent.
func (c *conn) cancelAttempt(a *Attempt) (cancelled, ran bool) {
	if c == nil {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := a.state
	if previous == attemptEnded {
		return false, true
	}
	a.state = attemptEnded
	delete(c.attempts, a.RequestID)
	c.becomeIdle()
	if previous == attemptQueued {
		return true, false
	}
	c.abandoned[a.RequestID] = struct{}{}
	if now := time.Now(); now.After(a.overdueAt) { // before that, silence does not suggest a broken connection
		c.lastCancelAt = now
	}
	command := commandCancel
	if previous == attemptPaged {
		command = commandFree
	}
	c.enqueue(outgoing{words: []string{command, a.RequestID}, flushed: a.cancelSent})
	// After the cancel of an overdue attempt the connection accepts no attempts until an answer arrives on it. With nothing in
	// flight there is no answer to come, and the connection is useless. If such connections stayed open, each would cause
	// another one to be opened, until the engine accepts no more.
	if c.lastCancelAt.After(c.lastAnswerAt) && !c.closed && c.isIdle() {
		c.closeSoon()
	}
	return true, true
}

// closeSoon closes the connection after evictionGrace unless it is used before.
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

// pollLoad sends a load poll. It returns false if the connection has closed since it was picked.
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

// endLoadPoll answers a load poll unless it has already been answered.
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
