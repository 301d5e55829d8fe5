package resp

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/limits"
)

// conn is one connection to the engine, from before it is up.
type conn struct {
	*Engine
	writeQueue chan outgoing

	mu           sync.Mutex
	peer         net.Conn // nil until it is up
	closed       bool
	attempts     map[string]*Attempt // by the job's id
	loadPolls    map[string]*loadPoll
	abandoned    map[string]struct{} // given up here: a late answer may come
	lastTag      int
	lastAnswerAt time.Time // the latest answer
	lastCancelAt time.Time // the latest give-up
	timer        *time.Timer
	idleSince    time.Time // nothing is open since
	evicted      bool      // to others that rest: it closes soon

	// Silence with dispatches open.
	lastAttemptAt       time.Time     // the latest dispatch
	keepaliveAfter      time.Duration // borne before a sign of life is asked for
	keepaliveSentAt     time.Time     // for one, without an answer since
	keepaliveElsewhere  bool          // elsewhere as well
	answeredElsewhereAt time.Time     // the engine was seen to answer on another connection since
}

// outgoing is what waits to be written: a dispatch, or a short command.
type outgoing struct {
	attempt *Attempt
	words   []string
	flushed chan struct{} // closed once it is with the machine, or the connection has ended; nil where nobody waits
}

type loadPoll struct {
	answer func(deployment.Load, bool)
	timer  *time.Timer
}

func newConn(e *Engine) *conn {
	c := &conn{Engine: e, writeQueue: make(chan outgoing, e.Limits.WriteQueue), attempts: map[string]*Attempt{},
		loadPolls: map[string]*loadPoll{}, abandoned: map[string]struct{}{}}
	c.timer = time.AfterFunc(time.Hour, c.checkLiveness)
	c.timer.Stop()
	return c
}

// lock and unlock bear a call that never had a connection.
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

// accepts tells whether a dispatch of the job may join, how many there are, and whether the connection is up. One of the job that ended here
// before could be answered once more in its name; a connection silent since a give-up, or when asked for a sign of
// life, may be cut off, which a new one will show.
func (c *conn) accepts(ref string) (open int, up, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, twice := c.attempts[ref]
	_, before := c.abandoned[ref]
	return len(c.attempts), c.peer != nil, !c.closed && len(c.attempts) < c.Settings.Streams && !twice && !before &&
		len(c.abandoned) < c.Limits.MaxAbandonedPerConn && !c.lastCancelAt.After(c.lastAnswerAt) && !c.keepaliveSentAt.After(c.lastAnswerAt) && len(c.writeQueue) < cap(c.writeQueue)/2
}

// start takes a dispatch; false where the connection has closed since it was picked.
func (c *conn) start(k *Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	k.conn = c
	c.attempts[k.requestID] = k
	c.leaveIdle()
	c.lastAttemptAt, c.keepaliveAfter = time.Now(), limits.Duration(c.Limits.KeepaliveAfter)
	c.timer.Reset(c.keepaliveAfter)
	k.statement.Hold()
	c.enqueue(outgoing{attempt: k})
	return true
}

// enqueue hands a line to the writer. A queue that is full belongs to an engine that does not read.
func (c *conn) enqueue(l outgoing) {
	if !c.closed {
		select {
		case c.writeQueue <- l:
			return
		default:
			c.close()
		}
	}
	l.release()
}

// release lets go of a line that is written or never will be.
func (l outgoing) release() {
	if l.attempt != nil {
		l.attempt.statement.Free()
	}
	if l.flushed != nil {
		close(l.flushed)
	}
}

// close ends the connection; run sees to the rest.
func (c *conn) close() {
	c.IdlePool.remove(c)
	if c.closed = true; c.peer != nil {
		c.peer.Close()
	}
}

