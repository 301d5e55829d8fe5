// Package idempotency is what a controller remembers of its jobs, over its own crashes: under the key that a client repeats with
// each try, what was sent where, what came of it and what was answered. It decides what a job may do that comes under a
// key: it is new, its answer is there, another try of it is open, it may have run, or it may go again with what is known
// of the tries before. Where and whether it then goes is the decision module's word.
//
// The package has no I/O and reads no clock: times are seconds, told with each call, that never go back while the machine
// runs. Over a start of the machine nobody knows how long it was: then no time is taken to have passed for what is kept,
// and too much for a keyed job's window. It is used from one goroutine, or under its caller's lock. Its state is a
// function of the records that it gave out; Replay takes them again, also twice, and also some that an expiry made void.
//
// Invariants, named by tests: P1, a run-once key of which a dispatch may have run never goes again. P2, one final answer
// is given for a key while it is kept, the same each time. P3, a keyed job's further tries know its first dispatch that
// may have run. P4, nothing that may have run is dropped before its time for want of room. P5, a replay of what was written
// is as strict as what wrote it.
package idempotency

import (
	"container/heap"
	"fmt"
	"math"

	"copperrock.example/copperrock/internal/storage/wal"
)

// Idempotency tells what a repeat of a job may do, as the module has it.
type Idempotency int

const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// Attempt is one that was sent, or was about to be.
type Attempt struct {
	StartedAt  float64 // when
	Engine     string
	Zone, Cell int
	Ended      bool // its end is known
	MayHaveRun bool // it ran, or may have
}

// Outcome is a final answer.
type Outcome int

const (
	Pending Outcome = iota
	Succeeded
	Failed // cancelled for good
	Unknown
)

// Record is what is kept under a key.
type Record struct {
	Key          string
	Idempotency  Idempotency
	CreatedAt    float64
	Attempts     []Attempt
	Outcome      Outcome
	Rows         []byte // rows, where they are kept
	RowsComplete bool   // Answer is all of them
	ExpiresAt    float64
	InFlight     bool // a job of this life is open under the key
	heapIndex    int  // in the heap by Until
}

// firstThatMayHaveRun gives the first dispatch that did or may have, nil for none.
func (e *Record) firstThatMayHaveRun() *Attempt {
	for i := range e.Attempts {
		if d := &e.Attempts[i]; !d.Ended || d.MayHaveRun {
			return d
		}
	}
	return nil
}

// Limits bound what is kept. Times are seconds.
type Limits struct {
	Retention  float64 // in which a key may come again: kept as long after its end, and after its latest dispatch
	MaxRecords int     // entries
	MaxBytes   int     // bytes
}

// Decision is what a job may do that comes under a key.
type Decision int

const (
	Proceed    Decision = iota // nothing is known that stands against it
	Retry                      // tries before it are known; the module is told of them
	Answered                   // it has its answer
	InProgress                 // another try is open
	MayHaveRun                 // and so it goes no more
	NoCapacity                 // nothing more can be kept, and the job needs that
)

// Index is all that is kept.
type Index struct {
	limits         Limits
	byKey          map[string]*Record
	byExpiry       expiryHeap
	size           int
	uncertainUntil float64 // up to when a key that is not known may be one that was lost; 0 where nothing was
	latest         float64 // the latest time told, over all lives
	rebootedAt     float64 // what was sent before lies behind a start of the machine: how long ago is not known
	pendingLog     []byte  // records since Written was called last
}

// New starts with nothing.
func New(rules Limits) *Index {
	return &Index{limits: rules, byKey: map[string]*Record{}}
}

// Len and Size are how many entries are kept, and about how many bytes they take.
func (p *Index) Len() int  { return len(p.byKey) }
func (p *Index) Size() int { return p.size }

// RecordsLost tells that records were lost: until a window has passed, what is not known may have been.
func (p *Index) RecordsLost(now float64) { p.uncertainUntil = max(now, p.latest) + p.limits.Retention }

