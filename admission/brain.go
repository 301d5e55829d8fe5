// The decisions of one gateway. Call New, then one method for each event with the time now; what is decided
// leaves through Actions before it returns. Settings and Actions are in iface.go, plain types in state.go. A
// job becomes a memory grant, clamped between bounds, and is dispatched where this gateway's own tallies, by
// engine and class, have room for it, else held in its class's queue. docs/design.md tells the exceptions.
package admission

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Controller is one gateway's state. It is used from one goroutine.
type Controller struct {
	settings    Settings
	actions     Actions
	random      randomSource
	now         float64
	endpoints   endpointList
	requests    map[uint32]*request // the door: ids become objects here
	orderedKeys orderedKeys
	classes     []*classState
	tenants     []*tenant

	deadlines         deadlineHeap
	retryQueue        []*request // dispatched before, waiting for a further dispatch
	toCancel          []*attempt // to be called off
	arrivals, retries slidingWindow
	answers           answerCounts // of all engines' answers

	suspect           *engine       // of the latest outcome
	usualGrantedShare float64       // share of memory granted, at the mean of what was read
	misleadingReports float64       // part of the jobs sent to engines read with room that ran as if there were none
	longestSilences   slidingWindow // the longest at any answer

	nextWatchAt, queuesCheckedAt, silenceCheckedAt, hedgesCheckedAt, capacityFreedAt, wakeUpAt, shutDownAt float64

	capacityShare, poolFactor, poolWidenedAt float64 // this gateway's of every engine; times that it may have while others leave it

	firstListAt                             float64 // its first list
	keysBlockedUntil, slowStartBlockedUntil float64 // until when keys rest and cold engines get nothing, after a life not known

	job    *request // what the rule that fires is about
	engine *engine
}

// rules are gone through after every input, from the top again after each one that fires, until none does.
var rules = []struct {
	when func(*Controller) bool
	then func(*Controller)
}{
	{(*Controller).unwatched, (*Controller).watch},
	{(*Controller).timeUp, (*Controller).giveUp},
	{(*Controller).stalled, (*Controller).forgive},
	{(*Controller).silent, (*Controller).doubt},
	{(*Controller).failing, (*Controller).rest},
	{(*Controller).hasSpent, (*Controller).callOff},
	{(*Controller).stuck, (*Controller).throttle},
	{(*Controller).hopeless, (*Controller).throttle},
	{(*Controller).lagging, func(b *Controller) { b.retryQueue = append(b.retryQueue, b.job) }}, // a second copy
	{(*Controller).unread, (*Controller).read},
	{(*Controller).movable, (*Controller).dispatch},
	{(*Controller).admissible, (*Controller).dispatch},
	{(*Controller).overflowing, (*Controller).throttle},
	{(*Controller).asleep, func(b *Controller) { b.wakeUpAt = b.now + b.wakeUpDelay(); b.actions.WakeAfter(b.wakeUpDelay()) }},
}

func (b *Controller) applyRules() {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(b) {
			rules[i].then(b)
			i = -1
		}
	}
}

// New makes the module of one gateway.
func New(seed uint64, set Settings, out Actions) *Controller {
	b := &Controller{settings: set, actions: out, random: randomSource{seed: seed}, endpoints: endpointList{engines: map[uint32]*engine{}},
		requests: map[uint32]*request{}, orderedKeys: orderedKeys{byKey: map[uint64]*orderedKey{}}, longestSilences: newSlidingWindow(1, 10),
		shutDownAt: math.Inf(1), firstListAt: math.Inf(1), capacityShare: 1 / float64(set.GatewayCount), poolFactor: 1}
	for i := range set.Classes {
		c := &set.Classes[i]
		// Until answers tell, a job is taken to need a third of its SLA time, at a pace near the best.
		guess := max(c.LatencyObjective*c.Threads/3, 0.01)
		b.classes = append(b.classes, &classState{Class: c, slowdown: 1.2, meanWork: guess, completedWork: newSlidingWindow(1, 10)})
	}
	for _, rate := range set.TenantQuotas { // half more than an even part: gateways see uneven ones
		b.tenants = append(b.tenants, &tenant{rate: 1.5 * rate / float64(set.GatewayCount), tokens: rate})
	}
	b.settings.MinPolledWork = cmp.Or(set.MinPolledWork, 0.3)
	width := cmp.Or(set.RetryBudgetWindow, 1) / 10 // a tenth of the window is what the budget is kept too strictly by
	b.arrivals, b.retries, b.answers = newSlidingWindow(width, 11), newSlidingWindow(width, 11), newAnswerCounts()
	return b
}

func (b *Controller) unwatched() bool {
	return b.settings.EndpointsOnRequest && !b.endpoints.watched && b.now >= b.nextWatchAt
}

func (b *Controller) watch() {
	b.nextWatchAt = b.now + 1 + b.random.next() // so that not all gateways repeat a failed call at once
	b.actions.WatchEndpoints()
}

