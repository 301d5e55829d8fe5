// The decisions of one gateway. Call New, then one method for each event with the time now; what is decided
// leaves through Actions before the method returns. Settings and Actions are in iface.go, plain types in
// state.go.
//
// A job becomes a memory grant, clamped between bounds. It is dispatched where this gateway's own tallies, by
// engine and by class, have room for the grant, and is held in its class's queue otherwise. All else here is
// an exception to that; docs/design.md tells when each one acts.
package brain

import (
	"cmp"
	"container/heap"
	"slices"
)

// Brain is one gateway's state. It is used from one goroutine.
type Brain struct {
	set     Settings
	out     Actions
	dice    dice
	now     float64
	roster  roster
	jobs    map[uint32]*job // the door: ids become objects here
	lines   map[uint64]*keyLine
	classes []*class
	tenants []*tenant

	giveUps      byGiveUp
	again        []*job      // dispatched before, waiting for a further dispatch
	spent        []*dispatch // to be called off
	taken, extra ring

	askAt, swept, bell float64

	job    *job // what the rule that fires is about
	engine *engine
}

// rules are gone through after every input, from the top again after each one that fires, until none does.
var rules = []struct {
	when func(*Brain) bool
	then func(*Brain)
}{
	{(*Brain).unwatched, (*Brain).watch},
	{(*Brain).timeUp, (*Brain).giveUp},
	{(*Brain).stalled, (*Brain).forgive},
	{(*Brain).silent, (*Brain).doubt},
	{(*Brain).failing, (*Brain).rest},
	{(*Brain).hasSpent, (*Brain).callOff},
	{(*Brain).stuck, (*Brain).throttle},
	{(*Brain).hopeless, (*Brain).throttle},
	{(*Brain).movable, (*Brain).dispatch},
	{(*Brain).admissible, (*Brain).dispatch},
	{(*Brain).overflowing, (*Brain).throttle},
	{(*Brain).asleep, (*Brain).wake},
}

func (b *Brain) settle() {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(b) {
			rules[i].then(b)
			i = -1
		}
	}
}

// New makes the module of one gateway.
func New(seed uint64, set Settings, out Actions) *Brain {
	b := &Brain{set: set, out: out, dice: dice{seed: seed}, roster: roster{engines: map[uint32]*engine{}},
		jobs: map[uint32]*job{}, lines: map[uint64]*keyLine{}}
	for i := range set.Classes {
		c := &set.Classes[i]
		// Until answers tell, a job is taken to need a third of its SLA time, at a pace near the best.
		guess := c.SLA * c.Threads / 3
		b.classes = append(b.classes, &class{Class: c, slow: 1.2, mean: guess, done: newRing(1, 10)})
	}
	const room = 1.5 // gateways see uneven parts of a tenant: at 1, jobs within the share gave way
	for _, rate := range set.Tenants {
		b.tenants = append(b.tenants, &tenant{rate: room * rate / float64(set.Gateways), tokens: rate})
	}
	width := cmp.Or(set.ExtraWindow, 1) / 10 // a tenth of the window is what the budget is kept too strictly by
	b.taken, b.extra = newRing(width, 11), newRing(width, 11)
	return b
}

func (b *Brain) unwatched() bool { return b.set.AskRoster && !b.roster.watched && b.now >= b.askAt }

// watch asks again after a second or two, so that a failed call is not repeated by all gateways at once.
func (b *Brain) watch() {
	b.askAt = b.now + 1 + b.dice.draw()
	b.out.Watch()
}

// ---- jobs

