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
	set     Settings
	out     Actions
	dice    dice
	now     float64
	roster  roster
	jobs    map[uint32]*job // the door: ids become objects here
	lines   keyLines
	classes []*class
	tenants []*tenant

	giveUps      byGiveUp
	again        []*job      // dispatched before, waiting for a further dispatch
	spent        []*dispatch // to be called off
	taken, extra ring
	record       record // of all engines' answers

	suspect   *engine // of the latest outcome
	usualRead float64 // share of memory granted, at the mean of what was read
	misled    float64 // part of the jobs sent to engines read with room that ran as if there were none
	overdue   ring    // the longest at any answer

	askAt, swept, looked, lagged, freed, bell, ends float64

	part, wide, widened float64 // this gateway's of every engine; times that it may have while others leave it

	began           float64 // its first list
	rested, chilled float64 // until when keys rest and cold engines get nothing, after a life not known

	job    *job // what the rule that fires is about
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
	{(*Controller).lagging, func(b *Controller) { b.again = append(b.again, b.job) }}, // a second copy
	{(*Controller).unread, (*Controller).read},
	{(*Controller).movable, (*Controller).dispatch},
	{(*Controller).admissible, (*Controller).dispatch},
	{(*Controller).overflowing, (*Controller).throttle},
	{(*Controller).asleep, func(b *Controller) { b.bell = b.now + b.nap(); b.out.WakeAfter(b.nap()) }},
}

func (b *Controller) settle() {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(b) {
			rules[i].then(b)
			i = -1
		}
	}
}

// New makes the module of one gateway.
func New(seed uint64, set Settings, out Actions) *Controller {
	b := &Controller{set: set, out: out, dice: dice{seed: seed}, roster: roster{engines: map[uint32]*engine{}},
		jobs: map[uint32]*job{}, lines: keyLines{of: map[uint64]*keyLine{}}, overdue: newRing(1, 10),
		ends: math.Inf(1), began: math.Inf(1), part: 1 / float64(set.GatewayCount), wide: 1}
	for i := range set.Classes {
		c := &set.Classes[i]
		// Until answers tell, a job is taken to need a third of its SLA time, at a pace near the best.
		guess := max(c.LatencyObjective*c.Threads/3, 0.01)
		b.classes = append(b.classes, &class{Class: c, slow: 1.2, mean: guess, done: newRing(1, 10)})
	}
	for _, rate := range set.TenantQuotas { // half more than an even part: gateways see uneven ones
		b.tenants = append(b.tenants, &tenant{rate: 1.5 * rate / float64(set.GatewayCount), tokens: rate})
	}
	b.set.MinPolledWork = cmp.Or(set.MinPolledWork, 0.3)
	width := cmp.Or(set.RetryBudgetWindow, 1) / 10 // a tenth of the window is what the budget is kept too strictly by
	b.taken, b.extra, b.record = newRing(width, 11), newRing(width, 11), newRecord()
	return b
}

func (b *Controller) unwatched() bool {
	return b.set.EndpointsOnRequest && !b.roster.watched && b.now >= b.askAt
}

func (b *Controller) watch() {
	b.askAt = b.now + 1 + b.dice.draw() // so that not all gateways repeat a failed call at once
	b.out.WatchEndpoints()
}

// RequestArrived takes a request.
func (b *Controller) RequestArrived(now float64, r Request) {
	b.now = now
	c := b.classes[r.Class]
	j := &job{id: r.ID, class: c, taken: now - r.Waited, work: c.mean, told: r.Work, memory: r.Memory, tables: r.Tables}
	j.giveUp = min(r.Deadline, b.ends)
	if r.Work > 0 {
		const weight = 5 // answers' worth of belief in the estimate as told
		j.work = r.Work * (c.work + weight*c.mean) / (c.told + weight*c.mean)
	}
	b.jobs[r.ID] = j
	b.taken.add(now, 1)
	if j.value = c.PriorityWeight; r.Tenant < len(b.tenants) && !b.tenants[r.Tenant].take(now) {
		j.value *= b.set.OverQuotaWeight
	}
	if c.Ordered && r.OrderKey != 0 {
		b.lines.join(now, r.OrderKey, j)
		j.line.restUntil = max(j.line.restUntil, b.rested)
	}
	heap.Push(&b.giveUps, j)
	b.enqueue(j, r.PastAttempts)
	b.settle()
}

