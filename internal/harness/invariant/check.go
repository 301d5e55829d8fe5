// Package invariant holds checkers of the seven rules. They see what clients asked and got, what engines saw, and which
// lists of engines were taken, and say where these do not fit together.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// Rules gathers what happens. It may be told from any goroutine.
type Rules struct {
	Grace  float64 // seconds after a list was taken in which an engine that it drops may still be sent to
	Late   float64 // seconds beyond a job's time that its answer may take
	Keyed  float64 // seconds from its first dispatch in which a keyed job may go again, 0 for no such rule
	Window float64 // seconds over which further dispatches are counted, 0 for no such rule
	Free   float64 // further dispatches in any window
	Share  float64 // and for each job taken in it

	mu      sync.Mutex
	jobs    map[string]*job
	gone    map[string]float64 // engines that may get nothing new, and since when
	wrong   []string
	taken   []float64
	further []float64
	answers int
}

type job struct {
	class    string
	effect   admission.Idempotency
	allow    float64
	pages    int
	asked    []fakeengine.Seen
	answers  []fakeengine.Answer
	sent     float64
	mayRan   bool    // a dispatch that was not turned away is out or has ended
	firstRun float64 // of the dispatches that may have run
}

func (r *Rules) say(format string, args ...any) {
	r.wrong = append(r.wrong, fmt.Sprintf(format, args...))
}

// Taken tells that a client sends a job now.
func (r *Rules) Taken(now float64, j fakeengine.Job, effect admission.Idempotency, pages int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs == nil {
		r.jobs, r.gone = map[string]*job{}, map[string]float64{}
	}
	r.jobs[j.Ref] = &job{class: j.Type, effect: effect, allow: j.Allow, pages: pages, sent: now}
	r.taken = append(r.taken, now)
}

// Answered tells what the client got.
func (r *Rules) Answered(ref string, a fakeengine.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[ref]
	r.answers++
	j.answers = append(j.answers, a)
	if len(j.answers) > 1 {
		r.say("rule 1: job %s has %d answers", ref, len(j.answers))
	}
	switch {
	case a.Outcome == fakeengine.Lost:
		r.say("rule 1: job %s has no answer: %s", ref, a.Why)
	case a.Wait > j.allow+r.Late:
		r.say("rule 1: job %s was answered %.3f s after its time", ref, a.Wait-j.allow)
	case a.Outcome == fakeengine.Done && a.Rows != fakeengine.Rows(ref, j.pages):
		r.say("rule 1: job %s has rows that are not its own, or not all: %.60q", ref, a.Rows)
	case a.Outcome == fakeengine.Throttled && j.mayRan && j.effect == admission.NonIdempotent:
		r.say("rule 2: run-once job %s is throttled though a dispatch may have run", ref)
	}
}

// Odd tells of an answer that no job waits for.
func (r *Rules) Odd(id uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.say("rule 1: a second answer under message %d", id)
}

// Seen is told by engines.
func (r *Rules) Seen(s fakeengine.Seen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[s.Ref]
	if j == nil {
		r.say("engine %s has job %q, which no client asked for", s.Engine, s.Ref)
		return
	}
	switch s.Do {
	case "asked":
		if len(j.asked) > 0 {
			r.further = append(r.further, s.At)
		}
		j.asked = append(j.asked, s)
		if j.effect == admission.NonIdempotent && j.mayRan {
			r.say("rule 2: run-once job %s goes to %s though an earlier dispatch may have run", s.Ref, s.Engine)
		}
		if j.effect == admission.IdempotentWithKey && j.mayRan && r.Keyed > 0 && s.At > j.firstRun+r.Keyed {
			r.say("rule 2: keyed job %s goes again %.3f s after its first dispatch", s.Ref, s.At-j.firstRun)
		}
		if !j.mayRan {
			j.firstRun = s.At
		}
		j.mayRan = true
		if since, gone := r.gone[s.Engine]; gone && s.At > since+r.Grace {
			r.say("rule 3: job %s goes to %s, which was dropped %.3f s before", s.Ref, s.Engine, s.At-since)
		}
		if j.class != s.Type {
			r.say("job %s of type %s goes as %q", s.Ref, j.class, s.Type)
		}
	case "refused": // never ran; no other dispatch of a run-once job can have
		j.mayRan = j.effect != admission.NonIdempotent && j.mayRan
	}
}

// Told tells of a whole list that was taken at that time.
func (r *Rules) Told(now float64, all []string, l []discovery.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone == nil {
		r.jobs, r.gone = map[string]*job{}, map[string]float64{}
	}
	takes := map[string]bool{}
	for _, e := range l {
		takes[e.Name] = e.Available()
	}
	for _, name := range all {
		if _, already := r.gone[name]; takes[name] {
			delete(r.gone, name)
		} else if !already {
			r.gone[name] = now
		}
	}
}

// Wrong gives all that does not fit, at the end.
func (r *Rules) Wrong() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, j := range r.jobs {
		if len(j.answers) == 0 {
			r.say("rule 1: job %s has no answer", ref)
		}
	}
	r.budget()
	slices.Sort(r.wrong)
	return r.wrong
}

// budget looks at each window that ends with a further dispatch.
func (r *Rules) budget() {
	if r.Window == 0 {
		return
	}
	slices.Sort(r.further)
	slices.Sort(r.taken)
	within := func(times []float64, from, to float64) float64 {
		a, _ := slices.BinarySearch(times, from)
		b, _ := slices.BinarySearchFunc(times, to, func(x, y float64) int { return cmp.Or(cmp.Compare(x, y), -1) })
		return float64(b - a)
	}
	for _, at := range r.further {
		if n, most := within(r.further, at-r.Window, at), r.Free+r.Share*within(r.taken, at-r.Window, at); n > most {
			r.say("rule 7: %.0f further dispatches in the window that ends at %.3f, at most %.1f", n, at, most)
		}
	}
}

// Jobs is how many were asked for, and how many answers came.
func (r *Rules) Jobs() (asked, answered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs), r.answers
}

// Ran counts the jobs of a type that an engine got more than once, without those that were turned away.
func (r *Rules) Ran(effect admission.Idempotency) (once, more int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		if j.effect == effect && len(j.asked) == 1 {
			once++
		} else if j.effect == effect && len(j.asked) > 1 {
			more++
		}
	}
	return once, more
}

// Lists checks that the lists taken are whole valid versions, in the order of their generations. valid holds the
// version of each generation as it was written.
type Lists struct {
	mu    sync.Mutex
	valid map[int64]discovery.List
	last  int64
	taken []int64
	wrong []string
}

// Wrote tells of a valid version before it is put in place.
func (c *Lists) Wrote(l discovery.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.valid == nil {
		c.valid = map[int64]discovery.List{}
	}
	c.valid[l.Generation] = l
}

// Told tells of a list that the gateway was given. It must equal the latest valid version or one before it, and come
// after all that were given before.
func (c *Lists) Told(engines []discovery.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := int64(-1)
	for generation, l := range c.valid {
		if slices.Equal(l.Endpoints, engines) && generation > found {
			found = generation
		}
	}
	switch {
	case found < 0:
		c.wrong = append(c.wrong, fmt.Sprintf("a list of %d engines is no whole version", len(engines)))
	case found < c.last:
		c.wrong = append(c.wrong, fmt.Sprintf("generation %d comes after %d", found, c.last))
	}
	c.last = max(c.last, found)
	c.taken = append(c.taken, found)
}

// Wrong gives all that does not fit, and the generations taken.
func (c *Lists) Wrong() ([]string, []int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrong, c.taken
}
