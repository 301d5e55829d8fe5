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
	b.now, b.firstListAt = now, min(b.firstListAt, now)
	b.endpoints.begin(mode)
	for _, e := range endpoints {
		b.updateEndpoint(now, e)
	}
	b.endpoints.end(now)
	b.applyRules()
}

// StreamStarted tells that a streamed answer has started: it has no deadline from here.
func (b *Controller) StreamStarted(now float64, id uint32) {
	b.now = now
	if j := b.requests[id]; j != nil {
		j.streaming = true
	}
	b.applyRules()
}

// enqueue has the job that arrives wait in its class's queue, or for a further dispatch, where one before may have run.
func (b *Controller) enqueue(j *request, past []PastAttempt) {
	for i, p := range past {
		e := &engine{zone: p.Zone, cell: p.Cell, slowdown: 1, weight: 1, relativeWeight: 1}
		j.attempts = append(j.attempts, &attempt{request: j, engine: e, number: i, startedAt: p.StartedAt, mayHaveRun: true})
	}
	if j.firstThatMayHaveRun() != nil {
		b.retryQueue = append(b.retryQueue, j)
		return
	}
	j.class.queue = append(j.class.queue, j)
}

// Restarted tells that a life before ended a moment ago, and how many further dispatches of it lie in the window. What it
// had sent to cold engines, and which keys had dispatches out, is not known: cold engines get nothing for their window,
// keys rest for their time.
func (b *Controller) Restarted(now float64, further float64) {
	b.now = now
	b.keysBlockedUntil, b.slowStartBlockedUntil = now+b.settings.OrderedKeyBackoff, now+b.settings.SlowStartBudgetWindow
	b.retries.add(now, further)
	b.applyRules()
}

// LearnedState is what a gateway has learned of a deployment, for a life after it. What it holds against an engine belongs to
// one process of it, which Up tells.
type LearnedState struct {
	Version           int             `msgpack:"Version"`
	UsualGrantedShare float64         `msgpack:"UsualRead"`
	Classes           []LearnedClass  `msgpack:"Classes"`
	Engines           []LearnedEngine `msgpack:"Engines"`
}

// LearnedClass is what was learned of a reservation type, in the settings' order.
type LearnedClass struct {
	EstimatedWork    float64 `msgpack:"Told"`
	NeededWork       float64 `msgpack:"Work"`
	NeededMemory     float64 `msgpack:"Memory"`
	Answers          float64 `msgpack:"Answers"`
	EstimatedAnswers float64 `msgpack:"Rated"`
	LogRatios        float64 `msgpack:"Logs"`
	SquaredLogRatios float64 `msgpack:"Squares"`
	Slowdown         float64 `msgpack:"Slow"`
	MeanWork         float64 `msgpack:"Mean"`
}

// LearnedEngine is what was learned of an engine's process.
type LearnedEngine struct {
	ID             uint32  `msgpack:"ID"`
	StartedAt      float64 `msgpack:"Up"`
	Slowdown       float64 `msgpack:"Slow"`
	EjectionLeft   float64 `msgpack:"Rest"`   // seconds of rest that are left, where it is doubted
	EjectionLength float64 `msgpack:"Length"` // of its latest rest
	Suspected      bool    `msgpack:"Doubted"`
}

// learnedVersion is that of Learned; another is passed over whole.
const learnedVersion = 1

