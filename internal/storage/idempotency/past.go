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

// Effect tells what a repeat of a job may do, as the module has it.
type Effect int

const (
	Restartable Effect = iota
	Keyed
	RunOnce
)

// Dispatch is one that was sent, or was about to be.
type Dispatch struct {
	At         float64 // when
	Engine     string
	Zone, Cell int
	Over       bool // its end is known
	Ran        bool // it ran, or may have
}

// Outcome is a final answer.
type Outcome int

const (
	Open Outcome = iota
	Done
	Failed // cancelled for good
	Unclear
)

// Entry is what is kept under a key.
type Entry struct {
	Key        string
	Effect     Effect
	Taken      float64
	Dispatches []Dispatch
	Outcome    Outcome
	Answer     []byte // rows, where they are kept
	Whole      bool   // Answer is all of them
	Until      float64
	Lives      bool // a job of this life is open under the key
	place      int  // in the heap by Until
}

// mayHaveRun gives the first dispatch that did or may have, nil for none.
func (e *Entry) mayHaveRun() *Dispatch {
	for i := range e.Dispatches {
		if d := &e.Dispatches[i]; !d.Over || d.Ran {
			return d
		}
	}
	return nil
}

// Rules bound what is kept. Times are seconds.
type Rules struct {
	Window float64 // in which a key may come again: kept as long after its end, and after its latest dispatch
	Most   int     // entries
	Room   int     // bytes
}

// Verdict is what a job may do that comes under a key.
type Verdict int

const (
	Fresh      Verdict = iota // nothing is known that stands against it
	Again                     // tries before it are known; the module is told of them
	Answered                  // it has its answer
	Joined                    // another try is open
	MayHaveRun                // and so it goes no more
	NoRoom                    // nothing more can be kept, and the job needs that
)

// Past is all that is kept.
type Past struct {
	rules   Rules
	entries map[string]*Entry
	byUntil expiry
	size    int
	gap     float64 // up to when a key that is not known may be one that was lost; 0 where nothing was
	latest  float64 // the latest time told, over all lives
	foreign float64 // what was sent before lies behind a start of the machine: how long ago is not known
	written []byte  // records since Written was called last
}

// New starts with nothing.
func New(rules Rules) *Past {
	return &Past{rules: rules, entries: map[string]*Entry{}}
}

// Len and Size are how many entries are kept, and about how many bytes they take.
func (p *Past) Len() int  { return len(p.entries) }
func (p *Past) Size() int { return p.size }

// Lost tells that records were lost: until a window has passed, what is not known may have been.
func (p *Past) Lost(now float64) { p.gap = max(now, p.latest) + p.rules.Window }

// Gap tells up to when that holds, 0 where nothing was lost.
func (p *Past) Gap() float64 { return p.gap }

// Resumed tells that a life begins on what was replayed. What may have run stays for a window from now on, however long the
// controller was away: its client may have waited for it. machine tells that the machine was started since.
func (p *Past) Resumed(now float64, machine bool) {
	p.clock(now)
	p.resume(now)
	p.written = wal.Record(p.written, resumes, append(putFloat(nil, now), flag(machine)))
	p.room("") // rows that a life before had dropped are back
	if machine {
		p.foreign = now
	}
}

// resume begins a life.
func (p *Past) resume(now float64) {
	for _, e := range p.entries {
		e.Lives = false
		e.Until = max(e.Until, now+p.rules.Window)
	}
	heap.Init(&p.byUntil)
}

// Latest is the latest time that was told, over all lives.
func (p *Past) Latest() float64 { return p.latest }

// clock takes the time.
func (p *Past) clock(now float64) { p.latest = max(p.latest, now) }

// needs tells whether a type needs its dispatches on record before they go.
func (e Effect) needs() bool { return e != Restartable }

// Needs tells whether a job of that effect has to be on record before its first byte goes out.
func Needs(e Effect) bool { return e.needs() }

