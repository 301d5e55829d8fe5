// The decisions of one gateway. Call New once, then one method for each event
// with the time now; what is decided leaves through Actions before the method
// returns. Settings and Actions are in iface.go, the plain types in state.go.
//
// A job becomes a memory grant, clamped between bounds; it is dispatched where
// this gateway's own tallies, by engine and by class, have room for the grant,
// and is held in its class's queue otherwise. All else here is an exception to
// that: rules holds the order in which they are looked at.
package brain

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Brain is one gateway's state. It is used from one goroutine.
type Brain struct {
	set     Settings
	out     Actions
	seed    uint64
	counter uint64
	now     float64

	jobs    map[uint32]*job // the door: ids become objects here
	engines map[uint32]*engine
	lines   map[uint64]*keyLine
	fleet   []*engine // listed engines by id
	classes []*class
	tenants []*tenant

	giveUps            byGiveUp
	again              []*job // dispatched before, waiting for a further dispatch
	spent              []*dispatch
	taken, extra       ring
	asking, waits      bool
	askAt, swept, bell float64

	// What the rule that fired is about.
	job    *job
	engine *engine
	sent   *dispatch
}

// rules are gone through after every input, from the top again after each one
// that fires, until none does.
var rules = []struct {
	name string
	when func(*Brain) bool
	then func(*Brain)
}{
	{"ask for a roster that has to be asked for", (*Brain).unwatched, (*Brain).watch},
	{"end a job whose client gives up", (*Brain).timeUp, (*Brain).giveUp},
	{"doubt an engine silent for unusually long", (*Brain).silent, (*Brain).doubt},
	{"rest an engine that fails its jobs", (*Brain).failing, (*Brain).rest},
	{"call off a dispatch not worth waiting for", (*Brain).hasSpent, (*Brain).callOff},
	{"throttle a held job that would end late", (*Brain).hopeless, (*Brain).throttle},
	{"end a job with no further dispatch left", (*Brain).stuck, (*Brain).giveUp},
	{"send a job again", (*Brain).movable, (*Brain).dispatch},
	{"admit the first held job that fits", (*Brain).admissible, (*Brain).dispatch},
	{"throttle past a full queue", (*Brain).overflowing, (*Brain).throttle},
	{"probe an engine with no news", (*Brain).unheard, (*Brain).probe},
	{"wake again while there is work", (*Brain).asleep, (*Brain).wake},
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
	b := &Brain{set: set, out: out, seed: seed, jobs: map[uint32]*job{}, engines: map[uint32]*engine{},
		lines: map[uint64]*keyLine{}}
	for i := range set.Classes {
		c := &set.Classes[i]
		// Until answers tell, a job is taken to need a third of its SLA time.
		b.waits = b.waits || c.Waits
		b.classes = append(b.classes, &class{Class: c, index: i, slow: 1.2, mean: c.Aim * c.Threads / 3})
	}
	for _, rate := range set.Tenants {
		b.tenants = append(b.tenants, &tenant{rate: rate / float64(set.Gateways), tokens: rate})
	}
	width := cmp.Or(set.ExtraWindow, 1) / 10 // ten buckets: at most a tenth of the window is counted too strictly
	b.taken, b.extra = newRing(width, 12), newRing(width, 12)
	return b
}

// chance draws from [0, 1).
func (b *Brain) chance() float64 {
	h := fnv.New64a()
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:], b.seed)
	binary.BigEndian.PutUint64(buf[8:], b.counter)
	b.counter++
	h.Write(buf[:])
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// mix spreads a hash over all bits; FNV alone leaves the high ones alike for near counters.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// ---- the roster

// RosterBegins opens a roster message; Listed follows for each entry, then RosterEnds.
func (b *Brain) RosterBegins(now float64, mode ListMode) {
	b.now = now
	b.asking = mode != Missing && mode != Cached && b.set.AskRoster
	if mode == Whole || mode == Cached {
		for _, e := range b.engines {
			e.listed = false
		}
	}
}

