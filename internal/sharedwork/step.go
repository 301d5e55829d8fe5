package sharedwork

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/gateway"
)

const (
	// minProposalTimeout is the shortest timeout of a proposal, however little of the lease remains.
	minProposalTimeout = 50 * time.Millisecond

	// reportTimeout is the time after which a report of an occurrence's outcome to the fleet is given up. The owner of the
	// shard then records that the occurrence may have run, or runs it again if the job is idempotent.
	reportTimeout = 30 * time.Second

	// shutdownReportTimeout is the timeout of such a report once the process ends. A report takes a few round trips.
	shutdownReportTimeout = 200 * time.Millisecond
)

// step is an action for one occurrence of a scheduled job.
type step struct {
	*scheduler
	job    *Job
	shard  assignment.ShardID
	action assignment.Action
	rerun  bool // an earlier attempt of the occurrence may have been sent

	fence uint64         // set by carryOut
	log   zerolog.Logger // logs the job, the due time and the fencing token; set by carryOut
}

// carryOut does the step, if this controller still owns the shard.
func (s *step) carryOut(ctx context.Context) {
	fence, owned := s.fleet.BeginWork(s.shard)
	if !owned {
		return
	}
	defer s.fleet.EndWork(s.shard, fence)
	s.fence = fence
	s.log = s.scheduler.log.With().Str("job", s.job.Name).Time("due", time.Unix(s.action.Due, 0)).Uint64("fence", fence).Logger()
	switch s.action.Kind {
	case assignment.ActionSkip:
		if s.propose(ctx, s.command(state.OpSkipRun)) == nil {
			s.log.Warn().Str("why", s.action.Reason).Msg("scheduled run skipped")
		}
	case assignment.ActionMarkUncertain:
		if s.propose(ctx, s.command(state.OpMarkRunUncertain)) == nil {
			s.log.Error().Msg("scheduled run uncertain: settle it with copperrock duties settle")
		}
	case assignment.ActionGiveUp:
		s.giveUp(ctx)
	default:
		s.runOccurrence(ctx)
	}
}

// command returns a command about the occurrence.
func (s *step) command(op state.Op) state.Command {
	return state.Command{
		Op:            op,
		Subject:       s.job.Name,
		Time:          s.action.Due,
		Task:          s.shard.Task,
		Shard:         s.shard.Index,
		Number:        s.fence,
		NonIdempotent: s.job.NonIdempotent,
		Rerun:         s.rerun,
		Text:          s.action.Reason,
	}
}

// propose proposes commands one after the other. It gives up when the lease expires, because a command that is committed
// later is of no use to this owner.
func (s *step) propose(ctx context.Context, commands ...state.Command) error {
	timeout := max(s.fleet.RemainingLease(), minProposalTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, c := range commands {
		if err := s.fleet.Propose(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// giveUp records an occurrence that did not run in any attempt as failed.
func (s *step) giveUp(ctx context.Context) {
	finish := s.command(state.OpFinishRun)
	finish.State = state.RunFailed
	if s.propose(ctx, s.command(state.OpClaimRun), finish) == nil {
		s.log.Error().Str("why", s.action.Reason).Msg("scheduled run given up")
	}
}

// runOccurrence claims the occurrence, records it as sent before its first byte is sent, runs it, and reports the outcome.
func (s *step) runOccurrence(ctx context.Context) {
	if err := s.propose(ctx, s.command(state.OpClaimRun)); err != nil {
		s.log.Debug().Err(err).Msg("scheduled run not claimed")
		return
	}
	if err := s.propose(ctx, s.command(state.OpStartRun)); err != nil {
		s.log.Debug().Err(err).Msg("scheduled run not started")
		return
	}
	outcome, reason := gateway.OutcomeNotRun, "the lease was over before it was sent"
	if s.fleet.Owns(s.shard, s.fence) {
		outcome, reason = s.gateway.Execute(ctx, s.request())
	}
	s.report(ctx, s.runState(outcome), reason)
}

// request returns the occurrence as a request to the gateway, which checks the fencing token when it sends an attempt.
func (s *step) request() gateway.InternalRequest {
	id := requestID(s.job.Name, s.action.Due)
	return gateway.InternalRequest{
		ID:        id,
		Class:     s.job.Class,
		Team:      s.job.Team,
		Statement: s.job.Statement,
		Timeout:   s.job.Timeout,
		Work:      s.job.Work,
		Memory:    s.job.Memory,
		FencingToken: func() (string, bool) {
			token := ""
			if s.options.SendFencingToken {
				token = fmt.Sprintf("%s:%d", id, s.fence)
			}
			return token, s.fleet.Owns(s.shard, s.fence)
		},
	}
}

// runState returns the state that is recorded for an outcome. An occurrence that may run again stays claimed.
func (s *step) runState(outcome gateway.Outcome) state.RunState {
	switch outcome {
	case gateway.OutcomeSucceeded:
		return state.RunDone
	case gateway.OutcomeNotRun:
		return state.RunClaimed
	case gateway.OutcomeFailed:
		return state.RunFailed
	}
	if s.job.NonIdempotent {
		return state.RunUncertain
	}
	return state.RunClaimed
}

// report reports the outcome of the occurrence to the fleet. Only the controller that sent it knows the outcome, even if
// another one owns the shard by now. The report is therefore not bound to the lease.
func (s *step) report(ctx context.Context, outcome state.RunState, reason string) {
	finish := s.command(state.OpFinishRun)
	finish.Text = reason
	finish.State = outcome
	s.log.Info().Str("as", outcome.String()).Str("why", reason).Msg("scheduled run ended")
	ctx, cancel := reportContext(ctx)
	defer cancel()
	if err := s.fleet.Propose(ctx, finish); err != nil && !errors.Is(err, fleet.ErrRejected) {
		s.log.Warn().Err(err).Msg("the outcome of a scheduled run was not reported to the fleet")
	}
}

// reportContext returns the context of a report. It ends shutdownReportTimeout after ctx, and after reportTimeout in any
// case.
func reportContext(ctx context.Context) (context.Context, context.CancelFunc) {
	reporting, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	stop := context.AfterFunc(ctx, func() {
		defer cancel()
		timer := time.NewTimer(shutdownReportTimeout)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-reporting.Done():
		}
	})
	return reporting, func() { stop(); cancel() }
}

// requestID returns the ID under which engines know an occurrence. It is the same at every owner of the shard.
func requestID(job string, dueAt int64) string {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s %d", job, dueAt)
	return fmt.Sprintf("%016x", hash.Sum64())
}
