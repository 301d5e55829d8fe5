package gateway

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/frontend/msgpackrpc"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/storage/idempotency"
	"copperrock.example/copperrock/internal/storage/requestlog"
)

// What outlives the gateway: jobs whose clients name a key that they repeat with each try are looked up in the store before
// the module hears of them, each dispatch is put on record before it goes, and the final answer after it was given.

// IdempotentResponder is a job's answer whose client names the key that all its tries have; first tells that it says this is the
// first one.
type IdempotentResponder interface {
	IdempotencyKey() (key string, first bool)
}

// persistence is the gateway's side of the store; nil where there is none.
type persistence struct {
	store    *requestlog.Store // nil until it is open, or where it can't be used
	needed   bool              // no job is taken without it
	opening  bool
	halfLife float64
	restore  func(now float64) // gives the module what was learned, once engines are listed; nil once done
}

// ExpectStore says that there will be a store. Until it is open jobs that name a key are throttled; needed has the gateway
// take none at all, and not be ready.
func (g *Gateway) ExpectStore(needed bool, fade float64) {
	g.persistence = &persistence{needed: needed, opening: true, halfLife: fade}
}

// StoreOpened hands over the store, replayed; nil says that it can't be used.
func (g *Gateway) StoreOpened(s *requestlog.Store) {
	g.enter(func(now float64) {
		k := g.persistence
		k.opening, k.store = false, s
		if s == nil {
			return
		}
		if found, machine := s.Replayed(); found.Records > 0 {
			n, known := s.RetriesWithin(g.settings.Admission.RetryBudgetWindow)
			further := float64(n)
			if !known || machine { // as if all that any window may hold had gone
				further = max(further, g.settings.Admission.RetryBudgetFree)
			}
			g.controller.Restarted(now, further)
		}
		if text, age := s.LearnedState(); len(text) > 0 {
			k.restore = func(now float64) { g.importLearnedState(now, text, age) }
			g.restoreLearnedState(now)
		}
	})
}

// restoreLearnedState gives the module what was learned as soon as it knows of engines. Its lock is held.
func (g *Gateway) restoreLearnedState(now float64) {
	if k := g.persistence; k != nil && k.restore != nil && len(g.endpoints) > 0 {
		remember := k.restore
		k.restore = nil
		remember(now)
	}
}

// learnedState is what was learned, with what it belongs to.
type learnedState struct {
	Classes []string               `msgpack:"Classes"`
	Learned admission.LearnedState `msgpack:"What"`
}

// LearnedState gives what the module has learned, for the store.
func (g *Gateway) LearnedState() []byte {
	g.mu.Lock()
	l := learnedState{g.settings.Classes, g.controller.ExportLearned(g.now())}
	g.mu.Unlock()
	text, err := msgpack.Marshal(l)
	if err != nil {
		g.log.Error().Err(err).Msg("what was learned can't be written")
		return nil
	}
	return text
}

// importLearnedState gives the module what a life before had learned.
func (g *Gateway) importLearnedState(now float64, text []byte, age float64) {
	var l learnedState
	taken := msgpack.Unmarshal(text, &l) == nil && slices.Equal(l.Classes, g.settings.Classes) && g.controller.RestoreLearned(now, age, g.persistence.halfLife, l.Learned)
	g.log.Info().Bool("taken", taken).Float64("age", age).Msg("what was learned before")
}

// recordedResponder is a job that the store knows of; its answer passes here on the way to the client.
type recordedResponder struct {
	msgpackrpc.Responder
	g       *Gateway
	ticket  *requestlog.Request
	maxRows int // bytes of rows that are kept

	pastAttempts   []admission.PastAttempt
	attemptNumbers []int // of dispatches, as the store has them

	mu       sync.Mutex
	answered bool
}

