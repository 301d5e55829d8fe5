// Package admission decides where and when each job of a gateway runs. brain.go
// holds the decisions; this file is what passes in and out of them.
package admission

import (
	"cmp"
	"math"
	"slices"
)

// Effect tells what a repeat of a job may do.
type Effect int

const (
	Restartable Effect = iota
	Keyed
	RunOnce
)

// Group tells which engines drop the repeats of a keyed job.
type Group int

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Status tells how a dispatch or a probe ended.
type Status int

const (
	Done Status = iota
	Failed
	Full
	TimedOut
	NoConnection
	Reset
	CalledOff
	Moot
)

// ListMode tells what a roster message holds.
type ListMode int

const (
	Changes ListMode = iota
	Whole
	Cached
	Missing
)

// Settings are what the module reads of a deployment, decoded once at start.
// Times are seconds, memory is megabytes.
type Settings struct {
	Index, Gateways, Zone                    int
	AskRoster, MayCancel, MayCopy            bool
	Grants, Priorities, Line, TellsMemory    bool
	MostDispatches                           int
	MostComeBack                             float64
	Cold, ColdFrom, FallMultiple, FallWindow float64
	KeyRest                                  float64
	ExtraFree, ExtraShare, ExtraWindow       float64
	OverValue, LargestShare                  float64
	AskFrom                                  float64 // work for which engines are asked while jobs run slowly, 0.3 where 0
	Kinds                                    []Kind
	Classes                                  []Class
	Tenants                                  []float64 // jobs a second within each share, over all gateways
}

// Kind is a kind of machine.
type Kind struct {
	Cores, Memory float64
}

// Class is a reservation type. Zones and Kinds, where not nil, bind it.
type Class struct {
	SLA, Stretch, Value, Window float64
	Effect                      Effect
	Group                       Group
	InOrder, Load, Waits        bool
	Threads                     float64
	Zones, Kinds                []int
}

// Actions is the way out. Jobs and engines go by the ids they came in with.
type Actions interface {
	Dispatch(job, engine uint32, timeout float64)
	Terms(job uint32, priority uint8, grant float64)
	Throttle(job uint32, comeBack float64)
	CancelForGood(job uint32)
	CallOff(job uint32, dispatch int)
	Probe(engine uint32)
	Close(engine uint32)              // idle connections
	Watch()                           // the roster, from now on
	Fetch()                           // the roster, once
	Tell(gateway uint16, text []byte) // all peers: the largest number
	Remark(text string)
	Wake(after float64)
}

// The events that only tell something follow; Arrive, Outcome and Progress, on which decisions rest, are in
// brain.go.

// RosterBegins opens a roster message; Listed follows for each entry, then RosterEnds.
func (b *Brain) RosterBegins(now float64, mode ListMode) {
	b.now, b.began = now, min(b.began, now)
	b.roster.begin(mode)
}

// RosterEnds closes a roster message.
func (b *Brain) RosterEnds(now float64) {
	b.roster.end(now)
	b.settle()
}

// Begun tells that a streamed answer has started: it has no deadline from here.
func (b *Brain) Begun(now float64, id uint32, number int) {
	b.now = now
	if j := b.jobs[id]; j != nil {
		j.begun = true
	}
	b.settle()
}

// Past is a dispatch of a job that a life of this gateway before sent. At is the clock then; one that did not run is not
// told. The engine is known by what binds a repeat alone.
type Past struct {
	At         float64
	Zone, Cell int
}

// ArriveAgain takes a job as Arrive does, of which dispatches before may have run. The rules for further dispatches hold
// for it, from its first one on.
func (b *Brain) ArriveAgain(now float64, id uint32, class, tenant int, key uint64, giveUp, cost, memory float64,
	tables uint32, waited float64, past []Past) {
	b.past = past
	b.Arrive(now, id, class, tenant, key, giveUp, cost, memory, tables, waited)
}

// enqueue has the job that arrives wait in its class's queue, or for a further dispatch, where one before may have run.
func (b *Brain) enqueue(j *job) {
	for i, p := range b.past {
		e := &engine{zone: p.Zone, cell: p.Cell, slow: 1, weight: 1, part: 1}
		j.dispatches = append(j.dispatches, &dispatch{job: j, engine: e, number: i, sent: p.At, ran: true})
	}
	if b.past = nil; j.first() != nil {
		b.again = append(b.again, j)
		return
	}
	j.class.queue = append(j.class.queue, j)
}

