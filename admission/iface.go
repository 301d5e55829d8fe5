// Package admission decides where and when each job of a gateway runs. brain.go
// holds the decisions; this file is what passes in and out of them.
package admission

import (
	"cmp"
	"math"
	"slices"
)

// Idempotency tells what a repeat of a job may do.
type Idempotency int

const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// DedupScope tells which engines drop the repeats of a keyed job.
type DedupScope int

const (
	DedupEverywhere DedupScope = iota
	DedupInZone
	DedupInCell
)

// Status tells how a dispatch or a probe ended.
type Status int

const (
	Succeeded Status = iota
	Failed
	Overloaded
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotStarted
)

// ListMode tells what a roster message holds.
type ListMode int

const (
	Delta ListMode = iota
	Snapshot
	CachedSnapshot
	ListUnavailable
)

// Settings are what the module reads of a deployment, decoded once at start.
// Times are seconds, memory is megabytes.
type Settings struct {
	GatewayIndex, GatewayCount, Zone                                                      int
	EndpointsOnRequest, MayCancel, MayHedge                                               bool
	EnginesTakeGrants, EnginesTakePriorities, EnginesQueue, EnginesReportMemory           bool
	MaxAttempts                                                                           int
	MaxRetryAfter                                                                         float64
	SlowStartWindow, SlowStartInitialPace, SlowStartBudgetMultiple, SlowStartBudgetWindow float64
	OrderedKeyBackoff                                                                     float64
	RetryBudgetFree, RetryBudgetRatio, RetryBudgetWindow                                  float64
	OverQuotaWeight, MaxGrantShare                                                        float64
	MinPolledWork                                                                         float64 // work for which engines are asked while jobs run slowly, 0.3 where 0
	MachineTypes                                                                          []MachineType
	Classes                                                                               []Class
	TenantQuotas                                                                          []float64 // jobs a second within each share, over all gateways
}

// MachineType is a kind of machine.
type MachineType struct {
	Cores, Memory float64
}

// Class is a reservation type. Zones and Kinds, where not nil, bind it.
type Class struct {
	LatencyObjective, ObjectiveStretch, PriorityWeight, IdempotencyWindow float64
	Idempotency                                                           Idempotency
	DedupScope                                                            DedupScope
	Ordered, WritesTables, BlockedByWrites                                bool
	Threads                                                               float64
	AllowedZones, AllowedMachineTypes                                     []int
}

// Actions is the way out. Jobs and engines go by the ids they came in with.
type Actions interface {
	// StartAttempt sends the request to the engine.
	StartAttempt(request, engine uint32)
	// SetAttemptTerms names the priority and the memory grant (MB, 0 for none) of the attempt that starts next.
	SetAttemptTerms(request uint32, priority uint8, grant float64)
	// Reject ends the request without a result; its client may send it again after so many seconds.
	Reject(request uint32, retryAfter float64)
	// Fail ends the request without a result and promises nothing on a repeat.
	Fail(request uint32)
	// CancelAttempt cancels one attempt; how it ended is told by AttemptEnded all the same.
	CancelAttempt(request uint32, attempt int)
	// PollLoad asks the engine for a load report; PollEnded follows in any case.
	PollLoad(engine uint32)
	// WatchEndpoints asks for the endpoint list and for its changes from now on.
	WatchEndpoints()
	// WakeAfter asks for one WakeUp after so many seconds, in place of any asked for before.
	WakeAfter(seconds float64)
}

// Request is a request as it arrives.
type Request struct {
	ID       uint32
	Class    int     // index into Settings.Classes
	Tenant   int     // index into Settings.TenantQuotas; past its end where the tenant has no quota
	OrderKey uint64  // requests of an ordered class with the same key run one after another; 0 for none
	Deadline float64 // clock time by which the request has to be answered
	Work     float64 // estimated CPU seconds, 0 where there is no estimate
	Memory   float64 // estimated MB, 0 where there is no estimate
	Tables   uint32  // hash of the tables that it touches, 0 for none
	Waited   float64 // seconds since its client sent it

	// PastAttempts were started by an earlier process of this gateway and may have run. The rules for retries hold for
	// the request from the first of them on.
	PastAttempts []PastAttempt
}

// PastAttempt is an attempt that an earlier process of this gateway started and that may have run. Its engine is known by
// what binds a repeat alone.
type PastAttempt struct {
	StartedAt  float64 // clock time
	Zone, Cell int
}

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	Status   Status
	Duration float64 // seconds
	Final    bool    // the request has been answered and needs no further attempt
	Work     float64 // CPU seconds that the request needed, 0 where the engine does not tell
	Memory   float64 // MB that the request needed, 0 where the engine does not tell
}

