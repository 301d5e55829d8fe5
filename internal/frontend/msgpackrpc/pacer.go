package msgpackrpc

import (
	"sync"
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// pacer limits the rate at which messages of all overloading connections together are read without a pause. The rate is
// reduced while the machine is so busy that pauses end late.
type pacer struct {
	interval    time.Duration // shortest interval between two messages
	maxInterval time.Duration // longest interval, used on a busy machine

	mu   sync.Mutex
	next time.Time     // time from which one more message may be read
	lag  time.Duration // moving average of how late pauses have ended
}

const (
	pacerBurst = 256 // messages that may be read at once: as many as a pipelining client sends in one go
	lagFactor  = 8   // interval in multiples of the lag, so that paced messages take a small part of a busy processor
	lagDecay   = 8   // number of pauses over which the lag is averaged
)

func newPacer(lim *limits.Limits) *pacer {
	return &pacer{interval: limits.Duration(1 / lim.PacedRate), maxInterval: limits.Duration(1 / lim.MinPacedRate)}
}

// allow reports whether one more message may be read without a pause, and counts it if so.
func (p *pacer) allow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-pacerBurst * p.interval); p.next.Before(earliest) {
		p.next = earliest
	}
	if p.next.After(now) {
		return false
	}
	p.next = p.next.Add(max(p.interval, min(lagFactor*p.lag, p.maxInterval)))
	return true
}

// recordLag records how late a pause has ended.
func (p *pacer) recordLag(late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag += (late - p.lag) / lagDecay
}
