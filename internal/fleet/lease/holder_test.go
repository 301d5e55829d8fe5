package lease

import (
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Follows a holder from its start without a lease: a lease that runs from its request, answers out of order and repeated, an
// allocation lowered below what is in use, the floor after the lease has expired, and the revocation by a later incarnation.
func TestHolder(t *testing.T) {
	var lines []string
	holder := New(0, Timing{TTL: 1, MaxDrift: 0.01, Linger: 2})
	memory, rate := holder.SetQuota("memory", 5, 0), holder.SetQuota("further", 0, 1)
	record := func(now float64, event string) {
		lines = append(lines, fmt.Sprintf("%.2f %s: memory %.1f of %.1f, further %.1f of %.1f, until %.2f", now, event, memory.Used(now), holder.Limit(now, memory), rate.Used(now), holder.Limit(now, rate), holder.ExpiresAt()))
	}
	record(0, "new")
	first, _ := holder.NewRequest(0)
	second, _ := holder.NewRequest(0.3)
	holder.Renew(second, []Grant{{Quantity: "memory", Amount: 50, Revision: 7}, {Quantity: "further", Amount: 3, Revision: 8}})
	record(0.5, "answered")
	lines = append(lines, fmt.Sprintf("an older answer counts %v, the same again %v, one never asked for %v", holder.Renew(first, nil), holder.Renew(second, nil), holder.Renew(99, nil)))
	lines = append(lines, fmt.Sprintf("40 fit %v, 20 more fit %v; further 2 fit %v, 2 more %v", holder.Acquire(0.7, memory, 40), holder.Acquire(0.7, memory, 20), holder.Acquire(0.7, rate, 2), holder.Acquire(0.8, rate, 2)))
	third, _ := holder.NewRequest(0.9)
	holder.Renew(third, []Grant{{Quantity: "memory", Amount: 30, Revision: 9, Unsettled: true}, {Quantity: "further", Amount: 3, Revision: 8}})
	record(1, "made smaller")
	_, reports := holder.NewRequest(1.1)
	lines = append(lines, fmt.Sprintf("told: %+v", reports))
	memory.Release(15)
	lines = append(lines, fmt.Sprintf("after 15 came back 3 fit %v", holder.Acquire(1.2, memory, 3)))
	record(1.75, "further's window has passed")
	record(1.9, "the lease is over")
	record(3.1, "and so is what a life before may have begun")
	fourth, _ := holder.NewRequest(3.2)
	holder.Renew(fourth, []Grant{{Quantity: "memory", Amount: 20, Revision: 4}})
	record(3.2, "an answer with an older number, and without further")
	holder.Revoke()
	record(3.3, "replaced")
	testutil.CheckTrace(t, lines)
}

// Acquire is decided locally: it takes nanoseconds and allocates no memory.
func BenchmarkAcquire(b *testing.B) {
	holder := New(0, Timing{TTL: 1e9})
	memory := holder.SetQuota("memory", 0, 0)
	number, _ := holder.NewRequest(0)
	holder.Renew(number, []Grant{{Quantity: "memory", Amount: 100, Revision: 1}})
	b.ReportAllocs()
	for b.Loop() {
		if holder.Acquire(1, memory, 10) {
			memory.Release(10)
		}
	}
}