// Endpoint is one entry of the endpoint list. A machine type or zone that the settings do not name is a number past
// theirs: requests that are bound to machine types or zones do not go there, and it is sized as the last machine type.
type Endpoint struct {
	ID          uint32
	Zone        int
	MachineType int
	Cell        int
	Ready       bool    // takes new requests
	Weight      float64 // its part of requests and memory against the others', over 0
	StartedAt   float64 // clock time of its process's start, 0 where it is not known
}

// LoadReport is what an engine tells of its load. The zero value tells nothing.
type LoadReport struct {
	Waiting       Measurement // requests in the engine's own queue
	CPU           Measurement // share of its cores in use
	MemoryGranted Measurement // share of its memory granted to requests of all gateways
}

// Measurement is one figure of a load report. The zero value stands for a figure that the engine does not report.
type Measurement struct {
	value    float64
	reported bool
}

// Measured returns a figure as reported; one under 0 or NaN counts as not reported.
func Measured(value float64) Measurement {
	return Measurement{value: value, reported: value >= 0}
}

// The events that only tell something follow; RequestArrived, AttemptEnded and AttemptProgressed, on which decisions rest, are in
// brain.go.

// UpdateEndpoints takes a message on the endpoint list.
func (b *Controller) UpdateEndpoints(now float64, mode ListMode, endpoints []Endpoint) {
	b.now, b.began = now, min(b.began, now)
	b.roster.begin(mode)
	for _, e := range endpoints {
		b.list(now, e)
	}
	b.roster.end(now)
	b.settle()
}

// StreamStarted tells that a streamed answer has started: it has no deadline from here.
func (b *Controller) StreamStarted(now float64, id uint32) {
	b.now = now
	if j := b.jobs[id]; j != nil {
		j.begun = true
	}
	b.settle()
}

// enqueue has the job that arrives wait in its class's queue, or for a further dispatch, where one before may have run.
func (b *Controller) enqueue(j *job, past []PastAttempt) {
	for i, p := range past {
		e := &engine{zone: p.Zone, cell: p.Cell, slow: 1, weight: 1, part: 1}
		j.dispatches = append(j.dispatches, &dispatch{job: j, engine: e, number: i, sent: p.StartedAt, ran: true})
	}
	if j.first() != nil {
		b.again = append(b.again, j)
		return
	}
	j.class.queue = append(j.class.queue, j)
}

// Restarted tells that a life before ended a moment ago, and how many further dispatches of it lie in the window. What it
// had sent to cold engines, and which keys had dispatches out, is not known: cold engines get nothing for their window,
// keys rest for their time.
func (b *Controller) Restarted(now float64, further float64) {
	b.now = now
	b.rested, b.chilled = now+b.set.OrderedKeyBackoff, now+b.set.SlowStartBudgetWindow
	b.extra.add(now, further)
	b.settle()
}

// LearnedState is what a gateway has learned of a deployment, for a life after it. What it holds against an engine belongs to
// one process of it, which Up tells.
type LearnedState struct {
	Version   int             `msgpack:"Version"`
	UsualRead float64         `msgpack:"UsualRead"`
	Classes   []LearnedClass  `msgpack:"Classes"`
	Engines   []LearnedEngine `msgpack:"Engines"`
}

// LearnedClass is what was learned of a reservation type, in the settings' order.
type LearnedClass struct {
	Told    float64 `msgpack:"Told"`
	Work    float64 `msgpack:"Work"`
	Memory  float64 `msgpack:"Memory"`
	Answers float64 `msgpack:"Answers"`
	Rated   float64 `msgpack:"Rated"`
	Logs    float64 `msgpack:"Logs"`
	Squares float64 `msgpack:"Squares"`
	Slow    float64 `msgpack:"Slow"`
	Mean    float64 `msgpack:"Mean"`
}

// LearnedEngine is what was learned of an engine's process.
type LearnedEngine struct {
	ID      uint32  `msgpack:"ID"`
	Up      float64 `msgpack:"Up"`
	Slow    float64 `msgpack:"Slow"`
	Rest    float64 `msgpack:"Rest"`   // seconds of rest that are left, where it is doubted
	Length  float64 `msgpack:"Length"` // of its latest rest
	Doubted bool    `msgpack:"Doubted"`
}

// learnedVersion is that of Learned; another is passed over whole.
const learnedVersion = 1

