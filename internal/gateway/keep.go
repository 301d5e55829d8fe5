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

// keeping is the gateway's side of the store; nil where there is none.
type keeping struct {
	store    *requestlog.Store // nil until it is open, or where it can't be used
	needed   bool              // no job is taken without it
	opening  bool
	fade     float64
	remember func(now float64) // gives the module what was learned, once engines are listed; nil once done
}

// ExpectStore says that there will be a store. Until it is open jobs that name a key are throttled; needed has the gateway
// take none at all, and not be ready.
func (g *Gateway) ExpectStore(needed bool, fade float64) {
	g.keeps = &keeping{needed: needed, opening: true, fade: fade}
}

// StoreOpened hands over the store, replayed; nil says that it can't be used.
func (g *Gateway) StoreOpened(s *requestlog.Store) {
	g.enter(func(now float64) {
		k := g.keeps
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
			g.brain.Restarted(now, further)
		}
		if text, age := s.LearnedState(); len(text) > 0 {
			k.remember = func(now float64) { g.recall(now, text, age) }
			g.recalled(now)
		}
	})
}

// recalled gives the module what was learned as soon as it knows of engines. Its lock is held.
func (g *Gateway) recalled(now float64) {
	if k := g.keeps; k != nil && k.remember != nil && len(g.engines) > 0 {
		remember := k.remember
		k.remember = nil
		remember(now)
	}
}

// learnt is what was learned, with what it belongs to.
type learnt struct {
	Classes []string               `msgpack:"Classes"`
	What    admission.LearnedState `msgpack:"What"`
}

// LearnedState gives what the module has learned, for the store.
func (g *Gateway) LearnedState() []byte {
	g.mu.Lock()
	l := learnt{g.settings.Classes, g.brain.ExportLearned(g.now())}
	g.mu.Unlock()
	text, err := msgpack.Marshal(l)
	if err != nil {
		g.log.Error().Err(err).Msg("what was learned can't be written")
		return nil
	}
	return text
}

// recall gives the module what a life before had learned.
func (g *Gateway) recall(now float64, text []byte, age float64) {
	var l learnt
	taken := msgpack.Unmarshal(text, &l) == nil && slices.Equal(l.Classes, g.settings.Classes) && g.brain.RestoreLearned(now, age, g.keeps.fade, l.What)
	g.log.Info().Bool("taken", taken).Float64("age", age).Msg("what was learned before")
}

// kept is a job that the store knows of; its answer passes here on the way to the client.
type kept struct {
	msgpackrpc.Responder
	g      *Gateway
	ticket *requestlog.Request
	most   int // bytes of rows that are kept

	before  []admission.PastAttempt
	numbers []int // of dispatches, as the store has them

	mu   sync.Mutex
	told bool
}

// lookUp looks a job up. over tells that it has been answered, or has to be throttled; k is nil where nothing is kept of it.
func (g *Gateway) lookUp(left context.Context, to msgpackrpc.Responder, number int, allow float64) (k *kept, over bool) {
	if g.keeps == nil {
		return nil, false
	}
	key, first := "", false
	if r, is := to.(IdempotentResponder); is {
		key, first = r.IdempotencyKey()
	}
	comeBack := g.settings.Admission.MaxRetryAfter
	g.mu.Lock()
	s, opening, needed := g.keeps.store, g.keeps.opening, g.keeps.needed
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
		g.again(to, t.Answer)
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
			g.again(to, f)
		case <-late.C:
			to.Rejected(comeBack)
		case <-left.Done():
		}
	default:
		if t.Request == nil {
			return nil, false
		}
		k = &kept{Responder: to, g: g, ticket: t.Request, most: s.MaxRowBytes()}
		for _, d := range t.Prior {
			if !d.Ended || d.MayHaveRun {
				k.before = append(k.before, admission.PastAttempt{StartedAt: g.now() - d.StartedAt, Zone: d.Zone, Cell: d.Cell})
			}
		}
		return k, false
	}
	return nil, true
}

// again gives an answer that another try had.
func (g *Gateway) again(to msgpackrpc.Responder, f requestlog.Answer) {
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
func (k *kept) FencingToken() (fence string, still bool) { return k.g.fence(k.Responder) }

// sends puts a dispatch on record before it goes.
func (k *kept) sends(name string, zone, cell int, until time.Time) error {
	number, err := k.ticket.StartAttempt(name, zone, cell, time.Until(until))
	k.numbers = append(k.numbers, number)
	return err
}

// ends tells of the end of the so manieth dispatch of this life.
func (k *kept) ends(at int, status admission.Status) {
	if at >= 0 && at < len(k.numbers) {
		k.ticket.EndAttempt(k.numbers[at], status != admission.Overloaded && status != admission.ConnectFailed && status != admission.NotStarted)
	}
}

// tells has the store, and those who joined, hear of the answer once.
func (k *kept) tells(f requestlog.Answer) {
	k.mu.Lock()
	told := k.told
	k.told = true
	k.mu.Unlock()
	if !told {
		k.ticket.Finish(f)
	}
}

// Succeeded keeps the rows where they are few.
func (k *kept) Succeeded(rows *bufferpool.Chain) {
	f := requestlog.Answer{Outcome: idempotency.Succeeded}
	if rows.Size() <= k.most {
		f.Rows, f.RowsComplete = slices.Clone(rows.Bytes()), true
	}
	k.tells(f)
	k.Responder.Succeeded(rows)
}

// Rejected binds nobody.
func (k *kept) Rejected(comeBack float64) {
	k.tells(requestlog.Answer{RetryAfter: comeBack})
	k.Responder.Rejected(comeBack)
}

// Failed is for good, where the type has it so.
func (k *kept) Failed(why string) {
	k.tells(requestlog.Answer{Outcome: idempotency.Failed, Reason: why})
	k.Responder.Failed(why)
}

// close ends a job that was not answered: its client has left.
func (k *kept) close() { k.tells(requestlog.Answer{RetryAfter: k.g.settings.Admission.MaxRetryAfter}) }

// place is an engine as a record names it.
type place struct {
	name       string
	zone, cell int
	process    *resp.Engine
}
