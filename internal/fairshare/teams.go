// Package fairshare keeps budgets and tells waits. It stands ahead of the decision module: jobs wait here in a weighted
// fair order and are handed to the module as its room and the teams' budgets allow. Where a job runs, whether it goes
// again and what the module turns away is not decided here. The package does no I/O, reads no clock and starts
// nothing: each method is told the time, in seconds, and gives back what is decided. It is used from one goroutine.
package fairshare

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
)

// Budget is what a team may have. Memory is MB of grants, times are seconds.
type Budget struct {
	Name, Parent string
	Guaranteed   float64 // its part before all that others borrow
	Most         float64 // at once, 0 for no bound
	Weight       float64 // its part of what is left; 0 gets what no other wants
	Running      int     // jobs at once, 0 for no bound
	Waiting      int     // jobs at once, 0 for no bound
	LongestWait  float64 // after which a job is turned away, 0 for none
	Fleet        bool    // Most is the whole of a fleet's; this gateway may use the part that it is told
}

// Type is a reservation type as far as waits and pre-emption need it.
type Type struct {
	Restartable bool
	Preempts    bool    // its jobs may have others called off
	Value       float64 // billed value
	SLA         float64 // SLA time, 0 for none
	Threads     float64
}

// Rules are the figures of the stage. Times are seconds.
type Rules struct {
	Types        []Type
	Default      string  // the team of those that name none, or one that is not known
	Window       int     // jobs that the module may hold undispatched, of each type and of all but those held for long, at most
	Unserved     float64 // after so long a team's next job goes first
	Ageing       float64 // work, in seconds, that a second unserved counts for
	ComeBack     float64 // the most that a refusal may name
	PreemptAfter float64 // that a job fits nowhere before others make room
	PreemptValue float64 // times the victim's billed value for its work, at least
	PreemptTimes int     // that one job may be a victim
	Retell       float64 // part by which a wait must have moved to be told again
}

// Do is a kind of decision.
type Do int

const (
	Hand   Do = iota // the job to the module
	Refuse           // the job, which never ran
	Tell             // its client how long it will wait
	Yield            // Job to be called off, so that For fits
)

// Decision is one thing decided.
type Decision struct {
	Do       Do
	Job, For uint32
	Why      string
	ComeBack float64
	Wait     Estimate
}

// job is one that was taken and has not ended.
type job struct {
	id             uint32
	team           *node
	kind           int
	work, memory   float64
	taken, giveUp  float64
	until          float64 // it waits no longer
	asks           bool    // its client wants to be told
	mark           float64
	handed, sent   float64 // when, 0 for not yet
	dispatched     bool
	yielded        int
	at             int // in the heap of deadlines
	raw, told      Estimate
	toldAt         float64
	waits, counted bool
	fresh          bool // held by the module, not for long
}

// node is a team, or the team of teams above it.
type node struct {
	Budget
	parent  *node
	kids    int
	depth   int
	gone    bool    // out of the configuration; forgotten once it is empty
	settled float64 // Most as configured, whatever is ordered

	used             float64
	part             float64 // of a fleet's budget, that may be used here now
	open             bool    // the part may grow: the fleet is reached
	running, waiting int
	work, passed     float64 // waiting work, and all that was ever handed on
	pace, coming     ring    // work ended, work taken

	start, finish, now float64 // its tag among its siblings, and the time of its children
	since              float64 // waiting unserved
	weights            float64 // of the children with jobs waiting
	lines              []line  // by type
}

// line is a team's jobs of one type in the order in which they came; for a team of teams, its children's.
type line struct {
	jobs    []*job
	head    int
	count   int // in all below
	kids    []*node
	at      int // in the parent's kids, -1 for not there
	late    int // in the stage's list of the unserved, -1 for not there
	blocked bool
	look    float64 // not before
}