// Arrive takes a job. cost and memory are estimates, 0 where there are none.
func (b *Brain) Arrive(now float64, id uint32, class, tenant int, key uint64, giveUp, cost, memory float64,
	tables uint32, retry bool) {
	b.now = now
	c := b.classes[class]
	j := &job{id: id, class: c, taken: now, giveUp: giveUp, told: cost, memory: memory, tables: tables}
	j.work = c.mean
	if cost > 0 {
		const weight = 5 // answers' worth of belief in the estimate as told
		j.work = cost * (c.work + weight*c.mean) / (c.told + weight*c.mean)
	}
	b.jobs[id] = j
	b.taken.add(now, 1)
	if tenant < len(b.tenants) {
		j.over = !b.tenants[tenant].take(now)
	}
	if c.InOrder && key != 0 {
		if b.lines[key] == nil {
			b.lines[key] = &keyLine{}
		}
		j.line = b.lines[key]
		j.line.jobs = append(j.line.jobs, j)
	}
	heap.Push(&b.giveUps, j)
	c.queue = append(c.queue, j)
	b.settle()
}

// take counts a job against the tenant's share; two seconds of it may come at once, so that bursts are not
// cut.
func (t *tenant) take(now float64) bool {
	t.tokens = min(t.tokens+(now-t.at)*t.rate, 2*t.rate)
	t.at = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// inTime is the clock time up to which an answer earns the whole billed value.
func (j *job) inTime() float64 {
	return min(j.taken+j.class.SLA+j.class.Stretch*j.work/j.class.Threads, j.giveUp)
}

// run is the learned run time of a job of the class.
func (c *class) run(j *job) float64 { return j.work / c.Threads * c.slow }

// end closes a job: nothing more is sent for it, and what it still has out is called off.
func (b *Brain) end(j *job) {
	j.ended = true
	j.class.queue, b.again = remove(j.class.queue, j), remove(b.again, j)
	if j.line != nil {
		j.line.jobs = remove(j.line.jobs, j)
	}
	for _, d := range j.dispatches {
		if d.out && b.set.MayCancel && !j.begun {
			b.out.CallOff(j.id, d.number)
		}
	}
	if j.out == 0 {
		delete(b.jobs, j.id)
	}
}

func (b *Brain) timeUp() bool {
	for len(b.giveUps) > 0 && (b.giveUps[0].ended || b.giveUps[0].begun) {
		heap.Pop(&b.giveUps)
	}
	if len(b.giveUps) == 0 || b.giveUps[0].giveUp > b.now {
		return false
	}
	b.job = b.giveUps[0]
	return true
}

func (b *Brain) giveUp() {
	b.out.CancelForGood(b.job.id)
	b.end(b.job)
}

// throttle ends the job and asks the client to stay away as long as it may heed. Where a repeat could do harm
// the job is cancelled for good, which promises nothing.
func (b *Brain) throttle() {
	j := b.job
	keyed := j.class.Effect == Keyed && j.class.Group == GroupAll
	if j.first() != nil && j.class.Effect != Restartable && !keyed {
		b.giveUp()
		return
	}
	b.out.Throttle(j.id, b.set.MostComeBack)
	b.end(j)
}

// hopeless finds a job to throttle because it, or one behind it, would end past its SLA time: time left is
// under the learned run time, or would be by its turn. Then, as Moore and Hodgson do, the one of least billed
// value for its work among those up to there gives way. It answers overload of any cause; a wrong estimate of
// the pace could throttle what would have been done.
func (b *Brain) hopeless() bool {
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
					if left >= 0 && o.line == j.line && o.density(b.set.OverValue) < b.job.density(b.set.OverValue) {
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

// density is the billed value for the work, less for what passes the tenant's share.
func (j *job) density(overValue float64) float64 {
	if j.over {
		return j.class.Value * overValue / j.work
	}
	return j.class.Value / j.work
}

// wait is how long the jobs before it with its key will take.
func (j *job) wait(now float64) (sum float64) {
	if j.line == nil {
		return 0
	}
	for _, o := range j.line.jobs[:slices.Index(j.line.jobs, j)] {
		sum += o.class.run(o)
		if o.out > 0 {
			sum -= min(now-o.dispatches[0].sent, o.class.run(o))
		}
	}
	return sum
}

const queueLength = 200 // as the post has it

func (b *Brain) overflowing() bool {
	for _, c := range b.classes {
		if len(c.queue) > queueLength {
			b.job = c.queue[len(c.queue)-1]
			return true
		}
	}
	return false
}

// ---- grants and tallies

// grant is the memory that a dispatch names, 0 for none, and what the tallies count for it. The page's
// quarter over the estimate left many jobs short, and spilling jobs run longest; 0.6 over it (0.5 to 0.8 do
// as well) costs room.
func (b *Brain) grant(j *job, e *engine) (named, counted float64) {
	k, c := b.set.Kinds[e.kind], j.class
	most := k.Memory * min(0.25, cmp.Or(b.set.LargestShare, 1))
	least := min(k.Memory*c.Threads/(b.threadsPerCore()*k.Cores), most)
	switch {
	case j.memory > 0:
		named = min(max(1.6*j.memory, least), most)
	case c.answers > 0:
		named = min(max(1.8*c.memory/c.answers, least), most)
	default:
		return 0, least
	}
	return named, named
}

// lineByPriority tells whether an engine's own line takes what passes its memory, and the short jobs first.
func (b *Brain) lineByPriority() bool { return b.set.Line && b.set.Priorities }

// threadsPerCore sets the least grant: so many threads a core fill the memory. The page's 8 leaves cores to
// thrash; a line by priority keeps them from it for all gateways at once if 3 fill the memory (2 idles
// engines).
func (b *Brain) threadsPerCore() float64 {
	if b.lineByPriority() {
		return 3
	}
	return 8
}

// share is the part of an engine's memory that this gateway may have granted at once. The page's twice the
// memory never bound before engines thrashed; its floor of one maximum grant, kept by every one of five
// gateways, was more than an engine has. An engine without open grants of ours takes any one job instead.
func (b *Brain) share(e *engine) float64 {
	memory := b.set.Kinds[e.kind].Memory
	return memory * e.scale * b.warmth(e) / float64(b.set.Gateways)
}

// pressed tells whether the engine shows pressure: then the share binds. Latency shows it, and being full.
// Where no line by priority takes what passes the memory, shortage harms before latency tells: there the
// engine is taken for full once the gateways together, each granting as this one does, would fill it.
func (b *Brain) pressed(e *engine, counted float64) bool {
	full := (e.tally+counted)*float64(b.set.Gateways) > b.set.Kinds[e.kind].Memory
	return e.scale*b.warmth(e) < 1 || full && !b.lineByPriority()
}

// fits tells whether both tallies have room.
func (b *Brain) fits(j *job, e *engine, pool float64) bool {
	_, counted := b.grant(j, e)
	fits := !b.pressed(e, counted) || e.tally == 0 || e.tally+counted <= b.share(e)
	return fits && j.class.tally+counted <= pool
}

// pool is the memory that the class may have granted: the shares of all usable engines. What is booked on the
// others, a hung one's grants above all, takes no room from it.
func (b *Brain) pool(c *class) float64 {
	sum := 0.0
	for _, e := range b.roster.fleet {
		if b.usable(e) {
			sum += b.share(e)
			continue
		}
		for _, d := range e.live {
			if d.job.class == c {
				sum += d.grant
			}
		}
	}
	return sum
}

// adapt moves the engine's share: down by a part while its run times near the SLA times, else up by a little.
// The page's sign, latency over its best, swung with warm sets and pauses.
func (b *Brain) adapt(e *engine) {
	const near = 0.4 // of the SLA time, at the mean: the slower half still ends in time
	if e.strain > near {
		e.scale = max(e.scale*0.97, 0.05) // answers come by the hundred: some 3 s from all to a half
	} else {
		e.scale = min(e.scale+0.01, 1)
	}
}

// ---- the choice of engine

func (b *Brain) usable(e *engine) bool { return !e.doubted && b.now >= e.fullUntil }

// onTrial tells whether a doubted engine, once rested, may have this job to show that it works: one at a
// time, of the lightest class, restartable.
func (b *Brain) onTrial(e *engine, j *job) bool {
	light := slices.MinFunc(b.classes, func(x, y *class) int { return cmp.Compare(x.mean, y.mean) })
	return e.doubted && b.now >= max(e.restUntil, e.fullUntil) && len(e.live) == 0 &&
		j.class.Effect == Restartable && j.class == light
}

// allowed tells whether the rules let this job go to this engine now.
func (b *Brain) allowed(j *job, e *engine) bool {
	c := j.class
	if c.Zones != nil && !slices.Contains(c.Zones, e.zone) ||
		c.Kinds != nil && !slices.Contains(c.Kinds, e.kind) {
		return false
	}
	if slices.ContainsFunc(j.dispatches, func(d *dispatch) bool { return d.out && d.engine == e }) {
		return false
	}
	if d := j.first(); d != nil && c.Effect == Keyed {
		if c.Group == GroupZone && e.zone != d.engine.zone || c.Group == GroupCell && e.cell != d.engine.cell {
			return false
		}
	}
	return b.withinCold(j, e)
}

// withinCold keeps this gateway's part of a cold engine's budget, half of it kept back for wrong estimates.
func (b *Brain) withinCold(j *job, e *engine) bool {
	if b.warmth(e) == 1 {
		return true
	}
	budget := b.set.FallMultiple * b.set.ColdFrom * b.set.Kinds[e.kind].Cores * b.set.FallWindow
	return e.sentWork.sum(b.now, 11)+j.work <= budget/2/float64(b.set.Gateways)
}

// warmth is the share of its full pace that an engine has, taken to grow evenly from its start on.
func (b *Brain) warmth(e *engine) float64 {
	if e.up == 0 || b.now >= e.up+b.set.Cold {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*max(b.now-e.up, 0)/b.set.Cold
}

// place finds the engine for a job: of two random fitting ones and its homes, that with the least own work.
func (b *Brain) place(j *job) *engine {
	var fit []*engine
	pool := b.pool(j.class)
	for _, e := range b.roster.fleet {
		if (b.usable(e) || b.onTrial(e, j)) && b.allowed(j, e) && b.fits(j, e, pool) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	homes, apart := b.homes(j)
	fit = prefer(fit, apart)
	at := int(b.dice.draw() * float64(len(fit)))
	best, other := fit[at], fit[(at+1+int(b.dice.draw()*float64(len(fit)-1)))%len(fit)]
	for _, e := range append(homes, other) {
		if slices.Contains(fit, e) && b.load(e, j, homes) < b.load(best, j, homes) {
			best = e
		}
	}
	return best
}

// homes are the engines that keep the job's data set warm: a hash ranks the engines for each set, the same at
// every gateway, and the first two of the own zone are its homes. Loads hold their set, so they keep apart,
// each gateway's on its own engines; where reads stand still behind them, loads take the far half of the
// ranking and such reads the near one. It guards against loads that meet; few sets in use could crowd their
// homes.
func (b *Brain) homes(j *job) (homes []*engine, apart func(*engine) bool) {
	ranked := slices.Clone(b.roster.fleet)
	slices.SortFunc(ranked, func(x, y *engine) int { return cmp.Compare(x.rank(j.tables), y.rank(j.tables)) })
	near := func(e *engine) bool { return 2*slices.Index(ranked, e) < len(ranked) }
	waits := slices.ContainsFunc(b.classes, func(c *class) bool { return c.Waits })
	if !j.class.Load {
		homes = prefer(ranked, func(e *engine) bool { return e.zone == b.set.Zone })
		homes = homes[:min(2, len(homes))]
	}
	return homes, func(e *engine) bool {
		switch {
		case j.class.Load && waits:
			return !near(e) && !e.holds(j.tables)
		case j.class.Load:
			return slices.Index(ranked, e)%b.set.Gateways == b.set.Index && !e.holds(j.tables)
		}
		return !j.class.Waits || near(e) && !e.holds(j.tables)
	}
}

// load is the engine's own estimated work, the job's with it, over what it gets done.
func (b *Brain) load(e *engine, j *job, homes []*engine) float64 {
	work := j.work
	if slices.Contains(homes, e) {
		work *= 0.6 // reading is about half of the work, and a warm set saves most of it
	}
	work = (e.work + work) * e.slow / (b.set.Kinds[e.kind].Cores * b.warmth(e))
	if e.zone != b.set.Zone {
		work *= 1.5 // crossing has a price
	}
	return work
}

// ---- dispatches

// admissible finds the oldest of the classes' first held jobs that fits somewhere. Those that wait for their
// key do not hold up the ones behind them.
func (b *Brain) admissible() bool {
	b.job = nil
	for _, c := range b.classes {
		at := slices.IndexFunc(c.queue, func(j *job) bool { return j.turn(b.now) })
		if at < 0 || b.job != nil && c.queue[at].taken >= b.job.taken {
			continue
		}
		if e := b.place(c.queue[at]); e != nil {
			b.job, b.engine = c.queue[at], e
		}
	}
	return b.job != nil
}

// turn tells whether the order of the job's key lets it go.
func (j *job) turn(now float64) bool {
	l := j.line
	return l == nil || len(j.dispatches) > 0 || l.jobs[0] == j && l.out == 0 && now >= l.restUntil
}

// mayRepeat tells whether the rules let the job have a further dispatch, whatever it still has out.
func (b *Brain) mayRepeat(j *job) bool {
	d := j.first()
	return !j.ended && !j.begun && len(j.dispatches) < b.set.MostDispatches &&
		(d == nil || j.class.Effect == Restartable ||
			j.class.Effect == Keyed && b.now < d.sent+j.class.Window-0.1) // a margin for clocks and ticks
}

func (b *Brain) mayAgain(j *job) bool { return (j.out == 0 || b.set.MayCopy) && b.mayRepeat(j) }

// withinBudget keeps further dispatches within their budget in any window: the extra are summed over a bucket
// more than the window, the jobs taken over a bucket less.
func (b *Brain) withinBudget() bool {
	return b.set.ExtraWindow == 0 ||
		b.extra.sum(b.now, 11)+1 <= b.set.ExtraFree+b.set.ExtraShare*b.taken.sum(b.now, 9)
}

// stuck finds a job waiting to go again that may not, or would end late.
func (b *Brain) stuck() bool {
	for _, j := range b.again {
		if j.out == 0 && (!b.mayAgain(j) || b.now+j.class.run(j) > j.inTime()) {
			b.job = j
			return true
		}
	}
	return false
}

func (b *Brain) movable() bool {
	for _, j := range b.again {
		if b.mayAgain(j) && b.withinBudget() {
			if b.job, b.engine = j, b.place(j); b.engine != nil {
				return true
			}
		}
	}
	return false
}

// dispatch sends the job to the engine and books its grant.
func (b *Brain) dispatch() {
	j, e, c := b.job, b.engine, b.job.class
	named, counted := b.grant(j, e)
	if len(j.dispatches) > 0 {
		b.extra.add(b.now, 1)
	}
	c.queue, b.again = remove(c.queue, j), remove(b.again, j)
	e.sentWork.add(b.now, j.work)
	(&dispatch{job: j, engine: e, sent: b.now, run: c.run(j) * e.slow, grant: counted}).book()
	if b.set.Grants && named > 0 || b.set.Priorities {
		b.out.Terms(j.id, b.priority(j), named)
	}
	b.out.Dispatch(j.id, e.id, 0)
}

// priority puts short jobs before long ones: they cost the long ones little.
func (b *Brain) priority(j *job) uint8 {
	if j.work < 0.3 {
		return 3
	}
	return 1
}

// Outcome tells how a dispatch ended. work and memory are what the job needed, 0 where not told.
func (b *Brain) Outcome(now float64, id uint32, number int, status Status, took float64, over bool,
	work, memory float64) {
	b.now = now
	j := b.jobs[id]
	if j == nil || number >= len(j.dispatches) || !j.dispatches[number].out {
		return
	}
	d := j.dispatches[number]
	d.ran = status != Full && status != NoConnection && status != Moot
	b.judge(d, status, took, work, memory)
	d.unbook()
	if j.line != nil && (status == TimedOut || status == Reset || status == CalledOff) {
		j.line.restUntil = now + b.set.KeyRest
	}
	switch {
	case j.ended:
		if j.out == 0 {
			delete(b.jobs, j.id)
		}
	case over || status == Done:
		b.end(j)
	case j.out == 0 && !slices.Contains(b.again, j):
		b.again = append(b.again, j)
	}
	b.settle()
}

// judge learns from an outcome, for the class and the engine.
func (b *Brain) judge(d *dispatch, status Status, took, work, memory float64) {
	e, c, now := d.engine, d.job.class, b.now
	switch status {
	case Done:
		e.hear(now)
		e.ok.add(now, 1)
		e.passed++
		e.doubted = e.doubted && e.passed < 3 // one answer may be luck where a part fails
		if work > 0 {
			const keep = 0.98 // about the last fifty answers
			c.answers, c.memory = c.answers*keep+1, c.memory*keep+memory
			c.work, c.told = c.work*keep+work, c.told*keep+d.job.told
			c.mean = c.work / c.answers
		} else {
			work = d.job.work
		}
		c.done.add(now, work)
		pace := took * c.Threads / max(work, 0.001)
		c.slow += 0.05 * (min(pace, 20) - c.slow)
		e.slow += 0.1 * (min(pace/c.slow, 10) - e.slow)
		e.strain += 0.1 * (min(took/(c.SLA+c.Stretch*work/c.Threads), 3) - e.strain)
		b.adapt(e)
	case Full:
		e.hear(now)
		e.fullUntil = now + 0.2 // long enough for a few answers
		e.scale = max(e.scale*0.9, 0.05)
	case Failed:
		e.hear(now)
		e.bad.add(now, 1)
	case NoConnection, Reset:
		e.bad.add(now, 3) // the process is gone: nothing else would fail so
	}
}

// ---- the health of engines

// hear notes an answer and how unusual the silence before it was.
func (e *engine) hear(now float64) {
	e.gap += 0.1 * (min(e.overdue(now), 10) - e.gap)
	e.heard = now
}

// overdue is how many answers the jobs held should have brought since the last one: each counts the time it
// has been out in the silence over its expected run.
func (e *engine) overdue(now float64) float64 {
	sum := 0.0
	for _, d := range e.live {
		sum += (now - max(e.heard, d.sent)) / d.run
	}
	return sum
}

// silence is how unusual the engine's silence is, given the gaps seen before. Under a second it is none: a
// pause may take as long, and moving jobs sooner costs more work than waiting.
func (e *engine) silence(now float64) float64 {
	if len(e.live) == 0 || now-max(e.heard, e.live[0].sent) < 1 {
		return 0
	}
	return e.overdue(now) / max(e.gap, 0.5)
}

// stalled tells that this gateway itself stood still: a wake-up is far behind its time. The silence of
// engines meanwhile is its own.
func (b *Brain) stalled() bool { return b.bell > 0 && b.now > b.bell+0.1 }

func (b *Brain) forgive() {
	b.bell = b.now
	for _, e := range b.roster.fleet {
		e.heard = b.now
	}
}

// mayDoubt keeps half of the fleet in use whatever it looks like: when all are slow at once none is to blame.
func (b *Brain) mayDoubt() bool {
	doubted := 0
	for _, e := range b.roster.fleet {
		if e.doubted {
			doubted++
		}
	}
	return 2*(doubted+1) <= len(b.roster.fleet)
}

// silent finds an engine whose silence is far out of the ordinary, its own and the others'. It answers hangs
// and machines gone without a word; a long pause can look the same and costs the work called off.
func (b *Brain) silent() bool {
	const unusual = 32.0 // answers overdue over the usual: at 8 or 16, engines that were only slow were doubted
	var all []float64
	for _, e := range b.roster.fleet {
		all = append(all, e.silence(b.now))
	}
	slices.Sort(all)
	for _, e := range b.roster.fleet {
		fresh := !e.doubted && b.mayDoubt() || e.doubted && b.now >= e.restUntil
		if s := e.silence(b.now); fresh && s > unusual && s > 3*all[(len(all)-1)/2] {
			b.engine = e
			return true
		}
	}
	return false
}

// doubt rests the engine and moves what it holds, where the rules let a job that may have run go again.
func (b *Brain) doubt() {
	b.rest()
	for _, d := range b.engine.live {
		switch {
		case d.job.out > 1 || !b.mayRepeat(d.job):
		case b.set.MayCancel:
			b.spent = append(b.spent, d)
		case b.set.MayCopy && !slices.Contains(b.again, d.job):
			b.again = append(b.again, d.job)
		}
	}
}

// failing finds an engine with a high share of failures: quick ones make it look idle, and it would draw
// more.
func (b *Brain) failing() bool {
	for _, e := range b.roster.fleet {
		bad := e.bad.sum(b.now, 4)
		fails := bad >= 3 && bad > 0.25*(bad+e.ok.sum(b.now, 4)) // a stray error or two is none
		if !e.doubted && fails && b.mayDoubt() || e.doubted && bad > 0 && b.now >= e.restUntil {
			b.engine = e
			return true
		}
	}
	return false
}

// rest keeps jobs from the engine, twice as long at each relapse.
func (b *Brain) rest() {
	e := b.engine
	if b.now > e.restUntil+10 {
		e.restLength = 0
	}
	e.restLength = min(max(2*e.restLength, 1), 8)
	e.restUntil = b.now + e.restLength
	e.doubted, e.passed = true, 0
	clear(e.bad.buckets)
}

func (b *Brain) hasSpent() bool {
	b.spent = slices.DeleteFunc(b.spent, func(d *dispatch) bool { return !d.out || d.moved || d.job.ended })
	return len(b.spent) > 0
}

func (b *Brain) callOff() {
	d := b.spent[0]
	d.moved = true
	b.out.CallOff(d.job.id, d.number)
}

// Progress tells how far a dispatch is: topic 1 its share done, 2 that it spills, 3 that it waits. One at a
// fifth of its expected pace has a bad plan, or a bad engine; a fresh dispatch will end before it.
func (b *Brain) Progress(now float64, id uint32, number, topic int, amount float64) {
	b.now = now
	if j := b.jobs[id]; j != nil && number < len(j.dispatches) && j.dispatches[number].out {
		d := j.dispatches[number]
		if topic == 1 && amount > d.share {
			d.engine.heard, d.share = now, amount // work goes on: no silence, whatever is waited for
		}
		runaway := topic == 1 && now-d.sent > max(d.run/2, 5*amount*d.run)
		if runaway && b.set.MayCancel && j.class.Effect == Restartable && j.out == 1 && b.mayRepeat(j) {
			b.spent = append(b.spent, d)
		}
	}
	b.settle()
}

func (b *Brain) asleep() bool {
	const hair = 0.001 // a wake-up may come that much before the time asked for, which must not end them
	return b.now > b.bell-hair && (len(b.giveUps) > 0 || b.set.AskRoster && !b.roster.watched)
}

// wake asks to be woken in 10 ms: often enough for the grace of the answers and for the queues.
func (b *Brain) wake() {
	b.bell = b.now + 0.01
	b.out.Wake(0.01)
}