// RequestArrived takes a request.
func (b *Controller) RequestArrived(now float64, r Request) {
	b.now = now
	c := b.classes[r.Class]
	j := &request{id: r.ID, class: c, arrivedAt: now - r.Waited, work: c.meanWork, estimatedWork: r.Work, estimatedMemory: r.Memory, tables: r.Tables}
	j.deadline = min(r.Deadline, b.shutDownAt)
	if r.Work > 0 {
		const weight = 5 // answers' worth of belief in the estimate as told
		j.work = r.Work * (c.neededWork + weight*c.meanWork) / (c.estimatedWork + weight*c.meanWork)
	}
	b.requests[r.ID] = j
	b.arrivals.add(now, 1)
	if j.priorityWeight = c.PriorityWeight; r.Tenant < len(b.tenants) && !b.tenants[r.Tenant].take(now) {
		j.priorityWeight *= b.settings.OverQuotaWeight
	}
	if c.Ordered && r.OrderKey != 0 {
		b.orderedKeys.join(now, r.OrderKey, j)
		j.key.blockedUntil = max(j.key.blockedUntil, b.keysBlockedUntil)
	}
	heap.Push(&b.deadlines, j)
	b.enqueue(j, r.PastAttempts)
	b.applyRules()
}

// finish closes a job: nothing more is sent for it, and what it still has out is called off.
func (b *Controller) finish(j *request) {
	j.ended = true
	j.class.queue, b.retryQueue = remove(j.class.queue, j), remove(b.retryQueue, j)
	if j.key != nil {
		j.key.requests = remove(j.key.requests, j)
	}
	for _, d := range j.attempts {
		if d.inFlight && b.settings.MayCancel && !j.streaming {
			b.actions.CancelAttempt(j.id, d.number)
		}
	}
	if j.inFlight == 0 {
		delete(b.requests, j.id)
	}
}

func (b *Controller) timeUp() bool {
	b.job = b.deadlines.earliest()
	return b.job != nil && b.job.deadline <= b.now
}

func (b *Controller) giveUp() {
	b.actions.Fail(b.job.id)
	b.finish(b.job)
}

// throttle ends the job and asks the client to stay away as long as it may heed. Where a repeat could do harm
// the job is cancelled for good, which promises nothing.
func (b *Controller) throttle() {
	j := b.job
	keyed := j.class.Idempotency == IdempotentWithKey && j.class.DedupScope == DedupEverywhere
	if j.firstThatMayHaveRun() != nil && j.class.Idempotency != Idempotent && !keyed {
		b.giveUp()
		return
	}
	b.actions.Reject(j.id, b.settings.MaxRetryAfter)
	b.finish(j)
}

// hopeless finds a job to throttle because it, or one behind it, would end past its SLA time: time left is
// under the learned run time, or would be by its turn. Then, as Moore and Hodgson do, the one of least billed
// value for its work among those up to there gives way. A wrong estimate of the pace throttles too much.
func (b *Controller) hopeless() bool {
	if b.now < b.queuesCheckedAt+0.02 { // the queues are looked through every fourth tick or so
		return false
	}
	for _, c := range b.classes {
		rate, ahead := c.completedWork.maxRate(), 0.0
		for i, j := range c.queue {
			wait := j.waitForKey(b.now)
			if j.key == nil && rate > 0 {
				wait = ahead / rate
			}
			if left := j.objectiveTime() - b.now - c.expectedDuration(j); left < wait {
				b.job = j
				for _, o := range c.queue[:i] {
					if left >= 0 && o.key == j.key && o.priorityWeight/o.work < b.job.priorityWeight/b.job.work {
						b.job = o
					}
				}
				return true
			}
			ahead += j.work
		}
	}
	b.queuesCheckedAt = b.now
	return false
}

func (b *Controller) overflowing() bool {
	for _, c := range b.classes {
		if len(c.queue) > 200 { // as the post has it
			b.job = c.queue[len(c.queue)-1]
			return true
		}
	}
	return false
}

// ---- grants and tallies

// grant is the memory that a dispatch names, 0 for none, and what the tallies count for it. The least lets
// 3 threads a core fill the memory, which keeps cores from thrashing (the page's 8 did not, 2 idles them).
func (b *Controller) grant(j *request, k MachineType) (named, counted float64) {
	c := j.class
	most := k.Memory * min(0.25, cmp.Or(b.settings.MaxGrantShare, 1))
	least := min(k.Memory*c.Threads/(3*k.Cores), most)
	switch {
	case j.estimatedMemory > 0:
		named = min(max(c.margin()*j.estimatedMemory, least), most)
	case c.answers > 0:
		named = min(max(1.8*c.neededMemory/c.answers, least), most)
	default:
		return 0, least
	}
	return named, named
}

// memoryShare is the part of an engine's memory that this gateway may have granted at once, but for one job of any
// size. The page's twice never bound before engines thrashed; its floor of a most grant overfilled them.
func (b *Controller) memoryShare(e *engine) float64 {
	return b.settings.MachineTypes[e.machineType].Memory * b.pace(e) * e.relativeWeight * e.shareFactor * b.capacityShare
}

// enginesQueueByPriority tells whether engines have a line of their own that lets short jobs first and so bears long ones.
func (b *Controller) enginesQueueByPriority() bool {
	return b.settings.EnginesQueue && b.settings.EnginesTakePriorities
}

