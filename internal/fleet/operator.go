package fleet

import (
	"context"
	"errors"
	"time"

	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
)

// ProposeAsOperator has a voter carry out an operator's command; it is tried at each voter until one leads.
func ProposeAsOperator(ctx context.Context, f *Options, c state.Command) error {
	number := uint64(time.Now().UnixNano())
	var last error
	for ctx.Err() == nil {
		for _, v := range f.Voters {
			a, err := proposeTo(ctx, f, v.Address, consensus.Proposal{Number: number, Command: c})
			switch {
			case err != nil:
				last = err
			case a.Status == consensus.StatusGranted && a.Rejection != "":
				return errors.New(a.Rejection)
			case a.Status == consensus.StatusGranted:
				return nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(seconds(4 * f.HeartbeatInterval)):
		}
	}
	return errors.Join(errors.New("no voter leads that could be reached"), last)
}

// proposeTo asks one voter.
func proposeTo(ctx context.Context, f *Options, address string, act consensus.Proposal) (a consensus.ProposalResult, err error) {
	own := f.hello()
	own.Name += " (operator)"
	peer, err := dial(ctx, f, address, own)
	if err != nil {
		return a, err
	}
	defer peer.Close()
	stop := context.AfterFunc(ctx, func() { peer.Close() })
	defer stop()
	if err := writeFrame(peer, seconds(f.Lease), frameProposal, encodeMessage(act)); err != nil {
		return a, err
	}
	peer.SetReadDeadline(time.Now().Add(seconds(f.Lease)))
	for {
		kind, body, err := readFrame(peer)
		if err != nil {
			return a, err
		}
		if kind == frameProposalResult {
			return a, decodeMessage(body, &a)
		}
	}
}

// QueryStatus asks a voter for what it knows.
func QueryStatus(ctx context.Context, f *Options, address string) (v Status, err error) {
	peer, err := dial(ctx, f, address, f.hello())
	if err != nil {
		return v, err
	}
	defer peer.Close()
	if err := writeFrame(peer, seconds(f.Lease), frameStatusRequest, nil); err != nil {
		return v, err
	}
	peer.SetReadDeadline(time.Now().Add(seconds(f.Lease)))
	kind, body, err := readFrame(peer)
	if err != nil || kind != frameStatus {
		return v, errors.Join(errFrame, err)
	}
	return v, decodeMessage(body, &v)
}