// Restarted tells that a life before ended a moment ago, and how many further dispatches of it lie in the window. What it
// had sent to cold engines, and which keys had dispatches out, is not known: cold engines get nothing for their window,
// keys rest for their time.
func (b *Brain) Restarted(now float64, further float64) {
	b.now = now
	b.rested, b.chilled = now+b.set.KeyRest, now+b.set.FallWindow
	b.extra.add(now, further)
	b.settle()
}

// Learned is what a gateway has learned of a deployment, for a life after it. What it holds against an engine belongs to
// one process of it, which Up tells.
type Learned struct {
	Version   int
	UsualRead float64
	Classes   []LearnedClass
	Engines   []LearnedEngine
}

// LearnedClass is what was learned of a reservation type, in the settings' order.
type LearnedClass struct {
	Told, Work, Memory, Answers, Rated, Logs, Squares, Slow, Mean float64
}

// LearnedEngine is what was learned of an engine's process.
type LearnedEngine struct {
	ID       uint32
	Up, Slow float64
	Rest     float64 // seconds of rest that are left, where it is doubted
	Length   float64 // of its latest rest
	Doubted  bool
}

// learnedVersion is that of Learned; another is passed over whole.
const learnedVersion = 1

// Learned hands out what was learned.
func (b *Brain) Learned(now float64) (l Learned) {
	l.Version, l.UsualRead = learnedVersion, b.usualRead
	for _, c := range b.classes {
		l.Classes = append(l.Classes, LearnedClass{c.told, c.work, c.memory, c.answers, c.rated, c.logs, c.squares, c.slow, c.mean})
	}
	for _, e := range b.roster.fleet {
		if e.doubted || e.slow != 1 {
			l.Engines = append(l.Engines, LearnedEngine{e.id, e.up, e.slow, max(e.restUntil-now, 0), e.restLength, e.doubted})
		}
	}
	return l
}

// Recall takes back what a life before had learned, so many seconds ago. Sums over answers weigh the less the older they
// are, and figures go back to the first guesses: half of the way in each half seconds. It tells whether it was taken: not
// of another version, or where figures are none. Engines have to be listed before.
func (b *Brain) Recall(now, age, half float64, l Learned) bool {
	sound := func(v ...float64) bool {
		return !slices.ContainsFunc(v, func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > 1e12 })
	}
	if l.Version != learnedVersion || len(l.Classes) != len(b.classes) || !sound(l.UsualRead, age) || !(half > 0) {
		return false
	}
	for _, c := range l.Classes {
		if !sound(c.Told, c.Work, c.Memory, c.Answers, c.Rated, c.Logs, c.Squares, c.Slow, c.Mean) || !(c.Mean > 0) || !(c.Slow > 0) ||
			min(c.Told, c.Work, c.Memory, c.Answers, c.Rated, c.Squares) < 0 {
			return false
		}
	}
	b.now = now
	w := math.Exp2(-max(age, 0) / half)
	toward := func(to *float64, was float64) { *to += w * (was - *to) }
	toward(&b.usualRead, min(max(l.UsualRead, 0), 2))
	for i, was := range l.Classes {
		c := b.classes[i]
		c.told, c.work, c.memory, c.answers = w*was.Told, w*was.Work, w*was.Memory, w*was.Answers
		c.rated, c.logs, c.squares = w*was.Rated, w*was.Logs, w*was.Squares
		toward(&c.slow, min(was.Slow, 5))
		toward(&c.mean, was.Mean)
	}
	for _, was := range l.Engines {
		e := b.roster.engines[was.ID]
		if e == nil || e.up != was.Up || !sound(was.Slow, was.Rest, was.Length) || !(was.Slow > 0) {
			continue
		}
		toward(&e.slow, min(was.Slow, 10))
		if left := min(was.Rest, 8) - age; was.Doubted && left > 0 && b.mayDoubt() { // the rest that it had left, no more
			e.doubted, e.restUntil, e.restLength = true, now+left, min(max(was.Length, 1), 8)
		}
	}
	b.settle()
	return true
}

// Withdrawn tells that the client has left.
func (b *Brain) Withdrawn(now float64, id uint32) {
	b.now = now
	if j := b.jobs[id]; j != nil && !j.ended {
		b.end(j)
	}
	b.settle()
}

// Told hands over a peer's message. Nothing is made of it: nothing may depend on peers.
func (b *Brain) Told(now float64, from int, text []byte) {
	b.now = now
}