// hasCapacity tells whether both tallies have room. The engine's binds under pressure: while it is cold or slow, was
// full of late, or would be if all gateways granted as this one, unless it is patient or read to have room.
func (b *Controller) hasCapacity(j *request, e *engine, pool float64) bool {
	k := b.settings.MachineTypes[e.machineType]
	_, counted := b.grant(j, k)
	spare := b.trustsReports(j) && b.now < e.reportedAt+1 && e.reportedMemory+(e.memorySinceReport+counted)/k.Memory < 0.75
	crowd := e.grantedMemory+counted > k.Memory*b.capacityShare && !b.enginesQueueByPriority() && !b.mayHaveRoom(e, j) && !spare
	pressed := b.pace(e) < 1 && !b.rotatesSlowStartBudget() || e.slowdown > 2 || e.overloadedUntil > 0 && b.now < e.overloadedUntil+2 || crowd
	return (!pressed || e.grantedMemory == 0 || e.grantedMemory+counted <= b.memoryShare(e)) &&
		(j.class.grantedMemory+counted <= pool || j.class.grantedMemory == 0 && b.now > j.arrivedAt+2) // none waits for good
}

// poolCapacity is the memory that the class may have granted: the shares of all usable engines. What is booked on the
// others, a hung one's grants above all, takes no room from it. With many gateways an even part is less than
// chance asks for: patient engines bear two most grants, those that are read four parts of what is free and a
// grant, so that a busy one has what others leave, less as that fills; the parts widen while it holds jobs.
func (b *Controller) poolCapacity(c *classState) float64 {
	sum, most, all := 0.0, 0.0, 0.0
	for _, e := range b.endpoints.ready {
		if b.isAvailable(e) {
			all += b.settings.MachineTypes[e.machineType].Memory * b.pace(e)
			sum += 0.8 * b.memoryShare(e) // engines fill unevenly: at 0.9 and 1, busy fleets jammed
			most = max(most, b.settings.MachineTypes[e.machineType].Memory/4)
			continue
		}
		for _, d := range e.inFlight {
			if d.request.class == c {
				sum += d.memory
			}
		}
	}
	switch {
	case b.enginesQueueByPriority():
		sum = max(sum, 2*most)
	case b.settings.EnginesReportMemory:
		sum = max(sum, (1-b.usualGrantedShare)*(min(4*b.poolFactor*b.capacityShare, 1)*all+most))
	}
	return sum
}

// ---- the choice of engine

func (b *Controller) isAvailable(e *engine) bool { return !e.suspected && b.now >= e.overloadedUntil }

// mayTry tells whether a doubted engine, rested, may show with this light restartable job that it works.
func (b *Controller) mayTry(e *engine, j *request) bool {
	light := slices.MinFunc(b.classes, func(x, y *classState) int { return cmp.Compare(x.meanWork, y.meanWork) })
	return e.suspected && b.now >= max(e.ejectedUntil, e.overloadedUntil) && len(e.inFlight) == 0 &&
		j.class.Idempotency == Idempotent && j.class == light
}

// mayRunOn tells whether the rules let this job go to this engine now.
func (b *Controller) mayRunOn(j *request, e *engine) bool {
	c := j.class
	d := j.firstThatMayHaveRun()
	repeat := d != nil && c.Idempotency == IdempotentWithKey
	return (c.AllowedZones == nil || slices.Contains(c.AllowedZones, e.zone)) &&
		(c.AllowedMachineTypes == nil || slices.Contains(c.AllowedMachineTypes, e.listedMachineType)) &&
		!slices.ContainsFunc(j.attempts, func(d *attempt) bool { return d.inFlight && d.engine == e }) &&
		!(repeat && c.DedupScope == DedupInZone && e.zone != d.engine.zone) &&
		!(repeat && c.DedupScope == DedupInCell && e.cell != d.engine.cell) &&
		b.withinSlowStartBudget(j, e)
}

// withinSlowStartBudget keeps this gateway's part of a cold engine's budget, half of it kept back for wrong estimates.
// By a hash the first gateway has half of that, the second a quarter and so on: never more for any number.
// Of many gateways most would have a part too small for any job, and the first more than it ever needs: for
// them the order is drawn anew in each slot of the clock. A window meets two slots, so each has half.
// What a life before this one sent in the window is not known: one of few gateways, which has a large part,
// starts with nothing for them. That idles cold engines for a window; without it one that crashes again and
// again overfilled them.
func (b *Controller) withinSlowStartBudget(j *request, e *engine) bool {
	if b.pace(e) == 1 || b.now < b.slowStartBlockedUntil || !b.rotatesSlowStartBudget() && b.now < b.firstListAt+b.settings.SlowStartBudgetWindow {
		return b.pace(e) == 1
	}
	budget := b.settings.SlowStartBudgetMultiple * b.settings.SlowStartInitialPace * b.settings.MachineTypes[e.machineType].Cores * b.settings.SlowStartBudgetWindow
	if !b.rotatesSlowStartBudget() {
		return e.recentWork.sum(b.now, 11)+j.work <= math.Ldexp(budget/2, -1-e.slowStartRank)
	}
	slot := uint64(b.now / (1.25 * b.settings.SlowStartBudgetWindow)) // over a window, for the way there and clocks apart
	if e.slowStartSlot != slot {
		e.slowStartSlot, e.slowStartSlotWork, e.slowStartRank = slot, 0, e.slowStartRankOf(b.settings.GatewayIndex, b.settings.GatewayCount, slot)
	}
	return e.slowStartSlotWork+j.work <= math.Ldexp(budget/4, -1-e.slowStartRank)
}