// Take decides on a job that comes. first tells that its client says it is the first try of its key; within is for how long
// after its first dispatch a keyed job may go again. What it gives is read before the next call.
func (p *Past) Take(now float64, key string, effect Effect, within float64, first bool) (Verdict, *Entry) {
	p.clock(now)
	p.expire(now)
	e := p.entries[key]
	if e == nil {
		if p.gap > 0 && p.latest < p.gap && effect.needs() && !first {
			return MayHaveRun, nil
		}
		if !p.room(key) {
			if effect.needs() {
				return NoRoom, nil
			}
			return Fresh, nil // it is not kept, and needs not be
		}
		e = &Entry{Key: key, Effect: effect, Taken: now}
		p.put(e, now)
		e.Lives = true
		p.write(taken, e, nil)
		return Fresh, e
	}
	switch {
	case e.Lives:
		p.keep(e)
		p.write(asks, e, nil)
		return Joined, e
	case e.Outcome == Done && !e.Whole && e.Effect == Restartable && effect == Restartable: // its rows are gone: it runs again
		p.size -= e.weighs()
		e.Outcome, e.Dispatches, e.Answer = Open, nil, nil
		p.size += e.weighs()
	case e.Outcome != Open:
		p.keep(e)
		p.write(asks, e, nil)
		if e.Outcome == Unclear {
			return MayHaveRun, e
		}
		return Answered, e
	case e.Effect != effect: // the type was changed under the key: the stricter of the two counts
		e.Effect = max(e.Effect, effect)
	}
	d := e.mayHaveRun()
	switch {
	case d == nil: // none ran: as if it had never been
		p.size -= e.weighs()
		e.Dispatches = nil
		p.size += e.weighs()
	case e.Effect == RunOnce:
		p.end(e, Unclear, nil, false)
		return MayHaveRun, e
	case e.Effect == Keyed && (d.At < p.foreign || now < d.At || now >= d.At+within): // it is too long ago, or not known how long
		p.end(e, Unclear, nil, false)
		return MayHaveRun, e
	}
	e.Lives = true
	p.keep(e)
	p.write(taken, e, nil)
	if d == nil {
		return Fresh, e
	}
	return Again, e
}

// Sends tells that a dispatch is about to go; the record of it is in Written, and has to be on the disk before its first
// byte goes out where the effect needs it. It gives the dispatch's number.
func (p *Past) Sends(now float64, e *Entry, engine string, zone, cell int) (number int) {
	p.clock(now)
	d := Dispatch{At: now, Engine: engine, Zone: zone, Cell: cell}
	e.Dispatches = append(e.Dispatches, d)
	if p.entries[e.Key] == e {
		p.size += 40 + len(engine)
	}
	p.keep(e)
	p.write(sends, e, func(b []byte) []byte { return putDispatch(b, len(e.Dispatches)-1, d) })
	return len(e.Dispatches) - 1
}

// Ends tells that a dispatch is over, and whether it ran or may have.
func (p *Past) Ends(now float64, e *Entry, number int, ran bool) {
	p.clock(now)
	if number < 0 || number >= len(e.Dispatches) || e.Dispatches[number].Over {
		return
	}
	e.Dispatches[number].Over, e.Dispatches[number].Ran = true, ran
	p.write(ends, e, func(b []byte) []byte { return putEnd(b, number, ran) })
}

// Answer tells the final answer that the job of this life is given; Open is for one that has none that binds: it was
// throttled or its client left. Rows are kept where they are given whole. What binds those who come again under the key is
// that it was done and, where it may run once, that it may have run; else they are as good as new.
func (p *Past) Answer(now float64, e *Entry, o Outcome, rows []byte, whole bool) {
	p.clock(now)
	if e.Outcome != Open || p.entries[e.Key] != e {
		return
	}
	e.Lives = false
	d := e.mayHaveRun()
	switch {
	case o == Done:
		p.end(e, Done, rows, whole)
	case d == nil || e.Effect == Restartable: // nothing binds
		p.forget(e)
		p.write(forgets, e, nil)
	case e.Effect == Keyed: // it may go again inside its group and window
		p.keep(e)
	case o == Failed && e.known():
		p.end(e, Failed, nil, false)
	default:
		p.end(e, Unclear, nil, false)
	}
}

// known tells whether the end of every dispatch is known.
func (e *Entry) known() bool {
	for _, d := range e.Dispatches {
		if !d.Over {
			return false
		}
	}
	return true
}

// end gives an entry its outcome.
func (p *Past) end(e *Entry, o Outcome, rows []byte, whole bool) {
	e.Outcome, e.Whole = o, whole
	if len(rows) > 0 && p.size+len(rows) <= p.rules.Room {
		p.size += len(rows)
		e.Answer = rows
	} else if len(rows) > 0 {
		e.Whole = false
	}
	p.keep(e)
	p.write(answers, e, putAnswer(e))
}

// ---- what is kept, and for how long

type expiry []*Entry

