// Package maintenance decides which background work may take a step now: files written anew, snapshots, expiry. It has no I/O
// and reads no clock: times are seconds that never go back, told with each call. It is used from one goroutine.
//
// Work is cut into steps. One step is taken at a time, so no two of a kind go at once; after a step its kind's budgets, a
// part of a core and bytes a second, are in debt for as long as the step was over them. The most urgent kind that is
// wanted and out of debt goes first, of equals the one that waited longest. While jobs are late nothing goes but what is
// urgent, and of the rest one step in a while, so that nothing waits for good.
package maintenance

import (
	"cmp"
	"math"
	"slices"
)

// Kind is one kind of background work.
type Kind struct {
	Name   string
	Urgent bool    // it goes also while jobs are late, and after the stop
	Rank   int     // of the rest the lowest goes first
	Every  float64 // it is wanted by itself so often, 0 for only when asked for
	CPU    float64 // part of a core that it may take, 0 for all
	Bytes  float64 // a second that it may write, 0 for all
}

// Patience is for how long work that is wanted is put off at most while jobs are late: a store that is never written anew
// grows, which harms more in the end than a late step.
const Patience = 5

// Plan is what is wanted and when it may go.
type Plan struct {
	kinds   []*kind
	running *kind
	stop    float64 // everything has to have ended by then; infinity while the program goes on
}

type kind struct {
	Kind
	wanted float64 // since when, infinity for not
	next   float64 // by itself
	debt   float64 // until when it may take no step
	last   float64 // its latest step
	steps  int
}

// New makes a plan at a time.
func New(now float64, kinds ...Kind) *Plan {
	p := &Plan{stop: math.Inf(1)}
	for _, k := range kinds {
		one := &kind{Kind: k, wanted: math.Inf(1), next: math.Inf(1), debt: math.Inf(-1), last: now}
		if k.Every > 0 {
			one.next = now + k.Every
		}
		p.kinds = append(p.kinds, one)
	}
	return p
}

func (p *Plan) kind(name string) *kind {
	if i := slices.IndexFunc(p.kinds, func(k *kind) bool { return k.Name == name }); i >= 0 {
		return p.kinds[i]
	}
	return nil
}

// Want asks for a kind of work; one that is wanted or under way already is not asked for twice.
func (p *Plan) Want(now float64, name string) {
	if k := p.kind(name); k != nil {
		k.wanted = min(k.wanted, now)
	}
}

// Wants tells whether a kind is wanted or under way.
func (p *Plan) Wants(name string) bool {
	k := p.kind(name)
	return k != nil && !math.IsInf(k.wanted, 1)
}

// Stop tells that the program ends: what is not urgent is not begun any more.
func (p *Plan) Stop(now, by float64) { p.stop = by }

// Next gives the kind that takes a step now, "" for none, and when to ask again if nothing else happens, infinity for
// never. late tells that jobs are late. Did is to be called when the step is over.
func (p *Plan) Next(now float64, late bool) (name string, again float64) {
	again = math.Inf(1)
	if p.running != nil {
		return "", again
	}
	var best *kind
	for _, k := range p.kinds {
		if now >= k.next {
			k.wanted, k.next = min(k.wanted, now), now+k.Every
		}
		again = min(again, k.next)
		if math.IsInf(k.wanted, 1) || !math.IsInf(p.stop, 1) && !k.Urgent || now >= p.stop {
			continue
		}
		from := k.debt
		if late && !k.Urgent {
			from = max(from, max(k.last, k.wanted)+Patience)
		}
		if now < from {
			again = min(again, from)
			continue
		}
		if best == nil || k.before(best) {
			best = k
		}
	}
	if best == nil {
		return "", again
	}
	p.running = best
	return best.Name, now
}

func (k *kind) before(o *kind) bool {
	if k.Urgent != o.Urgent {
		return k.Urgent
	}
	return cmp.Or(cmp.Compare(k.Rank, o.Rank), cmp.Compare(k.wanted, o.wanted), cmp.Compare(k.Name, o.Name)) < 0
}

// Did tells that the step that Next gave is over: how long its goroutine worked, what it wrote, and whether the work has
// more steps.
func (p *Plan) Did(now, worked, bytes float64, more bool) {
	k := p.running
	if k == nil {
		return
	}
	p.running = nil
	k.last, k.steps = now, k.steps+1
	wait := 0.0
	if k.CPU > 0 {
		wait = worked/k.CPU - worked
	}
	if k.Bytes > 0 {
		wait = max(wait, bytes/k.Bytes)
	}
	k.debt = now + wait
	if !more {
		k.wanted = math.Inf(1)
	}
}

// Steps is how many steps a kind has taken.
func (p *Plan) Steps(name string) int {
	if k := p.kind(name); k != nil {
		return k.steps
	}
	return 0
}
