package fleet

import (
	"context"
	"sync"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// leaderConn is a connection to a voter for asks.
type leaderConn struct {
	outgoing   chan []byte
	closed     chan struct{}
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// openLeaderConn starts a link; its connection comes up beside it.
func openLeaderConn(ctx context.Context, f *Member, address string, answers chan<- consensus.LeaseResponse) *leaderConn {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the last ask goes at the end
	l := &leaderConn{outgoing: make(chan []byte, 64), closed: make(chan struct{}), cancel: cancel}
	l.goroutines.Go(func() {
		defer close(l.closed)
		defer cancel()
		peer, err := dial(ctx, f.options, address, f.options.hello())
		if err != nil {
			f.log.Debug().Err(err).Str("voter", address).Msg("a voter is not reached")
			return
		}
		defer peer.Close()
		stop := context.AfterFunc(ctx, func() { peer.Close() })
		defer stop()
		l.goroutines.Go(func() {
			defer cancel()
			for {
				kind, body, err := readFrame(peer)
				if err != nil || !f.handleFrame(kind, body, answers) {
					return
				}
			}
		})
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-l.outgoing:
				if writeFrame(peer, seconds(f.options.Lease/2), b[0], b[1:]) != nil {
					return
				}
			}
		}
	})
	return l
}

func (l *leaderConn) send(kind byte, body []byte) {
	select {
	case l.outgoing <- append([]byte{kind}, body...):
	default: // nothing passes: another voter is asked next, this one anew
		l.cancel()
	}
}

func (l *leaderConn) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *leaderConn) close() {
	l.cancel()
	l.goroutines.Wait()
}

// connection finds or opens the link to a voter, nil for one that the settings don't name.
func (f *Member) connection(ctx context.Context, links map[uint64]*leaderConn, answers chan consensus.LeaseResponse, to uint64) *leaderConn {
	l := links[to]
	if l == nil || l.isClosed() {
		at := f.options.voterAddress(to)
		if at == "" {
			return nil
		}
		l = openLeaderConn(ctx, f, at, answers)
		links[to] = l
	}
	return l
}

// handleFrame takes what a voter says on a link; false ends the link.
func (f *Member) handleFrame(kind byte, body []byte, answers chan<- consensus.LeaseResponse) bool {
	switch kind {
	case frameLeaseResponse:
		var a consensus.LeaseResponse
		if decodeMessage(body, &a) != nil {
			return false
		}
		select {
		case answers <- a:
		default:
		}
	case frameProposalResult:
		var a consensus.ProposalResult
		if decodeMessage(body, &a) != nil {
			return false
		}
		f.completeProposal(a)
	case frameLoadFeed:
		readings, ok := decodeLoadReports(body)
		if !ok {
			return false
		}
		if f.worker != nil {
			f.worker.LoadReported(readings)
		}
	default:
		return false
	}
	return true
}
