package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/fleet/consensus"
	store "copperrock.example/copperrock/internal/storage/raftlog"
)

// startVoter listens and starts the voter. One that can't vote says so and holds parts all the same.
func (f *Member) startVoter(ctx context.Context, group *errgroup.Group) error {
	at := cmp.Or(f.options.Listen, f.options.ownVoter().Address)
	l, err := net.Listen("tcp", at)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	v, err := newVoter(f.options, f.clock, f.log)
	if err != nil {
		l.Close()
		what := "this voter does not vote"
		if errors.Is(err, consensus.ErrNoRaftState) {
			what = "this voter has no votes and does not vote: copperrock fleet init makes those of a new fleet"
		}
		f.log.Error().Err(err).Msg(what)
		return nil
	}
	f.voter = v
	group.Go(func() error {
		defer l.Close()
		err := v.run(ctx)
		if ctx.Err() == nil {
			f.log.Error().Err(err).Msg("this voter votes no more")
			return nil
		}
		return err
	})
	group.Go(func() error {
		stop := context.AfterFunc(ctx, func() { l.Close() })
		defer stop()
		slots := make(chan struct{}, 4*f.options.MaxControllers+64) // connections; more are closed at once
		var peers sync.WaitGroup
		defer peers.Wait()
		for {
			peer, err := l.Accept()
			if err != nil {
				return ctx.Err()
			}
			select {
			case slots <- struct{}{}:
			default:
				peer.Close()
				continue
			}
			peers.Go(func() {
				defer func() { <-slots }()
				defer peer.Close()
				f.serve(ctx, peer)
			})
		}
	})
	return nil
}

// serve is a connection from another controller.
func (f *Member) serve(ctx context.Context, peer net.Conn) {
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	defer stop()
	within := seconds(f.options.Lease / 2)
	peer.SetReadDeadline(time.Now().Add(within))
	kind, body, err := readFrame(peer)
	var other hello
	if err != nil || kind != frameHello || decodeMessage(body, &other) != nil {
		return
	}
	own := f.voter.hello()
	refuse := func(why string) {
		own.Rejection = why
		writeFrame(peer, within, frameHello, encodeMessage(own))
	}
	if err := own.checkPeer(other); err != nil {
		f.log.Warn().Err(err).Msg("a controller is not talked to")
		refuse(err.Error())
		return
	}
	if other.Voter != 0 && other.Boot != 0 { // one that votes, and says which start of it this is
		m := handshake{other.Voter, store.Start{Boot: other.Boot, Incarnation: other.Incarnation}, make(chan string, 1)}
		select {
		case f.voter.handshakes <- m:
		case <-ctx.Done():
			return
		}
		select {
		case why := <-m.rejection:
			if why != "" {
				refuse(why)
				return
			}
		case <-ctx.Done():
			return
		}
	}
	if writeFrame(peer, within, frameHello, encodeMessage(own)) != nil {
		return
	}
	out := make(chan []byte, 16)
	var writer sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer writer.Wait()
	defer cancel()
	writer.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-out:
				if writeFrame(peer, within, b[0], b[1:]) != nil {
					peer.Close()
					return
				}
			}
		}
	})
	put := func(kind byte, body []byte) {
		select {
		case out <- append([]byte{kind}, body...):
		default: // it does not read; it will ask again
		}
	}
	if other.Voter == 0 || other.Boot == 0 {
		defer f.loadFeed.subscribe(other.Name, func(body []byte) { put(frameLoadFeed, body) })()
	}
	for {
		peer.SetReadDeadline(time.Now().Add(seconds(10 * f.options.Lease))) // all that talk say something in that time
		kind, body, err := readFrame(peer)
		if err != nil {
			if errors.Is(err, errFrame) {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("a controller's message can't be read")
			}
			return
		}
		switch kind {
		case frameRaft:
			m, err := decodeRaftMessage(body)
			if err != nil || m.GetFrom() != other.Voter || other.Boot == 0 {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("a voter's message can't be read")
				return
			}
			select {
			case f.voter.messages <- m:
			case <-ctx.Done():
				return
			default: // as if lost on the way
			}
		case frameLeaseRequest:
			a, err := decodeLeaseRequest(body)
			if err != nil || a.Controller.Name != other.Name {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("an ask can't be read")
				return
			}
			f.requestLocally(a, func(answer consensus.LeaseResponse) { put(frameLeaseResponse, encodeMessage(answer)) })
		case frameProposal:
			var a consensus.Proposal
			if err := decodeMessage(body, &a); err != nil || a.Controller.Name != "" && a.Controller.Name != other.Name {
				f.log.Warn().Err(err).Str("from", other.Name).Msg("an act can't be read")
				return
			}
			f.proposeLocally(a, func(answer consensus.ProposalResult) { put(frameProposalResult, encodeMessage(answer)) })
		case frameLoadReports:
			f.relayLoadReports(other.Name, body)
		case frameStatusRequest:
			if view, ok := f.localStatus(ctx); ok {
				put(frameStatus, encodeMessage(view))
			}
		default:
			return
		}
	}
}

func (f *Member) localStatus(ctx context.Context) (Status, bool) {
	to := make(chan Status, 1)
	select {
	case f.voter.statusRequests <- to:
	default:
		return Status{}, false
	}
	select {
	case v := <-to:
		return v, true
	case <-ctx.Done():
	case <-time.After(seconds(f.options.Lease)):
	}
	return Status{}, false
}
