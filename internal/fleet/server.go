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
	"copperrock.example/copperrock/internal/storage/raftlog"
)

const (
	extraConnections = 64 // connections allowed beyond four for each controller; others are closed at once
	sessionQueue     = 16 // frames that may wait for a connection; more are dropped, because requests are repeated
)

// startVoter opens the listener and starts the voter. A controller that can't vote logs the reason, and still holds leases.
func (m *Member) startVoter(ctx context.Context, group *errgroup.Group) error {
	address := cmp.Or(m.options.Listen, m.options.ownVoter().Address)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	v, err := newVoter(m.options, m.clock, m.log)
	if err != nil {
		listener.Close()
		message := "this voter can't vote"
		if errors.Is(err, consensus.ErrNoRaftState) {
			message = "this voter has no raft log and can't vote: copperrock fleet init creates one for a new fleet"
		}
		m.log.Error().Err(err).Msg(message)
		return nil
	}
	m.voter = v
	group.Go(func() error {
		defer listener.Close()
		err := v.run(ctx)
		if ctx.Err() == nil {
			m.log.Error().Err(err).Msg("this voter has stopped")
			return nil
		}
		return err
	})
	group.Go(func() error { return m.accept(ctx, listener) })
	return nil
}

// accept serves connections of other controllers, each in a goroutine of its own, until ctx ends or the listener is closed.
// It returns once all of them have ended.
func (m *Member) accept(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	slots := make(chan struct{}, 4*m.options.MaxControllers+extraConnections)
	var sessions sync.WaitGroup
	defer sessions.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return ctx.Err()
		}
		if !trySend(slots, struct{}{}) {
			conn.Close()
			continue
		}
		sessions.Go(func() {
			defer func() { <-slots }()
			defer conn.Close()
			m.serve(ctx, conn)
		})
	}
}

// serve serves a connection from another controller until it ends.
func (m *Member) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	peer, ok := m.acceptHello(ctx, conn)
	if !ok {
		return
	}
	s := &session{member: m, conn: conn, peer: peer, outgoing: make(chan frame, sessionQueue)}
	s.run(ctx)
}

// acceptHello reads the hello of a new connection and answers it. ok is false if the connection must be closed.
func (m *Member) acceptHello(ctx context.Context, conn net.Conn) (peer hello, ok bool) {
	timeout := m.options.writeTimeout()
	conn.SetReadDeadline(time.Now().Add(timeout))
	peer, err := readHello(conn)
	if err != nil {
		return peer, false
	}
	own := m.voter.hello()
	if err := own.checkPeer(peer); err != nil {
		m.log.Warn().Err(err).Msg("peer rejected")
		own.Rejection = err.Error()
	} else if peer.isVoter() {
		own.Rejection, ok = m.requestAdmission(ctx, peer)
		if !ok {
			return peer, false
		}
	}
	err = writeFrame(conn, timeout, frameHello, encodeMessage(own))
	return peer, err == nil && own.Rejection == ""
}

// requestAdmission asks this process's voter whether another voter may connect. ok is false if ctx ended before the answer.
func (m *Member) requestAdmission(ctx context.Context, peer hello) (rejection string, ok bool) {
	request := handshake{
		voter:     peer.Voter,
		start:     raftlog.Start{Boot: peer.Boot, Incarnation: peer.Incarnation},
		rejection: make(chan string, 1),
	}
	select {
	case m.voter.handshakes <- request:
	case <-ctx.Done():
		return "", false
	}
	select {
	case rejection = <-request.rejection:
		return rejection, true
	case <-ctx.Done():
		return "", false
	}
}

// session is a connection to this voter from another controller or an operator's command. One goroutine reads and one
// writes; both end when the connection fails, a frame is invalid, or the member stops.
type session struct {
	member   *Member
	conn     net.Conn
	peer     hello
	outgoing chan frame
}