// Listed takes in one entry of the roster.
func (b *Brain) Listed(now float64, id uint32, zone, kind, cell int, ready bool, up float64) {
	e := b.engines[id]
	if e == nil {
		e = &engine{id: id, slow: 1, scale: 1, heard: now, gap: 1, ok: newRing(1, 10), bad: newRing(1, 10),
			util: -1, memory: -1, waiting: -1, reported: now, probed: now}
		e.sentWork = newRing(cmp.Or(b.set.FallWindow, 1)/10, 12)
		b.engines[id] = e
	}
	if up > e.up {
		e.up = up
		e.doubted, e.restUntil, e.restLength, e.fullUntil = false, 0, 0, 0
		e.heard = now
	}
	e.zone, e.kind, e.cell, e.ready, e.listed = zone, kind, cell, ready, true
}

// RosterEnds closes a roster message.
func (b *Brain) RosterEnds(now float64) {
	b.fleet = b.fleet[:0]
	for _, e := range b.engines {
		if e.listed && e.ready {
			b.fleet = append(b.fleet, e)
		}
	}
	slices.SortFunc(b.fleet, func(x, y *engine) int { return cmp.Compare(x.id, y.id) })
	b.settle()
}

func (b *Brain) unwatched() bool { return b.set.AskRoster && !b.asking && b.now >= b.askAt }

// watch asks again after a second or two: a failed call must not be repeated by all at once.
func (b *Brain) watch() {
	b.askAt = b.now + 1 + b.chance()
	b.out.Watch()
}

// ---- jobs

