package idempotency

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"

	"copperrock.example/copperrock/internal/storage/wal"
)

// The records, each for one key, with its effect and when it was written. docs/notes/store-files.md has their bytes.
const (
	taken   = wal.FirstKind + iota // begun, or begun again
	asks                           // its client has come again, and it stays as it is
	sends                          // a dispatch: its number, when, where
	ends                           // a dispatch: its number, whether it may have run
	answers                        // the final answer
	forgets                        // nothing binds
	entry                          // all of one, in a whole
	// LastKind is the last of them.
	LastKind = entry
)

// Written gives the records since it was called last, framed as the journal wants them.
func (p *Past) Written() (records []byte) {
	records, p.written = p.written, nil
	return records
}

// write adds a record on an entry.
func (p *Past) write(kind byte, e *Entry, more func([]byte) []byte) {
	if p.entries[e.Key] != e && kind != forgets {
		return
	}
	b := putText(nil, e.Key)
	b = binary.AppendUvarint(b, uint64(e.Effect))
	b = putFloat(b, p.latest)
	if more != nil {
		b = more(b)
	}
	p.written = wal.Record(p.written, kind, b)
}

func putText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

func putFloat(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(v))
}

func putDispatch(b []byte, number int, d Dispatch) []byte {
	b = binary.AppendUvarint(b, uint64(number))
	b = putFloat(b, d.At)
	b = putText(b, d.Engine)
	b = binary.AppendUvarint(b, uint64(d.Zone))
	return binary.AppendUvarint(b, uint64(d.Cell))
}

func putEnd(b []byte, number int, ran bool) []byte {
	b = binary.AppendUvarint(b, uint64(number))
	return append(b, flag(ran))
}

func flag(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func putAnswer(e *Entry) func([]byte) []byte {
	return func(b []byte) []byte {
		b = binary.AppendUvarint(b, uint64(e.Outcome))
		b = append(b, flag(e.Whole))
		b = putFloat(b, e.Until)
		return append(binary.AppendUvarint(b, uint64(len(e.Answer))), e.Answer...)
	}
}

// Keys lists all keys, for a whole that is written step by step.
func (p *Past) Keys() []string { return slices.Sorted(maps.Keys(p.entries)) }

// Whole gives the record of all that is kept under a key now, nil where nothing is.
func (p *Past) Whole(b []byte, key string) []byte {
	e := p.entries[key]
	if e == nil {
		return b
	}
	body := putText(nil, e.Key)
	body = binary.AppendUvarint(body, uint64(e.Effect))
	body = putFloat(body, p.latest)
	body = binary.AppendUvarint(body, uint64(len(e.Dispatches)))
	for i, d := range e.Dispatches {
		body = putDispatch(body, i, d)
		body = append(body, flag(d.Over)<<1|flag(d.Ran))
	}
	body = putAnswer(e)(body)
	return wal.Record(b, entry, body)
}

func (p *Past) gaps(b []byte) []byte {
	if p.gap == 0 {
		return b
	}
	return wal.Record(b, gapped, putFloat(nil, p.gap))
}

// Begins gives the records that go with every whole beside the keys: up to when a gap counts, and since when the machine
// runs.
func (p *Past) Begins(b []byte) []byte {
	b = p.gaps(b)
	if p.foreign > 0 {
		b = wal.Record(b, resumes, append(putFloat(nil, p.foreign), 1))
	}
	return b
}

// gapped is the record of up to when a gap counts, resumes that of when a life began on what was kept.
const (
	gapped  = LastKind + 1
	resumes = LastKind + 2
)

// Mine tells whether a record is one of the past's.
func Mine(kind byte) bool { return kind >= taken && kind <= resumes }

var errRecord = errors.New("a record that can't be read")

// reader takes values off a record; the first that is not there spoils it.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) whole() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) count(most int) int {
	v := r.whole()
	if v > uint64(most) {
		r.bad = true
		return 0
	}
	return int(v)
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.bad, r.b = true, nil
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) text() string { return string(r.take(r.count(wal.MostRecord))) }