// pollLoad asks for a load report; false where the connection has closed since it was picked.
func (c *conn) pollLoad(told func(deployment.Load, bool)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.lastTag++
	tag := "probe" + strconv.Itoa(c.lastTag)
	p := &loadPoll{answer: told}
	p.timer = time.AfterFunc(limits.Duration(c.Limits.LoadPollTimeout), func() { c.loadPolled(tag, deployment.Untold, false) })
	c.loadPolls[tag] = p
	c.leaveIdle()
	if len(c.attempts) == 0 {
		c.timer.Stop()
	}
	c.enqueue(outgoing{words: []string{"INFO", tag}})
	return true
}

func (c *conn) loadPolled(tag string, load deployment.Load, ok bool) {
	c.mu.Lock()
	p := c.loadPolls[tag]
	delete(c.loadPolls, tag)
	c.becomeIdle()
	c.mu.Unlock()
	if p != nil {
		p.timer.Stop()
		p.answer(load, ok)
	}
}

// becomeIdle starts the time after which an idle connection closes: before the engine's, so that no dispatch crosses
// its close.
func (c *conn) becomeIdle() {
	if c.closed || len(c.attempts) > 0 || len(c.loadPolls) > 0 {
		return
	}
	if c.draining.Load() {
		c.close()
		return
	}
	c.idleSince = time.Now()
	c.timer.Reset(limits.Duration(c.Settings.Idle * 0.8))
	c.IdlePool.add(c)
}

// leaveIdle tells that something is open on the connection.
func (c *conn) leaveIdle() {
	c.evicted = false
	c.IdlePool.remove(c)
}

// idleTimeLeft is how long the connection may still rest.
func (c *conn) idleTimeLeft() time.Duration {
	if c.evicted {
		return idleGrace - time.Since(c.idleSince)
	}
	return limits.Duration(c.Settings.Idle*0.8) - time.Since(c.idleSince)
}

// firstOverdue is when the first of the open dispatches is overdue. Silence up to there tells nothing, and a sign of life has
// its price at the engine: with three hundred controllers most were asked of long jobs that ran as they should.
func (c *conn) firstOverdue() (first time.Time) {
	for _, k := range c.attempts {
		if first.IsZero() || k.overdueAt.Before(first) {
			first = k.overdueAt
		}
	}
	return first
}

// checkLiveness closes the connection if it has been idle; else it sees to it that a silence is not the connection's alone.
// One that does not answer a sign of life, while the engine has been seen to answer elsewhere since, is of no use.
// Long jobs are silent by nature: each sign of life doubles the time to the next.
func (c *conn) checkLiveness() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle := len(c.attempts) == 0 && len(c.loadPolls) == 0; idle && !c.closed {
		if left := c.idleTimeLeft(); left > 0 { // the last has just ended
			c.timer.Reset(left)
		} else {
			c.close()
		}
	}
	if c.closed || len(c.attempts) == 0 || !c.Settings.Probing {
		return
	}
	now, pace := time.Now(), limits.Duration(c.Limits.KeepaliveAfter/4)
	since := c.lastAnswerAt
	if c.lastAttemptAt.After(since) {
		since = c.lastAttemptAt
	}
	alarm := since.Add(c.keepaliveAfter)
	if due := c.firstOverdue(); due.After(alarm) {
		alarm = due
	}
	switch alive := time.Unix(0, c.Engine.lastAnswer.Load()); {
	case !c.keepaliveSentAt.IsZero() && c.lastAnswerAt.After(c.keepaliveSentAt):
		c.keepaliveSentAt = time.Time{}
		c.keepaliveAfter = min(2*c.keepaliveAfter, limits.Duration(c.Limits.MaxKeepaliveAfter))
		pace = c.keepaliveAfter
	case c.keepaliveSentAt.IsZero() && now.Before(alarm):
		pace = alarm.Sub(now)
	case c.keepaliveSentAt.IsZero():
		c.keepaliveSentAt, c.keepaliveElsewhere, c.answeredElsewhereAt = now, false, time.Time{}
		c.enqueue(outgoing{words: []string{"NOOP", "alive"}})
	case !c.answeredElsewhereAt.IsZero() && now.Sub(c.answeredElsewhereAt) > limits.Duration(c.Limits.SilentConnTimeout):
		c.Log.Info().Str("engine", c.Address).Int("dispatches", len(c.attempts)).Msg("engine connection is silent")
		c.close()
		return
	case c.answeredElsewhereAt.IsZero() && alive.After(c.keepaliveSentAt):
		c.answeredElsewhereAt = now
	case c.answeredElsewhereAt.IsZero() && !c.keepaliveElsewhere && now.Sub(c.keepaliveSentAt) > limits.Duration(c.Limits.KeepaliveAfter):
		c.keepaliveElsewhere = true
		c.Group.Go(func() error { c.openKeepalive(); return nil })
	}
	c.timer.Reset(pace)
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.attempts) == 0 && len(c.loadPolls) == 0 {
		c.close()
	}
}