// UncertainUntil tells up to when that holds, 0 where nothing was lost.
func (p *Index) UncertainUntil() float64 { return p.uncertainUntil }

// Resume tells that a life begins on what was replayed. What may have run stays for a window from now on, however long the
// controller was away: its client may have waited for it. machine tells that the machine was started since.
func (p *Index) Resume(now float64, machine bool) {
	p.advance(now)
	p.beginRun(now)
	p.pendingLog = wal.AppendRecord(p.pendingLog, kindResumed, append(appendFloat(nil, now), flagByte(machine)))
	p.makeRoom("") // rows that a life before had dropped are back
	if machine {
		p.rebootedAt = now
	}
}

// beginRun begins a life.
func (p *Index) beginRun(now float64) {
	for _, e := range p.byKey {
		e.InFlight = false
		e.ExpiresAt = max(e.ExpiresAt, now+p.limits.Retention)
	}
	heap.Init(&p.byExpiry)
}

// LatestTime is the latest time that was told, over all lives.
func (p *Index) LatestTime() float64 { return p.latest }

// advance takes the time.
func (p *Index) advance(now float64) { p.latest = max(p.latest, now) }

// needsRecord tells whether a type needs its dispatches on record before they go.
func (e Idempotency) needsRecord() bool { return e != Idempotent }

// NeedsRecord tells whether a job of that effect has to be on record before its first byte goes out.
func NeedsRecord(e Idempotency) bool { return e.needsRecord() }

// Admit decides on a job that comes. first tells that its client says it is the first try of its key; within is for how long
// after its first dispatch a keyed job may go again. What it gives is read before the next call.
func (p *Index) Admit(now float64, key string, effect Idempotency, within float64, first bool) (Decision, *Record) {
	p.advance(now)
	p.expire(now)
	e := p.byKey[key]
	if e == nil {
		if p.uncertainUntil > 0 && p.latest < p.uncertainUntil && effect.needsRecord() && !first {
			return MayHaveRun, nil
		}
		if !p.makeRoom(key) {
			if effect.needsRecord() {
				return NoCapacity, nil
			}
			return Proceed, nil // it is not kept, and needs not be
		}
		e = &Record{Key: key, Idempotency: effect, CreatedAt: now}
		p.insert(e, now)
		e.InFlight = true
		p.log(kindAdmitted, e, nil)
		return Proceed, e
	}
	switch {
	case e.InFlight:
		p.extend(e)
		p.log(kindRepeated, e, nil)
		return InProgress, e
	case e.Outcome == Succeeded && !e.RowsComplete && e.Idempotency == Idempotent && effect == Idempotent: // its rows are gone: it runs again
		p.size -= e.memorySize()
		e.Outcome, e.Attempts, e.Rows = Pending, nil, nil
		p.size += e.memorySize()
	case e.Outcome != Pending:
		p.extend(e)
		p.log(kindRepeated, e, nil)
		if e.Outcome == Unknown {
			return MayHaveRun, e
		}
		return Answered, e
	case e.Idempotency != effect: // the type was changed under the key: the stricter of the two counts
		e.Idempotency = max(e.Idempotency, effect)
	}
	d := e.firstThatMayHaveRun()
	switch {
	case d == nil: // none ran: as if it had never been
		p.size -= e.memorySize()
		e.Attempts = nil
		p.size += e.memorySize()
	case e.Idempotency == NonIdempotent:
		p.setOutcome(e, Unknown, nil, false)
		return MayHaveRun, e
	case e.Idempotency == IdempotentWithKey && (d.StartedAt < p.rebootedAt || now < d.StartedAt || now >= d.StartedAt+within): // it is too long ago, or not known how long
		p.setOutcome(e, Unknown, nil, false)
		return MayHaveRun, e
	}
	e.InFlight = true
	p.extend(e)
	p.log(kindAdmitted, e, nil)
	if d == nil {
		return Proceed, e
	}
	return Retry, e
}