// end closes a job: nothing more is sent for it, and what it still has out is called off.
func (b *Controller) end(j *job) {
	j.ended = true
	j.class.queue, b.again = remove(j.class.queue, j), remove(b.again, j)
	if j.line != nil {
		j.line.jobs = remove(j.line.jobs, j)
	}
	for _, d := range j.dispatches {
		if d.out && b.set.MayCancel && !j.begun {
			b.out.CancelAttempt(j.id, d.number)
		}
	}
	if j.out == 0 {
		delete(b.jobs, j.id)
	}
}

func (b *Controller) timeUp() bool {
	b.job = b.giveUps.first()
	return b.job != nil && b.job.giveUp <= b.now
}

func (b *Controller) giveUp() {
	b.out.Fail(b.job.id)
	b.end(b.job)
}

// throttle ends the job and asks the client to stay away as long as it may heed. Where a repeat could do harm
// the job is cancelled for good, which promises nothing.
func (b *Controller) throttle() {
	j := b.job
	keyed := j.class.Idempotency == IdempotentWithKey && j.class.DedupScope == DedupEverywhere
	if j.first() != nil && j.class.Idempotency != Idempotent && !keyed {
		b.giveUp()
		return
	}
	b.out.Reject(j.id, b.set.MaxRetryAfter)
	b.end(j)
}

