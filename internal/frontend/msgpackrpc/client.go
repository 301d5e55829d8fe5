// Package msgpackrpc serves the clients' connections: MessagePack-RPC in, one answer out for each job taken.
package msgpackrpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/limits"
)

// Handler serves requests. Serve returns when the request has ended; it answers at most once. The statement stays the
// caller's.
type Handler interface {
	Ready() bool
	Serve(ctx context.Context, request *gateway.Request, responder gateway.Responder)
}

// Server accepts connections as far as the limits let it.
type Server struct {
	Handler Handler
	Limits  limits.Limits
	Pool    *bufferpool.Pool
	Log     zerolog.Logger

	// Names are the fields that hold a job's team, customer and order key, that which asks for its wait, the key that all
	// tries of it have, and that which says that this is the first one; "" for none.
	Names struct{ Team, Customer, Key, Wait, Retry, First string }

	// RetryAfter is when the client of a job that a bound turned away may come back, 0 where it heeds no advice.
	RetryAfter float64

	mu      sync.Mutex
	conns   map[*conn]struct{} // but for those that gave way
	leaving bool
}

// Run serves until the listener is closed, then until the last connection has ended. At the end of ctx
// connections are cut off.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.conns = map[*conn]struct{}{}
	s.mu.Unlock()
	var group errgroup.Group
	for {
		for !s.room() {
			select {
			case <-ctx.Done():
				return errors.Join(ctx.Err(), group.Wait())
			case <-time.After(limits.Duration(s.Limits.AcceptRetryInterval)): // accepting waits
			}
		}
		peer, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return group.Wait()
		}
		if err != nil {
			s.Log.Warn().Err(err).Msg("accept failed")
			time.Sleep(limits.Duration(s.Limits.AcceptRetryInterval))
			continue
		}
		c := s.admit(peer)
		group.Go(func() error {
			c.serve(ctx)
			return nil
		})
	}
}

// room tells whether one more connection may be accepted. From a number on one gives way for each that comes, that
// which carries least: the oldest that never sent a whole message, then the longest idle, then one that stops within
// a message. One with jobs stays. Clients that hold as many as they may would open no new one, which no gateway can
// see: so those that ask once and stay must go before.
func (s *Server) room() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.Limits.ClientConnsSoftLimit {
		return true
	}
	full := min(float64(len(s.conns)-s.Limits.ClientConnsSoftLimit)/float64(s.Limits.ClientConnsHardLimit-s.Limits.ClientConnsSoftLimit), 1)
	patience := limits.Duration(s.Limits.NewClientGrace*full + s.Limits.IdleClientGrace*(1-full))
	var victim *conn
	most, oldest, now := 0, time.Time{}, time.Now()
	for c := range s.conns {
		spare, since := c.spare(now, patience)
		if spare > 0 && (spare > most || spare == most && since.Before(oldest)) {
			victim, most, oldest = c, spare, since
		}
	}
	if victim == nil || !victim.giveWay(now, patience) { // a job has come to it meanwhile
		return len(s.conns) < s.Limits.MaxClientConns
	}
	delete(s.conns, victim)
	return true
}

func (s *Server) admit(peer net.Conn) *conn {
	c := &conn{Server: s, peer: peer, open: map[uint32]*reply{}, since: time.Now(),
		write: make(chan answer, 4*s.Limits.MaxRequestsPerConn), aside: make(chan answer)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.leaving {
		c.leave()
	}
	return c
}

// BeginShutdown takes no more jobs: those that still come are throttled. A connection closes once what is open on it is
// answered; until then its client is followed, which may stop waiting.
func (s *Server) BeginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for c := range s.conns {
		c.leave()
	}
}

// conn is one client's connection.
type conn struct {
	*Server
	peer  net.Conn
	write chan answer // jobs' answers: there is room for all that can be owed
	aside chan answer // the reader's own, which waits for the writer: a client sends many commands at once
	done  <-chan struct{}

	mu      sync.Mutex
	open    map[uint32]*reply // jobs
	spoken  bool              // has sent a whole message
	reading bool              // a message has begun
	owed    int               // answers not yet written
	leaving bool              // throttles what still comes
	gave    bool              // gave way: takes nothing more
	since   time.Time         // the latest message or answer
}