// Stage is all teams of one gateway.
type Stage struct {
	rules      Rules
	root       *node
	teams      map[string]*node // the door: names become nodes here
	jobs       map[uint32]*job
	open       []int     // by type, with the module and not dispatched
	held       float64   // the work of those
	fresh      int       // those that it has not held for long
	recent     []*job    // as they were handed
	dispatched ring      // first dispatches
	late       [][]*node // by type, a heap by since
	deadlines  deadlines
	running    map[*job]bool // restartable ones that are dispatched
	pending    map[*job]bool // handed, of types that may pre-empt
	active     []*node       // leaves with jobs waiting
	place      map[*node]int // in active
	out        []Decision
	now, ends  float64
	yieldAt    float64
	waits      waits
	tightened  bool   // budgets may have become smaller than a job that waits
	askers     []*job // waiting, to be told again; the first is looked at next
}

// New makes a stage. Budgets are as Check finds them good.
func New(rules Rules, budgets []Budget) (*Stage, error) {
	s := &Stage{rules: rules, jobs: map[uint32]*job{}, open: make([]int, len(rules.Types)), late: make([][]*node, len(rules.Types)),
		running: map[*job]bool{}, pending: map[*job]bool{}, place: map[*node]int{}, waits: newWaits(len(rules.Types)),
		ends: math.Inf(1), dispatched: newRing(0.25, 9)}
	return s, s.Configure(0, budgets)
}

// Teams is the number of teams kept; it does not grow by what clients name.
func (s *Stage) Teams() int { return len(s.teams) }

// Idle tells whether no job is kept and nothing is booked.
func (s *Stage) Idle() bool {
	return len(s.jobs)+len(s.deadlines)+len(s.active)+s.root.running+s.root.waiting == 0 && s.root.used == 0
}

// team finds whom a job belongs to. What is not known, and a team of teams, belongs to the default team.
func (s *Stage) team(name string) *node {
	if n := s.teams[name]; n != nil && n.kids == 0 {
		return n
	}
	return s.fallback()
}

// Arrive takes a job. work is in seconds on one core, memory in MB; both are estimates.
func (s *Stage) Arrive(now float64, id uint32, team string, kind int, work, memory, giveUp float64, asks bool) []Decision {
	s.begin(now)
	j := &job{id: id, team: s.team(team), kind: kind, work: max(work, 0.001), memory: max(memory, 1), taken: now, giveUp: giveUp, asks: asks, at: -1}
	for n := j.team; n != nil; n = n.parent {
		why := ""
		switch {
		case n.Most > 0 && j.memory > n.Most:
			why = fmt.Sprintf("needs %.0f MB, more than the whole budget of team %s", j.memory, n.Name)
		case n.Waiting > 0 && n.waiting >= n.Waiting:
			why = fmt.Sprintf("team %s has %d jobs waiting, its most", n.Name, n.Waiting)
		case n.Fleet && !n.open && n.used+j.memory > n.part:
			why = fmt.Sprintf("the fleet that divides team %s is not reached, and what is left here is in use", n.Name)
		default:
			continue
		}
		s.refuse(j, why)
		return s.out
	}
	j.giveUp = min(j.giveUp, s.ends)
	if j.until = j.giveUp; j.team.LongestWait > 0 {
		j.until = min(j.until, now+j.team.LongestWait)
	}
	s.jobs[id] = j
	s.joinLine(j)
	s.settle()
	if !j.waits {
		return s.out
	}
	j.raw = s.estimate(j)
	j.told = s.correct(j)
	switch {
	case s.waits.of(kind, asks, j.raw.Dispatch).knows() && j.told.Least > 0 && now+j.told.Least+0.8*s.run(j) > s.rules.inTime(j):
		s.drop(j, "would not be done in its time")
	case j.asks:
		s.askers = append(s.askers, j)
		s.out = append(s.out, Decision{Do: Tell, Job: j.id, Wait: j.told})
	}
	return s.out
}

// begin opens an entry.
func (s *Stage) begin(now float64) { s.now, s.out = now, nil }

// refuse turns away a job that was not taken.
func (s *Stage) refuse(j *job, why string) {
	s.out = append(s.out, Decision{Do: Refuse, Job: j.id, Why: why, ComeBack: s.comeBack(j)})
}

// drop turns away a job that waits.
func (s *Stage) drop(j *job, why string) {
	s.refuse(j, why)
	s.leaveLine(j)
	s.forget(j)
}

