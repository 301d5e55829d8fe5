// Package teams keeps budgets and tells waits. It stands ahead of the decision module: jobs wait here in a weighted
// fair order and are handed to the module as its room and the teams' budgets allow. Where a job runs, whether it goes
// again and what the module turns away is not decided here. The package does no I/O, reads no clock and starts
// nothing: each method is told the time, in seconds, and gives back what is decided. It is used from one goroutine.
package teams

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
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
	askers     []*job // waiting, to be told again; the first is looked at next
}

// New makes a stage. Budgets are as Check finds them good.
func New(rules Rules, budgets []Budget) (*Stage, error) {
	s := &Stage{rules: rules, jobs: map[uint32]*job{}, open: make([]int, len(rules.Types)), late: make([][]*node, len(rules.Types)),
		running: map[*job]bool{}, pending: map[*job]bool{}, place: map[*node]int{}, waits: newWaits(len(rules.Types)),
		ends: math.Inf(1), dispatched: newRing(0.25, 9)}
	return s, s.Configure(0, budgets)
}

// Check tells what is wrong with a set of budgets, by the place of each fault.
func Check(budgets []Budget, fallback string) (faults map[int]error) {
	faults = map[int]error{}
	at, sums := map[string]int{}, map[string]float64{}
	for i, b := range budgets {
		if _, twice := at[b.Name]; twice {
			faults[i] = fmt.Errorf("%q stands there twice", b.Name)
		}
		at[b.Name] = i
		sums[b.Parent] += b.Guaranteed
		if b.Most > 0 && b.Guaranteed > b.Most {
			faults[i] = fmt.Errorf("is guaranteed %g MB but may have %g at most", b.Guaranteed, b.Most)
		}
	}
	for i, b := range budgets {
		p, there := at[b.Parent]
		switch {
		case b.Parent != "" && !there:
			faults[i] = fmt.Errorf("parent %q is no team", b.Parent)
		case b.Parent != "" && budgets[p].Parent != "" && budgets[p].Parent != budgets[p].Name && deep(budgets, at, i) > mostDepth:
			faults[i] = fmt.Errorf("is over %d teams deep, or its own ancestor", mostDepth)
		case b.Parent == b.Name:
			faults[i] = errors.New("is its own parent")
		}
		if sum := sums[b.Name]; sum > b.Guaranteed && b.Name != "" {
			faults[i] = fmt.Errorf("is guaranteed %g MB, less than the %g of the teams below", b.Guaranteed, sum)
		}
	}
	if _, there := at[fallback]; !there && fallback != "" {
		faults[-1] = fmt.Errorf("%q is no team", fallback)
	}
	return faults
}

const mostDepth = 4 // of teams in teams; members, desks, offices and the house

func deep(budgets []Budget, at map[string]int, i int) (depth int) {
	for depth <= mostDepth {
		p, there := at[budgets[i].Parent]
		if !there {
			return depth + 1
		}
		i = p
		depth++
	}
	return depth
}

// Configure takes a new set of budgets whole. What is in use stays; jobs of teams that are gone wait with the default
// team, at the places by age that they had. An order that stands is not changed by new weights: they count from
// each team's next job on.
func (s *Stage) Configure(now float64, budgets []Budget) error {
	faults := Check(budgets, s.rules.Default)
	for _, i := range slices.Sorted(maps.Keys(faults)) {
		if i < 0 {
			return faults[i]
		}
		return fmt.Errorf("team %q: %w", budgets[i].Name, faults[i])
	}
	s.now = now
	old, root := s.teams, s.root
	if root == nil {
		root = s.node(Budget{Weight: 1}, nil)
		s.root = root
	}
	s.teams = map[string]*node{}
	parents := map[string]bool{}
	byName := map[string]Budget{}
	for _, b := range budgets {
		byName[b.Name], parents[b.Parent] = b, true
	}
	var make1 func(b Budget) *node
	made := map[string]*node{}
	make1 = func(b Budget) *node {
		if n := made[b.Name]; n != nil {
			return n
		}
		above := root
		if b.Parent != "" {
			above = make1(byName[b.Parent])
		}
		n := old[b.Name]
		if n == nil || n.parent != above || (n.kids > 0) != parents[b.Name] { // its place has changed: a new one
			n = s.node(b, above)
		}
		n.Budget, n.settled = b, b.Most
		made[b.Name] = n
		return n
	}
	for _, b := range budgets {
		s.teams[b.Name] = make1(b)
	}
	if len(budgets) == 0 || s.rules.Default == "" {
		if s.teams[""] == nil {
			if s.teams[""] = old[""]; s.teams[""] == nil {
				s.teams[""] = s.node(Budget{Weight: 1}, root)
			}
		}
	}
	s.retire(old, made)
	s.refresh()
	return nil
}