func (h expiry) Len() int           { return len(h) }
func (h expiry) Less(i, k int) bool { return h[i].Until < h[k].Until }
func (h expiry) Swap(i, k int)      { h[i], h[k] = h[k], h[i]; h[i].place, h[k].place = i, k }
func (h *expiry) Push(x any)        { e := x.(*Entry); e.place = len(*h); *h = append(*h, e) }
func (h *expiry) Pop() any {
	l := *h
	e := l[len(l)-1]
	l[len(l)-1] = nil
	*h = l[:len(l)-1]
	e.place = -1
	return e
}

// weighs is about what an entry takes in memory.
func (e *Entry) weighs() int {
	n := 160 + 2*len(e.Key) + len(e.Answer)
	for _, d := range e.Dispatches {
		n += 40 + len(d.Engine)
	}
	return n
}

func (p *Past) put(e *Entry, now float64) {
	p.entries[e.Key] = e
	e.Until = max(now, p.latest) + p.rules.Window
	heap.Push(&p.byUntil, e)
	p.size += e.weighs()
}

// keep has an entry stay for a window from now on.
func (p *Past) keep(e *Entry) {
	if p.entries[e.Key] == e {
		e.Until = p.latest + p.rules.Window
		heap.Fix(&p.byUntil, e.place)
	}
}

func (p *Past) forget(e *Entry) {
	if p.entries[e.Key] != e {
		return
	}
	delete(p.entries, e.Key)
	heap.Remove(&p.byUntil, e.place)
	p.size -= e.weighs()
}

// expire drops what no client may repeat any more. A job that is open stays, however long it takes. Time that the clock
// went back by is waited for.
func (p *Past) expire(now float64) {
	for len(p.byUntil) > 0 && p.byUntil[0].Until <= now {
		e := p.byUntil[0]
		if e.Lives {
			e.Until = now + p.rules.Window
			heap.Fix(&p.byUntil, e.place)
			continue
		}
		p.forget(e)
	}
	if p.gap > 0 && now >= p.gap {
		p.gap = 0
	}
}

// pass drops while records are replayed what was over by the latest of them; else a long log would take the memory of all
// that it tells of. What was still out then stays, however old.
func (p *Past) pass() {
	for len(p.byUntil) > 0 && p.byUntil[0].Until <= p.latest {
		e := p.byUntil[0]
		if d := e.mayHaveRun(); e.Outcome == Open && d != nil && !e.known() {
			e.Until = p.latest + p.rules.Window
			heap.Fix(&p.byUntil, e.place)
			continue
		}
		p.forget(e)
	}
}

// Expire drops what is over, and gives how soon there is more, infinity for nothing.
func (p *Past) Expire(now float64) (next float64) {
	p.clock(now)
	p.expire(now)
	if len(p.byUntil) == 0 {
		return math.Inf(1)
	}
	return p.byUntil[0].Until
}

// room tells whether one more may be kept. What has ended without harm gives way: restartable ones, and rows, which may
// be asked of an engine again.
func (p *Past) room(key string) bool {
	full := func() bool {
		return len(p.entries) >= p.rules.Most || p.size+200+2*len(key) > p.rules.Room
	}
	const looks = 64 // a job may cost so much here, no more; the oldest are looked at first
	for i := 0; i < min(looks, len(p.byUntil)) && full(); i++ {
		e := p.byUntil[i]
		switch {
		case e.Lives:
		case e.Effect == Restartable:
			p.write(forgets, e, nil)
			p.forget(e)
			i = -1
		case len(e.Answer) > 0:
			p.size -= len(e.Answer)
			e.Answer, e.Whole = nil, false
		}
	}
	return !full()
}

// Tell tells in a line what is kept under a key.
func (p *Past) Tell(key string) string {
	e := p.entries[key]
	if e == nil {
		return key + "\tnot known"
	}
	what := ""
	for i, d := range e.Dispatches {
		if i > 0 {
			what += ", "
		}
		switch {
		case !d.Over:
			what += d.Engine + " (may have run)"
		case d.Ran:
			what += d.Engine + " (ran)"
		default:
			what += d.Engine + " (did not run)"
		}
	}
	is := [...]string{"open", "done", "cancelled for good", "may have run"}[e.Outcome]
	if e.Outcome == Done && len(e.Answer) > 0 {
		is += fmt.Sprintf(", %d bytes of rows", len(e.Answer))
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s", key, [...]string{"restartable", "keyed", "run-once"}[e.Effect], what, is)
}