// joinLine puts a job at its place by age in its team's line.
func (s *Stage) joinLine(j *job) {
	n, k := j.team, j.kind
	l := &n.lines[k]
	at := len(l.jobs)
	for at > l.head && byAge(j, l.jobs[at-1]) < 0 {
		at--
	}
	l.jobs = slices.Insert(l.jobs, at, j)
	j.waits = true
	j.mark = n.passed + n.work
	n.work += j.work
	n.coming.add(s.now, j.work)
	if s.root != n {
		s.root.work += j.work
		s.root.coming.add(s.now, j.work)
	}
	if j.at < 0 {
		heap.Push(&s.deadlines, j)
	}
	if n.waiting == 0 {
		s.place[n] = len(s.active)
		s.active = append(s.active, n)
	}
	for p := n; p != nil; p = p.parent {
		if p.waiting == 0 && p.parent != nil { // active among its siblings from now on, with no credit for its rest
			p.start = max(p.finish, p.parent.now)
			p.parent.weights += p.Weight
		}
		if p.waiting == 0 {
			p.since = max(s.now, p.since) // unserved from here on
		}
		p.waiting++
		p.lines[k].count++
		s.fixLine(p, k)
	}
	s.fix(n)
	s.fixLate(n, k)
}

// leaveLine takes a waiting job out.
func (s *Stage) leaveLine(j *job) {
	n, k := j.team, j.kind
	l := &n.lines[k]
	if at := slices.Index(l.jobs[l.head:], j); at == 0 {
		l.jobs[l.head] = nil
		l.head++
		if l.head > 32 && 2*l.head > len(l.jobs) {
			l.jobs, l.head = slices.Clone(l.jobs[l.head:]), 0
		}
	} else {
		l.jobs = slices.Delete(l.jobs, l.head+at, l.head+at+1)
	}
	j.waits = false
	n.passed += j.work
	if n.work -= j.work; n.waiting == 1 {
		n.work = 0
	}
	if s.root.work -= j.work; s.root.waiting == 1 {
		s.root.work = 0
	}
	for p := n; p != nil; p = p.parent {
		p.waiting--
		p.lines[k].count--
		if p.waiting == 0 && p.parent != nil {
			p.parent.weights = max(p.parent.weights-p.Weight, 0)
		}
		s.fixLine(p, k)
	}
	if n.waiting == 0 {
		at := s.place[n]
		last := s.active[len(s.active)-1]
		s.active[at], s.place[last] = last, at
		s.active = s.active[:len(s.active)-1]
		delete(s.place, n)
	}
	s.fixLate(n, k)
}

func (n *node) queue(k int) []*job { return n.lines[k].jobs[n.lines[k].head:] }

// forget ends what is kept by the job's number.
func (s *Stage) forget(j *job) {
	delete(s.jobs, j.id)
	delete(s.running, j)
	delete(s.pending, j)
	if j.at >= 0 {
		heap.Remove(&s.deadlines, j.at)
	}
}

// room tells whether the team, or team of teams, may have the job running now.
func (n *node) room(j *job) bool {
	return (n.Most == 0 || n.used+j.memory <= n.Most) && (n.Running == 0 || n.running < n.Running) &&
		(!n.Fleet || n.used+j.memory <= n.part)
}

// hand gives the job to the module and books it with all teams above it.
func (s *Stage) hand(j *job) {
	s.leaveLine(j)
	j.handed = s.now
	s.open[j.kind]++
	s.held += j.work
	j.fresh = true
	s.fresh++
	s.recent = append(s.recent, j)
	for n := j.team; n != nil; n = n.parent {
		n.used += j.memory
		n.running++
		n.since = s.now
		if p := n.parent; p != nil {
			p.now = max(p.now, n.start)
			n.finish = n.start + j.work/weight(n)
			n.start = n.finish
		}
	}
	j.counted = true
	s.fix(j.team)
	if s.rules.Types[j.kind].Preempts {
		s.pending[j] = true
	}
	s.out = append(s.out, Decision{Do: Hand, Job: j.id})
}