// rotatesSlowStartBudget tells whether cold engines' budgets are parted anew in each slot. Of up to four gateways the last
// has a part that serves, an eighth of the first one's.
func (b *Controller) rotatesSlowStartBudget() bool {
	return b.settings.GatewayCount > 4 && b.settings.SlowStartBudgetWindow > 0
}

// pace is the share of its full pace that an engine has, taken to grow evenly from its start on.
func (b *Controller) pace(e *engine) float64 {
	if e.startedAt == 0 || b.now >= e.startedAt+b.settings.SlowStartWindow {
		return 1
	}
	return b.settings.SlowStartInitialPace + (1-b.settings.SlowStartInitialPace)*max(b.now-e.startedAt, 0)/b.settings.SlowStartWindow
}

// place finds the engine: of two random fitting ones and the job's homes, that with the least load.
func (b *Controller) place(j *request) *engine {
	c := j.class
	if c.unplacedAt > b.capacityFreedAt && b.now < c.unplacedAt+0.05 { // nothing has ended since it fitted nowhere
		return nil
	}
	if b.drawCandidates(j); len(j.candidates) == 0 {
		if c.unplacedAt = b.now; b.usualGrantedShare < 0.5 && c.slowdown < 1.5 && b.now > b.poolWidenedAt+0.05 { // twice in 0.4 s
			b.poolFactor, b.poolWidenedAt = min(1.3*b.poolFactor, float64(b.settings.GatewayCount)), b.now
		}
		return nil
	}
	homes, _ := b.affinity(j)
	best := slices.MinFunc(j.candidates, func(x, y *engine) int {
		return cmp.Compare(b.loadScore(x, j, homes), b.loadScore(y, j, homes))
	})
	// Of unequal engines the first drawn, or the first home, came by its part. It stands unless read fuller, or
	// busier by jobs, more the less alike they are: else the larger would have all while little is open.
	drawn := j.candidates[0]
	if j.tables > 0 && len(homes) > 0 && slices.Contains(j.candidates, homes[0]) {
		drawn = homes[0]
	}
	slack := j.work * (1 - min(drawn.relativeWeight, best.relativeWeight)/max(drawn.relativeWeight, best.relativeWeight))
	fuller := b.mayHaveRoom(best, j) && !b.mayHaveRoom(drawn, j)
	less := drawn.queueTime(j.work-2.5*slack) <= best.queueTime(j.work+slack)
	if slack > 0 && drawn.zone == best.zone && !fuller && less {
		return drawn
	}
	return best
}

// drawCandidates draws the engines that are compared for the job, and keeps to them while they fit.
func (b *Controller) drawCandidates(j *request) {
	pool := b.poolCapacity(j.class)
	misfit := func(e *engine) bool {
		return !b.isAvailable(e) && !b.mayTry(e, j) || !b.mayRunOn(j, e) || !b.hasCapacity(j, e, pool)
	}
	fits := func(e *engine) bool { return !misfit(e) && !slices.Contains(j.candidates, e) }
	j.candidates = slices.DeleteFunc(j.candidates, misfit)
	// Homes give a job four engines to ask; without them a further one is drawn while those asked are full.
	open := func(e *engine) bool { return b.mayHaveRoom(e, j) }
	settled := len(j.candidates) > 0 && (j.tables > 0 || !b.isWorthPolling(j) || slices.ContainsFunc(j.candidates, open))
	if settled || len(b.endpoints.ready) == 0 || j.class.grantedMemory > pool {
		return
	}
	const draws = 6 // then the fleet is gone through in turn, at last without keeping apart
	homes, apart := b.affinity(j)
	at, n, want := 0, len(b.endpoints.ready), max(len(j.candidates)+1, 2)
	for i := 0; i < 2*n+draws && len(j.candidates) < want && (i < n+draws || len(j.candidates) == 0); i++ {
		if i <= draws {
			at = b.endpoints.pickByWeight(b.random.next(), i)
		}
		e := b.endpoints.ready[(at+i)%n]
		if (apart(e) || i >= n+draws) && fits(e) {
			j.candidates = append(j.candidates, e)
		}
	}
	if b.rotatesSlowStartBudget() { // and one that is cold, in this gateway's slot
		cold := func(e *engine) bool { return b.pace(e) < 1 && apart(e) && fits(e) }
		if at := slices.IndexFunc(b.endpoints.ready, cold); at >= 0 {
			j.candidates = append(j.candidates, b.endpoints.ready[at])
		}
	}
	j.candidates = append(j.candidates, slices.DeleteFunc(homes, func(e *engine) bool { return !fits(e) })...)
}

// isWorthPolling tells whether the job loses less by waiting for a reading, which the whole fleet pays for, than by a
// poor choice: one over 0.3 s; while such jobs run slowly, one over what the settings have questions from.
func (b *Controller) isWorthPolling(j *request) bool {
	long := j.work > 0.3 || j.class.slowdown > 1.1 && j.work > b.settings.MinPolledWork
	return b.settings.EnginesReportMemory && j.polls < 4 && long && b.trustsReports(j)
}

