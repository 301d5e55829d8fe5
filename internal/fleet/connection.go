package fleet

import (
	"context"
	"net"
	"sync"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// leaderConn is a controller's connection to a voter. It is owned by a leaderClient, which closes it. One goroutine writes
// and one reads; both end when the connection fails or is closed.
type leaderConn struct {
	outgoing   chan frame
	closed     chan struct{} // closed once the writing goroutine has ended
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// leaderConnQueue is the number of frames that may wait for a connection.
const leaderConnQueue = 64

// openLeaderConn returns at once and connects in the background. The connection outlives ctx, because the last request, which
// returns the leases, is sent after ctx has ended.
func openLeaderConn(ctx context.Context, m *Member, address string, responses chan<- consensus.LeaseResponse) *leaderConn {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c := &leaderConn{outgoing: make(chan frame, leaderConnQueue), closed: make(chan struct{}), cancel: cancel}
	c.goroutines.Go(func() {
		defer close(c.closed)
		defer cancel()
		conn, err := dial(ctx, m.options, address, m.options.hello())
		if err != nil {
			m.log.Debug().Err(err).Str("voter", address).Msg("a voter is unreachable")
			return
		}
		defer conn.Close()
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		defer stop()
		c.goroutines.Go(func() {
			defer cancel()
			m.readFrames(conn, responses)
		})
		writeFrames(ctx, conn, c.outgoing, m.options)
	})
	return c
}

// writeFrames writes frames until ctx ends or the connection fails.
func writeFrames(ctx context.Context, conn net.Conn, outgoing <-chan frame, options *Options) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-outgoing:
			if writeFrame(conn, options.writeTimeout(), f.kind, f.body) != nil {
				return
			}
		}
	}
}

// send queues a frame. If the queue is full the connection is closed; the next lease request then goes to another voter.
func (c *leaderConn) send(f frame) {
	if !trySend(c.outgoing, f) {
		c.cancel()
	}
}

func (c *leaderConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// close closes the connection and waits for its goroutines.
func (c *leaderConn) close() {
	c.cancel()
	c.goroutines.Wait()
}

// readFrames handles the frames that a voter sends, until the connection fails or a frame is invalid.
func (m *Member) readFrames(conn net.Conn, responses chan<- consensus.LeaseResponse) {
	for {
		kind, body, err := readFrame(conn)
		if err != nil || m.handleFrame(kind, body, responses) != nil {
			return
		}
	}
}

// handleFrame handles one frame from a voter. Its error wraps errInvalidFrame.
func (m *Member) handleFrame(kind frameKind, body []byte, responses chan<- consensus.LeaseResponse) error {
	switch kind {
	case frameLeaseResponse:
		var response consensus.LeaseResponse
		if err := decodeMessage(body, &response); err != nil {
			return err
		}
		trySend(responses, response)
	case frameProposalResult:
		var result consensus.ProposalResult
		if err := decodeMessage(body, &result); err != nil {
			return err
		}
		m.completeProposal(result)
	case frameLoadFeed:
		reports, err := decodeLoadReports(body)
		if err != nil {
			return err
		}
		if m.worker != nil {
			m.worker.LoadReported(reports)
		}
	default:
		return errInvalidFrame
	}
	return nil
}