func (c *conn) drain(gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.attempts {
		if k.state == attemptQueued { // not the engine's fault
			k.end(admission.NotStarted)
		}
	}
	if gone || len(c.attempts) == 0 {
		c.close()
	}
}

// end ends a dispatch, with its connection's lock held.
func (k *Attempt) end(status admission.Status) {
	if k.state == attemptEnded {
		return
	}
	k.state, k.status = attemptEnded, status
	if k.conn.attempts[k.requestID] == k {
		delete(k.conn.attempts, k.requestID)
	}
	k.conn.becomeIdle()
	k.steps <- struct{}{}
}

// cancelAttempt ends the dispatch unless it has ended; ran tells whether its first byte may have gone.
func (c *conn) cancelAttempt(k *Attempt) (gaveUp, ran bool) {
	if c == nil {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	was := k.state
	if was == attemptEnded {
		return false, true
	}
	k.state = attemptEnded
	delete(c.attempts, k.requestID)
	c.becomeIdle()
	if was == attemptQueued {
		return true, false
	}
	c.abandoned[k.requestID] = struct{}{}
	if now := time.Now(); now.After(k.overdueAt) { // else it tells nothing of the connection
		c.lastCancelAt = now
	}
	if was == attemptPaged {
		c.enqueue(outgoing{words: []string{"FREE", k.requestID}, flushed: k.cancelSent})
	} else {
		c.enqueue(outgoing{words: []string{"QUIT", k.requestID}, flushed: k.cancelSent})
	}
	// One that takes nothing more, and on which nothing is open from which it could be heard again, is of no use. Each that
	// stayed had a further one opened, until the engine took no more.
	if c.lastCancelAt.After(c.lastAnswerAt) && !c.closed && len(c.attempts) == 0 && len(c.loadPolls) == 0 {
		c.evicted = true
		c.timer.Reset(idleGrace)
	}
	return true, true
}

func (c *conn) withhold(k *Attempt) {
	c.lock()
	defer c.unlock()
	if k.state == attemptQueued {
		k.end(admission.NotStarted)
	}
}

func (c *conn) fetchPages(k *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := 1; n < len(k.pages) && k.state == attemptPaged; n++ {
		c.enqueue(outgoing{words: []string{"NEXT", k.requestID, strconv.Itoa(n)}})
	}
}

func (c *conn) setPriority(k *Attempt, priority int) {
	c.lock()
	defer c.unlock()
	if k.priority == priority {
		return
	}
	if k.priority = priority; k.state == attemptSent {
		c.enqueue(outgoing{words: []string{"PRIO", k.requestID, strconv.Itoa(priority)}})
	}
}

// run is the connection's life. What is open at its end may have run if any of it had gone; if none had, the engine
// is to blame only where none came up.
func (c *conn) run(ctx context.Context) {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: limits.Duration(c.Settings.Connect)}).DialContext
	}
	peer, err := dial(ctx, "tcp", c.Address)
	if err == nil {
		c.mu.Lock()
		c.peer = peer
		if c.closed {
			peer.Close()
		}
		c.mu.Unlock()
		ctx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(ctx, func() { peer.Close() })
		var writer errgroup.Group
		writer.Go(func() error { defer peer.Close(); return c.writeLoop(ctx) })
		err = c.readLoop(bufio.NewReaderSize(peer, c.Limits.BufferSize))
		cancel()
		if failed := writer.Wait(); !errors.Is(failed, context.Canceled) {
			err = failed // what the reader saw follows from it
		}
		stop()
	}
	c.mu.Lock()
	quiet := c.closed || errors.Is(err, io.EOF) && len(c.attempts) == 0 || c.Context.Err() != nil // our own closing
	c.closed = true
	c.IdlePool.remove(c)
	open := len(c.attempts)
	for _, k := range c.attempts {
		switch {
		case k.state != attemptQueued:
			k.end(admission.ConnectionReset)
		case c.peer == nil && !errors.Is(err, syscall.ECONNRESET):
			k.end(admission.ConnectFailed)
		default:
			k.end(admission.NotStarted)
		}
	}
	c.timer.Stop()
	tags := []string{}
	for tag := range c.loadPolls {
		tags = append(tags, tag)
	}
	c.mu.Unlock()
	for _, tag := range tags {
		c.loadPolled(tag, deployment.Untold, false)
	}
	for len(c.writeQueue) > 0 {
		(<-c.writeQueue).release()
	}
	if !quiet {
		c.Log.Info().Err(err).Str("engine", c.Address).Int("dispatches", open).Msg("engine connection lost")
	}
}