// unread finds a held job whose best engine has no reading. They are asked one after another, four at most,
// until the best is one that was read: the fleet pays for each probe, and with room anywhere one or two do.
func (b *Controller) unread() bool {
	for _, c := range b.classes {
		j := c.nextRequest(b.now)
		if j == nil || !b.isWorthPolling(j) || j.awaitsReport(b.now) {
			continue
		}
		if e := b.place(j); e != nil && b.isPollDue(e) {
			b.job, b.engine = j, e
			return true
		}
	}
	return false
}

// isPollDue tells whether the engine is worth a question: asked longer ago than a reading holds, and not cold,
// when little may go there.
func (b *Controller) isPollDue(e *engine) bool { return b.pace(e) == 1 && b.now > e.polledAt+0.8 }

func (b *Controller) read() {
	b.job.polls++
	b.job.polled, b.engine.polledAt = b.engine, b.now
	b.actions.PollLoad(b.engine.id)
}

// awaitsReport tells whether the reading that was asked for the job is still to come.
func (j *request) awaitsReport(now float64) bool {
	return j.polled != nil && j.polled.reportedAt < j.polled.polledAt && now < j.polled.polledAt+0.015
}

// hasReportedRoom tells whether the engine was read a moment ago with room left, own jobs since then counted. Up to
// two thirds of its cores and memory in use jobs run as if alone, so any such engine is as good as the best.
func (b *Controller) hasReportedRoom(e *engine, j *request) bool {
	k := b.settings.MachineTypes[e.machineType]
	used := max(e.reportedMemory+e.memorySinceReport/k.Memory, e.reportedCPU+e.threadsSinceReport/k.Cores)
	return b.trustsReports(j) && b.now < e.reportedAt+1 && used < 0.65
}

// mayHaveRoom tells whether the engine was read with room, or is worth a question for the job.
func (b *Controller) mayHaveRoom(e *engine, j *request) bool {
	return b.hasReportedRoom(e, j) || b.isWorthPolling(j) && b.isPollDue(e)
}

// trustsReports tells whether the job goes by readings: not while of those sent to engines read with room over a
// fifth ran for twice as long as alone, as by chance on busy engines; each eighth job tries them again.
func (b *Controller) trustsReports(j *request) bool { return b.misleadingReports < 0.2 || j.id%8 == 0 }

// LoadReported takes a load report.
func (b *Controller) LoadReported(now float64, id uint32, report LoadReport) {
	b.now = now
	e := b.endpoints.engines[id]
	if e == nil {
		return
	}
	if report.MemoryGranted.reported {
		e.reportedMemory, e.reportedCPU, e.reportedAt, e.memorySinceReport, e.threadsSinceReport = min(report.MemoryGranted.value, 2), max(report.CPU.value, 0), now, 0, 0
		b.usualGrantedShare += 0.05 * (e.reportedMemory - b.usualGrantedShare)
		b.poolFactor = max(b.poolFactor*min(1.5-b.usualGrantedShare, 1), 1)
	}
	if report.Waiting.reported {
		e.shareFactor = b.nextShareFactor(e, report.Waiting.value)
	}
}

// nextShareFactor is how far the gateway's share of an engine opens where others leave room: slowly on reports that
// nobody waits there, halved by each that tells of one, so that hundreds of gateways that read the same do
// not swing; and back soon while jobs of any type run for longer than alone, which tells before a line forms.
func (b *Controller) nextShareFactor(e *engine, waiting float64) float64 {
	slow := slices.ContainsFunc(b.classes, func(c *classState) bool { return c.answers > 0 && c.slowdown > 1.2 })
	switch {
	case waiting > 0:
		return 1 + (e.shareFactor-1)/2
	case slow:
		return max(e.shareFactor-0.05, 1)
	}
	return min(e.shareFactor+0.01, 2.5)
}

// affinity are the engines that keep the job's data set warm: the first two of the own zone in an order by hash,
// the same at every gateway. Loads hold their set, so they avoid this gateway's others of that set; where
// reads stand still behind them, loads take the order's far half and such reads the near one.
func (b *Controller) affinity(j *request) (homes []*engine, apart func(*engine) bool) {
	ranked := b.endpoints.affinityOrder(j.tables)
	near := func(e *engine) bool { return 2*slices.Index(ranked, e) < len(ranked) }
	waits := slices.ContainsFunc(b.classes, func(c *classState) bool { return c.BlockedByWrites })
	for _, e := range ranked {
		if j.tables > 0 && !j.class.WritesTables && len(homes) < 2 && e.zone == b.settings.Zone {
			homes = append(homes, e)
		}
	}
	return homes, func(e *engine) bool {
		if j.class.WritesTables {
			return !e.isWriting(j.tables) && !(waits && near(e))
		}
		return !j.class.BlockedByWrites || near(e) && !e.isWriting(j.tables)
	}
}

