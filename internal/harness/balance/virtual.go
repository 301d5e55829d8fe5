package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
)

// Day is a fleet in virtual time: the module itself, hundreds of times, each with clients of its own, before engines that
// serve in arrival order. The same day gives the same figures each time. Times are seconds, memory is MB.
type Day struct {
	Seed                 uint64
	Controllers, Engines int
	Work, Load, Seconds  float64            // mean work of a job, of all cores, length
	Set                  admission.Settings // Gateways and Index are put in, and one reservation type where none is named
	Untold               [4]bool            // what no engine tells: jobs, waiting, cores, memory
	Machine              func(i int) Machine
	Estimates            float64 // told over true work, 1 where 0
	Half                 bool    // one controller has half of the traffic
	Zones                int     // of the controllers, in turn; 1 where 0
	Events               []Event
}

// Machine is an engine of 4 cores and 4 GB.
type Machine struct {
	Speed, Weight float64 // 1 where 0
	Report        string  // frozen: that of its start; late: 3 s old; odd: NaN and beyond all bounds; idle: nobody waits
	Fault         string  // hang: says nothing of what it takes; fail: fails at once
	Zone          int
}

// Event is something done to the fleet.
type Event struct {
	At float64
	Do func(p *Play)
}

// Figures tell of a day that was played.
type Figures struct {
	Jobs, Done, Refused, Lost, Twice int
	At, AtP99, All, AllP99           float64 // evenness of waits at engines and of all waits, with what jobs take longer on slow engines
	Wait, P99                        float64
	Least, Most                      float64     // busy over the mean of alike engines
	Probes                           float64     // a second at an engine
	Herd, HerdMost                   float64     // jobs at a joined engine in the second from its first one on, over its part: mean, most
	First                            float64     // until a joined engine had its first job, the longest
	Busy                             [][]float64 // part of its cores that was busy, by engine and second
	Cold                             float64     // work sent to a cold engine within a window over what it bears, the most
}

func (f Figures) String() string {
	return fmt.Sprintf("%d jobs, %d refused, %d lost, %d twice | engines %.2f, %.2f | all %.2f, %.2f | wait %.4f, %.3f | busy %.2f to %.2f | probes %.1f | joined %.2f and %.2f after %.2f, cold %.2f",
		f.Jobs, f.Refused, f.Lost, f.Twice, f.At, f.AtP99, f.All, f.AllP99, f.Wait, f.P99, f.Least, f.Most, f.Probes, f.Herd, f.HerdMost, f.First, f.Cold)
}

// way is how long a message takes, one way.
const way = 0.0003

// Play is a day while it is played.
type Play struct {
	Day
	Controllers []*Controller
	Engines     []*Engine
	at          float64
	serial      int
	due         queue
	counter     uint64
	figures     Figures
	arrivals    []Arrival
	atEngines   []float64
	all         []float64
}

type entry struct {
	at     float64
	serial int
	do     func()
}