// weight is what tags count with; a team of weight 0 goes behind all others by the order itself.
func weight(n *node) float64 {
	if n.Weight <= 0 {
		return 1
	}
	return n.Weight
}

// Granted tells that the module dispatched the job with that grant, 0 where it named none.
func (s *Stage) Granted(now float64, id uint32, grant float64) []Decision {
	s.begin(now)
	j := s.jobs[id]
	if j == nil || !j.counted {
		return nil
	}
	if grant > 0 && grant != j.memory {
		for n := j.team; n != nil; n = n.parent {
			n.used += grant - j.memory
		}
		smaller := grant < j.memory
		j.memory = grant
		if s.fix(j.team); smaller {
			s.freed(j.team)
		}
	}
	if !j.dispatched {
		s.dispatched.add(now, 1)
		j.dispatched, j.sent = true, now
		s.taken(j)
		s.waits.met(j.kind, j.asks, j.raw.Dispatch, now-j.taken, j.raw.made)
		if s.rules.Types[j.kind].Restartable {
			s.running[j] = true
		}
		delete(s.pending, j)
	}
	s.settle()
	return s.out
}

// Ended tells that the job has had its final answer and nothing of it is out any more. work is what it took, 0 where
// it was not done.
func (s *Stage) Ended(now float64, id uint32, work float64) []Decision {
	s.begin(now)
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	switch {
	case j.waits:
		s.leaveLine(j)
	case j.counted:
		if !j.dispatched {
			s.taken(j)
		}
		for n := j.team; n != nil; n = n.parent {
			n.used -= j.memory
			if n.running--; n.running == 0 {
				n.used = 0 // rounding leaves traces
			}
		}
		if work > 0 {
			s.waits.ended(now, work)
			j.team.pace.add(now, work)
			s.waits.ran(j.kind, now-j.sent, j.work)
		}
		s.freed(j.team)
	}
	s.forget(j)
	s.settle()
	return s.out
}

// freed lets all teams above that had no room be looked at again.
func (s *Stage) freed(n *node) {
	for p := n; p != nil; p = p.parent {
		s.unblock(p)
	}
	s.fix(n)
}

func (s *Stage) unblock(n *node) {
	for k := range n.lines {
		if n.lines[k].blocked {
			n.lines[k].blocked = false
			s.fixLine(n, k)
		}
	}
}

// Ends tells that the gateway ends then: no job waits beyond it.
func (s *Stage) Ends(now, at float64) []Decision {
	s.begin(now)
	s.ends = at
	for _, j := range s.deadlines {
		j.giveUp, j.until = min(j.giveUp, at), min(j.until, at)
	}
	heap.Init(&s.deadlines)
	return s.out
}

// Next is when Due is to be called, infinity for never.
func (s *Stage) Next() float64 {
	next := math.Inf(1)
	if len(s.deadlines) > 0 {
		next = s.deadlines[0].until
	}
	if s.tightened {
		next = s.now
	}
	if s.root.waiting > 0 { // the unserved, waits that have moved
		next = min(next, s.now+0.25)
	}
	if len(s.pending) > 0 && s.rules.PreemptTimes > 0 {
		next = min(next, s.now+max(s.rules.PreemptAfter/2, 0.02))
	}
	return next
}

// Due tells that the time has come: jobs whose time is up are turned away, waits that have moved are told.
func (s *Stage) Due(now float64) []Decision {
	s.begin(now)
	for len(s.deadlines) > 0 && s.deadlines[0].until <= now {
		j := s.deadlines[0]
		if !j.waits { // the module's by now
			heap.Remove(&s.deadlines, 0)
			continue
		}
		s.drop(j, "waited for its longest")
	}
	if s.tightened {
		s.tightened = false
		s.dropMisfits()
	}
	s.settle()
	s.preempt()
	s.retell()
	return s.out
}

// inTime is up to when the job's answer is worth anything.
func (r *Rules) inTime(j *job) float64 {
	if sla := r.Types[j.kind].SLA; sla > 0 {
		return min(j.taken+sla, j.giveUp)
	}
	return j.giveUp
}