// StartAttempt tells that a dispatch is about to go; the record of it is in Written, and has to be on the disk before its first
// byte goes out where the effect needs it. It gives the dispatch's number.
func (p *Index) StartAttempt(now float64, e *Record, engine string, zone, cell int) (number int) {
	p.advance(now)
	d := Attempt{StartedAt: now, Engine: engine, Zone: zone, Cell: cell}
	e.Attempts = append(e.Attempts, d)
	if p.byKey[e.Key] == e {
		p.size += 40 + len(engine)
	}
	p.extend(e)
	p.log(kindAttemptStarted, e, func(b []byte) []byte { return appendAttempt(b, len(e.Attempts)-1, d) })
	return len(e.Attempts) - 1
}

// EndAttempt tells that a dispatch is over, and whether it ran or may have.
func (p *Index) EndAttempt(now float64, e *Record, number int, ran bool) {
	p.advance(now)
	if number < 0 || number >= len(e.Attempts) || e.Attempts[number].Ended {
		return
	}
	e.Attempts[number].Ended, e.Attempts[number].MayHaveRun = true, ran
	p.log(kindAttemptEnded, e, func(b []byte) []byte { return appendAttemptEnd(b, number, ran) })
}

// Finish tells the final answer that the job of this life is given; Open is for one that has none that binds: it was
// throttled or its client left. Rows are kept where they are given whole. What binds those who come again under the key is
// that it was done and, where it may run once, that it may have run; else they are as good as new.
func (p *Index) Finish(now float64, e *Record, o Outcome, rows []byte, whole bool) {
	p.advance(now)
	if e.Outcome != Pending || p.byKey[e.Key] != e {
		return
	}
	e.InFlight = false
	d := e.firstThatMayHaveRun()
	switch {
	case o == Succeeded:
		p.setOutcome(e, Succeeded, rows, whole)
	case d == nil || e.Idempotency == Idempotent: // nothing binds
		p.remove(e)
		p.log(kindRemoved, e, nil)
	case e.Idempotency == IdempotentWithKey: // it may go again inside its group and window
		p.extend(e)
	case o == Failed && e.allEnded():
		p.setOutcome(e, Failed, nil, false)
	default:
		p.setOutcome(e, Unknown, nil, false)
	}
}

// allEnded tells whether the end of every dispatch is known.
func (e *Record) allEnded() bool {
	for _, d := range e.Attempts {
		if !d.Ended {
			return false
		}
	}
	return true
}

// setOutcome gives an entry its outcome.
func (p *Index) setOutcome(e *Record, o Outcome, rows []byte, whole bool) {
	e.Outcome, e.RowsComplete = o, whole
	if len(rows) > 0 && p.size+len(rows) <= p.limits.MaxBytes {
		p.size += len(rows)
		e.Rows = rows
	} else if len(rows) > 0 {
		e.RowsComplete = false
	}
	p.extend(e)
	p.log(kindOutcome, e, appendOutcome(e))
}

// ---- what is kept, and for how long

type expiryHeap []*Record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, k int) bool { return h[i].ExpiresAt < h[k].ExpiresAt }
func (h expiryHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i]; h[i].heapIndex, h[k].heapIndex = i, k }
func (h *expiryHeap) Push(x any)        { e := x.(*Record); e.heapIndex = len(*h); *h = append(*h, e) }
func (h *expiryHeap) Pop() any {
	l := *h
	e := l[len(l)-1]
	l[len(l)-1] = nil
	*h = l[:len(l)-1]
	e.heapIndex = -1
	return e
}

// memorySize is about what an entry takes in memory.
func (e *Record) memorySize() int {
	n := 160 + 2*len(e.Key) + len(e.Rows)
	for _, d := range e.Attempts {
		n += 40 + len(d.Engine)
	}
	return n
}