// answer is what waits to be written: a head, then rows, then a tail.
type answer struct {
	head, tail []byte
	rows       *bufferpool.Chain
	job        bool // counted as owed
}

func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.finish()
}

// finish has the reader of a connection that leaves look a last time, with its lock held: what has come by now is
// answered. A time in the past would have it pass over what lies there.
func (c *conn) finish() {
	if c.leaving && len(c.open) == 0 && !c.reading {
		c.peer.SetReadDeadline(time.Now().Add(limits.Duration(c.Limits.FinalReadTime)))
	}
}

// giveWay closes the connection if it may still go. A job that is read from then on is not taken: its client sends it again.
func (c *conn) giveWay(now time.Time, patience time.Duration) bool {
	if spare, _ := c.spare(now, patience); spare == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gave = len(c.open) == 0 && c.owed == 0; c.gave {
		c.peer.Close()
	}
	return c.gave
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0 && !c.reading
}

// spare ranks the connection among those that may give way, 0 for one that stays: with jobs, just come, or in use.
func (c *conn) spare(now time.Time, patience time.Duration) (rank int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	switch {
	case len(c.open) > 0 || c.owed > 0 || !c.spoken && age < limits.Duration(c.Limits.NewClientGrace):
		return 0, c.since
	case !c.spoken:
		return 3, c.since
	case age < patience:
		return 0, c.since
	case !c.reading:
		return 2, c.since
	}
	return 1, c.since
}

// serve reads a connection to its end. Jobs of a client that has left are withdrawn; after a message that can't be
// followed they are answered first.
func (c *conn) serve(ctx context.Context) {
	s, peer := c.Server, c.peer
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.done = ctx.Done()
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	var jobs, writer, rest errgroup.Group
	writer.Go(func() error { return c.writes(cancel) })
	err := c.reads(ctx, &jobs)
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded) && errors.As(err, new(*net.OpError)),
		errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.mu.Lock()
		if n := len(c.open); n > 0 {
			s.Log.Info().Err(err).Int("requests", n).Str("client", peer.RemoteAddr().String()).Msg("client disconnected with open requests")
		}
		c.mu.Unlock()
		cancel()
	default:
		if !errors.Is(err, errLeaving) {
			s.Log.Info().Err(err).Str("client", peer.RemoteAddr().String()).Msg("client sent no valid message")
			c.say(answer{head: failure(0, "the message can't be read")}) // 0 is the number of no job
		}
		peer.SetReadDeadline(time.Time{})
		rest.Go(func() error { // what is left unread would reset the connection under the answers
			_, err := io.Copy(io.Discard, struct{ io.Reader }{peer})
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				cancel()
			}
			return nil
		})
	}
	jobs.Wait()
	close(c.write)
	writer.Wait()
	// So would what still comes, and take away answers that the client has not read yet: it is told first that nothing
	// more follows, and given a moment to close.
	if half, ok := peer.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		peer.SetReadDeadline(time.Now().Add(limits.Duration(s.Limits.ClientLinger)))
		rest.Wait()
	}
	stop()
	peer.Close()
	rest.Wait()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (c *conn) reads(ctx context.Context, jobs *errgroup.Group) (err error) {
	in := bufio.NewReaderSize(c.peer, c.Limits.BufferSize)
	for idle := c.Limits.FirstMessageTimeout; ; idle = c.Limits.ClientIdleTimeout {
		if !c.until(idle, false) {
			return errLeaving
		}
		if _, err = in.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			if c.idle() {
				return errLeaving
			}
			continue
		}
		if !c.until(c.Limits.ClientReadTimeout, true) {
			return errLeaving
		}
		if err = c.message(ctx, &reader{in: in, left: c.Limits.MaxMessage, depth: c.Limits.MaxDepth}, jobs); err != nil {
			return err
		}
	}
}

// errLeaving tells that the connection ends from here, with nothing open on it.
var errLeaving = errors.New("the connection ends here")

// until gives a read so many seconds, unless the connection gave way.
func (c *conn) until(seconds float64, reading bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spoken = c.spoken || c.reading && !reading
	c.since, c.reading = time.Now(), reading
	c.peer.SetReadDeadline(c.since.Add(limits.Duration(seconds)))
	c.finish()
	return !c.gave
}