// loadScore is the engine's own estimated work, the job's with it, over what it gets done. The memory granted by
// all gateways counts with it where it is read, a full engine as a second for each core; else the usual one.
func (b *Controller) loadScore(e *engine, j *request, homes []*engine) float64 {
	k, work, granted := b.settings.MachineTypes[e.machineType], j.work, b.usualGrantedShare
	if slices.Contains(homes, e) {
		work *= 0.6 // reading is about half of the work, and a warm set saves most of it
	}
	switch {
	case b.mayHaveRoom(e, j): // which may have room
		granted = 0
	case b.pace(e) < 1 && b.rotatesSlowStartBudget(): // its budget bounds what all have there
		granted = 0
	case b.trustsReports(j) && b.now < e.reportedAt+1: // some of what was read then still runs
		granted = e.reportedMemory + e.memorySinceReport/k.Memory
	}
	work = (e.pendingWork + work + granted*k.Cores) * e.slowdown / (k.Cores * b.pace(e) * e.relativeWeight)
	if e.zone != b.settings.Zone {
		work *= 1.5 + 0.3/max(j.work, 0.2) // crossing has one price a job; over 3, short ones piled up near
	}
	return work
}

// admissible finds the oldest first held job that fits somewhere and has waited for readings asked for.
func (b *Controller) admissible() bool {
	b.job = nil
	for _, c := range b.classes {
		j := c.nextRequest(b.now)
		if j == nil || b.job != nil && j.arrivedAt >= b.job.arrivedAt || j.awaitsReport(b.now) {
			continue
		}
		if e := b.place(j); e != nil {
			b.job, b.engine = j, e
		}
	}
	return b.job != nil
}

func (j *request) isNextOfItsKey(now float64) bool {
	l := j.key
	return l == nil || len(j.attempts) > 0 || l.requests[0] == j && l.inFlight == 0 && now >= l.blockedUntil
}

// mayRetry tells whether the rules let the job have a further dispatch, whatever it still has out.
func (b *Controller) mayRetry(j *request) bool {
	d := j.firstThatMayHaveRun()
	return !j.ended && !j.streaming && len(j.attempts) < b.settings.MaxAttempts &&
		(d == nil || j.class.Idempotency == Idempotent ||
			j.class.Idempotency == IdempotentWithKey && b.now < d.startedAt+j.class.IdempotencyWindow-0.1) // a margin for clocks and ticks
}

// withinRetryBudget counts the extra over a bucket more than the window, the jobs taken over a bucket less.
func (b *Controller) withinRetryBudget() bool {
	return b.settings.RetryBudgetWindow == 0 ||
		b.retries.sum(b.now, 11)+1 <= b.settings.RetryBudgetFree+b.settings.RetryBudgetRatio*b.arrivals.sum(b.now, 9)
}

// stuck finds a job waiting to go again that may not, or would end late.
func (b *Controller) stuck() bool {
	for _, j := range b.retryQueue {
		if j.inFlight == 0 && (!b.mayRetry(j) || b.now+j.class.expectedDuration(j) > j.objectiveTime()) {
			b.job = j
			return true
		}
	}
	return false
}

// Preempt asks that a restartable job's dispatch be called off so that another job fits. It goes again once
// that one has gone. The rules on further dispatches hold for it; false says that they forbid it.
func (b *Controller) Preempt(now float64, id, to uint32) bool {
	b.now = now
	j, o := b.requests[id], b.requests[to]
	may := j != nil && o != nil && b.settings.MayCancel && j.class.Idempotency == Idempotent && j.inFlight == 1 &&
		b.mayRetry(j) && len(o.attempts) == 0 && b.withinRetryBudget() && !j.firstThatMayHaveRun().cancelRequested
	if may {
		j.preemptedFor = o
		b.toCancel = append(b.toCancel, j.attempts[len(j.attempts)-1])
	}
	b.applyRules()
	return may
}

func (b *Controller) movable() bool {
	for _, j := range b.retryQueue {
		if o := j.preemptedFor; o != nil && !o.ended && len(o.attempts) == 0 {
			continue
		}
		if (j.inFlight == 0 || b.settings.MayHedge) && b.mayRetry(j) && b.withinRetryBudget() {
			if b.job, b.engine = j, b.place(j); b.engine != nil {
				return true
			}
		}
	}
	return false
}

// lagging finds a light job that an engine keeps for long while it answers others: it stands behind a load of
// its data set, or its answer was lost. A copy costs little, but is wasted where estimates are poor.
func (b *Controller) lagging() bool {
	if !b.settings.MayHedge || b.now < b.hedgesCheckedAt+0.02 { // as the queues
		return false
	}
	for _, e := range b.endpoints.ready {
		for _, d := range e.inFlight {
			if j := d.request; j.work < 0.3 && len(j.attempts) == 1 && e.lastAnswerAt > d.startedAt && // nine in ten are done by:
				b.now > d.startedAt+3*max(d.expectedDuration, j.class.meanWork) && b.mayRetry(j) && !slices.Contains(b.retryQueue, j) {
				b.job = j
				return true
			}
		}
	}
	b.hedgesCheckedAt = b.now
	return false
}

