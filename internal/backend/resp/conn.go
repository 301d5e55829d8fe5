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
	write chan line

	mu     sync.Mutex
	peer   net.Conn // nil until it is up
	closed bool
	calls  map[string]*Call // by the job's id
	probes map[string]*probe
	left   map[string]struct{} // given up here: a late answer may come
	tags   int
	heard  time.Time // the latest answer
	quit   time.Time // the latest give-up
	timer  *time.Timer
	free   time.Time // nothing is open since
	yields bool      // to others that rest: it closes soon

	// Silence with dispatches open.
	began     time.Time     // the latest dispatch
	quiet     time.Duration // borne before a sign of life is asked for
	asked     time.Time     // for one, without an answer since
	knocked   bool          // elsewhere as well
	elsewhere time.Time     // the engine was seen to answer on another connection since
}

// line is what waits to be written: a dispatch, or a short command.
type line struct {
	call  *Call
	words []string
	gone  chan struct{} // closed once it is with the machine, or the connection has ended; nil where nobody waits
}

type probe struct {
	told  func(deployment.Load, bool)
	timer *time.Timer
}

func newConn(e *Engine) *conn {
	c := &conn{Engine: e, write: make(chan line, e.Limits.Queue), calls: map[string]*Call{},
		probes: map[string]*probe{}, left: map[string]struct{}{}}
	c.timer = time.AfterFunc(time.Hour, c.look)
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

// bears tells whether a dispatch of the job may join, how many there are, and whether the connection is up. One of the job that ended here
// before could be answered once more in its name; a connection silent since a give-up, or when asked for a sign of
// life, may be cut off, which a new one will show.
func (c *conn) bears(ref string) (open int, up, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, twice := c.calls[ref]
	_, before := c.left[ref]
	return len(c.calls), c.peer != nil, !c.closed && len(c.calls) < c.Settings.Streams && !twice && !before &&
		len(c.left) < c.Limits.Left && !c.quit.After(c.heard) && !c.asked.After(c.heard) && len(c.write) < cap(c.write)/2
}

// ask takes a dispatch; false where the connection has closed since it was picked.
func (c *conn) ask(k *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	k.conn = c
	c.calls[k.ref] = k
	c.busy()
	c.began, c.quiet = time.Now(), limits.Duration(c.Limits.EngineQuiet)
	c.timer.Reset(c.quiet)
	k.statement.Hold()
	c.put(line{call: k})
	return true
}

// put hands a line to the writer. A queue that is full belongs to an engine that does not read.
func (c *conn) put(l line) {
	if !c.closed {
		select {
		case c.write <- l:
			return
		default:
			c.shut()
		}
	}
	l.free()
}

// free lets go of a line that is written or never will be.
func (l line) free() {
	if l.call != nil {
		l.call.statement.Free()
	}
	if l.gone != nil {
		close(l.gone)
	}
}

// shut ends the connection; run sees to the rest.
func (c *conn) shut() {
	c.Spares.leaves(c)
	if c.closed = true; c.peer != nil {
		c.peer.Close()
	}
}

// probe asks for a load report; false where the connection has closed since it was picked.
func (c *conn) probe(told func(deployment.Load, bool)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.tags++
	tag := "probe" + strconv.Itoa(c.tags)
	p := &probe{told: told}
	p.timer = time.AfterFunc(limits.Duration(c.Limits.Probe), func() { c.probed(tag, deployment.Untold, false) })
	c.probes[tag] = p
	c.busy()
	if len(c.calls) == 0 {
		c.timer.Stop()
	}
	c.put(line{words: []string{"INFO", tag}})
	return true
}

func (c *conn) probed(tag string, load deployment.Load, ok bool) {
	c.mu.Lock()
	p := c.probes[tag]
	delete(c.probes, tag)
	c.rest()
	c.mu.Unlock()
	if p != nil {
		p.timer.Stop()
		p.told(load, ok)
	}
}

// rest starts the time after which an idle connection closes: before the engine's, so that no dispatch crosses
// its close.
func (c *conn) rest() {
	if c.closed || len(c.calls) > 0 || len(c.probes) > 0 {
		return
	}
	if c.stopped.Load() {
		c.shut()
		return
	}
	c.free = time.Now()
	c.timer.Reset(limits.Duration(c.Settings.Idle * 0.8))
	c.Spares.rests(c)
}

// busy tells that something is open on the connection.
func (c *conn) busy() {
	c.yields = false
	c.Spares.leaves(c)
}

// idles is how long the connection may still rest.
func (c *conn) idles() time.Duration {
	if c.yields {
		return brief - time.Since(c.free)
	}
	return limits.Duration(c.Settings.Idle*0.8) - time.Since(c.free)
}

// due is when the first of the open dispatches is overdue. Silence up to there tells nothing, and a sign of life has
// its price at the engine: with three hundred controllers most were asked of long jobs that ran as they should.
func (c *conn) due() (first time.Time) {
	for _, k := range c.calls {
		if first.IsZero() || k.due.Before(first) {
			first = k.due
		}
	}
	return first
}

// look closes the connection if it has been idle; else it sees to it that a silence is not the connection's alone.
// One that does not answer a sign of life, while the engine has been seen to answer elsewhere since, is of no use.
// Long jobs are silent by nature: each sign of life doubles the time to the next.
func (c *conn) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle := len(c.calls) == 0 && len(c.probes) == 0; idle && !c.closed {
		if left := c.idles(); left > 0 { // the last has just ended
			c.timer.Reset(left)
		} else {
			c.shut()
		}
	}
	if c.closed || len(c.calls) == 0 || !c.Settings.Probing {
		return
	}
	now, pace := time.Now(), limits.Duration(c.Limits.EngineQuiet/4)
	since := c.heard
	if c.began.After(since) {
		since = c.began
	}
	alarm := since.Add(c.quiet)
	if due := c.due(); due.After(alarm) {
		alarm = due
	}
	switch alive := time.Unix(0, c.Engine.heard.Load()); {
	case !c.asked.IsZero() && c.heard.After(c.asked):
		c.asked = time.Time{}
		c.quiet = min(2*c.quiet, limits.Duration(c.Limits.EngineQuietest))
		pace = c.quiet
	case c.asked.IsZero() && now.Before(alarm):
		pace = alarm.Sub(now)
	case c.asked.IsZero():
		c.asked, c.knocked, c.elsewhere = now, false, time.Time{}
		c.put(line{words: []string{"NOOP", "alive"}})
	case !c.elsewhere.IsZero() && now.Sub(c.elsewhere) > limits.Duration(c.Limits.EngineAlive):
		c.Log.Info().Str("engine", c.Address).Int("dispatches", len(c.calls)).Msg("engine connection is silent")
		c.shut()
		return
	case c.elsewhere.IsZero() && alive.After(c.asked):
		c.elsewhere = now
	case c.elsewhere.IsZero() && !c.knocked && now.Sub(c.asked) > limits.Duration(c.Limits.EngineQuiet):
		c.knocked = true
		c.Group.Go(func() error { c.knock(); return nil })
	}
	c.timer.Reset(pace)
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 && len(c.probes) == 0 {
		c.shut()
	}
}