// ExportLearned hands out what was learned.
func (b *Controller) ExportLearned(now float64) (l LearnedState) {
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

// RestoreLearned takes back what a life before had learned, so many seconds ago. Sums over answers weigh the less the older they
// are, and figures go back to the first guesses: half of the way in each half seconds. It tells whether it was taken: not
// of another version, or where figures are none. Engines have to be listed before.
func (b *Controller) RestoreLearned(now, age, half float64, l LearnedState) bool {
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

// RequestCancelled tells that the client has left.
func (b *Controller) RequestCancelled(now float64, id uint32) {
	b.now = now
	if j := b.jobs[id]; j != nil && !j.ended {
		b.end(j)
	}
	b.settle()
}

// PollEnded tells that a poll has ended; a report that came with it has been told by LoadReported.
func (b *Controller) PollEnded(now float64) {
	b.now = now
	b.settle()
}

// WakeUp tells that a wake-up asked for is due.
func (b *Controller) WakeUp(now float64) {
	b.now = now
	b.settle()
}

// SetCapacityShare tells this gateway's part of every engine, where a fleet divides them; until then it is an even one.
func (b *Controller) SetCapacityShare(now, part float64) {
	b.now, b.part = now, part
	b.settle()
}

// SetGatewayIndex tells this gateway's number among those that there may be, from 0, where a fleet numbers them: parts of cold
// engines' budgets and of tenants' shares go by it. Below 0 it has none, and sends nothing to cold engines.
func (b *Controller) SetGatewayIndex(now float64, index, gateways int) {
	if b.now = now; index == b.set.GatewayIndex && gateways == b.set.GatewayCount || gateways <= max(index, 0) {
		return
	}
	for _, t := range b.tenants {
		t.rate *= float64(b.set.GatewayCount) / float64(gateways)
	}
	if b.part == 1/float64(b.set.GatewayCount) { // no part of its own was told
		b.part = 1 / float64(gateways)
	}
	b.set.GatewayIndex, b.set.GatewayCount = index, gateways
	for _, e := range b.roster.engines {
		e.turn, e.slot = e.turnOf(index, gateways, 0), 0
	}
	b.settle()
}

// SetRetryBudget tells how many further dispatches beyond the share of jobs taken any window may hold here.
func (b *Controller) SetRetryBudget(now, free float64) {
	b.now, b.set.RetryBudgetFree = now, free
	b.settle()
}

// RetryUse tells how many further dispatches of the window go against what SetRetryBudget told, and how many would.
func (b *Controller) RetryUse(now float64) (used, wanted float64) {
	used = max(b.extra.sum(now, 11)-b.set.RetryBudgetRatio*b.taken.sum(now, 9), 0)
	return used, used + float64(len(b.again)) + 1
}

// PeerLoadReported takes a report of a load that another gateway asked for, so many seconds old.
func (b *Controller) PeerLoadReported(now, age float64, id uint32, report LoadReport) {
	if e := b.roster.engines[id]; e != nil && now-age > e.readAt {
		b.LoadReported(now, id, report)
		e.readAt, e.asked = now-age, max(e.asked, now-age)
		b.settle()
	}
}

// MemoryUse tells what part of the memory of all engines is granted to this gateway's jobs, and would be with those held.
func (b *Controller) MemoryUse() (used, wanted float64) {
	all := 0.0
	for _, e := range b.roster.fleet {
		all += b.set.MachineTypes[e.kind].Memory
	}
	for _, c := range b.classes {
		used += c.tally
		for _, j := range c.queue {
			_, counted := b.grant(j, b.set.MachineTypes[0])
			wanted += counted
		}
	}
	return used / max(all, 1), (used + wanted) / max(all, 1)
}

// MaxGrant is the most that a job of a class would be granted now on any kind of machine, in MB.
func (b *Controller) MaxGrant(class int, memory float64) (most float64) {
	for _, k := range b.set.MachineTypes {
		_, counted := b.grant(&job{class: b.classes[class], memory: memory}, k)
		most = max(most, counted)
	}
	return most
}

// ShutDownAt tells that the gateway ends then: no job's time goes beyond, and what can't be done by then gives way.
func (b *Controller) ShutDownAt(now, at float64) {
	b.now, b.ends = now, at
	for _, j := range b.giveUps {
		j.giveUp = min(j.giveUp, at)
	}
	b.settle()
}

// list takes in one entry of the endpoint list. A new start voids what was held against the engine's last one.
func (b *Controller) list(now float64, p Endpoint) {
	e := b.roster.entry(p.ID, cmp.Or(b.set.SlowStartBudgetWindow, 1)/10)
	if p.StartedAt > e.up {
		e.up, e.heard, e.slow, e.turn = p.StartedAt, now, 1, e.turnOf(b.set.GatewayIndex, b.set.GatewayCount, 0)
		e.slot, e.slotWork = 0, 0
		e.doubted, e.restLength, e.fullUntil, e.ease = false, 0, 0, 1
	}
	e.zone, e.kind, e.cell, e.ready, e.listed = p.Zone, min(p.MachineType, len(b.set.MachineTypes)-1), p.Cell, p.Ready, true
	e.weight, e.listedKind = p.Weight, p.MachineType
}
