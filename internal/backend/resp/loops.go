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
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/limits"
)

// run dials, then reads and writes until one of these fails, and finally ends everything in flight.
func (c *conn) run(ctx context.Context) {
	peer, err := c.dial(ctx)
	if err == nil {
		err = c.serve(ctx, peer)
	}
	c.finish(err)
}

func (c *conn) dial(ctx context.Context) (net.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: limits.Duration(c.Settings.DialTimeout)}).DialContext
	}
	return dial(ctx, "tcp", c.Address)
}

// serve reads and writes until the connection ends, and returns the reason.
func (c *conn) serve(ctx context.Context, peer net.Conn) error {
	c.mu.Lock()
	c.peer = peer
	if c.closed {
		peer.Close()
	}
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	defer stop()
	var writer errgroup.Group
	writer.Go(func() error {
		defer peer.Close()
		return c.writeLoop(ctx)
	})
	err := c.readLoop(bufio.NewReaderSize(peer, c.Limits.BufferSize))
	cancel()
	if writeErr := writer.Wait(); !errors.Is(writeErr, context.Canceled) {
		return writeErr // it caused the reader's error
	}
	return err
}

// finish ends everything in flight. An attempt whose write has begun may have run. One that was not sent counts as a failure of
// the engine only if the connection could not be established, and was not reset while it was being established.
func (c *conn) finish(err error) {
	c.mu.Lock()
	inFlight := len(c.attempts)
	expected := c.closed || errors.Is(err, io.EOF) && inFlight == 0 || c.Context.Err() != nil
	c.closed = true
	c.IdlePool.remove(c)
	for _, a := range c.attempts {
		switch {
		case a.state != attemptQueued:
			a.end(admission.ConnectionReset)
		case c.peer == nil && !errors.Is(err, syscall.ECONNRESET):
			a.end(admission.ConnectFailed)
		default:
			a.end(admission.NotStarted)
		}
	}
	c.timer.Stop()
	var tags []string
	for tag := range c.loadPolls {
		tags = append(tags, tag)
	}
	c.mu.Unlock()
	for _, tag := range tags {
		c.endLoadPoll(tag, deployment.NoLoad, false)
	}
	for len(c.writeQueue) > 0 {
		(<-c.writeQueue).release()
	}
	if !expected {
		c.Log.Info().Err(err).Str("engine", c.Address).Int("dispatches", inFlight).Msg("engine connection lost")
	}
}

// writeLoop writes queued entries in batches, with one flush per batch, until ctx is done or a write fails.
func (c *conn) writeLoop(ctx context.Context) error {
	out := bufio.NewWriterSize(c.peer, c.Limits.BufferSize)
	var batch []outgoing
	release := func() {
		for _, o := range batch {
			o.release()
		}
		batch = batch[:0]
	}
	defer release()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-c.writeQueue:
			c.peer.SetWriteDeadline(time.Now().Add(c.writeTimeout()))
			for more := true; more; {
				batch = append(batch, o)
				c.writeOutgoing(out, o)
				select {
				case o = <-c.writeQueue:
				default:
					more = false
				}
			}
		}
		if err := out.Flush(); err != nil {
			return err
		}
		release()
	}
}

// writeTimeout returns the timeout for writing a batch. It is at most the drain grace: data delayed for longer must no longer be
// sent, because the engine may have begun to drain in the meantime.
func (c *conn) writeTimeout() time.Duration {
	timeout := c.Limits.EngineWriteTimeout
	return limits.Duration(min(timeout, cmp.Or(c.Settings.DrainGrace, timeout)))
}

// writeOutgoing writes one entry. Errors are returned by the next flush.
func (c *conn) writeOutgoing(out *bufio.Writer, o outgoing) {
	if o.attempt == nil {
		writeCommand(out, o.words...)
		return
	}
	if fields, send := c.beginSend(o.attempt); send {
		writeAttempt(out, o.attempt, fields)
	}
}

// beginSend marks an attempt as sent and returns its fields. send is false if the attempt has ended or it is too late to send it.
func (c *conn) beginSend(a *Attempt) (fields string, send bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.state != attemptQueued {
		return "", false
	}
	timeLeft := time.Until(a.Deadline).Milliseconds()
	tooLate := !a.SendBefore.IsZero() && time.Now().After(a.SendBefore)
	if timeLeft < 1 || tooLate || a.Withdrawn != nil && a.Withdrawn() {
		a.end(admission.NotStarted)
		return "", false
	}
	a.state = attemptSent
	return c.attemptFields(a, timeLeft), true
}

// attemptFields returns the fields of the command that starts an attempt.
func (c *conn) attemptFields(a *Attempt, timeLeftMillis int64) string {
	fields := fmt.Sprintf("%s=%s,%s=%d", fieldClass, a.Class, fieldTimeLeft, timeLeftMillis)
	if a.Grant > 0 {
		fields += fmt.Sprintf(",%s=%.0f", fieldGrant, math.Ceil(a.Grant))
	}
	if a.FencingToken != "" {
		fields += "," + fieldFencingToken + "=" + a.FencingToken
	}
	if a.IdempotencyKey != "" {
		fields += "," + fieldIdempotencyKey + "=" + a.IdempotencyKey
	}
	if c.Settings.Admission.EnginesTakePriorities {
		fields += fmt.Sprintf(",%s=%d", fieldPriority, a.Priority)
	}
	return fields
}

// readLoop reads and handles answers until the stream ends or an answer is invalid.
func (c *conn) readLoop(in *bufio.Reader) error {
	for {
		if _, err := in.Peek(1); err != nil {
			return err
		}
		c.peer.SetReadDeadline(time.Now().Add(limits.Duration(c.Limits.EngineReadTimeout))) // no answer may stop half-way
		if err := c.receive(in); err != nil {
			return err
		}
		c.peer.SetReadDeadline(time.Time{})
	}
}
