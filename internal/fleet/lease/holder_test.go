package lease

import (
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A controller's leases: nothing at first, a lease counted from the request, answers out of order and twice, an allocation lowered
// below what is in use, the floor after the lease, and a later incarnation.
func TestHolder(t *testing.T) {
	var lines []string
	p := New(0, Timing{TTL: 1, MaxDrift: 0.01, Linger: 2})
	m, f := p.SetQuota("memory", 5, 0), p.SetQuota("further", 0, 1)
	say := func(now float64, what string) {
		lines = append(lines, fmt.Sprintf("%.2f %s: memory %.1f of %.1f, further %.1f of %.1f, until %.2f", now, what, m.Used(now), p.Limit(now, m), f.Used(now), p.Limit(now, f), p.ExpiresAt()))
	}
	say(0, "new")
	first, _ := p.NewRequest(0)
	second, _ := p.NewRequest(0.3)
	p.Renew(second, []Grant{{Quantity: "memory", Amount: 50, Revision: 7}, {Quantity: "further", Amount: 3, Revision: 8}})
	say(0.5, "answered")
	lines = append(lines, fmt.Sprintf("an older answer counts %v, the same again %v, one never asked for %v", p.Renew(first, nil), p.Renew(second, nil), p.Renew(99, nil)))
	lines = append(lines, fmt.Sprintf("40 fit %v, 20 more fit %v; further 2 fit %v, 2 more %v", p.Acquire(0.7, m, 40), p.Acquire(0.7, m, 20), p.Acquire(0.7, f, 2), p.Acquire(0.8, f, 2)))
	third, _ := p.NewRequest(0.9)
	p.Renew(third, []Grant{{Quantity: "memory", Amount: 30, Revision: 9, Unsettled: true}, {Quantity: "further", Amount: 3, Revision: 8}})
	say(1, "made smaller")
	_, reports := p.NewRequest(1.1)
	lines = append(lines, fmt.Sprintf("told: %+v", reports))
	m.Release(15)
	lines = append(lines, fmt.Sprintf("after 15 came back 3 fit %v", p.Acquire(1.2, m, 3)))
	say(1.75, "further's window has passed")
	say(1.9, "the lease is over")
	say(3.1, "and so is what a life before may have begun")
	fourth, _ := p.NewRequest(3.2)
	p.Renew(fourth, []Grant{{Quantity: "memory", Amount: 20, Revision: 4}})
	say(3.2, "an answer with an older number, and without further")
	p.Revoke()
	say(3.3, "replaced")
	testutil.CheckTrace(t, lines)
}

// Acquiring asks nobody: nanoseconds and no allocation.
func BenchmarkAcquire(b *testing.B) {
	p := New(0, Timing{TTL: 1e9})
	m := p.SetQuota("memory", 0, 0)
	n, _ := p.NewRequest(0)
	p.Renew(n, []Grant{{Quantity: "memory", Amount: 100, Revision: 1}})
	b.ReportAllocs()
	for b.Loop() {
		if p.Acquire(1, m, 10) {
			m.Release(10)
		}
	}
}