func (c *conn) writeLoop(ctx context.Context) error {
	out := bufio.NewWriterSize(c.peer, c.Limits.BufferSize)
	var batch []outgoing
	free := func() {
		for _, l := range batch {
			l.release()
		}
		batch = batch[:0]
	}
	defer free()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case l := <-c.writeQueue:
			// What waits longer than a drain's grace must not go any more.
			patience := min(c.Limits.EngineWriteTimeout, cmp.Or(c.Settings.Drain, c.Limits.EngineWriteTimeout))
			c.peer.SetWriteDeadline(time.Now().Add(limits.Duration(patience)))
			for more := true; more; {
				batch = append(batch, l)
				c.writeOutgoing(out, l)
				select {
				case l = <-c.writeQueue:
				default:
					more = false
				}
			}
		}
		if err := out.Flush(); err != nil {
			return err
		}
		free()
	}
}

// writeOutgoing writes one line. A dispatch goes only if it is still wanted and the engine takes new ones.
func (c *conn) writeOutgoing(out *bufio.Writer, l outgoing) {
	k := l.attempt
	if k == nil {
		writeCommand(out, l.words...)
		return
	}
	c.mu.Lock()
	left := time.Until(k.deadline).Milliseconds()
	switch {
	case k.state != attemptQueued:
		c.mu.Unlock()
		return
	case left < 1, !k.sendBefore.IsZero() && time.Now().After(k.sendBefore):
		k.end(admission.NotStarted)
		c.mu.Unlock()
		return
	}
	k.state = attemptSent
	fields := fmt.Sprintf("c=%s,w=%d", k.class, left)
	if k.grant > 0 {
		fields += fmt.Sprintf(",reserve=%.0f", math.Ceil(k.grant))
	}
	if k.fencingToken != "" {
		fields += ",fence=" + k.fencingToken
	}
	if k.idempotencyKey != "" {
		fields += ",i=" + k.idempotencyKey
	}
	if c.Settings.Admission.EnginesTakePriorities {
		fields += fmt.Sprintf(",level=%d", k.priority)
	}
	c.mu.Unlock()
	fmt.Fprintf(out, "*4\r\n$3\r\nASK\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n", len(k.requestID), k.requestID, len(fields), fields,
		k.statement.Size())
	k.statement.WriteTo(out)
	out.WriteString("\r\n")
}