// message takes one message. An error means that the stream can't be followed any more.
func (c *conn) message(ctx context.Context, r *reader, jobs *errgroup.Group) error {
	parts, err := r.want(kindList)
	if err != nil {
		return fmt.Errorf("no message: %w", err)
	}
	kind, err := r.want(kindInt)
	switch {
	case err != nil:
		return fmt.Errorf("no kind of message: %w", err)
	case kind == 2 && parts == 3:
		return c.notice(r)
	case kind != 0 || parts != 4:
		return fmt.Errorf("a message of kind %d with %d parts", kind, parts)
	}
	id, err := r.want(kindInt)
	if err != nil || id < 0 || id > math.MaxUint32 {
		return errors.Join(err, fmt.Errorf("message id %d", id))
	}
	method, err := r.text(c.Limits.MaxName)
	if err != nil && !errors.Is(err, errShape) {
		return err
	}
	if err == nil && method == "ping" {
		c.say(answer{head: c.pong(uint32(id))})
		return r.skip()
	}
	args, shape := r.want(kindList)
	if shape != nil && !errors.Is(shape, errShape) {
		return shape
	}
	var f fields
	var statement *bufferpool.Chain
	if shape == nil {
		if f, statement, shape = c.args(r, args); shape != nil && !errors.Is(shape, errShape) {
			statement.Free()
			return shape
		}
	}
	to := &reply{conn: c, id: uint32(id)}
	c.mu.Lock()
	twice := c.open[to.id]
	bad := err != nil || shape != nil || f.bad != ""
	crowd := len(c.open) >= c.Limits.MaxRequestsPerConn || c.owed >= 2*c.Limits.MaxRequestsPerConn // or it does not read
	taken := twice == nil && !bad && !crowd && !f.full && !c.leaving && !c.gave
	if taken {
		ctx, to.leave = context.WithCancel(ctx)
		c.open[to.id] = to
		c.owed++
	}
	gave := c.gave
	c.mu.Unlock()
	if !taken {
		statement.Free()
	}
	switch {
	case gave: // the client sees it closed, and sends the job again
		return errLeaving
	case twice != nil: // no answer could tell which of the two it belongs to
		twice.fail("a message id was used twice")
		twice.leave()
		return fmt.Errorf("message id %d is open already", id)
	case bad:
		to.fail("the job can't be understood " + f.bad)
		return nil
	case !taken:
		to.reject(c.RetryAfter)
		return nil
	}
	jobs.Go(func() error {
		defer statement.Free()
		defer to.close()
		defer func() {
			if p := recover(); p != nil {
				c.Log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("request handler panicked")
				to.fail("internal error")
			}
		}()
		c.Handler.Serve(ctx, f.request(method, statement), to)
		return nil
	})
	return nil
}

// fields are the decoded fields of one job on their way into the call of Serve.
type fields struct {
	ref, bad            string
	team, customer, key string
	idempotency         string // the key by which engines know repeats, for a keyed type
	retry               string // the key that all tries have
	first               bool   // it is the first one
	asks                bool   // to be told its wait
	full                bool   // no buffer was left for it
	allow, work, memory float64
}

// request is the request that the fields describe.
func (f *fields) request(class string, statement *bufferpool.Chain) *gateway.Request {
	return &gateway.Request{
		ID:                   f.ref,
		Class:                class,
		Team:                 f.team,
		Tenant:               f.customer,
		OrderKey:             f.key,
		Timeout:              f.allow,
		EstimatedWork:        f.work,
		EstimatedMemory:      f.memory,
		Statement:            statement,
		IdempotencyKey:       f.retry,
		FirstTry:             f.first,
		EngineIdempotencyKey: f.idempotency,
		WantsWaitEstimate:    f.asks,
	}
}