// node makes a team below another.
func (s *Stage) node(b Budget, parent *node) *node {
	n := &node{Budget: b, parent: parent, lines: make([]line, len(s.rules.Types)), pace: newRing(0.5, 13), coming: newRing(0.5, 13)}
	for k := range n.lines {
		n.lines[k].at, n.lines[k].late = -1, -1
	}
	if parent != nil {
		n.depth = parent.depth + 1
		parent.kids++
	}
	return n
}

// retire moves the jobs that wait in teams that are gone to the default team, by age among those there.
func (s *Stage) retire(old, made map[string]*node) {
	var moved []*job
	for name, n := range old {
		if s.teams[name] == n || n.gone {
			continue
		}
		n.gone = true
		if n.parent != nil {
			n.parent.kids--
		}
		for k := range n.lines {
			for len(n.queue(k)) > 0 {
				j := n.queue(k)[0]
				s.leaveLine(j)
				moved = append(moved, j)
			}
		}
	}
	slices.SortFunc(moved, func(x, y *job) int { return byAge(x, y) })
	for _, j := range moved {
		to := s.teams[j.team.Name] // the same name in another place
		if to == nil || to.kids > 0 {
			to = s.fallback()
		}
		j.team = to
		s.joinLine(j)
	}
}

func byAge(x, y *job) int {
	switch {
	case x.taken != y.taken && x.taken < y.taken:
		return -1
	case x.taken != y.taken:
		return 1
	}
	return int(int64(x.id) - int64(y.id))
}

func (s *Stage) fallback() *node { return s.teams[s.rules.Default] }