func writeCommand(out *bufio.Writer, words ...string) {
	fmt.Fprintf(out, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(out, "$%d\r\n%s\r\n", len(w), w)
	}
}

func (c *conn) readLoop(in *bufio.Reader) error {
	for {
		if _, err := in.Peek(1); err != nil {
			return err
		}
		c.peer.SetReadDeadline(time.Now().Add(limits.Duration(c.Limits.EngineReadTimeout))) // none stops half-way
		if err := c.readAnswer(in); err != nil {
			return err
		}
		c.peer.SetReadDeadline(time.Time{})
	}
}

// readAnswer takes one answer. An error means that the stream can't be followed any more.
func (c *conn) readAnswer(in *bufio.Reader) error {
	parts, err := readCount(in, '*')
	if err != nil {
		return err
	}
	if parts != 3 && parts != 4 {
		return fmt.Errorf("an answer of %d parts", parts)
	}
	var words [3]string
	for i := range words {
		if words[i], err = readBulk(in, c.Limits.MaxFields); err != nil {
			return err
		}
	}
	var body *bufferpool.Chain
	if parts == 4 {
		n, err := readCount(in, '$')
		if err != nil || n > c.Limits.MaxPage {
			return errors.Join(err, fmt.Errorf("a page of %d bytes", n))
		}
		body = c.Pool.NewChain()
		if err = body.Fill(in, n); errors.Is(err, bufferpool.ErrSpent) { // this dispatch fails, no other
			c.Log.Warn().Msg("all buffers are in use, page not read")
			_, err = in.Discard(n - body.Size())
			words[1] = "failed"
		}
		if err == nil {
			err = readLineEnd(in)
		}
		if err != nil {
			body.Free()
			return err
		}
	}
	return c.handleAnswer(words[0], words[1], words[2], body)
}

// handleAnswer hands an answer to what it belongs to. A good one that belongs to nothing here, such as a second copy, is
// passed over.
func (c *conn) handleAnswer(id, word, fields string, body *bufferpool.Chain) error {
	if word != "well" && word != "ill" && c.OnLoadReport != nil {
		if load, told := loadReport(fields); told {
			c.OnLoadReport(load)
		}
	}
	c.mu.Lock()
	c.lastAnswerAt = time.Now()
	c.Engine.lastAnswer.Store(c.lastAnswerAt.UnixNano())
	if word == "news" {
		k := c.attempts[id]
		out := k != nil && (k.state == attemptSent || k.state == attemptPaged)
		c.mu.Unlock()
		body.Free()
		topic := slices.Index([]string{"", "pct", "overflow", "queued"}, field(fields, "note"))
		if amount, told := amountField(fields, "amount"); out && topic > 0 && told {
			k.onProgress(topic, amount)
		}
		return nil
	}
	if word == "well" || word == "ill" {
		c.mu.Unlock()
		body.Free()
		load, told := loadReport(fields)
		c.loadPolled(id, load, told)
		return nil
	}
	defer c.mu.Unlock()
	k := c.attempts[id]
	if k == nil || k.state == attemptQueued {
		body.Free()
		return nil
	}
	if word == "data" && k.state == attemptSent {
		n, _ := strconv.Atoi(field(fields, "chunks"))
		if n < 1 || n > c.Limits.MaxPages {
			body.Free()
			return fmt.Errorf("a result of %d pages", n)
		}
		k.Work = numberField(fields, "spent") / 1000
		k.Memory = numberField(fields, "wanted")
		k.pages, k.missingPages = make([]*bufferpool.Chain, n), n
		k.state = attemptPaged
		if k.storePage(0, body, c.Limits.MaxResult); n > 1 && k.state == attemptPaged {
			k.status = admission.Succeeded
			k.steps <- struct{}{}
		}
		return nil
	}
	if word == "page" && k.state == attemptPaged {
		if n, err := strconv.Atoi(field(fields, "at")); err == nil && n > 0 && n < len(k.pages) && k.pages[n] == nil {
			k.storePage(n, body, c.Limits.MaxResult)
			return nil
		}
	}
	body.Free()
	status, ends := map[string]admission.Status{"failed": admission.Failed, "full": admission.Overloaded, "moot": admission.NotStarted}[word]
	switch {
	case ends && k.state == attemptPaged: // it has run, whatever this says
		status = admission.Failed
		fallthrough
	case ends:
		c.abandoned[k.requestID] = struct{}{}
		k.end(status)
	case word != "data" && word != "page":
		return fmt.Errorf("answer %q out of place", word)
	}
	return nil
}