// args reads a job's fields and statement; what it does not know is passed over.
func (c *conn) args(r *reader, n int64) (f fields, statement *bufferpool.Chain, err error) {
	if n < 2 {
		f.bad = "(arguments)"
		for range n {
			if err = r.skip(); err != nil {
				return
			}
		}
		return
	}
	pairs, err := r.want(kindMap)
	if err != nil && !errors.Is(err, errShape) {
		return
	}
	if err != nil {
		f.bad, pairs = "(fields)", 0
	}
	told := 0 // numbers
	for range pairs {
		name, bad := r.text(c.Limits.MaxName)
		if bad != nil && !errors.Is(bad, errShape) {
			return f, nil, bad
		}
		value, odd := r.text(c.Limits.MaxName)
		if odd != nil && !errors.Is(odd, errShape) {
			return f, nil, odd
		}
		number := func(most float64) float64 {
			told++
			v, wrong := strconv.ParseFloat(value, 64)
			if wrong != nil || odd != nil || !(v >= 0) || v > most {
				f.bad = "(" + name + ")"
				return 0
			}
			return v
		}
		switch name {
		case "ref":
			if f.ref = value; odd != nil || !hex16(value) {
				f.bad = "(ref)"
			}
		case "allow":
			f.allow = number(c.Limits.MaxTimeout*1000) / 1000
		case "effort":
			f.work = number(c.Limits.MaxWork*1000) / 1000
		case "need_mb":
			f.memory = number(c.Limits.MaxMemoryEstimate)
		case "replay":
			if f.idempotency = value; odd != nil || !clean(value) {
				f.bad = "(replay)"
			}
		case "": // no name of ours below may match it
		case c.Names.Team:
			f.team = value
		case c.Names.Customer:
			f.customer = value
		case c.Names.Key:
			if f.key = value; odd != nil || !clean(value) {
				f.bad = "(" + name + ")"
			}
		case c.Names.Wait:
			f.asks = true
		case c.Names.Retry:
			f.retry = value
		case c.Names.First:
			f.first = value != "" && value != "0" && value != "false"
		}
	}
	if f.bad == "" && (f.ref == "" || f.allow == 0 || told != 3) {
		f.bad = "(a field is missing, or there twice)"
	}
	size, err := r.want(kindText)
	if errors.Is(err, errShape) {
		f.bad, err = "(statement)", nil
	} else if err == nil && size > int64(r.left) {
		err = errLong
	} else if err == nil {
		statement = c.Pool.NewChain()
		if err = statement.Fill(r, int(size)); errors.Is(err, bufferpool.ErrExhausted) {
			f.full = true
			err = r.rest(kindText, size-int64(statement.Size()))
		}
	}
	for range n - 2 {
		if err == nil {
			err = r.skip()
		}
	}
	return
}

// clean tells whether a value goes on to engines as it is: as one field, with no other behind it.
func clean(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == ',' || r == 0x7f || r == utf8.RuneError })
}

func hex16(s string) bool {
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil && len(s) == 16
}

// notice takes what wants no answer: a client that stops waiting.
func (c *conn) notice(r *reader) error {
	name, err := r.text(c.Limits.MaxName)
	if err != nil && !errors.Is(err, errShape) {
		return err
	}
	n, shape := r.want(kindList)
	if shape != nil {
		if errors.Is(shape, errShape) {
			return nil
		}
		return shape
	}
	for range n {
		id, err := r.want(kindInt)
		if err != nil && !errors.Is(err, errShape) {
			return err
		}
		if err == nil && name == "abort" && id >= 0 && id <= math.MaxUint32 {
			c.mu.Lock()
			if to := c.open[uint32(id)]; to != nil { // no answer is owed any more
				to.leave()
				to.done = true
				delete(c.open, to.id)
				c.owed--
			}
			c.mu.Unlock()
		}
	}
	return nil
}

func (c *conn) pong(id uint32) []byte {
	b := putInt([]byte{0x94, 1}, int64(id))
	ready := byte(0xc2)
	if c.Handler.Ready() {
		ready = 0xc3
	}
	return append(b, 0xc0, 0x92, ready, 0x80)
}

// put hands a job's answer to the writer.
func (c *conn) put(a answer) {
	select {
	case c.write <- a:
	default: // of more jobs than may be open
		a.rows.Free()
		c.peer.Close()
	}
}

// say hands the reader's own answer to the writer and waits until it has it. Reading stops meanwhile, so that many commands
// at once fill the client's side and not this one.
func (c *conn) say(a answer) {
	select {
	case c.aside <- a:
	case <-c.done:
	}
}

