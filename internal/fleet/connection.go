package fleet

import (
	"context"
	"net"
	"sync"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// leaderConn is a controller's connection to a voter. It belongs to a leaderClient, which closes it. Two goroutines write
// and read; both end when the connection fails or is closed.
type leaderConn struct {
	outgoing   chan frame
	closed     chan struct{} // closed once the writing goroutine has ended
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// leaderConnQueue is how many frames may wait for a connection.
const leaderConnQueue = 64

// openLeaderConn returns at once; the connection is made in the background. It outlives ctx, since the last request is
// sent after its end.
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

// send queues a frame. A connection that takes none is closed; the next request goes to another voter.
func (c *leaderConn) send(f frame) {
	if !offer(c.outgoing, f) {
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

// readFrames handles what a voter sends until the connection fails or a frame can't be used.
func (m *Member) readFrames(conn net.Conn, responses chan<- consensus.LeaseResponse) {
	for {
		kind, body, err := readFrame(conn)
		if err != nil || m.handleFrame(kind, body, responses) != nil {
			return
		}
	}
}

// handleFrame handles one frame of a voter. Its error wraps errFrame.
func (m *Member) handleFrame(kind frameKind, body []byte, responses chan<- consensus.LeaseResponse) error {
	switch kind {
	case frameLeaseResponse:
		var response consensus.LeaseResponse
		if err := decodeMessage(body, &response); err != nil {
			return err
		}
		offer(responses, response)
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
		return errFrame
	}
	return nil
}
