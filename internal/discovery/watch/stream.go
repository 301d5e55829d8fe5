package watch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"copperrock.example/copperrock/internal/discovery/watch/reconnect"
	"copperrock.example/copperrock/internal/limits"
)

// initialLineSize is the initial size of the line buffer in bytes. The buffer grows up to Limits.MaxLine.
const initialLineSize = 4 << 10

// errClosed means that the server has closed the stream.
var errClosed = errors.New("channel closed")

// stream is one connection to the command channel. Its follower owns it and closes it by ending the context of run.
type stream struct {
	client  *Client
	address string
	id      reconnect.ID
	reports chan<- report
}

// run connects and applies the lines that arrive, until the connection ends or ctx does.
func (s *stream) run(ctx context.Context) {
	err := s.follow(ctx)
	s.report(ctx, reportEnded, err)
}

// follow has no timeouts for reading: the follower opens another connection beside a silent one, and closes it in the end.
func (s *stream) follow(ctx context.Context) error {
	dial := s.client.dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetWriteDeadline(time.Now().Add(limits.Duration(s.client.Limits.ChannelIdleTimeout)))
	if _, err = fmt.Fprintf(conn, "resume %d\n", s.client.LastEvent()); err != nil {
		return err
	}
	s.report(ctx, reportEstablished, nil)
	lines := bufio.NewScanner(reportingReader{ctx, conn, s})
	lines.Buffer(make([]byte, 0, initialLineSize), s.client.Limits.MaxLine)
	lines.Split(scanCompleteLines)
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := s.client.applyLine(line); err != nil {
			return err
		}
		s.report(ctx, reportLine, nil)
	}
	return errors.Join(lines.Err(), errClosed)
}

// report reports to the follower, unless ctx has ended: then the follower has closed the connection.
func (s *stream) report(ctx context.Context, kind reportKind, err error) {
	select {
	case <-ctx.Done():
	case s.reports <- report{s.id, kind, err}:
	}
}

// reportingReader reports whenever data arrives.
type reportingReader struct {
	ctx    context.Context
	conn   net.Conn
	stream *stream
}

// Read reads from the connection.
func (r reportingReader) Read(buffer []byte) (int, error) {
	n, err := r.conn.Read(buffer)
	if n > 0 {
		r.stream.report(r.ctx, reportData, nil)
	}
	return n, err
}