func (r *reader) float() float64 {
	b := r.take(8)
	if b == nil {
		return 0
	}
	v := math.Float64frombits(binary.BigEndian.Uint64(b))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		r.bad = true
		return 0
	}
	return v
}

func (r *reader) flags() byte {
	b := r.take(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (r *reader) dispatch() (number int, d Dispatch) {
	number = r.count(mostDispatches - 1)
	d = Dispatch{At: r.float(), Engine: r.text()}
	d.Zone, d.Cell = r.count(math.MaxInt32), r.count(math.MaxInt32)
	return number, d
}

// mostDispatches bounds those of one job, as settings do.
const mostDispatches = 1000

// Replay takes a record that was written by this life or one before. What it says counts whether or not records before
// it are there: the stricter reading is taken. An error says that it can't be read.
func (p *Past) Replay(kind byte, body []byte) error {
	r := &reader{b: body}
	if kind == gapped || kind == resumes {
		at := r.float()
		switch machine := kind == resumes && r.flags() == 1; {
		case r.bad:
			return errRecord
		case kind == gapped:
			p.gap = max(p.gap, at)
		default:
			p.clock(at)
			if p.resume(at); machine {
				p.foreign = max(p.foreign, at)
			}
		}
		return nil
	}
	key, effect, at := r.text(), Effect(r.count(int(RunOnce))), r.float()
	if r.bad || key == "" {
		return errRecord
	}
	p.clock(at)
	e := p.entries[key]
	had := e != nil
	if !had {
		e = &Entry{Key: key, Effect: effect, Taken: at, place: -1}
	}
	e.Effect = max(e.Effect, effect)
	before := e.weighs()
	switch kind {
	case asks:
	case taken:
		if had && e.Outcome == Done && e.Effect == Restartable { // it was let run again
			e.Outcome, e.Answer, e.Dispatches = Open, nil, nil
		}
	case sends:
		number, d := r.dispatch()
		if r.bad {
			return errRecord
		}
		p.clock(d.At)
		for len(e.Dispatches) <= number { // one whose record is not there may have run
			e.Dispatches = append(e.Dispatches, d)
		}
		e.Dispatches[number] = d
	case ends:
		number, ran := r.count(mostDispatches-1), r.flags() == 1
		if r.bad {
			return errRecord
		}
		for len(e.Dispatches) <= number {
			e.Dispatches = append(e.Dispatches, Dispatch{At: at})
		}
		e.Dispatches[number].Over, e.Dispatches[number].Ran = true, ran
	case entry:
		n := r.count(mostDispatches)
		all := make([]Dispatch, 0, min(n, 16))
		for range n {
			_, d := r.dispatch()
			flags := r.flags()
			d.Over, d.Ran = flags&2 != 0, flags&1 != 0
			p.clock(d.At)
			all = append(all, d)
		}
		e.Dispatches = all
		if !r.answer(e) {
			return errRecord
		}
	case answers:
		if !r.answer(e) {
			return errRecord
		}
	case forgets:
		if had {
			p.forget(e)
		}
		return nil
	default:
		return errRecord
	}
	if r.bad {
		return errRecord
	}
	if !had {
		p.put(e, p.latest)
	} else {
		p.size += e.weighs() - before
		p.keep(e)
	}
	p.pass()
	return nil
}

// answer reads a final answer into an entry.
func (r *reader) answer(e *Entry) bool {
	o := Outcome(r.count(int(Unclear)))
	whole := r.flags() == 1
	r.float() // when it was to be dropped: kept a window from its last record on instead, which is no shorter
	rows := r.take(r.count(wal.MostRecord))
	if r.bad {
		return false
	}
	e.Outcome, e.Whole, e.Answer = o, whole, nil
	if len(rows) > 0 {
		e.Answer = append([]byte(nil), rows...)
	}
	return true
}