func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var writer sync.WaitGroup
	defer writer.Wait()
	defer cancel()
	writer.Go(func() {
		writeFrames(ctx, s.conn, s.outgoing, s.member.options)
		if ctx.Err() == nil {
			s.conn.Close()
		}
	})
	if !s.peer.isVoter() {
		unsubscribe := s.member.loadFeed.subscribe(s.peer.Name, func(body []byte) { s.send(frameLoadFeed, body) })
		defer unsubscribe()
	}
	s.read(ctx)
}

// send queues a frame, or drops it if the peer reads too slowly.
func (s *session) send(kind frameKind, body []byte) {
	trySend(s.outgoing, frame{kind, body})
}

// read handles frames until the connection must be closed.
func (s *session) read(ctx context.Context) {
	for {
		s.conn.SetReadDeadline(time.Now().Add(seconds(idleTimeoutLeases * s.member.options.Lease)))
		kind, body, err := readFrame(s.conn)
		if err != nil {
			if errors.Is(err, errInvalidFrame) {
				s.warn(err, "a controller's message can't be decoded")
			}
			return
		}
		if !s.handle(ctx, kind, body) {
			return
		}
	}
}

func (s *session) warn(err error, message string) {
	s.member.log.Warn().Err(err).Str("from", s.peer.Name).Msg(message)
}

// handle handles one frame. ok is false if the connection must be closed.
func (s *session) handle(ctx context.Context, kind frameKind, body []byte) (ok bool) {
	switch kind {
	case frameRaft:
		return s.handleRaft(ctx, body)
	case frameLeaseRequest:
		return s.handleLeaseRequest(body)
	case frameProposal:
		return s.handleProposal(body)
	case frameLoadReports:
		s.member.relayLoadReports(s.peer.Name, body)
		return true
	case frameStatusRequest:
		if status, ok := s.member.localStatus(ctx); ok {
			s.send(frameStatus, encodeMessage(status))
		}
		return true
	default:
		return false
	}
}

// handleRaft passes a raft message to this voter. It is dropped if the voter's queue is full, as if the network had lost it.
func (s *session) handleRaft(ctx context.Context, body []byte) (ok bool) {
	message, err := decodeRaftMessage(body)
	if err != nil || message.GetFrom() != s.peer.Voter || s.peer.Boot == 0 {
		s.warn(err, "a voter's message can't be decoded")
		return false
	}
	trySend(s.member.voter.messages, message)
	return ctx.Err() == nil
}

func (s *session) handleLeaseRequest(body []byte) (ok bool) {
	request, err := decodeLeaseRequest(body)
	if err != nil || request.Controller.Name != s.peer.Name {
		s.warn(err, "a lease request can't be decoded")
		return false
	}
	s.member.voter.submitRequest(request, func(response consensus.LeaseResponse) {
		s.send(frameLeaseResponse, encodeMessage(response))
	})
	return true
}

// handleProposal passes a proposal to this voter. A proposal without a controller comes from an operator's command.
func (s *session) handleProposal(body []byte) (ok bool) {
	var proposal consensus.Proposal
	err := decodeMessage(body, &proposal)
	if err != nil || proposal.Controller.Name != "" && proposal.Controller.Name != s.peer.Name {
		s.warn(err, "a proposal can't be decoded")
		return false
	}
	s.member.voter.submitProposal(proposal, func(result consensus.ProposalResult) {
		s.send(frameProposalResult, encodeMessage(result))
	})
	return true
}

// localStatus returns the status of this process's voter. ok is false if the voter is too busy to answer in time.
func (m *Member) localStatus(ctx context.Context) (status Status, ok bool) {
	reply := make(chan Status, 1)
	if !trySend(m.voter.statusRequests, reply) {
		return Status{}, false
	}
	select {
	case status = <-reply:
		return status, true
	case <-ctx.Done():
	case <-time.After(m.options.replyTimeout()):
	}
	return Status{}, false
}