func (c *conn) stop(gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if k.state == waiting { // not the engine's fault
			k.end(admission.NotStarted)
		}
	}
	if gone || len(c.calls) == 0 {
		c.shut()
	}
}

// end ends a dispatch, with its connection's lock held.
func (k *Call) end(status admission.Status) {
	if k.state == ended {
		return
	}
	k.state, k.status = ended, status
	if k.conn.calls[k.ref] == k {
		delete(k.conn.calls, k.ref)
	}
	k.conn.rest()
	k.step <- struct{}{}
}

// giveUp ends the dispatch unless it has ended; ran tells whether its first byte may have gone.
func (c *conn) giveUp(k *Call) (gaveUp, ran bool) {
	if c == nil {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	was := k.state
	if was == ended {
		return false, true
	}
	k.state = ended
	delete(c.calls, k.ref)
	c.rest()
	if was == waiting {
		return true, false
	}
	c.left[k.ref] = struct{}{}
	if now := time.Now(); now.After(k.due) { // else it tells nothing of the connection
		c.quit = now
	}
	if was == paged {
		c.put(line{words: []string{"FREE", k.ref}, gone: k.left})
	} else {
		c.put(line{words: []string{"QUIT", k.ref}, gone: k.left})
	}
	// One that takes nothing more, and on which nothing is open from which it could be heard again, is of no use. Each that
	// stayed had a further one opened, until the engine took no more.
	if c.quit.After(c.heard) && !c.closed && len(c.calls) == 0 && len(c.probes) == 0 {
		c.yields = true
		c.timer.Reset(brief)
	}
	return true, true
}

func (c *conn) holdBack(k *Call) {
	c.lock()
	defer c.unlock()
	if k.state == waiting {
		k.end(admission.NotStarted)
	}
}

func (c *conn) next(k *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := 1; n < len(k.pages) && k.state == paged; n++ {
		c.put(line{words: []string{"NEXT", k.ref, strconv.Itoa(n)}})
	}
}

func (c *conn) prefer(k *Call, priority int) {
	c.lock()
	defer c.unlock()
	if k.priority == priority {
		return
	}
	if k.priority = priority; k.state == sent {
		c.put(line{words: []string{"PRIO", k.ref, strconv.Itoa(priority)}})
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
		writer.Go(func() error { defer peer.Close(); return c.writes(ctx) })
		err = c.reads(bufio.NewReaderSize(peer, c.Limits.Buffer))
		cancel()
		if failed := writer.Wait(); !errors.Is(failed, context.Canceled) {
			err = failed // what the reader saw follows from it
		}
		stop()
	}
	c.mu.Lock()
	quiet := c.closed || errors.Is(err, io.EOF) && len(c.calls) == 0 || c.Context.Err() != nil // our own closing
	c.closed = true
	c.Spares.leaves(c)
	open := len(c.calls)
	for _, k := range c.calls {
		switch {
		case k.state != waiting:
			k.end(admission.ConnectionReset)
		case c.peer == nil && !errors.Is(err, syscall.ECONNRESET):
			k.end(admission.ConnectFailed)
		default:
			k.end(admission.NotStarted)
		}
	}
	c.timer.Stop()
	tags := []string{}
	for tag := range c.probes {
		tags = append(tags, tag)
	}
	c.mu.Unlock()
	for _, tag := range tags {
		c.probed(tag, deployment.Untold, false)
	}
	for len(c.write) > 0 {
		(<-c.write).free()
	}
	if !quiet {
		c.Log.Info().Err(err).Str("engine", c.Address).Int("dispatches", open).Msg("engine connection lost")
	}
}

func (c *conn) writes(ctx context.Context) error {
	out := bufio.NewWriterSize(c.peer, c.Limits.Buffer)
	var batch []line
	free := func() {
		for _, l := range batch {
			l.free()
		}
		batch = batch[:0]
	}
	defer free()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case l := <-c.write:
			// What waits longer than a drain's grace must not go any more.
			patience := min(c.Limits.EngineWrite, cmp.Or(c.Settings.Drain, c.Limits.EngineWrite))
			c.peer.SetWriteDeadline(time.Now().Add(limits.Duration(patience)))
			for more := true; more; {
				batch = append(batch, l)
				c.put1(out, l)
				select {
				case l = <-c.write:
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

// put1 writes one line. A dispatch goes only if it is still wanted and the engine takes new ones.
func (c *conn) put1(out *bufio.Writer, l line) {
	k := l.call
	if k == nil {
		command(out, l.words...)
		return
	}
	c.mu.Lock()
	left := time.Until(k.until).Milliseconds()
	switch {
	case k.state != waiting:
		c.mu.Unlock()
		return
	case left < 1, !k.by.IsZero() && time.Now().After(k.by):
		k.end(admission.NotStarted)
		c.mu.Unlock()
		return
	}
	k.state = sent
	fields := fmt.Sprintf("c=%s,w=%d", k.class, left)
	if k.grant > 0 {
		fields += fmt.Sprintf(",reserve=%.0f", math.Ceil(k.grant))
	}
	if k.fence != "" {
		fields += ",fence=" + k.fence
	}
	if k.idempotency != "" {
		fields += ",i=" + k.idempotency
	}
	if c.Settings.Admission.EnginesTakePriorities {
		fields += fmt.Sprintf(",level=%d", k.priority)
	}
	c.mu.Unlock()
	fmt.Fprintf(out, "*4\r\n$3\r\nASK\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n", len(k.ref), k.ref, len(fields), fields,
		k.statement.Size())
	k.statement.WriteTo(out)
	out.WriteString("\r\n")
}

func command(out *bufio.Writer, words ...string) {
	fmt.Fprintf(out, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(out, "$%d\r\n%s\r\n", len(w), w)
	}
}

func (c *conn) reads(in *bufio.Reader) error {
	for {
		if _, err := in.Peek(1); err != nil {
			return err
		}
		c.peer.SetReadDeadline(time.Now().Add(limits.Duration(c.Limits.EngineRead))) // none stops half-way
		if err := c.answer(in); err != nil {
			return err
		}
		c.peer.SetReadDeadline(time.Time{})
	}
}

// answer takes one answer. An error means that the stream can't be followed any more.
func (c *conn) answer(in *bufio.Reader) error {
	parts, err := count(in, '*')
	if err != nil {
		return err
	}
	if parts != 3 && parts != 4 {
		return fmt.Errorf("an answer of %d parts", parts)
	}
	var words [3]string
	for i := range words {
		if words[i], err = bulk(in, c.Limits.Fields); err != nil {
			return err
		}
	}
	var body *bufferpool.Chain
	if parts == 4 {
		n, err := count(in, '$')
		if err != nil || n > c.Limits.Page {
			return errors.Join(err, fmt.Errorf("a page of %d bytes", n))
		}
		body = c.Pool.NewChain()
		if err = body.Fill(in, n); errors.Is(err, bufferpool.ErrSpent) { // this dispatch fails, no other
			c.Log.Warn().Msg("all buffers are in use, page not read")
			_, err = in.Discard(n - body.Size())
			words[1] = "failed"
		}
		if err == nil {
			err = lineEnd(in)
		}
		if err != nil {
			body.Free()
			return err
		}
	}
	return c.take(words[0], words[1], words[2], body)
}

// take hands an answer to what it belongs to. A good one that belongs to nothing here, such as a second copy, is
// passed over.
func (c *conn) take(id, word, fields string, body *bufferpool.Chain) error {
	if word != "well" && word != "ill" && c.Told != nil {
		if load, told := report(fields); told {
			c.Told(load)
		}
	}
	c.mu.Lock()
	c.heard = time.Now()
	c.Engine.heard.Store(c.heard.UnixNano())
	if word == "news" {
		k := c.calls[id]
		out := k != nil && (k.state == sent || k.state == paged)
		c.mu.Unlock()
		body.Free()
		topic := slices.Index([]string{"", "pct", "overflow", "queued"}, field(fields, "note"))
		if amount, told := amount(fields, "amount"); out && topic > 0 && told {
			k.news(topic, amount)
		}
		return nil
	}
	if word == "well" || word == "ill" {
		c.mu.Unlock()
		body.Free()
		load, told := report(fields)
		c.probed(id, load, told)
		return nil
	}
	defer c.mu.Unlock()
	k := c.calls[id]
	if k == nil || k.state == waiting {
		body.Free()
		return nil
	}
	if word == "data" && k.state == sent {
		n, _ := strconv.Atoi(field(fields, "chunks"))
		if n < 1 || n > c.Limits.Pages {
			body.Free()
			return fmt.Errorf("a result of %d pages", n)
		}
		k.Work = number(fields, "spent") / 1000
		k.Memory = number(fields, "wanted")
		k.pages, k.missing = make([]*bufferpool.Chain, n), n
		k.state = paged
		if k.keep(0, body, c.Limits.Result); n > 1 && k.state == paged {
			k.status = admission.Succeeded
			k.step <- struct{}{}
		}
		return nil
	}
	if word == "page" && k.state == paged {
		if n, err := strconv.Atoi(field(fields, "at")); err == nil && n > 0 && n < len(k.pages) && k.pages[n] == nil {
			k.keep(n, body, c.Limits.Result)
			return nil
		}
	}
	body.Free()
	status, ends := map[string]admission.Status{"failed": admission.Failed, "full": admission.Overloaded, "moot": admission.NotStarted}[word]
	switch {
	case ends && k.state == paged: // it has run, whatever this says
		status = admission.Failed
		fallthrough
	case ends:
		c.left[k.ref] = struct{}{}
		k.end(status)
	case word != "data" && word != "page":
		return fmt.Errorf("answer %q out of place", word)
	}
	return nil
}

// keep takes in a page; the last one missing ends the dispatch. Rows are whole on every page.
func (k *Call) keep(n int, body *bufferpool.Chain, most int) {
	if body == nil {
		body = k.conn.Pool.NewChain()
	}
	k.pages[n] = body
	k.missing--
	k.size += body.Size()
	switch {
	case k.size > most || !wholeRows(body):
		k.conn.left[k.ref] = struct{}{}
		k.end(admission.Failed)
		k.conn.put(line{words: []string{"FREE", k.ref}})
	case k.missing == 0:
		k.end(admission.Succeeded)
	}
}

// wholeRows tells whether a page is rows of three columns.
func wholeRows(page *bufferpool.Chain) bool {
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

func count(in *bufio.Reader, sign byte) (int, error) {
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

func bulk(in *bufio.Reader, most int) (string, error) {
	n, err := count(in, '$')
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
	return string(b), lineEnd(in)
}

func lineEnd(in *bufio.Reader) error {
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

// number is a value, 0 where it is none.
func number(fields, name string) float64 {
	v, _ := amount(fields, name)
	return v
}

func amount(fields, name string) (v float64, told bool) {
	v, err := strconv.ParseFloat(field(fields, name), 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return 0, false
	}
	return v, true
}

// report decodes a load report, as in load=a:7;b:0.61; false where there is none.
func report(fields string) (deployment.Load, bool) {
	load, text := deployment.Untold, field(fields, "load")
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < 1e9 {
			load.Set(name, v)
		}
	}
	return load, text != ""
}