// lookUp looks a job up. over tells that it has been answered, or has to be throttled; k is nil where nothing is kept of it.
func (g *Gateway) lookUp(left context.Context, to msgpackrpc.Responder, number int, allow float64) (k *recordedResponder, over bool) {
	if g.persistence == nil {
		return nil, false
	}
	key, first := "", false
	if r, is := to.(IdempotentResponder); is {
		key, first = r.IdempotencyKey()
	}
	comeBack := g.settings.Admission.MaxRetryAfter
	g.mu.Lock()
	s, opening, needed := g.persistence.store, g.persistence.opening, g.persistence.needed
	g.mu.Unlock()
	switch {
	case opening && (key != "" || needed), s == nil && !opening && needed:
		to.Rejected(comeBack)
		return nil, true
	case s == nil || key == "":
		return nil, false
	}
	c := g.settings.Admission.Classes[number]
	switch t := s.Admit(key, idempotency.Idempotency(c.Idempotency), c.IdempotencyWindow, first); t.Decision {
	case idempotency.Answered:
		g.replay(to, t.Answer)
	case idempotency.MayHaveRun:
		to.Failed("may have run")
	case idempotency.NoCapacity:
		to.Rejected(comeBack)
	case idempotency.InProgress:
		if t.Joined == nil {
			to.Rejected(comeBack)
			break
		}
		margin := min(g.limits.Margin, allow*g.limits.MarginShare)
		late := time.NewTimer(limits.Duration(allow - margin))
		defer late.Stop()
		select {
		case f := <-t.Joined:
			g.replay(to, f)
		case <-late.C:
			to.Rejected(comeBack)
		case <-left.Done():
		}
	default:
		if t.Request == nil {
			return nil, false
		}
		k = &recordedResponder{Responder: to, g: g, ticket: t.Request, maxRows: s.MaxRowBytes()}
		for _, d := range t.Prior {
			if !d.Ended || d.MayHaveRun {
				k.pastAttempts = append(k.pastAttempts, admission.PastAttempt{StartedAt: g.now() - d.StartedAt, Zone: d.Zone, Cell: d.Cell})
			}
		}
		return k, false
	}
	return nil, true
}

// replay gives an answer that another try had.
func (g *Gateway) replay(to msgpackrpc.Responder, f requestlog.Answer) {
	switch {
	case f.Outcome == idempotency.Succeeded && f.RowsComplete:
		rows := g.pool.NewChain()
		if err := rows.Fill(bytes.NewReader(f.Rows), len(f.Rows)); err != nil {
			rows.Free()
			to.Rejected(g.settings.Admission.MaxRetryAfter)
			return
		}
		to.Succeeded(rows)
	case f.Outcome == idempotency.Succeeded:
		to.Failed("done before; its rows were not kept")
	case f.Outcome == idempotency.Unknown:
		to.Failed("may have run")
	case f.Outcome == idempotency.Failed:
		to.Failed("cancelled for good")
	default:
		to.Rejected(f.RetryAfter)
	}
}

// FencingToken passes an owner's word on.
func (k *recordedResponder) FencingToken() (fence string, still bool) { return k.g.fence(k.Responder) }

// attemptStarts puts a dispatch on record before it goes.
func (k *recordedResponder) attemptStarts(name string, zone, cell int, until time.Time) error {
	number, err := k.ticket.StartAttempt(name, zone, cell, time.Until(until))
	k.attemptNumbers = append(k.attemptNumbers, number)
	return err
}

// attemptEnded tells of the end of the so manieth dispatch of this life.
func (k *recordedResponder) attemptEnded(at int, status admission.Status) {
	if at >= 0 && at < len(k.attemptNumbers) {
		k.ticket.EndAttempt(k.attemptNumbers[at], status != admission.Overloaded && status != admission.ConnectFailed && status != admission.NotStarted)
	}
}

// recordAnswer has the store, and those who joined, hear of the answer once.
func (k *recordedResponder) recordAnswer(f requestlog.Answer) {
	k.mu.Lock()
	told := k.answered
	k.answered = true
	k.mu.Unlock()
	if !told {
		k.ticket.Finish(f)
	}
}

// Succeeded keeps the rows where they are few.
func (k *recordedResponder) Succeeded(rows *bufferpool.Chain) {
	f := requestlog.Answer{Outcome: idempotency.Succeeded}
	if rows.Size() <= k.maxRows {
		f.Rows, f.RowsComplete = slices.Clone(rows.Bytes()), true
	}
	k.recordAnswer(f)
	k.Responder.Succeeded(rows)
}

// Rejected binds nobody.
func (k *recordedResponder) Rejected(comeBack float64) {
	k.recordAnswer(requestlog.Answer{RetryAfter: comeBack})
	k.Responder.Rejected(comeBack)
}

// Failed is for good, where the type has it so.
func (k *recordedResponder) Failed(why string) {
	k.recordAnswer(requestlog.Answer{Outcome: idempotency.Failed, Reason: why})
	k.Responder.Failed(why)
}

// close ends a job that was not answered: its client has left.
func (k *recordedResponder) close() {
	k.recordAnswer(requestlog.Answer{RetryAfter: k.g.settings.Admission.MaxRetryAfter})
}

// place is an engine as a record names it.
type place struct {
	name       string
	zone, cell int
	process    *resp.Engine
}