// ExportLearned hands out what was learned.
func (b *Controller) ExportLearned(now float64) (l LearnedState) {
	l.Version, l.UsualGrantedShare = learnedVersion, b.usualGrantedShare
	for _, c := range b.classes {
		l.Classes = append(l.Classes, LearnedClass{c.estimatedWork, c.neededWork, c.neededMemory, c.answers, c.estimatedAnswers, c.logRatios, c.squaredLogRatios, c.slowdown, c.meanWork})
	}
	for _, e := range b.endpoints.ready {
		if e.suspected || e.slowdown != 1 {
			l.Engines = append(l.Engines, LearnedEngine{e.id, e.startedAt, e.slowdown, max(e.ejectedUntil-now, 0), e.ejectionLength, e.suspected})
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
	if l.Version != learnedVersion || len(l.Classes) != len(b.classes) || !sound(l.UsualGrantedShare, age) || !(half > 0) {
		return false
	}
	for _, c := range l.Classes {
		if !sound(c.EstimatedWork, c.NeededWork, c.NeededMemory, c.Answers, c.EstimatedAnswers, c.LogRatios, c.SquaredLogRatios, c.Slowdown, c.MeanWork) || !(c.MeanWork > 0) || !(c.Slowdown > 0) ||
			min(c.EstimatedWork, c.NeededWork, c.NeededMemory, c.Answers, c.EstimatedAnswers, c.SquaredLogRatios) < 0 {
			return false
		}
	}
	b.now = now
	w := math.Exp2(-max(age, 0) / half)
	toward := func(to *float64, was float64) { *to += w * (was - *to) }
	toward(&b.usualGrantedShare, min(max(l.UsualGrantedShare, 0), 2))
	for i, was := range l.Classes {
		c := b.classes[i]
		c.estimatedWork, c.neededWork, c.neededMemory, c.answers = w*was.EstimatedWork, w*was.NeededWork, w*was.NeededMemory, w*was.Answers
		c.estimatedAnswers, c.logRatios, c.squaredLogRatios = w*was.EstimatedAnswers, w*was.LogRatios, w*was.SquaredLogRatios
		toward(&c.slowdown, min(was.Slowdown, 5))
		toward(&c.meanWork, was.MeanWork)
	}
	for _, was := range l.Engines {
		e := b.endpoints.engines[was.ID]
		if e == nil || e.startedAt != was.StartedAt || !sound(was.Slowdown, was.EjectionLeft, was.EjectionLength) || !(was.Slowdown > 0) {
			continue
		}
		toward(&e.slowdown, min(was.Slowdown, 10))
		if left := min(was.EjectionLeft, 8) - age; was.Suspected && left > 0 && b.mayEject() { // the rest that it had left, no more
			e.suspected, e.ejectedUntil, e.ejectionLength = true, now+left, min(max(was.EjectionLength, 1), 8)
		}
	}
	b.applyRules()
	return true
}

// RequestCancelled tells that the client has left.
func (b *Controller) RequestCancelled(now float64, id uint32) {
	b.now = now
	if j := b.requests[id]; j != nil && !j.ended {
		b.finish(j)
	}
	b.applyRules()
}

// PollEnded tells that a poll has ended; a report that came with it has been told by LoadReported.
func (b *Controller) PollEnded(now float64) {
	b.now = now
	b.applyRules()
}

// WakeUp tells that a wake-up asked for is due.
func (b *Controller) WakeUp(now float64) {
	b.now = now
	b.applyRules()
}

// SetCapacityShare tells this gateway's part of every engine, where a fleet divides them; until then it is an even one.
func (b *Controller) SetCapacityShare(now, part float64) {
	b.now, b.capacityShare = now, part
	b.applyRules()
}

// SetGatewayIndex tells this gateway's number among those that there may be, from 0, where a fleet numbers them: parts of cold
// engines' budgets and of tenants' shares go by it. Below 0 it has none, and sends nothing to cold engines.
func (b *Controller) SetGatewayIndex(now float64, index, gateways int) {
	if b.now = now; index == b.settings.GatewayIndex && gateways == b.settings.GatewayCount || gateways <= max(index, 0) {
		return
	}
	for _, t := range b.tenants {
		t.rate *= float64(b.settings.GatewayCount) / float64(gateways)
	}
	if b.capacityShare == 1/float64(b.settings.GatewayCount) { // no part of its own was told
		b.capacityShare = 1 / float64(gateways)
	}
	b.settings.GatewayIndex, b.settings.GatewayCount = index, gateways
	for _, e := range b.endpoints.engines {
		e.slowStartRank, e.slowStartSlot = e.slowStartRankOf(index, gateways, 0), 0
	}
	b.applyRules()
}

// SetRetryBudget tells how many further dispatches beyond the share of jobs taken any window may hold here.
func (b *Controller) SetRetryBudget(now, free float64) {
	b.now, b.settings.RetryBudgetFree = now, free
	b.applyRules()
}

// RetryUse tells how many further dispatches of the window go against what SetRetryBudget told, and how many would.
func (b *Controller) RetryUse(now float64) (used, wanted float64) {
	used = max(b.retries.sum(now, 11)-b.settings.RetryBudgetRatio*b.arrivals.sum(now, 9), 0)
	return used, used + float64(len(b.retryQueue)) + 1
}

// PeerLoadReported takes a report of a load that another gateway asked for, so many seconds old.
func (b *Controller) PeerLoadReported(now, age float64, id uint32, report LoadReport) {
	if e := b.endpoints.engines[id]; e != nil && now-age > e.reportedAt {
		b.LoadReported(now, id, report)
		e.reportedAt, e.polledAt = now-age, max(e.polledAt, now-age)
		b.applyRules()
	}
}

// MemoryUse tells what part of the memory of all engines is granted to this gateway's jobs, and would be with those held.
func (b *Controller) MemoryUse() (used, wanted float64) {
	all := 0.0
	for _, e := range b.endpoints.ready {
		all += b.settings.MachineTypes[e.machineType].Memory
	}
	for _, c := range b.classes {
		used += c.grantedMemory
		for _, j := range c.queue {
			_, counted := b.grant(j, b.settings.MachineTypes[0])
			wanted += counted
		}
	}
	return used / max(all, 1), (used + wanted) / max(all, 1)
}

// MaxGrant is the most that a job of a class would be granted now on any kind of machine, in MB.
func (b *Controller) MaxGrant(class int, memory float64) (most float64) {
	for _, k := range b.settings.MachineTypes {
		_, counted := b.grant(&request{class: b.classes[class], estimatedMemory: memory}, k)
		most = max(most, counted)
	}
	return most
}

// ShutDownAt tells that the gateway ends then: no job's time goes beyond, and what can't be done by then gives way.
func (b *Controller) ShutDownAt(now, at float64) {
	b.now, b.shutDownAt = now, at
	for _, j := range b.deadlines {
		j.deadline = min(j.deadline, at)
	}
	b.applyRules()
}

// updateEndpoint takes in one entry of the endpoint list. A new start voids what was held against the engine's last one.
func (b *Controller) updateEndpoint(now float64, p Endpoint) {
	e := b.endpoints.engine(p.ID, cmp.Or(b.settings.SlowStartBudgetWindow, 1)/10)
	if p.StartedAt > e.startedAt {
		e.startedAt, e.lastAnswerAt, e.slowdown, e.slowStartRank = p.StartedAt, now, 1, e.slowStartRankOf(b.settings.GatewayIndex, b.settings.GatewayCount, 0)
		e.slowStartSlot, e.slowStartSlotWork = 0, 0
		e.suspected, e.ejectionLength, e.overloadedUntil, e.shareFactor = false, 0, 0, 1
	}
	e.zone, e.machineType, e.cell, e.ready, e.listed = p.Zone, min(p.MachineType, len(b.settings.MachineTypes)-1), p.Cell, p.Ready, true
	e.weight, e.listedMachineType = p.Weight, p.MachineType
}