// dispatch sends the job to the engine and books its grant.
func (b *Controller) dispatch() {
	j, e, c := b.job, b.engine, b.job.class
	named, counted := b.grant(j, b.settings.MachineTypes[e.machineType])
	if len(j.attempts) > 0 {
		b.retries.add(b.now, 1)
	}
	c.queue, b.retryQueue = remove(c.queue, j), remove(b.retryQueue, j)
	j.candidates = nil
	e.memorySinceReport += counted
	e.threadsSinceReport += c.Threads
	e.recentWork.add(b.now, j.work)
	e.slowStartSlotWork += j.work
	d := &attempt{request: j, engine: e, startedAt: b.now, expectedDuration: c.expectedDuration(j) * e.slowdown, memory: counted, hadReportedRoom: b.hasReportedRoom(e, j)}
	d.book()
	if priority := uint8(1); b.settings.EnginesTakeGrants && named > 0 || b.settings.EnginesTakePriorities {
		if j.work < 0.3 { // short jobs cost the long ones little
			priority = 3
		}
		b.actions.SetAttemptTerms(j.id, priority, named)
	}
	b.actions.StartAttempt(j.id, e.id)
}

// AttemptEnded tells how an attempt ended.
func (b *Controller) AttemptEnded(now float64, id uint32, number int, result AttemptResult) {
	b.now = now
	j, status := b.requests[id], result.Status
	if j == nil || number >= len(j.attempts) || !j.attempts[number].inFlight {
		return
	}
	d := j.attempts[number]
	d.mayHaveRun = status != Overloaded && status != ConnectFailed && status != NotStarted
	b.recordResult(d, result)
	d.release()
	b.capacityFreedAt = now
	if j.key != nil && (status == TimedOut || status == ConnectionReset || status == Cancelled) {
		j.key.blockedUntil = now + b.settings.OrderedKeyBackoff
	}
	switch {
	case j.ended:
		if j.inFlight == 0 {
			delete(b.requests, j.id)
		}
	case result.Final || status == Succeeded:
		b.finish(j)
	case j.inFlight == 0 && !slices.Contains(b.retryQueue, j):
		b.retryQueue = append(b.retryQueue, j)
	}
	b.applyRules()
}

// recordResult learns from an outcome, for the class and the engine.
func (b *Controller) recordResult(d *attempt, result AttemptResult) {
	status, took, work, memory := result.Status, result.Duration, result.Work, result.Memory
	e, c, now, ok, bad := d.engine, d.request.class, b.now, 0.0, 0.0
	b.suspect = e
	if status == Succeeded || status == Overloaded || status == Failed {
		b.longestSilences.raiseTo(now, e.overdueAnswers(now))
		e.lastAnswerAt = now
	}
	switch status {
	case Succeeded:
		ok = 1
		e.trialsPassed++
		e.suspected = e.suspected && e.trialsPassed < 3 // one answer may be luck where a part fails
		if work > 0 {
			const keep = 0.98 // about the last fifty answers
			c.answers, c.neededMemory = c.answers*keep+1, c.neededMemory*keep+memory
			c.neededWork, c.estimatedWork = c.neededWork*keep+work, c.estimatedWork*keep+d.request.estimatedWork
			c.meanWork = c.neededWork / c.answers
			if d.request.estimatedMemory > 0 && memory > 0 {
				log := math.Log(memory / d.request.estimatedMemory)
				c.estimatedAnswers, c.logRatios, c.squaredLogRatios = c.estimatedAnswers*keep+1, c.logRatios*keep+log, c.squaredLogRatios*keep+log*log
			}
		}
		work = cmp.Or(work, d.request.work)
		c.completedWork.add(now, work)
		pace := took * c.Threads / max(work, 0.001)
		if d.hadReportedRoom {
			b.misleadingReports += 0.1 * (min(math.Floor(pace/2), 1) - b.misleadingReports)
		}
		c.slowdown += 0.05 * (min(pace, 5) - c.slowdown)
		e.slowdown += 0.1 * (min(pace/c.slowdown, 10) - e.slowdown)
	case Overloaded:
		e.shareFactor, b.poolFactor = 1, max(b.poolFactor/2, 1)
		e.overloadedUntil = now + 0.2 // long enough for a few answers
	case Failed, ConnectionReset: // one connection may be lost alone: an engine that is gone takes no new one
		bad = 1
	case TimedOut: // but not when little time was left
		e.shareFactor = 1
		bad = min(math.Floor(took/(3*d.expectedDuration)), 1)
	case ConnectFailed: // the process is gone, unless it has just answered: then that connection came up late
		if bad = 3; e.lastAnswerAt > 0 && now < e.lastAnswerAt+1 {
			bad = 1
		}
	}
	if e.answers.add(now, ok, bad); bad < 3 {
		b.answers.add(now, ok, bad)
	}
}

// ---- the health of engines

// silenceRatio is how unusual the engine's silence is, given the longest gap seen of late at any engine. Under a
// second it is none: a pause may take as long, and moving jobs sooner costs more work than waiting.
func (b *Controller) silenceRatio(e *engine) float64 {
	if len(e.inFlight) == 0 || b.now-max(e.lastAnswerAt, e.inFlight[0].startedAt) < 1 {
		return 0
	}
	return e.overdueAnswers(b.now) / max(b.longestSilences.maxRate()*b.longestSilences.width, 4) // 4 answers overdue are nothing unusual
}

// stalled tells, by a wake-up far behind its time, that the gateway itself stood still: no engine was silent.
func (b *Controller) stalled() bool { return b.wakeUpAt > 0 && b.now > b.wakeUpAt+0.1 }

