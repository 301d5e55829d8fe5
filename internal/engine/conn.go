package engine

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/brain"
	"copperrock.example/copperrock/internal/buffer"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/settings"
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
	idle   *time.Timer
}

// line is what waits to be written: a dispatch, or a short command.
type line struct {
	call  *Call
	words []string
}

type probe struct {
	told  func(settings.Load, bool)
	timer *time.Timer
}

func newConn(e *Engine) *conn {
	c := &conn{Engine: e, write: make(chan line, e.Limits.Queue), calls: map[string]*Call{},
		probes: map[string]*probe{}, left: map[string]struct{}{}}
	c.idle = time.AfterFunc(time.Hour, c.closeIfIdle)
	c.idle.Stop()
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

// bears tells whether a dispatch of the job may join. One that was given up here could answer late in its
// name; a connection silent since a give-up may be cut off, which a new one will show.
func (c *conn) bears(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, twice := c.calls[ref]
	_, before := c.left[ref]
	return !c.closed && len(c.calls) < c.Settings.Streams && !twice && !before && len(c.left) < c.Limits.Left &&
		!c.quit.After(c.heard) && len(c.write) < cap(c.write)/2
}

func (c *conn) ask(k *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.conn = c
	if c.closed {
		k.end(brain.NoConnection)
		return
	}
	c.calls[k.ref] = k
	c.idle.Stop()
	k.statement.Hold()
	c.put(line{call: k})
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
	if l.call != nil {
		l.call.statement.Free()
	}
}

// shut ends the connection; run sees to the rest.
func (c *conn) shut() {
	if c.closed = true; c.peer != nil {
		c.peer.Close()
	}
}

func (c *conn) probe(told func(settings.Load, bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tags++
	tag := "probe" + strconv.Itoa(c.tags)
	p := &probe{told: told}
	p.timer = time.AfterFunc(limits.Duration(c.Limits.Probe), func() { c.probed(tag, settings.Untold, false) })
	c.probes[tag] = p
	c.idle.Stop()
	c.put(line{words: []string{"INFO", tag}})
}

func (c *conn) probed(tag string, load settings.Load, ok bool) {
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
	c.idle.Reset(limits.Duration(c.Settings.Idle * 0.8))
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 && len(c.probes) == 0 {
		c.shut()
	}
}

func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if k.state == waiting {
			k.end(brain.NoConnection)
		}
	}
	if len(c.calls) == 0 {
		c.shut()
	}
}

// end ends a dispatch, with its connection's lock held.
func (k *Call) end(status brain.Status) {
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
	c.quit = time.Now()
	if was == paged {
		c.put(line{words: []string{"FREE", k.ref}})
	} else {
		c.put(line{words: []string{"QUIT", k.ref}})
	}
	return true, true
}