// writes writes answers until there are no more, or one can't be written: broken then tells the reader. What the reader
// says itself comes after the answers that it has had given before.
func (c *conn) writes(broken func()) (err error) {
	for err == nil {
		select {
		case a, more := <-c.write:
			if !more {
				return nil
			}
			err = c.write1(a)
		case last := <-c.aside:
			for n := len(c.write); n > 0 && err == nil; n-- {
				err = c.write1(<-c.write)
			}
			if err == nil {
				err = c.write1(last)
			}
		}
	}
	broken()
	for a := range c.write {
		a.rows.Free()
	}
	return err
}

func (c *conn) write1(a answer) error {
	c.peer.SetWriteDeadline(time.Now().Add(limits.Duration(c.Limits.ClientWriteTimeout)))
	parts := append(net.Buffers{a.head}, a.rows.Parts()...)
	parts = append(parts, a.tail)
	_, err := parts.WriteTo(c.peer)
	a.rows.Free()
	if a.job {
		c.mu.Lock()
		c.owed--
		c.mu.Unlock()
	}
	return err
}

// reply is the way back of one job.
type reply struct {
	*conn
	id    uint32
	leave context.CancelFunc
	done  bool // answered
}

func (a *reply) head() []byte { return putInt([]byte{0x94, 1}, int64(a.id)) }

// Succeeded gives the rows, which are the reply's from here.
func (a *reply) Succeeded(rows *bufferpool.Chain) {
	head := append(a.head(), 0xc0, 0x92, 0xc6)
	head = binary.BigEndian.AppendUint32(head, uint32(rows.Size()))
	a.final(answer{head: head, rows: rows, tail: []byte{0x80}})
}

// WaitEstimate tells a job that asked how long it will wait, in seconds from now. Nothing of it goes after the answer, and
// a client that does not read loses it.
func (a *reply) WaitEstimate(estimate fairshare.Estimate) {
	b := putText([]byte{0x93, 2}, "wait")
	b = append(putInt(append(b, 0x92), int64(a.id)), 0x84)
	for _, f := range []struct {
		name    string
		seconds float64
	}{
		{"dispatch_ms", estimate.Start},
		{"done_ms", estimate.Completion},
		{"least_ms", estimate.StartLow},
		{"most_ms", estimate.StartHigh},
	} {
		b = putText(putText(b, f.name), strconv.Itoa(int(math.Ceil(f.seconds*1000))))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || len(a.write) > cap(a.write)/2 {
		return
	}
	select {
	case a.write <- answer{head: b}:
	default:
	}
}

// Failed answers without a result: a rejection with Retry-After, any other error with its reason.
func (a *reply) Failed(err error) {
	var rejected *gateway.RejectedError
	if errors.As(err, &rejected) {
		a.reject(rejected.RetryAfter)
		return
	}
	a.fail(gateway.Reason(err))
}

// reject answers that the request did not run, and when it may come again.
func (a *reply) reject(retryAfter float64) {
	b := append(a.head(), 0x92)
	b = putText(b, "Rejected")
	if retryAfter > 0 {
		b = putText(append(b, 0x81), "cooldown")
		b = putText(b, strconv.Itoa(int(math.Ceil(retryAfter*1000))))
	} else {
		b = append(b, 0x80)
	}
	a.final(answer{head: append(b, 0xc0)})
}

// fail answers with an error that promises nothing.
func (a *reply) fail(reason string) { a.final(answer{head: failure(a.id, reason)}) }

// failure words the error that promises nothing.
func failure(id uint32, why string) []byte {
	b := putText(append(putInt([]byte{0x94, 1}, int64(id)), 0x92), "Failed")
	b = putText(putText(append(b, 0x81), "why"), why)
	return append(b, 0xc0)
}

func (a *reply) final(w answer) {
	a.mu.Lock()
	if a.done {
		a.mu.Unlock()
		w.rows.Free()
		return
	}
	a.done = true
	w.job = a.open[a.id] == a
	if w.job {
		delete(a.open, a.id)
	}
	a.since = time.Now()
	a.finish()
	a.mu.Unlock()
	if w.job {
		a.put(w)
	} else {
		a.say(w)
	}
}

// close ends the job on the connection; one whose client has left was not answered.
func (a *reply) close() {
	a.leave()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open[a.id] == a { // not another job by now
		delete(a.open, a.id)
		a.owed--
	}
}