func (b *Controller) forgive() {
	b.wakeUpAt = b.now
	for _, e := range b.endpoints.ready {
		e.lastAnswerAt = b.now
	}
}

// mayEject keeps half of the fleet in use whatever it looks like: when all are slow at once none is to blame.
func (b *Controller) mayEject() bool {
	sound := slices.DeleteFunc(slices.Clone(b.endpoints.ready), func(e *engine) bool { return e.suspected })
	return 2*(len(sound)-1) >= len(b.endpoints.ready)
}

// silent finds an engine whose silence is far out of the ordinary, and of the others'. It answers hangs and
// machines gone without a word; a long pause looks the same and costs the work called off.
func (b *Controller) silent() bool {
	if b.now < b.silenceCheckedAt+0.1 {
		return false
	}
	all := []float64{0}
	for _, e := range b.endpoints.ready {
		if len(e.inFlight) > 0 {
			all = append(all, b.silenceRatio(e))
		}
	}
	slices.Sort(all)
	for _, e := range b.endpoints.ready {
		if s := b.silenceRatio(e); s > 2 && s > 3*all[(len(all)-1)/2] &&
			(!e.suspected && b.mayEject() || e.suspected && b.now >= e.ejectedUntil) {
			b.engine = e
			return true
		}
	}
	b.silenceCheckedAt = b.now
	return false
}

// doubt rests the engine and moves what it holds, where the rules let a job that may have run go again.
func (b *Controller) doubt() {
	b.rest()
	for _, d := range b.engine.inFlight {
		switch {
		case d.request.inFlight > 1 || !b.mayRetry(d.request):
		case b.settings.MayCancel:
			b.toCancel = append(b.toCancel, d)
		case b.settings.MayHedge && !slices.Contains(b.retryQueue, d.request):
			b.retryQueue = append(b.retryQueue, d.request)
		}
	}
}

// failing finds an engine with a high share of failures, its own and over the usual: quick ones make it look
// idle, and it would draw more; slow ones are time-outs. Few answers do; all failing alike blame none.
func (b *Controller) failing() bool {
	e := b.suspect
	if b.suspect = nil; e == nil {
		return false
	}
	b.engine = e
	bad := e.answers.failureShare(b.now, 4)
	fails := bad > max(0.25, 3*b.answers.failureShare(b.now, 4)) // a stray error among many answers is none
	return !e.suspected && fails && b.mayEject() || e.suspected && bad > 0 && b.now >= e.ejectedUntil
}

// rest keeps jobs from it, twice as long at each relapse.
func (b *Controller) rest() {
	e := b.engine
	if b.now > e.ejectedUntil+10 {
		e.ejectionLength = 0
	}
	e.ejectionLength = min(max(2*e.ejectionLength, 1), 8)
	e.ejectedUntil = b.now + e.ejectionLength
	e.suspected, e.trialsPassed, e.answers = true, 0, newAnswerCounts()
}

func (b *Controller) hasSpent() bool {
	b.toCancel = slices.DeleteFunc(b.toCancel, func(d *attempt) bool { return !d.inFlight || d.cancelRequested || d.request.ended })
	return len(b.toCancel) > 0
}

func (b *Controller) callOff() {
	d := b.toCancel[0]
	d.cancelRequested = true
	b.actions.CancelAttempt(d.request.id, d.number)
}

// AttemptProgressed tells how far a dispatch is: topic 1 its share done. One at a fifth of its expected pace has a bad
// plan, or a bad engine; a fresh dispatch will end before it.
func (b *Controller) AttemptProgressed(now float64, id uint32, number, topic int, amount float64) {
	b.now = now
	if j := b.requests[id]; j != nil && number < len(j.attempts) && j.attempts[number].inFlight {
		d := j.attempts[number]
		if topic == 1 && amount > d.progress {
			d.engine.lastAnswerAt, d.progress = now, amount // work goes on: no silence, whatever is waited for
		}
		runaway := topic == 1 && now-d.startedAt > max(d.expectedDuration/2, 5*amount*d.expectedDuration)
		if runaway && b.settings.MayCancel && j.class.Idempotency == Idempotent && j.inFlight == 1 && b.mayRetry(j) {
			b.toCancel = append(b.toCancel, d)
		}
	}
	b.applyRules()
}

func (b *Controller) asleep() bool {
	const hair = 0.001 // a wake-up may come that much before the time asked for, which must not end them
	return (b.now > b.wakeUpAt-hair || b.wakeUpAt > b.now+b.wakeUpDelay()+hair) &&
		(len(b.deadlines) > 0 || b.settings.EndpointsOnRequest && !b.endpoints.watched)
}

// wakeUpDelay is 10 ms while jobs are held, for the queues; else a tenth of a second, for silences, or to a give-up.
func (b *Controller) wakeUpDelay() float64 {
	held := slices.ContainsFunc(b.classes, func(c *classState) bool { return len(c.queue) > 0 })
	if j := b.deadlines.earliest(); j != nil && !held && len(b.retryQueue) == 0 {
		return min(max(j.deadline-b.now, 0.01), 0.1)
	}
	return 0.01
}
