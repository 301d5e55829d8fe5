package lease

import (
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A life of parts: nothing at first, a lease counted from the ask, answers out of order and twice, a part made smaller
// than what is in use, the floor after the lease, and another life under the name.
func TestLife(t *testing.T) {
	var lines []string
	p := New(0, Rules{Lease: 1, Drift: 0.01, Linger: 2})
	m, f := p.Holding("memory", 5, 0), p.Holding("further", 0, 1)
	say := func(now float64, what string) {
		lines = append(lines, fmt.Sprintf("%.2f %s: memory %.1f of %.1f, further %.1f of %.1f, until %.2f", now, what, m.Used(now), p.Limit(now, m), f.Used(now), p.Limit(now, f), p.Until()))
	}
	say(0, "new")
	first, _ := p.Ask(0)
	second, _ := p.Ask(0.3)
	p.Answer(0.5, second, []Grant{{Name: "memory", Amount: 50, Number: 7}, {Name: "further", Amount: 3, Number: 8}})
	say(0.5, "answered")
	lines = append(lines, fmt.Sprintf("an older answer counts %v, the same again %v, one never asked for %v", p.Answer(0.6, first, nil), p.Answer(0.6, second, nil), p.Answer(0.6, 99, nil)))
	lines = append(lines, fmt.Sprintf("40 fit %v, 20 more fit %v; further 2 fit %v, 2 more %v", p.Spend(0.7, m, 40), p.Spend(0.7, m, 20), p.Spend(0.7, f, 2), p.Spend(0.8, f, 2)))
	third, _ := p.Ask(0.9)
	p.Answer(1, third, []Grant{{Name: "memory", Amount: 30, Number: 9, Bound: true}, {Name: "further", Amount: 3, Number: 8}})
	say(1, "made smaller")
	_, reports := p.Ask(1.1)
	lines = append(lines, fmt.Sprintf("told: %+v", reports))
	m.Back(15)
	lines = append(lines, fmt.Sprintf("after 15 came back 3 fit %v", p.Spend(1.2, m, 3)))
	say(1.75, "further's window has passed")
	say(1.9, "the lease is over")
	say(3.1, "and so is what a life before may have begun")
	fourth, _ := p.Ask(3.2)
	p.Answer(3.2, fourth, []Grant{{Name: "memory", Amount: 20, Number: 4}})
	say(3.2, "an answer with an older number, and without further")
	p.Replaced()
	say(3.3, "replaced")
	testutil.Check(t, lines)
}

// Spending asks nobody: nanoseconds and no allocation.
func BenchmarkSpend(b *testing.B) {
	p := New(0, Rules{Lease: 1e9})
	m := p.Holding("memory", 0, 0)
	n, _ := p.Ask(0)
	p.Answer(0, n, []Grant{{Name: "memory", Amount: 100, Number: 1}})
	b.ReportAllocs()
	for b.Loop() {
		if p.Spend(1, m, 10) {
			m.Back(10)
		}
	}
}