// refresh puts every team where its new budget has it.
func (s *Stage) refresh() {
	inner := map[*node]bool{s.root: true}
	for _, n := range s.teams {
		for p := n.parent; p != nil; p = p.parent {
			inner[p] = true
		}
	}
	for n := range inner { // many places may have changed at once
		for k := range n.lines {
			heap.Init(&kidHeap{s, n, k})
		}
	}
	for _, n := range s.teams {
		s.unblock(n)
	}
	for n := range inner {
		s.unblock(n)
	}
	for _, n := range s.active {
		for p := n; p.parent != nil; p = p.parent {
			p.parent.weights = 0
		}
	}
	counted := map[*node]bool{}
	for _, n := range s.active {
		for p := n; p.parent != nil && !counted[p]; p = p.parent {
			counted[p] = true
			p.parent.weights += p.Weight
		}
	}
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

// settle hands on what may go.
func (s *Stage) settle() {
	for s.roomAhead() {
		j := s.next()
		if j == nil {
			break
		}
		if s.now+0.8*s.run(j) > s.rules.inTime(j) { // runs vary by that; what can't be worth anything takes no room
			s.drop(j, "would end past its SLA time")
			continue
		}
		s.hand(j)
	}
	s.waits.backlog(s.now, s.root.waiting > 0)
}

// roomAhead tells whether the module may be handed one more job. What it has held for long fits nowhere now and shall
// not keep jobs of other types from it.
func (s *Stage) roomAhead() bool {
	const long = 0.25 // some tens of jobs end meanwhile where the module is not stuck
	for len(s.recent) > 0 && (!s.recent[0].fresh || s.recent[0].handed+long <= s.now) {
		if j := s.recent[0]; j.fresh {
			j.fresh = false
			s.fresh--
		}
		s.recent[0] = nil
		s.recent = s.recent[1:]
	}
	return s.fresh < s.window()
}

// window is how many jobs the module may hold: what it dispatches in a twentieth of a second, so that whoever comes
// next waits no longer for those before, and two at least, so that one that fits nowhere does not stop all.
func (s *Stage) window() int {
	return min(max(int(s.dispatched.sum(s.now, 8)/2*0.05), 2), s.rules.Window)
}

// taken counts a job no more among those that the module holds.
func (s *Stage) taken(j *job) {
	s.open[j.kind]--
	s.held -= j.work
	if j.fresh {
		j.fresh = false
		s.fresh--
	}
}

// next finds the job whose turn it is, among the types of which the module does not hold too many: of the team
// unserved for too long, longest first; else by the tags.
func (s *Stage) next() *job {
	var best *job
	late := false
	for k := range s.open {
		if s.open[k] >= s.window() || s.root.lines[k].count == 0 {
			continue
		}
		if j := s.unserved(k); j != nil && (!late || j.team.since < best.team.since) {
			best, late = j, true
		}
	}
	for k := range s.open {
		if late || s.open[k] >= s.window() || s.root.lines[k].count == 0 {
			continue
		}
		if j := s.first(k); j != nil && (best == nil || s.earlier(j, best)) {
			best = j
		}
	}
	return best
}

// unserved finds a type's job of the team that has waited without a dispatch for too long.
func (s *Stage) unserved(k int) *job {
	for len(s.late[k]) > 0 {
		n := s.late[k][0]
		if max(n.since, n.lines[k].look)+s.rules.Unserved > s.now {
			break
		}
		j := n.queue(k)[0]
		if s.fits(j) == nil {
			return j
		}
		n.lines[k].look = s.now + 1 - s.rules.Unserved // it could not run; looked at again in a second
		heap.Fix(&lateHeap{s, k}, 0)
	}
	return nil
}

// first finds a type's job by the tags, from the root down. A team without room is passed over with all below it
// until something of it ends.
func (s *Stage) first(k int) *job {
	for n := s.root; n.lines[k].count > 0; {
		if len(n.lines[k].kids) > 0 {
			n = n.lines[k].kids[0]
			continue
		}
		if len(n.queue(k)) == 0 {
			return nil
		}
		j := n.queue(k)[0]
		full := s.fits(j)
		if full == nil {
			return j
		}
		if full.lines[k].blocked = true; full == s.root {
			return nil
		}
		s.fixLine(full, k)
		n = s.root
	}
	return nil
}

// earlier orders two first jobs of different types: where their teams part, by those; inside a team by age.
func (s *Stage) earlier(x, y *job) bool {
	a, b := x.team, y.team
	if a == b {
		return byAge(x, y) < 0
	}
	for a.depth > b.depth {
		a = a.parent
	}
	for b.depth > a.depth {
		b = b.parent
	}
	for a.parent != b.parent {
		a, b = a.parent, b.parent
	}
	return s.before(a, b)
}

// fits gives the first team, upwards, that has no room for the job.
func (s *Stage) fits(j *job) *node {
	for n := j.team; n != nil; n = n.parent {
		if !n.room(j) {
			return n
		}
	}
	return nil
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
	s.settle()
	s.preempt()
	s.retell()
	return s.out
}

// preempt has a job called off for one that has fitted nowhere for a while. The victim is restartable, of far less
// billed value for its work, and would still end in its time; of those the one with the least work lost for the
// room gained, over its guaranteed part before within. Since the value must be higher by a factor, no two jobs can
// make each other yield in turn. Whether it may be called off is the module's word.
func (s *Stage) preempt() {
	r := &s.rules
	if r.PreemptTimes == 0 || s.now < s.yieldAt+r.PreemptAfter/2 {
		return
	}
	var need *job
	for j := range s.pending {
		if s.now >= j.handed+r.PreemptAfter && (need == nil || byAge(j, need) < 0) {
			need = j
		}
	}
	if need == nil {
		return
	}
	worth := func(j *job) float64 { return r.Types[j.kind].Value / j.work }
	var victim *job
	least, over := 0.0, false
	for j := range s.running {
		lost := min(s.now-j.sent, j.work) / j.memory
		beyond := j.team.used > j.team.Guaranteed
		switch again := s.now + 2*s.run(j); {
		case j.yielded >= r.PreemptTimes || worth(j)*r.PreemptValue > worth(need) || again > r.inTime(j):
		case j.memory < need.memory/8: // dozens would have to go
		case victim == nil, beyond && !over, beyond == over && (lost < least || lost == least && byAge(j, victim) < 0):
			victim, least, over = j, lost, beyond
		}
	}
	if victim == nil {
		return
	}
	victim.yielded++
	s.yieldAt = s.now
	s.out = append(s.out, Decision{Do: Yield, Job: victim.id, For: need.id})
}

// Kept tells that the module did not call the job off: by its rules it is no victim, and is not asked for again.
func (s *Stage) Kept(id uint32) {
	if j := s.jobs[id]; j != nil {
		j.yielded--
		delete(s.running, j)
	}
}

// inTime is up to when the job's answer is worth anything.
func (r *Rules) inTime(j *job) float64 {
	if sla := r.Types[j.kind].SLA; sla > 0 {
		return min(j.taken+sla, j.giveUp)
	}
	return j.giveUp
}

// ---- the order

// before orders siblings: those within their guaranteed part first, those of no weight last, else by tag, which a
// second unserved betters.
func (s *Stage) before(x, y *node) bool {
	if x.Weight > 0 != (y.Weight > 0) {
		return x.Weight > 0
	}
	if within := x.used < x.Guaranteed; within != (y.used < y.Guaranteed) {
		return within
	}
	a, b := x.start+s.rules.Ageing*x.since, y.start+s.rules.Ageing*y.since
	if a != b {
		return a < b
	}
	return x.Name < y.Name
}

// fix puts a team and those above at their places after a change of their tags or tallies.
func (s *Stage) fix(n *node) {
	for p := n; p != nil; p = p.parent {
		for k := range p.lines {
			if p.lines[k].at >= 0 {
				heap.Fix(&kidHeap{s, p.parent, k}, p.lines[k].at)
			}
			if p.lines[k].late >= 0 {
				heap.Fix(&lateHeap{s, k}, p.lines[k].late)
			}
		}
	}
}

// fixLine has the team stand among its parent's children of a type while jobs of it wait and it is not passed over.
func (s *Stage) fixLine(n *node, k int) {
	l := &n.lines[k]
	if n.parent == nil {
		return
	}
	switch stands := l.count > 0 && !l.blocked && (n.kids == 0 || len(l.kids) > 0 || len(n.queue(k)) > 0); {
	case stands && l.at < 0:
		heap.Push(&kidHeap{s, n.parent, k}, n)
		s.fixLine(n.parent, k)
	case !stands && l.at >= 0:
		heap.Remove(&kidHeap{s, n.parent, k}, l.at)
		s.fixLine(n.parent, k)
	}
}

// fixLate has a team with jobs of a type waiting stand in the list of the unserved.
func (s *Stage) fixLate(n *node, k int) {
	switch l := &n.lines[k]; {
	case len(n.queue(k)) > 0 && l.late < 0:
		heap.Push(&lateHeap{s, k}, n)
	case len(n.queue(k)) == 0 && l.late >= 0:
		heap.Remove(&lateHeap{s, k}, l.late)
	}
}

// kidHeap is a parent's children with jobs of a type waiting.
type kidHeap struct {
	*Stage
	parent *node
	kind   int
}

func (h *kidHeap) list() []*node      { return h.parent.lines[h.kind].kids }
func (h *kidHeap) Len() int           { return len(h.list()) }
func (h *kidHeap) Less(i, k int) bool { return h.before(h.list()[i], h.list()[k]) }
func (h *kidHeap) Swap(i, k int) {
	l := h.list()
	l[i], l[k] = l[k], l[i]
	l[i].lines[h.kind].at, l[k].lines[h.kind].at = i, k
}
func (h *kidHeap) Push(x any) {
	n := x.(*node)
	n.lines[h.kind].at = h.Len()
	h.parent.lines[h.kind].kids = append(h.list(), n)
}
func (h *kidHeap) Pop() any {
	l := h.list()
	n := l[len(l)-1]
	l[len(l)-1] = nil
	h.parent.lines[h.kind].kids = l[:len(l)-1]
	n.lines[h.kind].at = -1
	return n
}

// lateHeap is all teams with jobs of a type waiting, the longest unserved first.
type lateHeap struct {
	*Stage
	kind int
}

func (h *lateHeap) Len() int { return len(h.late[h.kind]) }
func (h *lateHeap) Less(i, k int) bool {
	x, y := h.late[h.kind][i], h.late[h.kind][k]
	return max(x.since, x.lines[h.kind].look) < max(y.since, y.lines[h.kind].look)
}
func (h *lateHeap) Swap(i, k int) {
	l := h.late[h.kind]
	l[i], l[k] = l[k], l[i]
	l[i].lines[h.kind].late, l[k].lines[h.kind].late = i, k
}
func (h *lateHeap) Push(x any) {
	n := x.(*node)
	n.lines[h.kind].late = h.Len()
	h.late[h.kind] = append(h.late[h.kind], n)
}
func (h *lateHeap) Pop() any {
	l := h.late[h.kind]
	n := l[len(l)-1]
	l[len(l)-1] = nil
	h.late[h.kind] = l[:len(l)-1]
	n.lines[h.kind].late = -1
	return n
}

// deadlines orders jobs by when they wait no more.
type deadlines []*job

func (h deadlines) Len() int           { return len(h) }
func (h deadlines) Less(i, k int) bool { return h[i].until < h[k].until }
func (h deadlines) Swap(i, k int)      { h[i], h[k] = h[k], h[i]; h[i].at, h[k].at = i, k }
func (h *deadlines) Push(x any)        { j := x.(*job); j.at = len(*h); *h = append(*h, j) }
func (h *deadlines) Pop() any {
	l := *h
	j := l[len(l)-1]
	l[len(l)-1] = nil
	*h = l[:len(l)-1]
	j.at = -1
	return j
}