// Arrive takes a job. cost and memory are estimates, 0 where there are none.
func (b *Brain) Arrive(now float64, id uint32, class, tenant int, key uint64, giveUp, cost, memory float64,
	tables uint32, retry bool) {
	b.now = now
	c := b.classes[class]
	j := &job{id: id, class: c, taken: now, giveUp: giveUp, told: cost, toldMemory: memory, tables: tables}
	j.work = c.mean
	if cost > 0 {
		j.work = cost * c.ratio()
	}
	b.jobs[id] = j
	b.taken.add(now, 1)
	if tenant < len(b.tenants) {
		j.tenant = b.tenants[tenant]
		j.over = j.tenant.take(now)
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
	j.queued = true
	b.settle()
}

// take counts a job against the tenant's share; two seconds of it may come at once.
func (t *tenant) take(now float64) bool {
	t.tokens = min(t.tokens+(now-t.at)*t.rate, 2*t.rate)
	t.at = now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// ratio is what answers needed over what was told.
func (c *class) ratio() float64 {
	const weight = 5 // answers' worth of belief in the estimate as told
	return (c.work + weight*c.mean) / (c.told + weight*c.mean)
}

// aim is the clock time up to which the job earns its whole billed value.
func (j *job) aim() float64 {
	return j.taken + j.class.Aim + j.class.Stretch*j.work/j.class.Threads
}

func (c *class) run(work float64) float64 { return work / c.Threads * c.slow }

// Begun tells that a streamed answer has started: it has no deadline from here.
func (b *Brain) Begun(now float64, id uint32, number int) {
	b.now = now
	if j := b.jobs[id]; j != nil {
		j.begun = true
	}
	b.settle()
}

// Withdrawn tells that the client has left.
func (b *Brain) Withdrawn(now float64, id uint32) {
	b.now = now
	if j := b.jobs[id]; j != nil && !j.ended {
		b.end(j)
	}
	b.settle()
}

// end closes a job: nothing more is sent for it, and what it still has out is called off.
func (b *Brain) end(j *job) {
	j.ended = true
	if j.queued {
		j.class.queue = remove(j.class.queue, j)
	}
	if j.again {
		b.again = remove(b.again, j)
	}
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

// harmless tells whether the client may be told that trying again does no harm.
func (b *Brain) harmless(j *job) bool {
	c := j.class
	switch {
	case c.Effect == Restartable:
		return true
	case c.Effect == RunOnce:
		return j.mayRan == nil && j.out == 0
	}
	return j.mayRan == nil && j.out == 0 || c.Group == GroupAll
}

// throttle ends the job; the client is asked to stay away as long as it may heed.
func (b *Brain) throttle() {
	if !b.harmless(b.job) {
		b.giveUp()
		return
	}
	b.out.Throttle(b.job.id, b.set.MostComeBack)
	b.end(b.job)
}

// hopeless finds a held job whose time left falls under its class's learned run time. The time that
// counts is the SLA time: later answers earn a part and keep others waiting.
func (b *Brain) hopeless() bool {
	if b.now < b.swept+0.02 { // the queues are looked through every fourth tick or so
		return false
	}
	for _, j := range b.again {
		if j.out == 0 && b.now+j.class.run(j.work) > min(j.aim(), j.giveUp) {
			b.job = j
			return true
		}
	}
	for _, c := range b.classes {
		for _, j := range c.queue {
			if b.now+c.run(j.work) > min(j.aim(), j.giveUp) {
				b.job = j
				return true
			}
		}
	}
	b.swept = b.now
	return false
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

// grant is the memory that a dispatch names, 0 for none, and what the tallies count for it.
func (b *Brain) grant(j *job, kind int) (named, counted float64) {
	k := b.set.Kinds[kind]
	most := k.Memory / 4
	least := min(k.Memory*j.class.Threads/(b.threadsPerCore()*k.Cores), most)
	switch {
	case j.toldMemory > 0:
		named = min(max(1.25*j.toldMemory, least), most)
	case j.class.answers > 0:
		named = min(max(1.5*j.class.memory/j.class.answers, least), most)
	default:
		return 0, least
	}
	return named, named
}

// threadsPerCore sets the least grant: so many threads a core fill the memory. The page's 8 leaves cores to
// thrash; where an engine's line goes by priority, 3 makes the line keep them from it, for all gateways at once.
func (b *Brain) threadsPerCore() float64 {
	if b.lineByPriority() {
		return 3
	}
	return 8
}

// share is the part of an engine's memory that this gateway may have granted at once.
func (b *Brain) share(e *engine) float64 {
	memory := b.set.Kinds[e.kind].Memory
	return max(1*memory*e.scale/float64(b.set.Gateways), memory/4)
}

// pressed tells whether the engine shows pressure: then the share binds. Latency shows it, and being full. Where
// no line by priority takes what passes the memory, shortage harms before latency tells: there the engine is
// taken for full once the gateways together, each granting as this one does, would fill it.
func (b *Brain) pressed(e *engine, counted float64) bool {
	full := (e.tally+counted)*float64(b.set.Gateways) > b.set.Kinds[e.kind].Memory
	return e.scale < 1 || full && !b.lineByPriority()
}

func (b *Brain) lineByPriority() bool { return b.set.Line && b.set.Priorities }

// fits tells whether both tallies have room.
func (b *Brain) fits(j *job, e *engine, pool float64) bool {
	_, counted := b.grant(j, e.kind)
	return (!b.pressed(e, counted) || e.tally+counted <= b.share(e)) && j.class.tally+counted <= pool
}

// pool is the memory that one class may have granted over all usable engines.
func (b *Brain) pool() float64 {
	sum := 0.0
	for _, e := range b.fleet {
		if b.usable(e) {
			sum += b.share(e)
		}
	}
	return sum
}

// ---- the choice of engine

func (b *Brain) usable(e *engine) bool {
	return e.ready && e.listed && !e.doubted && b.now >= e.fullUntil
}

// onTrial tells whether a doubted engine, once rested, may have this job to show that it works: one at a time,
// light and restartable.
func (b *Brain) onTrial(e *engine, j *job) bool {
	return e.ready && e.listed && e.doubted && b.now >= max(e.restUntil, e.fullUntil) && len(e.live) == 0 &&
		j.class.Effect == Restartable && j.class == b.lightest()
}

func (b *Brain) lightest() *class {
	return slices.MinFunc(b.classes, func(x, y *class) int { return cmp.Compare(x.mean, y.mean) })
}

// allowed tells whether the rules let this job go to this engine now.
func (b *Brain) allowed(j *job, e *engine) bool {
	c := j.class
	if c.Zones != nil && !slices.Contains(c.Zones, e.zone) || c.Kinds != nil && !slices.Contains(c.Kinds, e.kind) {
		return false
	}
	for _, d := range j.dispatches {
		if d.out && d.engine == e {
			return false
		}
	}
	if r := j.mayRan; r != nil && c.Effect == Keyed {
		if c.Group == GroupZone && e.zone != r.engine.zone || c.Group == GroupCell && e.cell != r.engine.cell {
			return false
		}
	}
	return b.withinCold(j, e)
}

// withinCold keeps this gateway's part of a cold engine's budget, half of it kept back for estimates that are wrong.
func (b *Brain) withinCold(j *job, e *engine) bool {
	if e.up == 0 || b.now >= e.up+b.set.Cold || b.set.FallWindow == 0 {
		return true
	}
	budget := b.set.FallMultiple * b.set.ColdFrom * b.set.Kinds[e.kind].Cores * b.set.FallWindow
	return e.sentWork.sum(b.now, 11)+j.work <= budget/2/float64(b.set.Gateways)
}

// warmth is the share of its full pace that an engine has, from its start on.
func (b *Brain) warmth(e *engine) float64 {
	if e.up == 0 || b.now >= e.up+b.set.Cold {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*max(b.now-e.up, 0)/b.set.Cold
}

// place finds the engine for a job: of two random fitting ones, that with the less own estimated work.
func (b *Brain) place(j *job) *engine {
	var fit []*engine
	pool := b.pool()
	for _, e := range b.fleet {
		if (b.usable(e) || b.onTrial(e, j)) && b.allowed(j, e) && b.fits(j, e, pool) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	ranked := b.ranked(j)
	var homes []*engine
	switch {
	case j.class.Load:
		fit = prefer(fit, func(e *engine) bool { return b.ours(ranked, e) })
	case j.class.Waits:
		fit = prefer(fit, func(e *engine) bool { return slices.Index(ranked, e) < len(ranked)/2 })
		fallthrough
	default:
		homes = ranked[:min(2, len(ranked))]
	}
	if j.class.Load || j.class.Waits {
		fit = prefer(fit, func(e *engine) bool { return !e.holds(j.tables) })
	}
	at := int(b.chance() * float64(len(fit)))
	best := fit[at]
	other := fit[(at+1+int(b.chance()*float64(len(fit)-1)))%len(fit)]
	for _, e := range append(homes, other) {
		if slices.Contains(fit, e) && b.load(e, j, homes) < b.load(best, j, homes) {
			best = e
		}
	}
	return best
}

// ranked orders the engines for the job's data set by a hash, the same at every gateway. Its first two are the
// set's homes: they keep it warm. Loads, which hold the set, keep apart: each gateway's to its own engines, and
// to the far half where reads would stand still behind them.
func (b *Brain) ranked(j *job) []*engine {
	ranked := slices.Clone(b.fleet)
	slices.SortFunc(ranked, func(x, y *engine) int { return cmp.Compare(rank(j, x), rank(j, y)) })
	return ranked
}

func (b *Brain) ours(ranked []*engine, e *engine) bool {
	at := slices.Index(ranked, e)
	return (!b.waits || at >= len(ranked)/2) && (b.waits || at%b.set.Gateways == b.set.Index)
}

func (e *engine) holds(tables uint32) bool {
	return slices.ContainsFunc(e.live, func(d *dispatch) bool { return d.job.class.Load && d.job.tables == tables })
}

func prefer(list []*engine, good func(*engine) bool) []*engine {
	var found []*engine
	for _, e := range list {
		if good(e) {
			found = append(found, e)
		}
	}
	if found == nil {
		return list
	}
	return found
}

func rank(j *job, e *engine) uint64 { return mix(uint64(j.tables)<<32 | uint64(e.id)) }

// load is the engine's own estimated work, the job's with it, over what it gets done.
func (b *Brain) load(e *engine, j *job, homes []*engine) float64 {
	own := j.work
	if slices.Contains(homes, e) {
		own *= 0.6
	}
	work := (e.work + own) * e.slow / (b.set.Kinds[e.kind].Cores * b.warmth(e))
	if e.zone != b.set.Zone {
		work *= 1.2 // crossing has a price
	}
	return work
}

// ---- dispatches

func (b *Brain) admissible() bool {
	b.job = nil
	for _, c := range b.classes {
		at := slices.IndexFunc(c.queue, func(j *job) bool { return j.turn(b.now) })
		if at < 0 || b.job != nil && c.queue[at].taken >= b.job.taken {
			continue // those held for their key do not hold up the ones behind them
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

// mayAgain tells whether the rules let the job have a further dispatch at all.
func (b *Brain) mayAgain(j *job) bool {
	c := j.class
	if j.ended || j.begun || len(j.dispatches) >= b.set.MostDispatches || j.out > 0 && !b.set.MayCopy {
		return false
	}
	if j.mayRan == nil && j.out == 0 || c.Effect == Restartable {
		return true
	}
	if c.Effect == RunOnce {
		return false
	}
	first := j.mayRan
	if first == nil {
		first = j.dispatches[0]
	}
	return b.now < first.sent+c.Window-0.1 // a margin for clocks and ticks
}

// withinBudget keeps the further dispatches within their budget in any window: the extra are summed over a
// bucket more than the window, the jobs taken over a bucket less.
func (b *Brain) withinBudget() bool {
	return b.set.ExtraWindow == 0 ||
		b.extra.sum(b.now, 11)+1 <= b.set.ExtraFree+b.set.ExtraShare*b.taken.sum(b.now, 9)
}

func (b *Brain) stuck() bool {
	for _, j := range b.again {
		if j.out == 0 && (!b.mayAgain(j) || b.now+j.class.run(j.work)/2 > j.giveUp) {
			b.job = j
			return true
		}
	}
	return false
}

func (b *Brain) movable() bool {
	if !b.withinBudget() {
		return false
	}
	for _, j := range b.again {
		if !b.mayAgain(j) {
			continue
		}
		if e := b.place(j); e != nil {
			b.job, b.engine = j, e
			return true
		}
	}
	return false
}

// dispatch sends the job to the engine and books its grant.
func (b *Brain) dispatch() {
	j, e, c := b.job, b.engine, b.job.class
	named, counted := b.grant(j, e.kind)
	d := &dispatch{job: j, engine: e, number: len(j.dispatches), sent: b.now, grant: counted, work: j.work, out: true}
	d.due = b.now + c.run(j.work)*e.slow
	if j.queued {
		c.queue, j.queued = remove(c.queue, j), false
	}
	if j.again {
		b.again, j.again = remove(b.again, j), false
	}
	if len(j.dispatches) > 0 {
		b.extra.add(b.now, 1)
	}
	j.dispatches = append(j.dispatches, d)
	j.out++
	if j.line != nil {
		j.line.out++
	}
	e.live = append(e.live, d)
	e.tally += counted
	e.work += d.work
	c.tally += counted
	e.sentWork.add(b.now, d.work)
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
func (b *Brain) Outcome(now float64, id uint32, number int, status Status, took float64, over bool, work, memory float64) {
	b.now = now
	j := b.jobs[id]
	if j == nil || number >= len(j.dispatches) || !j.dispatches[number].out {
		return
	}
	d := j.dispatches[number]
	e, c := d.engine, j.class
	d.out = false
	j.out--
	b.judge(d, status, took, work, memory)
	e.live = remove(e.live, d)
	e.tally -= d.grant
	e.work -= d.work
	c.tally -= d.grant
	if len(e.live) == 0 {
		e.tally, e.work = 0, 0 // what rounding leaves
	}
	if j.line != nil {
		j.line.out--
		if status == TimedOut || status == Reset || status == CalledOff {
			j.line.restUntil = now + b.set.KeyRest
		}
	}
	if j.mayRan == nil && status != Full && status != NoConnection && status != Moot {
		j.mayRan = d
	}
	switch {
	case over || status == Done:
		if !j.ended {
			b.end(j)
		}
	case j.ended:
	case !j.again && j.out == 0:
		j.again = true
		b.again = append(b.again, j)
	}
	if j.ended && j.out == 0 {
		delete(b.jobs, j.id)
	}
	b.settle()
}

// judge learns from an outcome, for the class and the engine.
func (b *Brain) judge(d *dispatch, status Status, took, work, memory float64) {
	e, c, now := d.engine, d.job.class, b.now
	switch status {
	case Done, Failed, Full:
		e.hear(now)
	}
	switch status {
	case Done:
		e.ok.add(now, 1)
		e.doubted = false
		if work > 0 {
			const keep = 0.98 // about the last fifty answers
			c.jobs, c.work, c.told = c.jobs*keep+1, c.work*keep+work, c.told*keep+d.job.told
			c.answers, c.memory, c.toldMemory = c.answers*keep+1, c.memory*keep+memory, c.toldMemory*keep+d.job.toldMemory
			c.mean = c.work / c.jobs
		} else {
			work = d.work
		}
		pace := took * c.Threads / max(work, 0.001)
		c.slow += 0.05 * (min(pace, 20) - c.slow)
		e.slow += 0.1 * (min(pace/c.slow, 10) - e.slow)
		e.strain += 0.1 * (min(took/(d.job.class.Aim+d.job.class.Stretch*work/c.Threads), 3) - e.strain)
		b.adapt(e)
	case Failed:
		e.bad.add(now, 1)
	case CalledOff, TimedOut:
		if d.moved {
			e.bad.add(now, 1)
		}
	case Full:
		e.fullUntil = now + 0.2
		e.scale = max(e.scale*0.9, 0.05)
	case NoConnection, Reset:
		e.bad.add(now, 3)
	}
}

// adapt moves the engine's share: down by a part while its latency is far above its best, up by a little otherwise.
func (b *Brain) adapt(e *engine) {
	if e.strain > farAbove {
		e.scale = max(e.scale*0.97, 0.05)
	} else {
		e.scale = min(e.scale+0.01, 1)
	}
}

const farAbove = 0.4

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
		sum += (now - max(e.heard, d.sent)) / (d.due - d.sent)
	}
	return sum
}

// silence is how unusual the engine's silence is, given the gaps seen before.
func (e *engine) silence(now float64) float64 {
	if len(e.live) == 0 || now-max(e.heard, e.live[0].sent) < leastSilence {
		return 0
	}
	return e.overdue(now) / max(e.gap, leastGap)
}

const leastSilence = 1.0 // s: what a pause may take; moving jobs sooner costs more work than waiting
const leastGap = 0.5     // answers: the mean would be one if the expected run times were right

// mayDoubt keeps half of the fleet in use whatever it looks like: when all are slow at once none is to blame.
func (b *Brain) mayDoubt() bool {
	doubted := 0
	for _, e := range b.fleet {
		if e.doubted {
			doubted++
		}
	}
	return 2*(doubted+1) <= len(b.fleet)
}

// silent finds an engine whose silence is far out of the ordinary, its own and the others'. It answers hangs and
// machines gone without a word; a long pause can look the same and costs the work called off.
func (b *Brain) silent() bool {
	if !b.mayDoubt() {
		return false
	}
	sum := 0.0
	for _, e := range b.fleet {
		sum += min(e.silence(b.now), unusual)
	}
	for _, e := range b.fleet {
		s := e.silence(b.now)
		if (!e.doubted || b.now >= e.restUntil) && s > unusual && s > 3*(sum-unusual)/float64(len(b.fleet)) {
			b.engine = e
			return true
		}
	}
	return false
}

const unusual = 16.0 // answers overdue over the usual: 8 doubted engines that were only slow

// doubt rests the engine and moves what it holds, where the rules let a job that may have run go again.
func (b *Brain) doubt() {
	b.rest()
	for _, d := range b.engine.live {
		if !b.movesOff(d) {
			continue
		}
		if b.set.MayCancel {
			b.spent = append(b.spent, d)
		} else if b.set.MayCopy && !d.job.again {
			d.job.again = true
			b.again = append(b.again, d.job)
		}
	}
}

// movesOff tells whether the job could go elsewhere if this dispatch ended without an answer.
func (b *Brain) movesOff(d *dispatch) bool {
	j := d.job
	return !j.ended && !j.begun && j.out == 1 && len(j.dispatches) < b.set.MostDispatches && (j.class.Effect == Restartable ||
		j.class.Effect == Keyed && b.now < j.dispatches[0].sent+j.class.Window-0.1)
}

// failing finds an engine with a high share of failures: quick ones make it look idle, and it would draw more.
func (b *Brain) failing() bool {
	for _, e := range b.fleet {
		bad := e.bad.sum(b.now, 4)
		if e.doubted && bad > 0 && b.now >= e.restUntil || !e.doubted && b.mayDoubt() && bad >= 3 && bad > 0.25*(bad+e.ok.sum(b.now, 4)) {
			b.engine = e
			return true
		}
	}
	return false
}

func (b *Brain) rest() {
	e := b.engine
	if b.now > e.restUntil+10 {
		e.restLength = 0
	}
	e.restLength = min(max(2*e.restLength, 1), 8)
	e.restUntil = b.now + e.restLength
	e.doubted = true
	clear(e.bad.buckets)
}

func (b *Brain) hasSpent() bool {
	for len(b.spent) > 0 {
		if d := b.spent[0]; d.out && !d.job.ended && !d.job.begun {
			b.sent = d
			return true
		}
		b.spent = b.spent[1:]
	}
	return false
}

func (b *Brain) callOff() {
	b.spent = b.spent[1:]
	b.sent.moved = true
	b.out.CallOff(b.sent.job.id, b.sent.number)
}

// Progress tells how far a dispatch is: topic 1 its share done, 2 that it spills, 3 that it waits.
func (b *Brain) Progress(now float64, id uint32, number, topic int, amount float64) {
	b.now = now
	if j := b.jobs[id]; topic == 1 && j != nil && number < len(j.dispatches) && j.dispatches[number].out {
		d := j.dispatches[number]
		run, age := j.class.run(j.work)*d.engine.slow, now-d.sent
		if b.set.MayCancel && amount*5*run < age && age > run/2 && b.movesOff(d) && j.class.Effect == Restartable {
			b.spent = append(b.spent, d)
		}
	}
	b.settle()
}

// Reported takes a load report, -1 for what it does not tell.
func (b *Brain) Reported(now float64, id uint32, jobs, waiting, util, memory, disks float64) {
	b.now = now
	if e := b.engines[id]; e != nil {
		e.waiting, e.util, e.memory, e.reported = waiting, util, memory, now
	}
}

// Probed tells how a probe ended; a report that came with it has been told by Reported.
func (b *Brain) Probed(now float64, id uint32, status Status) {
	b.now = now
	b.settle()
}

func (b *Brain) unheard() bool { return false }
func (b *Brain) probe()        {}

// Woken tells that a wake-up asked for is due.
func (b *Brain) Woken(now float64) {
	b.now = now
	b.settle()
}

func (b *Brain) asleep() bool {
	return b.now >= b.bell && (len(b.giveUps) > 0 || b.set.AskRoster && !b.asking)
}

// wake asks to be woken in 10 ms: often enough for the grace of the answers and for the queues.
func (b *Brain) wake() {
	b.bell = b.now + 0.01
	b.out.Wake(0.01)
}