// hopeless finds a job to throttle because it, or one behind it, would end past its SLA time: time left is
// under the learned run time, or would be by its turn. Then, as Moore and Hodgson do, the one of least billed
// value for its work among those up to there gives way. A wrong estimate of the pace throttles too much.
func (b *Controller) hopeless() bool {
	if b.now < b.swept+0.02 { // the queues are looked through every fourth tick or so
		return false
	}
	for _, c := range b.classes {
		rate, ahead := c.done.most(), 0.0
		for i, j := range c.queue {
			wait := j.wait(b.now)
			if j.line == nil && rate > 0 {
				wait = ahead / rate
			}
			if left := j.inTime() - b.now - c.run(j); left < wait {
				b.job = j
				for _, o := range c.queue[:i] {
					if left >= 0 && o.line == j.line && o.value/o.work < b.job.value/b.job.work {
						b.job = o
					}
				}
				return true
			}
			ahead += j.work
		}
	}
	b.swept = b.now
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
func (b *Controller) grant(j *job, k MachineType) (named, counted float64) {
	c := j.class
	most := k.Memory * min(0.25, cmp.Or(b.set.MaxGrantShare, 1))
	least := min(k.Memory*c.Threads/(3*k.Cores), most)
	switch {
	case j.memory > 0:
		named = min(max(c.margin()*j.memory, least), most)
	case c.answers > 0:
		named = min(max(1.8*c.memory/c.answers, least), most)
	default:
		return 0, least
	}
	return named, named
}

// share is the part of an engine's memory that this gateway may have granted at once, but for one job of any
// size. The page's twice never bound before engines thrashed; its floor of a most grant overfilled them.
func (b *Controller) share(e *engine) float64 {
	return b.set.MachineTypes[e.kind].Memory * b.warmth(e) * e.part * e.ease * b.part
}

// patient tells whether engines have a line of their own that lets short jobs first and so bears long ones.
func (b *Controller) patient() bool { return b.set.EnginesQueue && b.set.EnginesTakePriorities }

// fits tells whether both tallies have room. The engine's binds under pressure: while it is cold or slow, was
// full of late, or would be if all gateways granted as this one, unless it is patient or read to have room.
func (b *Controller) fits(j *job, e *engine, pool float64) bool {
	k := b.set.MachineTypes[e.kind]
	_, counted := b.grant(j, k)
	spare := b.believes(j) && b.now < e.readAt+1 && e.granted+(e.since+counted)/k.Memory < 0.75
	crowd := e.tally+counted > k.Memory*b.part && !b.patient() && !b.open(e, j) && !spare
	pressed := b.warmth(e) < 1 && !b.rotates() || e.slow > 2 || e.fullUntil > 0 && b.now < e.fullUntil+2 || crowd
	return (!pressed || e.tally == 0 || e.tally+counted <= b.share(e)) &&
		(j.class.tally+counted <= pool || j.class.tally == 0 && b.now > j.taken+2) // none waits for good
}

// pool is the memory that the class may have granted: the shares of all usable engines. What is booked on the
// others, a hung one's grants above all, takes no room from it. With many gateways an even part is less than
// chance asks for: patient engines bear two most grants, those that are read four parts of what is free and a
// grant, so that a busy one has what others leave, less as that fills; the parts widen while it holds jobs.
func (b *Controller) pool(c *class) float64 {
	sum, most, all := 0.0, 0.0, 0.0
	for _, e := range b.roster.fleet {
		if b.usable(e) {
			all += b.set.MachineTypes[e.kind].Memory * b.warmth(e)
			sum += 0.8 * b.share(e) // engines fill unevenly: at 0.9 and 1, busy fleets jammed
			most = max(most, b.set.MachineTypes[e.kind].Memory/4)
			continue
		}
		for _, d := range e.live {
			if d.job.class == c {
				sum += d.grant
			}
		}
	}
	switch {
	case b.patient():
		sum = max(sum, 2*most)
	case b.set.EnginesReportMemory:
		sum = max(sum, (1-b.usualRead)*(min(4*b.wide*b.part, 1)*all+most))
	}
	return sum
}

// ---- the choice of engine

func (b *Controller) usable(e *engine) bool { return !e.doubted && b.now >= e.fullUntil }

// onTrial tells whether a doubted engine, rested, may show with this light restartable job that it works.
func (b *Controller) onTrial(e *engine, j *job) bool {
	light := slices.MinFunc(b.classes, func(x, y *class) int { return cmp.Compare(x.mean, y.mean) })
	return e.doubted && b.now >= max(e.restUntil, e.fullUntil) && len(e.live) == 0 &&
		j.class.Idempotency == Idempotent && j.class == light
}

// allowed tells whether the rules let this job go to this engine now.
func (b *Controller) allowed(j *job, e *engine) bool {
	c := j.class
	d := j.first()
	repeat := d != nil && c.Idempotency == IdempotentWithKey
	return (c.AllowedZones == nil || slices.Contains(c.AllowedZones, e.zone)) &&
		(c.AllowedMachineTypes == nil || slices.Contains(c.AllowedMachineTypes, e.listedKind)) &&
		!slices.ContainsFunc(j.dispatches, func(d *dispatch) bool { return d.out && d.engine == e }) &&
		!(repeat && c.DedupScope == DedupInZone && e.zone != d.engine.zone) &&
		!(repeat && c.DedupScope == DedupInCell && e.cell != d.engine.cell) &&
		b.withinCold(j, e)
}

// withinCold keeps this gateway's part of a cold engine's budget, half of it kept back for wrong estimates.
// By a hash the first gateway has half of that, the second a quarter and so on: never more for any number.
// Of many gateways most would have a part too small for any job, and the first more than it ever needs: for
// them the order is drawn anew in each slot of the clock. A window meets two slots, so each has half.
// What a life before this one sent in the window is not known: one of few gateways, which has a large part,
// starts with nothing for them. That idles cold engines for a window; without it one that crashes again and
// again overfilled them.
func (b *Controller) withinCold(j *job, e *engine) bool {
	if b.warmth(e) == 1 || b.now < b.chilled || !b.rotates() && b.now < b.began+b.set.SlowStartBudgetWindow {
		return b.warmth(e) == 1
	}
	budget := b.set.SlowStartBudgetMultiple * b.set.SlowStartInitialPace * b.set.MachineTypes[e.kind].Cores * b.set.SlowStartBudgetWindow
	if !b.rotates() {
		return e.sentWork.sum(b.now, 11)+j.work <= math.Ldexp(budget/2, -1-e.turn)
	}
	slot := uint64(b.now / (1.25 * b.set.SlowStartBudgetWindow)) // over a window, for the way there and clocks apart
	if e.slot != slot {
		e.slot, e.slotWork, e.turn = slot, 0, e.turnOf(b.set.GatewayIndex, b.set.GatewayCount, slot)
	}
	return e.slotWork+j.work <= math.Ldexp(budget/4, -1-e.turn)
}

// rotates tells whether cold engines' budgets are parted anew in each slot. Of up to four gateways the last
// has a part that serves, an eighth of the first one's.
func (b *Controller) rotates() bool { return b.set.GatewayCount > 4 && b.set.SlowStartBudgetWindow > 0 }

// warmth is the share of its full pace that an engine has, taken to grow evenly from its start on.
func (b *Controller) warmth(e *engine) float64 {
	if e.up == 0 || b.now >= e.up+b.set.SlowStartWindow {
		return 1
	}
	return b.set.SlowStartInitialPace + (1-b.set.SlowStartInitialPace)*max(b.now-e.up, 0)/b.set.SlowStartWindow
}

// place finds the engine: of two random fitting ones and the job's homes, that with the least load.
func (b *Controller) place(j *job) *engine {
	c := j.class
	if c.tried > b.freed && b.now < c.tried+0.05 { // nothing has ended since it fitted nowhere
		return nil
	}
	if b.draft(j); len(j.draft) == 0 {
		if c.tried = b.now; b.usualRead < 0.5 && c.slow < 1.5 && b.now > b.widened+0.05 { // twice in 0.4 s
			b.wide, b.widened = min(1.3*b.wide, float64(b.set.GatewayCount)), b.now
		}
		return nil
	}
	homes, _ := b.homes(j)
	best := slices.MinFunc(j.draft, func(x, y *engine) int {
		return cmp.Compare(b.load(x, j, homes), b.load(y, j, homes))
	})
	// Of unequal engines the first drawn, or the first home, came by its part. It stands unless read fuller, or
	// busier by jobs, more the less alike they are: else the larger would have all while little is open.
	drawn := j.draft[0]
	if j.tables > 0 && len(homes) > 0 && slices.Contains(j.draft, homes[0]) {
		drawn = homes[0]
	}
	slack := j.work * (1 - min(drawn.part, best.part)/max(drawn.part, best.part))
	fuller := b.open(best, j) && !b.open(drawn, j)
	less := drawn.busy(j.work-2.5*slack) <= best.busy(j.work+slack)
	if slack > 0 && drawn.zone == best.zone && !fuller && less {
		return drawn
	}
	return best
}

// draft draws the engines that are compared for the job, and keeps to them while they fit.
func (b *Controller) draft(j *job) {
	pool := b.pool(j.class)
	misfit := func(e *engine) bool {
		return !b.usable(e) && !b.onTrial(e, j) || !b.allowed(j, e) || !b.fits(j, e, pool)
	}
	fits := func(e *engine) bool { return !misfit(e) && !slices.Contains(j.draft, e) }
	j.draft = slices.DeleteFunc(j.draft, misfit)
	// Homes give a job four engines to ask; without them a further one is drawn while those asked are full.
	open := func(e *engine) bool { return b.open(e, j) }
	settled := len(j.draft) > 0 && (j.tables > 0 || !b.weighs(j) || slices.ContainsFunc(j.draft, open))
	if settled || len(b.roster.fleet) == 0 || j.class.tally > pool {
		return
	}
	const draws = 6 // then the fleet is gone through in turn, at last without keeping apart
	homes, apart := b.homes(j)
	at, n, want := 0, len(b.roster.fleet), max(len(j.draft)+1, 2)
	for i := 0; i < 2*n+draws && len(j.draft) < want && (i < n+draws || len(j.draft) == 0); i++ {
		if i <= draws {
			at = b.roster.pick(b.dice.draw(), i)
		}
		e := b.roster.fleet[(at+i)%n]
		if (apart(e) || i >= n+draws) && fits(e) {
			j.draft = append(j.draft, e)
		}
	}
	if b.rotates() { // and one that is cold, in this gateway's slot
		cold := func(e *engine) bool { return b.warmth(e) < 1 && apart(e) && fits(e) }
		if at := slices.IndexFunc(b.roster.fleet, cold); at >= 0 {
			j.draft = append(j.draft, b.roster.fleet[at])
		}
	}
	j.draft = append(j.draft, slices.DeleteFunc(homes, func(e *engine) bool { return !fits(e) })...)
}

// weighs tells whether the job loses less by waiting for a reading, which the whole fleet pays for, than by a
// poor choice: one over 0.3 s; while such jobs run slowly, one over what the settings have questions from.
func (b *Controller) weighs(j *job) bool {
	long := j.work > 0.3 || j.class.slow > 1.1 && j.work > b.set.MinPolledWork
	return b.set.EnginesReportMemory && j.reads < 4 && long && b.believes(j)
}

// unread finds a held job whose best engine has no reading. They are asked one after another, four at most,
// until the best is one that was read: the fleet pays for each probe, and with room anywhere one or two do.
func (b *Controller) unread() bool {
	for _, c := range b.classes {
		j := c.next(b.now)
		if j == nil || !b.weighs(j) || j.awaits(b.now) {
			continue
		}
		if e := b.place(j); e != nil && b.unasked(e) {
			b.job, b.engine = j, e
			return true
		}
	}
	return false
}

// unasked tells whether the engine is worth a question: asked longer ago than a reading holds, and not cold,
// when little may go there.
func (b *Controller) unasked(e *engine) bool { return b.warmth(e) == 1 && b.now > e.asked+0.8 }

func (b *Controller) read() {
	b.job.reads++
	b.job.asked, b.engine.asked = b.engine, b.now
	b.out.PollLoad(b.engine.id)
}

// awaits tells whether the reading that was asked for the job is still to come.
func (j *job) awaits(now float64) bool {
	return j.asked != nil && j.asked.readAt < j.asked.asked && now < j.asked.asked+0.015
}

// roomy tells whether the engine was read a moment ago with room left, own jobs since then counted. Up to
// two thirds of its cores and memory in use jobs run as if alone, so any such engine is as good as the best.
func (b *Controller) roomy(e *engine, j *job) bool {
	k := b.set.MachineTypes[e.kind]
	used := max(e.granted+e.since/k.Memory, e.cores+e.threads/k.Cores)
	return b.believes(j) && b.now < e.readAt+1 && used < 0.65
}

// open tells whether the engine was read with room, or is worth a question for the job.
func (b *Controller) open(e *engine, j *job) bool {
	return b.roomy(e, j) || b.weighs(j) && b.unasked(e)
}

// believes tells whether the job goes by readings: not while of those sent to engines read with room over a
// fifth ran for twice as long as alone, as by chance on busy engines; each eighth job tries them again.
func (b *Controller) believes(j *job) bool { return b.misled < 0.2 || j.id%8 == 0 }

// LoadReported takes a load report.
func (b *Controller) LoadReported(now float64, id uint32, report LoadReport) {
	b.now = now
	e := b.roster.engines[id]
	if e == nil {
		return
	}
	if report.MemoryGranted.reported {
		e.granted, e.cores, e.readAt, e.since, e.threads = min(report.MemoryGranted.value, 2), max(report.CPU.value, 0), now, 0, 0
		b.usualRead += 0.05 * (e.granted - b.usualRead)
		b.wide = max(b.wide*min(1.5-b.usualRead, 1), 1)
	}
	if report.Waiting.reported {
		e.ease = b.eased(e, report.Waiting.value)
	}
}

// eased is how far the gateway's share of an engine opens where others leave room: slowly on reports that
// nobody waits there, halved by each that tells of one, so that hundreds of gateways that read the same do
// not swing; and back soon while jobs of any type run for longer than alone, which tells before a line forms.
func (b *Controller) eased(e *engine, waiting float64) float64 {
	slow := slices.ContainsFunc(b.classes, func(c *class) bool { return c.answers > 0 && c.slow > 1.2 })
	switch {
	case waiting > 0:
		return 1 + (e.ease-1)/2
	case slow:
		return max(e.ease-0.05, 1)
	}
	return min(e.ease+0.01, 2.5)
}

// homes are the engines that keep the job's data set warm: the first two of the own zone in an order by hash,
// the same at every gateway. Loads hold their set, so they avoid this gateway's others of that set; where
// reads stand still behind them, loads take the order's far half and such reads the near one.
func (b *Controller) homes(j *job) (homes []*engine, apart func(*engine) bool) {
	ranked := b.roster.rank(j.tables)
	near := func(e *engine) bool { return 2*slices.Index(ranked, e) < len(ranked) }
	waits := slices.ContainsFunc(b.classes, func(c *class) bool { return c.BlockedByWrites })
	for _, e := range ranked {
		if j.tables > 0 && !j.class.WritesTables && len(homes) < 2 && e.zone == b.set.Zone {
			homes = append(homes, e)
		}
	}
	return homes, func(e *engine) bool {
		if j.class.WritesTables {
			return !e.holds(j.tables) && !(waits && near(e))
		}
		return !j.class.BlockedByWrites || near(e) && !e.holds(j.tables)
	}
}

// load is the engine's own estimated work, the job's with it, over what it gets done. The memory granted by
// all gateways counts with it where it is read, a full engine as a second for each core; else the usual one.
func (b *Controller) load(e *engine, j *job, homes []*engine) float64 {
	k, work, granted := b.set.MachineTypes[e.kind], j.work, b.usualRead
	if slices.Contains(homes, e) {
		work *= 0.6 // reading is about half of the work, and a warm set saves most of it
	}
	switch {
	case b.open(e, j): // which may have room
		granted = 0
	case b.warmth(e) < 1 && b.rotates(): // its budget bounds what all have there
		granted = 0
	case b.believes(j) && b.now < e.readAt+1: // some of what was read then still runs
		granted = e.granted + e.since/k.Memory
	}
	work = (e.work + work + granted*k.Cores) * e.slow / (k.Cores * b.warmth(e) * e.part)
	if e.zone != b.set.Zone {
		work *= 1.5 + 0.3/max(j.work, 0.2) // crossing has one price a job; over 3, short ones piled up near
	}
	return work
}

// admissible finds the oldest first held job that fits somewhere and has waited for readings asked for.
func (b *Controller) admissible() bool {
	b.job = nil
	for _, c := range b.classes {
		j := c.next(b.now)
		if j == nil || b.job != nil && j.taken >= b.job.taken || j.awaits(b.now) {
			continue
		}
		if e := b.place(j); e != nil {
			b.job, b.engine = j, e
		}
	}
	return b.job != nil
}

func (j *job) turn(now float64) bool {
	l := j.line
	return l == nil || len(j.dispatches) > 0 || l.jobs[0] == j && l.out == 0 && now >= l.restUntil
}

// mayRepeat tells whether the rules let the job have a further dispatch, whatever it still has out.
func (b *Controller) mayRepeat(j *job) bool {
	d := j.first()
	return !j.ended && !j.begun && len(j.dispatches) < b.set.MaxAttempts &&
		(d == nil || j.class.Idempotency == Idempotent ||
			j.class.Idempotency == IdempotentWithKey && b.now < d.sent+j.class.IdempotencyWindow-0.1) // a margin for clocks and ticks
}

// withinBudget counts the extra over a bucket more than the window, the jobs taken over a bucket less.
func (b *Controller) withinBudget() bool {
	return b.set.RetryBudgetWindow == 0 ||
		b.extra.sum(b.now, 11)+1 <= b.set.RetryBudgetFree+b.set.RetryBudgetRatio*b.taken.sum(b.now, 9)
}

// stuck finds a job waiting to go again that may not, or would end late.
func (b *Controller) stuck() bool {
	for _, j := range b.again {
		if j.out == 0 && (!b.mayRepeat(j) || b.now+j.class.run(j) > j.inTime()) {
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
	j, o := b.jobs[id], b.jobs[to]
	may := j != nil && o != nil && b.set.MayCancel && j.class.Idempotency == Idempotent && j.out == 1 &&
		b.mayRepeat(j) && len(o.dispatches) == 0 && b.withinBudget() && !j.first().moved
	if may {
		j.yields = o
		b.spent = append(b.spent, j.dispatches[len(j.dispatches)-1])
	}
	b.settle()
	return may
}

func (b *Controller) movable() bool {
	for _, j := range b.again {
		if o := j.yields; o != nil && !o.ended && len(o.dispatches) == 0 {
			continue
		}
		if (j.out == 0 || b.set.MayHedge) && b.mayRepeat(j) && b.withinBudget() {
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
	if !b.set.MayHedge || b.now < b.lagged+0.02 { // as the queues
		return false
	}
	for _, e := range b.roster.fleet {
		for _, d := range e.live {
			if j := d.job; j.work < 0.3 && len(j.dispatches) == 1 && e.heard > d.sent && // nine in ten are done by:
				b.now > d.sent+3*max(d.run, j.class.mean) && b.mayRepeat(j) && !slices.Contains(b.again, j) {
				b.job = j
				return true
			}
		}
	}
	b.lagged = b.now
	return false
}

// dispatch sends the job to the engine and books its grant.
func (b *Controller) dispatch() {
	j, e, c := b.job, b.engine, b.job.class
	named, counted := b.grant(j, b.set.MachineTypes[e.kind])
	if len(j.dispatches) > 0 {
		b.extra.add(b.now, 1)
	}
	c.queue, b.again = remove(c.queue, j), remove(b.again, j)
	j.draft = nil
	e.since += counted
	e.threads += c.Threads
	e.sentWork.add(b.now, j.work)
	e.slotWork += j.work
	d := &dispatch{job: j, engine: e, sent: b.now, run: c.run(j) * e.slow, grant: counted, roomy: b.roomy(e, j)}
	d.book()
	if priority := uint8(1); b.set.EnginesTakeGrants && named > 0 || b.set.EnginesTakePriorities {
		if j.work < 0.3 { // short jobs cost the long ones little
			priority = 3
		}
		b.out.SetAttemptTerms(j.id, priority, named)
	}
	b.out.StartAttempt(j.id, e.id)
}

// AttemptEnded tells how an attempt ended.
func (b *Controller) AttemptEnded(now float64, id uint32, number int, result AttemptResult) {
	b.now = now
	j, status := b.jobs[id], result.Status
	if j == nil || number >= len(j.dispatches) || !j.dispatches[number].out {
		return
	}
	d := j.dispatches[number]
	d.ran = status != Overloaded && status != ConnectFailed && status != NotStarted
	b.judge(d, result)
	d.unbook()
	b.freed = now
	if j.line != nil && (status == TimedOut || status == ConnectionReset || status == Cancelled) {
		j.line.restUntil = now + b.set.OrderedKeyBackoff
	}
	switch {
	case j.ended:
		if j.out == 0 {
			delete(b.jobs, j.id)
		}
	case result.Final || status == Succeeded:
		b.end(j)
	case j.out == 0 && !slices.Contains(b.again, j):
		b.again = append(b.again, j)
	}
	b.settle()
}

// judge learns from an outcome, for the class and the engine.
func (b *Controller) judge(d *dispatch, result AttemptResult) {
	status, took, work, memory := result.Status, result.Duration, result.Work, result.Memory
	e, c, now, ok, bad := d.engine, d.job.class, b.now, 0.0, 0.0
	b.suspect = e
	if status == Succeeded || status == Overloaded || status == Failed {
		b.overdue.raise(now, e.overdue(now))
		e.heard = now
	}
	switch status {
	case Succeeded:
		ok = 1
		e.passed++
		e.doubted = e.doubted && e.passed < 3 // one answer may be luck where a part fails
		if work > 0 {
			const keep = 0.98 // about the last fifty answers
			c.answers, c.memory = c.answers*keep+1, c.memory*keep+memory
			c.work, c.told = c.work*keep+work, c.told*keep+d.job.told
			c.mean = c.work / c.answers
			if d.job.memory > 0 && memory > 0 {
				log := math.Log(memory / d.job.memory)
				c.rated, c.logs, c.squares = c.rated*keep+1, c.logs*keep+log, c.squares*keep+log*log
			}
		}
		work = cmp.Or(work, d.job.work)
		c.done.add(now, work)
		pace := took * c.Threads / max(work, 0.001)
		if d.roomy {
			b.misled += 0.1 * (min(math.Floor(pace/2), 1) - b.misled)
		}
		c.slow += 0.05 * (min(pace, 5) - c.slow)
		e.slow += 0.1 * (min(pace/c.slow, 10) - e.slow)
	case Overloaded:
		e.ease, b.wide = 1, max(b.wide/2, 1)
		e.fullUntil = now + 0.2 // long enough for a few answers
	case Failed, ConnectionReset: // one connection may be lost alone: an engine that is gone takes no new one
		bad = 1
	case TimedOut: // but not when little time was left
		e.ease = 1
		bad = min(math.Floor(took/(3*d.run)), 1)
	case ConnectFailed: // the process is gone, unless it has just answered: then that connection came up late
		if bad = 3; e.heard > 0 && now < e.heard+1 {
			bad = 1
		}
	}
	if e.record.add(now, ok, bad); bad < 3 {
		b.record.add(now, ok, bad)
	}
}

// ---- the health of engines

// silence is how unusual the engine's silence is, given the longest gap seen of late at any engine. Under a
// second it is none: a pause may take as long, and moving jobs sooner costs more work than waiting.
func (b *Controller) silence(e *engine) float64 {
	if len(e.live) == 0 || b.now-max(e.heard, e.live[0].sent) < 1 {
		return 0
	}
	return e.overdue(b.now) / max(b.overdue.most()*b.overdue.width, 4) // 4 answers overdue are nothing unusual
}

// stalled tells, by a wake-up far behind its time, that the gateway itself stood still: no engine was silent.
func (b *Controller) stalled() bool { return b.bell > 0 && b.now > b.bell+0.1 }

func (b *Controller) forgive() {
	b.bell = b.now
	for _, e := range b.roster.fleet {
		e.heard = b.now
	}
}

// mayDoubt keeps half of the fleet in use whatever it looks like: when all are slow at once none is to blame.
func (b *Controller) mayDoubt() bool {
	sound := slices.DeleteFunc(slices.Clone(b.roster.fleet), func(e *engine) bool { return e.doubted })
	return 2*(len(sound)-1) >= len(b.roster.fleet)
}

// silent finds an engine whose silence is far out of the ordinary, and of the others'. It answers hangs and
// machines gone without a word; a long pause looks the same and costs the work called off.
func (b *Controller) silent() bool {
	if b.now < b.looked+0.1 {
		return false
	}
	all := []float64{0}
	for _, e := range b.roster.fleet {
		if len(e.live) > 0 {
			all = append(all, b.silence(e))
		}
	}
	slices.Sort(all)
	for _, e := range b.roster.fleet {
		if s := b.silence(e); s > 2 && s > 3*all[(len(all)-1)/2] &&
			(!e.doubted && b.mayDoubt() || e.doubted && b.now >= e.restUntil) {
			b.engine = e
			return true
		}
	}
	b.looked = b.now
	return false
}

// doubt rests the engine and moves what it holds, where the rules let a job that may have run go again.
func (b *Controller) doubt() {
	b.rest()
	for _, d := range b.engine.live {
		switch {
		case d.job.out > 1 || !b.mayRepeat(d.job):
		case b.set.MayCancel:
			b.spent = append(b.spent, d)
		case b.set.MayHedge && !slices.Contains(b.again, d.job):
			b.again = append(b.again, d.job)
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
	bad := e.record.bad(b.now, 4)
	fails := bad > max(0.25, 3*b.record.bad(b.now, 4)) // a stray error among many answers is none
	return !e.doubted && fails && b.mayDoubt() || e.doubted && bad > 0 && b.now >= e.restUntil
}

// rest keeps jobs from it, twice as long at each relapse.
func (b *Controller) rest() {
	e := b.engine
	if b.now > e.restUntil+10 {
		e.restLength = 0
	}
	e.restLength = min(max(2*e.restLength, 1), 8)
	e.restUntil = b.now + e.restLength
	e.doubted, e.passed, e.record = true, 0, newRecord()
}

func (b *Controller) hasSpent() bool {
	b.spent = slices.DeleteFunc(b.spent, func(d *dispatch) bool { return !d.out || d.moved || d.job.ended })
	return len(b.spent) > 0
}

func (b *Controller) callOff() {
	d := b.spent[0]
	d.moved = true
	b.out.CancelAttempt(d.job.id, d.number)
}

// AttemptProgressed tells how far a dispatch is: topic 1 its share done. One at a fifth of its expected pace has a bad
// plan, or a bad engine; a fresh dispatch will end before it.
func (b *Controller) AttemptProgressed(now float64, id uint32, number, topic int, amount float64) {
	b.now = now
	if j := b.jobs[id]; j != nil && number < len(j.dispatches) && j.dispatches[number].out {
		d := j.dispatches[number]
		if topic == 1 && amount > d.share {
			d.engine.heard, d.share = now, amount // work goes on: no silence, whatever is waited for
		}
		runaway := topic == 1 && now-d.sent > max(d.run/2, 5*amount*d.run)
		if runaway && b.set.MayCancel && j.class.Idempotency == Idempotent && j.out == 1 && b.mayRepeat(j) {
			b.spent = append(b.spent, d)
		}
	}
	b.settle()
}

func (b *Controller) asleep() bool {
	const hair = 0.001 // a wake-up may come that much before the time asked for, which must not end them
	return (b.now > b.bell-hair || b.bell > b.now+b.nap()+hair) &&
		(len(b.giveUps) > 0 || b.set.EndpointsOnRequest && !b.roster.watched)
}

// nap is 10 ms while jobs are held, for the queues; else a tenth of a second, for silences, or to a give-up.
func (b *Controller) nap() float64 {
	held := slices.ContainsFunc(b.classes, func(c *class) bool { return len(c.queue) > 0 })
	if j := b.giveUps.first(); j != nil && !held && len(b.again) == 0 {
		return min(max(j.giveUp-b.now, 0.01), 0.1)
	}
	return 0.01
}