func (c *conn) holdBack(k *Call) {
	c.lock()
	defer c.unlock()
	if k.state == waiting {
		k.end(brain.Moot)
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

// run is the connection's life. What is open at its end may have run if any of it had gone.
func (c *conn) run(ctx context.Context) {
	dialer := net.Dialer{Timeout: limits.Duration(c.Settings.Connect)}
	peer, err := dialer.DialContext(ctx, "tcp", c.Address)
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
	quiet := c.closed || errors.Is(err, io.EOF) && len(c.calls) == 0
	c.closed = true
	open := len(c.calls)
	for _, k := range c.calls {
		if k.state == waiting {
			k.end(brain.NoConnection)
		} else {
			k.end(brain.Reset)
		}
	}
	c.idle.Stop()
	tags := []string{}
	for tag := range c.probes {
		tags = append(tags, tag)
	}
	c.mu.Unlock()
	for _, tag := range tags {
		c.probed(tag, settings.Untold, false)
	}
	for len(c.write) > 0 {
		if l := <-c.write; l.call != nil {
			l.call.statement.Free()
		}
	}
	if !quiet {
		c.Log.Info().Err(err).Str("engine", c.Address).Int("dispatches", open).Msg("engine connection lost")
	}
}

func (c *conn) writes(ctx context.Context) error {
	out := bufio.NewWriterSize(c.peer, c.Limits.Buffer)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case l := <-c.write:
			// What waits longer than a drain's grace must not go any more.
			patience := min(c.Limits.EngineWrite, cmp.Or(c.Settings.Drain, c.Limits.EngineWrite))
			c.peer.SetWriteDeadline(time.Now().Add(limits.Duration(patience)))
			for more := true; more; {
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
	}
}

// put1 writes one line. A dispatch goes only if it is still wanted and the engine takes new ones.
func (c *conn) put1(out *bufio.Writer, l line) {
	k := l.call
	if k == nil {
		command(out, l.words...)
		return
	}
	defer k.statement.Free()
	c.mu.Lock()
	left := time.Until(k.until).Milliseconds()
	switch {
	case k.state != waiting:
		c.mu.Unlock()
		return
	case left < 1:
		k.end(brain.Moot)
		c.mu.Unlock()
		return
	}
	k.state = sent
	fields := fmt.Sprintf("c=%s,w=%d", k.class, left)
	if k.grant > 0 {
		fields += fmt.Sprintf(",reserve=%.0f", math.Ceil(k.grant))
	}
	if c.Settings.Brain.Priorities {
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
		if err := c.answer(in); err != nil {
			return err
		}
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
	var body *buffer.Chain
	if parts == 4 {
		n, err := count(in, '$')
		if err != nil || n > c.Limits.Page {
			return errors.Join(err, fmt.Errorf("a page of %d bytes", n))
		}
		body = c.Pool.NewChain()
		if err = body.Fill(in, n); errors.Is(err, buffer.ErrSpent) { // this dispatch fails, no other
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

// take hands an answer to what it belongs to.
func (c *conn) take(id, word, fields string, body *buffer.Chain) error {
	if word == "well" || word == "ill" {
		body.Free()
		load, told := report(fields)
		c.mu.Lock()
		c.heard = time.Now()
		c.mu.Unlock()
		c.probed(id, load, told)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = time.Now()
	k := c.calls[id]
	if k == nil { // given up before
		body.Free()
		return nil
	}
	if k.state == waiting {
		body.Free()
		return fmt.Errorf("answer %q to a dispatch that has not gone", word)
	}
	switch {
	case word == "data" && k.state == sent:
		n, _ := strconv.Atoi(field(fields, "chunks"))
		if n < 1 || n > c.Limits.Pages {
			body.Free()
			return fmt.Errorf("a result of %d pages", n)
		}
		k.Work = number(fields, "spent") / 1000
		k.Memory = number(fields, "wanted")
		k.pages, k.missing = make([]*buffer.Chain, n), n
		k.state = paged
		if k.keep(0, body, c.Limits.Result); n > 1 && k.state == paged {
			k.status = brain.Done
			k.step <- struct{}{}
		}
		return nil
	case word == "page" && k.state == paged:
		n, err := strconv.Atoi(field(fields, "at"))
		if err != nil || n < 1 || n >= len(k.pages) || k.pages[n] != nil {
			body.Free()
			return fmt.Errorf("a page at %q that was not asked for", field(fields, "at"))
		}
		k.keep(n, body, c.Limits.Result)
		return nil
	}
	body.Free()
	switch word {
	case "failed":
		k.end(brain.Failed)
	case "full":
		k.end(brain.Full)
	case "moot":
		k.end(brain.Moot)
	default:
		return fmt.Errorf("answer %q out of place", word)
	}
	return nil
}

// keep takes in a page; the last one missing ends the dispatch. Rows are whole on every page.
func (k *Call) keep(n int, body *buffer.Chain, most int) {
	if body == nil {
		body = k.conn.Pool.NewChain()
	}
	k.pages[n] = body
	k.missing--
	k.size += body.Size()
	switch {
	case k.size > most || body.Size() > 0 && body.Last() != '\n':
		k.conn.left[k.ref] = struct{}{}
		k.end(brain.Failed)
		k.conn.put(line{words: []string{"FREE", k.ref}})
	case k.missing == 0:
		k.end(brain.Done)
	}
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

func number(fields, name string) float64 {
	v, err := strconv.ParseFloat(field(fields, name), 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// report decodes a load report, as in load=a:7;b:0.61; false where there is none.
func report(fields string) (settings.Load, bool) {
	load, text := settings.Untold, field(fields, "load")
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < 1e9 {
			load.Set(name, v)
		}
	}
	return load, text != ""
}
