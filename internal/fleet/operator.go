package fleet

import (
	"context"
	"errors"
	"time"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// ErrNoLeader is wrapped by ProposeAsOperator's error when none of the voters that could be reached is the leader.
var ErrNoLeader = errors.New("no reachable voter is the leader")

// operatorSuffix is added to the controller's name in the hello of an operator's command.
const operatorSuffix = " (operator)"

// ProposeAsOperator applies an operator's command to the replicated state. It tries the voters in turn until the leader
// answers or ctx ends.
func ProposeAsOperator(ctx context.Context, options *Options, command state.Command) error {
	proposal := consensus.Proposal{Number: uint64(time.Now().UnixNano()), Command: command}
	var lastErr error
	for ctx.Err() == nil {
		for _, voter := range options.Voters {
			result, err := proposeTo(ctx, options, voter.Address, proposal)
			switch {
			case err != nil:
				lastErr = err
			case result.Status == consensus.StatusGranted && result.Rejection != "":
				return errors.New(result.Rejection)
			case result.Status == consensus.StatusGranted:
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(seconds(4 * options.HeartbeatInterval)):
		}
	}
	return errors.Join(ErrNoLeader, lastErr)
}

// proposeTo sends a proposal to one voter and waits for its result.
func proposeTo(ctx context.Context, options *Options, address string, proposal consensus.Proposal) (result consensus.ProposalResult, err error) {
	own := options.hello()
	own.Name += operatorSuffix
	conn, err := dial(ctx, options, address, own)
	if err != nil {
		return result, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := writeFrame(conn, options.replyTimeout(), frameProposal, encodeMessage(proposal)); err != nil {
		return result, err
	}
	conn.SetReadDeadline(time.Now().Add(options.replyTimeout()))
	for {
		kind, body, err := readFrame(conn)
		if err != nil {
			return result, err
		}
		if kind == frameProposalResult { // a voter also sends load reports on this connection
			err := decodeMessage(body, &result)
			return result, err
		}
	}
}

// QueryStatus returns the status of the voter at an address.
func QueryStatus(ctx context.Context, options *Options, address string) (status Status, err error) {
	conn, err := dial(ctx, options, address, options.hello())
	if err != nil {
		return status, err
	}
	defer conn.Close()
	if err := writeFrame(conn, options.replyTimeout(), frameStatusRequest, nil); err != nil {
		return status, err
	}
	conn.SetReadDeadline(time.Now().Add(options.replyTimeout()))
	kind, body, err := readFrame(conn)
	if err != nil || kind != frameStatus {
		return status, errors.Join(errInvalidFrame, err)
	}
	err = decodeMessage(body, &status)
	return status, err
}