// Probed tells how a probe ended; a report that came with it has been told by Reported.
func (b *Brain) Probed(now float64, id uint32, status Status) {
	b.now = now
	b.settle()
}

// Woken tells that a wake-up asked for is due.
func (b *Brain) Woken(now float64) {
	b.now = now
	b.settle()
}

// Part tells this gateway's part of every engine, where a fleet divides them; until then it is an even one.
func (b *Brain) Part(now, part float64) {
	b.now, b.part = now, part
	b.settle()
}

// Among tells this gateway's number among those that there may be, from 0, where a fleet numbers them: parts of cold
// engines' budgets and of tenants' shares go by it. Below 0 it has none, and sends nothing to cold engines.
func (b *Brain) Among(now float64, index, gateways int) {
	if b.now = now; index == b.set.Index && gateways == b.set.Gateways || gateways <= max(index, 0) {
		return
	}
	for _, t := range b.tenants {
		t.rate *= float64(b.set.Gateways) / float64(gateways)
	}
	if b.part == 1/float64(b.set.Gateways) { // no part of its own was told
		b.part = 1 / float64(gateways)
	}
	b.set.Index, b.set.Gateways = index, gateways
	for _, e := range b.roster.engines {
		e.turn, e.slot = e.turnOf(index, gateways, 0), 0
	}
	b.settle()
}

// Further tells how many further dispatches beyond the share of jobs taken any window may hold here.
func (b *Brain) Further(now, free float64) {
	b.now, b.set.ExtraFree = now, free
	b.settle()
}

// Extra tells how many further dispatches of the window go against what Further told, and how many would.
func (b *Brain) Extra(now float64) (used, wanted float64) {
	used = max(b.extra.sum(now, 11)-b.set.ExtraShare*b.taken.sum(now, 9), 0)
	return used, used + float64(len(b.again)) + 1
}

// Heard takes a report of a load that another gateway asked for, so many seconds old.
func (b *Brain) Heard(now, age float64, id uint32, jobs, waiting, util, memory, disks float64) {
	if e := b.roster.engines[id]; e != nil && now-age > e.readAt {
		b.Reported(now, id, jobs, waiting, util, memory, disks)
		e.readAt, e.asked = now-age, max(e.asked, now-age)
		b.settle()
	}
}

// Use tells what part of the memory of all engines is granted to this gateway's jobs, and would be with those held.
func (b *Brain) Use() (used, wanted float64) {
	all := 0.0
	for _, e := range b.roster.fleet {
		all += b.set.Kinds[e.kind].Memory
	}
	for _, c := range b.classes {
		used += c.tally
		for _, j := range c.queue {
			_, counted := b.grant(j, b.set.Kinds[0])
			wanted += counted
		}
	}
	return used / max(all, 1), (used + wanted) / max(all, 1)
}

// Grant is the most that a job of a class would be granted now on any kind of machine, in MB.
func (b *Brain) Grant(class int, memory float64) (most float64) {
	for _, k := range b.set.Kinds {
		_, counted := b.grant(&job{class: b.classes[class], memory: memory}, k)
		most = max(most, counted)
	}
	return most
}

// Ends tells that the gateway ends then: no job's time goes beyond, and what can't be done by then gives way.
func (b *Brain) Ends(now, at float64) {
	b.now, b.ends = now, at
	for _, j := range b.giveUps {
		j.giveUp = min(j.giveUp, at)
	}
	b.settle()
}

// Listed takes in one entry of the roster. A new start voids what was held against the engine's last one. weight is
// its part of jobs and of memory against the others', over 0; all alike, they change nothing. A kind or zone that the settings
// do not name is a number past theirs: what is bound does not go there, and a kind is sized as the last one.
func (b *Brain) Listed(now float64, id uint32, zone, kind, cell int, ready bool, weight, up float64) {
	e := b.roster.entry(id, cmp.Or(b.set.FallWindow, 1)/10)
	if up > e.up {
		e.up, e.heard, e.slow, e.turn = up, now, 1, e.turnOf(b.set.Index, b.set.Gateways, 0)
		e.slot, e.slotWork = 0, 0
		e.doubted, e.restLength, e.fullUntil, e.ease = false, 0, 0, 1
	}
	e.zone, e.kind, e.cell, e.ready, e.listed = zone, min(kind, len(b.set.Kinds)-1), cell, ready, true
	e.weight, e.listedKind = weight, kind
}