func (p *Index) insert(e *Record, now float64) {
	p.byKey[e.Key] = e
	e.ExpiresAt = max(now, p.latest) + p.limits.Retention
	heap.Push(&p.byExpiry, e)
	p.size += e.memorySize()
}

// extend has an entry stay for a window from now on.
func (p *Index) extend(e *Record) {
	if p.byKey[e.Key] == e {
		e.ExpiresAt = p.latest + p.limits.Retention
		heap.Fix(&p.byExpiry, e.heapIndex)
	}
}

func (p *Index) remove(e *Record) {
	if p.byKey[e.Key] != e {
		return
	}
	delete(p.byKey, e.Key)
	heap.Remove(&p.byExpiry, e.heapIndex)
	p.size -= e.memorySize()
}

// expire drops what no client may repeat any more. A job that is open stays, however long it takes. Time that the clock
// went back by is waited for.
func (p *Index) expire(now float64) {
	for len(p.byExpiry) > 0 && p.byExpiry[0].ExpiresAt <= now {
		e := p.byExpiry[0]
		if e.InFlight {
			e.ExpiresAt = now + p.limits.Retention
			heap.Fix(&p.byExpiry, e.heapIndex)
			continue
		}
		p.remove(e)
	}
	if p.uncertainUntil > 0 && now >= p.uncertainUntil {
		p.uncertainUntil = 0
	}
}

// expireReplayed drops while records are replayed what was over by the latest of them; else a long log would take the memory of all
// that it tells of. What was still out then stays, however old.
func (p *Index) expireReplayed() {
	for len(p.byExpiry) > 0 && p.byExpiry[0].ExpiresAt <= p.latest {
		e := p.byExpiry[0]
		if d := e.firstThatMayHaveRun(); e.Outcome == Pending && d != nil && !e.allEnded() {
			e.ExpiresAt = p.latest + p.limits.Retention
			heap.Fix(&p.byExpiry, e.heapIndex)
			continue
		}
		p.remove(e)
	}
}

// Expire drops what is over, and gives how soon there is more, infinity for nothing.
func (p *Index) Expire(now float64) (next float64) {
	p.advance(now)
	p.expire(now)
	if len(p.byExpiry) == 0 {
		return math.Inf(1)
	}
	return p.byExpiry[0].ExpiresAt
}

// makeRoom tells whether one more may be kept. What has ended without harm gives way: restartable ones, and rows, which may
// be asked of an engine again.
func (p *Index) makeRoom(key string) bool {
	full := func() bool {
		return len(p.byKey) >= p.limits.MaxRecords || p.size+200+2*len(key) > p.limits.MaxBytes
	}
	const looks = 64 // a job may cost so much here, no more; the oldest are looked at first
	for i := 0; i < min(looks, len(p.byExpiry)) && full(); i++ {
		e := p.byExpiry[i]
		switch {
		case e.InFlight:
		case e.Idempotency == Idempotent:
			p.log(kindRemoved, e, nil)
			p.remove(e)
			i = -1
		case len(e.Rows) > 0:
			p.size -= len(e.Rows)
			e.Rows, e.RowsComplete = nil, false
		}
	}
	return !full()
}

// Describe tells in a line what is kept under a key.
func (p *Index) Describe(key string) string {
	e := p.byKey[key]
	if e == nil {
		return key + "\tnot known"
	}
	what := ""
	for i, d := range e.Attempts {
		if i > 0 {
			what += ", "
		}
		switch {
		case !d.Ended:
			what += d.Engine + " (may have run)"
		case d.MayHaveRun:
			what += d.Engine + " (ran)"
		default:
			what += d.Engine + " (did not run)"
		}
	}
	is := [...]string{"open", "done", "cancelled for good", "may have run"}[e.Outcome]
	if e.Outcome == Succeeded && len(e.Rows) > 0 {
		is += fmt.Sprintf(", %d bytes of rows", len(e.Rows))
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s", key, [...]string{"restartable", "keyed", "run-once"}[e.Idempotency], what, is)
}