// storePage takes in a page; the last one missing ends the dispatch. Rows are whole on every page.
func (k *Attempt) storePage(n int, body *bufferpool.Chain, most int) {
	if body == nil {
		body = k.conn.Pool.NewChain()
	}
	k.pages[n] = body
	k.missingPages--
	k.resultSize += body.Size()
	switch {
	case k.resultSize > most || !completeRows(body):
		k.conn.abandoned[k.requestID] = struct{}{}
		k.end(admission.Failed)
		k.conn.enqueue(outgoing{words: []string{"FREE", k.requestID}})
	case k.missingPages == 0:
		k.end(admission.Succeeded)
	}
}

// completeRows tells whether a page is rows of three columns.
func completeRows(page *bufferpool.Chain) bool {
	tabs := 0
	for _, part := range page.Parts() {
		for _, b := range part {
			switch {
			case b == '\t':
				tabs++
			case b == '\n' && tabs != 2:
				return false
			case b == '\n':
				tabs = 0
			}
		}
	}
	return page.Size() == 0 || page.Last() == '\n'
}

// The parser of RESP: arrays of bulk strings only.

func readCount(in *bufio.Reader, sign byte) (int, error) {
	text, err := in.ReadSlice('\n')
	if err != nil {
		return 0, err
	}
	if len(text) < 4 || len(text) > 12 || text[0] != sign || text[len(text)-2] != '\r' {
		return 0, fmt.Errorf("no count after %q: %.20q", sign, text)
	}
	n, err := strconv.ParseUint(string(text[1:len(text)-2]), 10, 31)
	return int(n), err
}

func readBulk(in *bufio.Reader, most int) (string, error) {
	n, err := readCount(in, '$')
	if err != nil {
		return "", err
	}
	if n > most {
		return "", fmt.Errorf("a word of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err = io.ReadFull(in, b); err != nil {
		return "", err
	}
	return string(b), readLineEnd(in)
}

func readLineEnd(in *bufio.Reader) error {
	for _, want := range "\r\n" {
		if b, err := in.ReadByte(); err != nil || b != byte(want) {
			return errors.Join(err, errors.New("no end of a bulk string"))
		}
	}
	return nil
}

// field finds a value among name=value pairs.
func field(fields, name string) string {
	for pair := range strings.SplitSeq(fields, ",") {
		if n, value, ok := strings.Cut(pair, "="); ok && n == name {
			return value
		}
	}
	return ""
}

// numberField is a value, 0 where it is none.
func numberField(fields, name string) float64 {
	v, _ := amountField(fields, name)
	return v
}

func amountField(fields, name string) (v float64, told bool) {
	v, err := strconv.ParseFloat(field(fields, name), 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return 0, false
	}
	return v, true
}

// loadReport decodes a load report, as in load=a:7;b:0.61; false where there is none.
func loadReport(fields string) (deployment.Load, bool) {
	load, text := deployment.Untold, field(fields, "load")
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < 1e9 {
			load.Set(name, v)
		}
	}
	return load, text != ""
}