type queue []entry

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].serial < q[k].serial
}
func (q queue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(entry)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (p *Play) after(wait float64, do func()) {
	p.serial++
	heap.Push(&p.due, entry{p.at + wait, p.serial, do})
}

func (p *Play) draw() float64 {
	p.counter++
	return draw(p.Seed, p.counter)
}

func (p *Play) exp(mean float64) float64 { return -math.Log(1-p.draw()) * mean }

// start is the clock at the day's start: engines that were up long before are warm.
const start = 1000

// Now is the time since the day's start.
func (p *Play) Now() float64 { return p.at - start }

// Run plays the day.
func (d Day) Run() Figures {
	p := &Play{Day: d, at: start}
	if p.Estimates == 0 {
		p.Estimates = 1
	}
	if len(p.Set.Classes) == 0 {
		p.Set.Classes = []admission.Class{{LatencyObjective: 20, PriorityWeight: 1}}
	}
	for i := range p.Set.Classes {
		p.Set.Classes[i].Threads = 1
	}
	p.Set.MachineTypes, p.Set.GatewayCount, p.Set.MaxAttempts = []admission.MachineType{{Cores: 4, Memory: 4096}}, d.Controllers, 3
	p.Set.EnginesTakeGrants, p.Set.MayCancel, p.Set.MayHedge = true, true, true
	p.Set.RetryBudgetFree, p.Set.RetryBudgetRatio, p.Set.RetryBudgetWindow = 10, 0.2, 10
	p.Set.EnginesReportMemory = !d.Untold[3]
	p.Set.MinPolledWork = cmp.Or(p.Set.MinPolledWork, 0.02)
	for i := range d.Engines {
		p.Engine(i, 0)
	}
	rate, weights, sum := d.Load*float64(d.Engines)*4/d.Work, []float64{}, 0.0
	for i := range d.Controllers {
		w := 0.3 + 0.7*p.exp(1)
		weights, sum = append(weights, w), sum+w
		c := &Controller{play: p, open: map[uint32]*task{}, set: p.Set}
		c.set.GatewayIndex, c.set.Zone = i, i%max(d.Zones, 1)
		c.Controller = admission.New(p.Seed*1000+uint64(i), c.set, c)
		p.Controllers = append(p.Controllers, c)
		c.list(p.Engines)
	}
	if d.Half && d.Controllers > 1 {
		sum += sum - 2*weights[0]
		weights[0] = sum / 2
	}
	for i, c := range p.Controllers {
		own := rate * weights[i] / sum
		var next func()
		next = func() {
			if p.Now() < d.Seconds {
				c.ask()
				p.after(p.exp(1/own), next)
			}
		}
		p.after(p.exp(1/own), next)
	}
	for _, e := range d.Events {
		p.after(e.At, func() { e.Do(p) })
	}
	for second := 1.0; second <= d.Seconds; second++ {
		p.after(second, p.look)
	}
	var works []float64
	p.after(d.Seconds, func() {
		for _, e := range p.Engines[:d.Engines] {
			works = append(works, e.busyTime(p.at))
		}
	})
	for len(p.due) > 0 && p.at < start+d.Seconds+60 {
		next := heap.Pop(&p.due).(entry)
		p.at = next.at
		next.do()
	}
	return p.sum(rate, works)
}

// look writes down how busy each engine was in the last second.
func (p *Play) look() {
	f := &p.figures
	for i, e := range p.Engines {
		if i == len(f.Busy) {
			f.Busy = append(f.Busy, make([]float64, max(int(p.Now())-1, 0)))
		}
		now := e.busyTime(p.at)
		f.Busy[i] = append(f.Busy[i], (now-e.looked)/4)
		e.looked = now
	}
}

// sum adds the figures up.
func (p *Play) sum(rate float64, works []float64) Figures {
	f := &p.figures
	ends := Engines{Count: p.Day.Engines, Cores: 4, Speed: 1}
	if p.Machine != nil {
		for _, e := range p.Engines[:p.Day.Engines] {
			ends.Speeds = append(ends.Speeds, e.Speed)
		}
	}
	random, central := Random(ends, p.arrivals, p.Seed), Central(ends, p.arrivals)
	f.Jobs, f.Done = len(p.arrivals), len(p.all)
	f.Lost = f.Jobs - f.Done - f.Refused
	f.At = Evenness(Mean(p.atEngines), Mean(random), Mean(central))
	f.AtP99 = Evenness(Quantile(p.atEngines, 0.99), Quantile(random, 0.99), Quantile(central, 0.99))
	f.All = Evenness(Mean(p.all), Mean(random), Mean(central))
	f.AllP99 = Evenness(Quantile(p.all, 0.99), Quantile(random, 0.99), Quantile(central, 0.99))
	f.Wait, f.P99 = Mean(p.all), Quantile(p.all, 0.99)
	f.Least, f.Most = Spread(works)
	part, joined := rate/float64(len(p.Engines)), 0.0
	for _, e := range p.Engines {
		f.Probes += float64(e.probes) / p.Seconds / float64(len(p.Engines))
		if e.joined == 0 {
			continue
		}
		count, first := 0.0, math.Inf(1)
		for _, at := range e.came {
			if first = min(first, at-e.joined); at < e.joined+first+1 {
				count++
			}
		}
		joined++
		f.Herd, f.HerdMost, f.First = f.Herd+count/part, max(f.HerdMost, count/part), max(f.First, first)
	}
	f.Herd /= max(joined, 1)
	return *f
}

// Engine adds an engine on the i-th machine that starts so many seconds from now; Tell has all controllers hear of it.
func (p *Play) Engine(i int, after float64) *Engine {
	m := Machine{}
	if p.Machine != nil {
		m = p.Machine(i)
	}
	e := &Engine{Machine: m, play: p, id: uint32(len(p.Engines) + 1)}
	if e.Speed == 0 {
		e.Speed = 1
	}
	if e.Weight == 0 {
		e.Weight = 1
	}
	if after > 0 || p.Now() > 0 {
		e.joined = p.at + after
		e.up = e.joined
	}
	p.Engines = append(p.Engines, e)
	return e
}

// Tell has each controller hear of all engines, within so many seconds of now.
func (p *Play) Tell(within float64) {
	for _, c := range p.Controllers {
		p.after(within*p.draw(), func() { c.list(p.Engines) })
	}
}

// ---- controllers

// Controller is one module with its clients.
type Controller struct {
	*admission.Controller
	play *Play
	open map[uint32]*task
	last uint32
	bell int
	Dead bool
	Only func(e *Engine) bool // engines that it is told of, nil for all
	set  admission.Settings
}

type task struct {
	id      uint32
	class   int
	work    float64
	sent    float64
	grant   float64
	runs    []*run
	out     int
	over    bool
	effects int
}

type run struct {
	*task
	by     *Controller
	number int
	engine *Engine
	asked  float64
	began  float64
	grant  float64
	state  int // 0 on its way or in the line, 1 running, 2 over
	serial int
}

// ask takes a job from a client.
func (c *Controller) ask() {
	p := c.play
	class := 0
	if n := len(p.Set.Classes); n > 1 {
		class = int(p.draw() * float64(n))
	}
	c.last++
	t := &task{id: c.last, class: class, work: p.exp(p.Work), sent: p.at}
	p.arrivals = append(p.arrivals, Arrival{p.at, t.work})
	if c.Dead { // its client finds another, which is not what is measured
		p.figures.Refused++
		return
	}
	c.open[t.id] = t
	c.RequestArrived(p.at, admission.Request{ID: t.id, Class: class, OrderKey: uint64(1 + c.last%3), Deadline: p.at + 30, Work: t.work * p.Estimates, Memory: 40})
}

func (c *Controller) list(engines []*Engine) {
	if c.Dead {
		return
	}
	now := c.play.at
	var endpoints []admission.Endpoint
	for _, e := range engines {
		if !e.Gone && (c.Only == nil || c.Only(e)) {
			endpoints = append(endpoints, admission.Endpoint{ID: e.id, Zone: e.Zone, Ready: true, Weight: e.Weight, StartedAt: e.up})
		}
	}
	c.UpdateEndpoints(now, admission.Snapshot, endpoints)
}

// Kill ends the controller; what it has out runs on.
func (c *Controller) Kill() {
	c.Dead = true
	for _, t := range c.open {
		if !t.over {
			c.play.figures.Refused++ // its client asks elsewhere
		}
	}
}

// Restart has the controller come back at once, knowing nothing of the past but the list; its clients ask elsewhere.
func (c *Controller) Restart() {
	for _, t := range c.open {
		if !t.over {
			c.refuse(t.id)
		}
	}
	c.bell++
	c.Controller = admission.New(c.play.counter, c.set, c)
	c.play.draw()
	c.list(c.play.Engines)
}

func (c *Controller) StartAttempt(job, engine uint32) {
	t := c.open[job]
	e := c.play.Engines[engine-1]
	r := &run{task: t, by: c, number: len(t.runs), engine: e, grant: max(t.grant, 1)}
	t.runs = append(t.runs, r)
	t.out++
	c.play.after(way, func() { e.take(r) })
}

func (c *Controller) SetAttemptTerms(job uint32, priority uint8, grant float64) {
	c.open[job].grant = grant
}

func (c *Controller) Reject(job uint32, comeBack float64) { c.refuse(job) }
func (c *Controller) Fail(job uint32)                     { c.refuse(job) }

func (c *Controller) refuse(job uint32) {
	t := c.open[job]
	t.over = true
	c.play.figures.Refused++
	c.forget(t)
}

func (c *Controller) forget(t *task) {
	if t.over && t.out == 0 {
		delete(c.open, t.id)
	}
}

func (c *Controller) CancelAttempt(job uint32, dispatch int) {
	r := c.open[job].runs[dispatch]
	c.play.after(way, func() { r.engine.quit(r) })
}

func (c *Controller) PollLoad(engine uint32) {
	p, e := c.play, c.play.Engines[engine-1]
	e.probes++
	if e.Gone {
		p.after(0.25, func() { c.PollEnded(p.at) })
		return
	}
	p.after(way, func() {
		load := e.report()
		p.after(way, func() {
			if !c.Dead {
				c.LoadReported(p.at, engine, load.Report())
				c.PollEnded(p.at)
			}
		})
	})
}

func (c *Controller) WatchEndpoints() {
	c.play.after(0, func() { c.list(c.play.Engines) })
}

func (c *Controller) WakeAfter(after float64) {
	c.bell++
	bell, p := c.bell, c.play
	p.after(after, func() {
		if c.bell == bell && !c.Dead {
			c.WakeUp(p.at)
		}
	})
}

// outcome comes back to the controller.
func (r *run) outcome(status admission.Status) {
	p, took := r.engine.play, r.engine.play.at+way-r.asked
	p.after(way, func() {
		if r.by.Dead {
			return
		}
		r.out--
		if status == admission.Succeeded && !r.over {
			r.over = true
			p.all = append(p.all, p.at-r.sent-r.work)
		}
		work, memory := 0.0, 0.0
		if status == admission.Succeeded {
			work, memory = r.work, 40
		}
		r.by.AttemptEnded(p.at, r.id, r.number, admission.AttemptResult{Status: status, Duration: took, Final: r.over, Work: work, Memory: memory})
		r.by.forget(r.task)
	})
}

// ---- engines

// Engine is one that serves in arrival order.
type Engine struct {
	Machine
	Gone    bool
	play    *Play
	id      uint32
	up      float64
	joined  float64
	granted float64
	running []*run
	line    []*run
	done    float64 // core-seconds
	looked  float64 // of them at the last look
	probes  int
	came    []float64
	sent    []Arrival // while it is cold
	kept    [][2]float64
	told    []deployment.Load // by tenths of a second, for late ones
}

// busyTime is the core time spent so far.
func (e *Engine) busyTime(now float64) (sum float64) {
	sum = e.done
	for _, r := range e.running {
		sum += now - r.began
	}
	return sum
}

func (e *Engine) take(r *run) {
	p := e.play
	if e.Gone {
		r.outcome(admission.ConnectionReset)
		return
	}
	if e.joined > 0 {
		e.came = append(e.came, p.at)
	}
	if e.cold() {
		e.sent = append(e.sent, Arrival{p.at, r.work})
		e.bears()
	}
	r.asked = p.at
	switch {
	case e.Fault == "fail":
		p.after(0.002, func() { r.outcome(admission.Failed) })
		return
	case e.Fault == "hang":
		e.granted += r.grant
		e.line = append(e.line, r)
		return
	case e.granted+r.grant > 1.01*4096:
		r.outcome(admission.Overloaded)
		return
	}
	if r.effects++; r.effects > 1 && p.Set.Classes[r.class].Idempotency == admission.NonIdempotent {
		p.figures.Twice++
	}
	e.granted += r.grant
	e.line = append(e.line, r)
	e.seat()
}

// cold tells whether it is within its first seconds.
func (e *Engine) cold() bool {
	return e.play.Set.SlowStartWindow > 0 && e.joined > 0 && e.play.at < e.up+e.play.Set.SlowStartWindow
}

// bears keeps the most work within a window over what a cold engine bears.
func (e *Engine) bears() {
	set, now := e.play.Set, e.play.at
	sum := 0.0
	for _, a := range e.sent {
		if a.At > now-set.SlowStartBudgetWindow {
			sum += a.Work
		}
	}
	bears := set.SlowStartBudgetMultiple * set.SlowStartInitialPace * 4 * set.SlowStartBudgetWindow
	e.play.figures.Cold = max(e.play.figures.Cold, sum/bears)
}

func (e *Engine) pace() float64 {
	if !e.cold() {
		return e.Speed
	}
	from := e.play.Set.SlowStartInitialPace
	return e.Speed * (from + (1-from)*(e.play.at-e.up)/e.play.Set.SlowStartWindow)
}

// seat lets the next in the line run while a core is free.
func (e *Engine) seat() {
	for len(e.running) < 4 && len(e.line) > 0 && e.Fault == "" {
		r := e.line[0]
		e.line = e.line[1:]
		e.running = append(e.running, r)
		r.state = 1
		r.began = e.play.at
		takes := r.work / e.pace()
		e.play.atEngines = append(e.play.atEngines, r.began-r.asked+takes-r.work) // beyond its work at the usual speed
		e.play.after(takes, func() {
			if r.state != 1 || e.Gone {
				return
			}
			r.state = 2
			e.done += e.play.at - r.began
			e.leave(r)
			r.outcome(admission.Succeeded)
		})
	}
}

func (e *Engine) leave(r *run) {
	for _, list := range []*[]*run{&e.running, &e.line} {
		if at := slices.Index(*list, r); at >= 0 {
			*list = slices.Delete(*list, at, at+1)
			e.granted -= r.grant
		}
	}
	e.seat()
}

// quit calls a dispatch off.
func (e *Engine) quit(r *run) {
	if r.state == 2 || e.Gone || !slices.Contains(e.running, r) && !slices.Contains(e.line, r) {
		return
	}
	r.state = 2
	e.leave(r)
	r.outcome(admission.Cancelled)
}

// Lose has the engine gone without a word; connections to it end.
func (e *Engine) Lose() {
	e.Gone = true
	for _, r := range append(slices.Clone(e.running), e.line...) {
		if r.state != 2 {
			r.state = 2
			r.outcome(admission.ConnectionReset)
		}
	}
	e.running, e.line, e.granted = nil, nil, 0
}

// report is what it tells of its load: jobs, waiting, cores, memory; -1 for what is not told.
func (e *Engine) report() deployment.Load {
	now := deployment.Load{float64(len(e.running) + len(e.line)), float64(len(e.line)), float64(len(e.running)) / 4, e.granted / 4096, -1}
	switch e.Report {
	case "odd":
		return deployment.Load{math.NaN(), math.Inf(1), -math.MaxFloat64, math.NaN(), -1}
	case "idle":
		now = deployment.Load{0, 0, 0, 0, -1}
	case "frozen":
		if len(e.told) == 0 {
			e.told = append(e.told, now)
		}
		now = e.told[0]
	case "late": // a tenth of a second a step, three seconds old
		for len(e.told) < int(e.play.Now()*10)+1 {
			e.told = append(e.told, now)
		}
		now = e.told[max(len(e.told)-31, 0)]
	}
	for i, untold := range e.play.Untold {
		if untold {
			now[i] = -1
		}
	}
	return now
}
