package msgpackrpc

import (
	"sync"
	"time"

	"copperrock.example/copperrock/internal/limits"
)

// pacer tells how many messages of overloading connections may be read without a wait, of all of them together: at a rate,
// and fewer while the machine is so busy that waits end late.
type pacer struct {
	interval time.Duration // between two messages, at least
	slowest  time.Duration // the longest interval

	mu   sync.Mutex
	next time.Time     // from when one more message may be read
	lag  time.Duration // moving average of how late waits have ended
}

const (
	pacerBurst = 256 // messages that may be read at once: what a client that pipelines sends in one go
	lagFactor  = 8   // times the lag that the interval is, so that what is paced takes a small part of a busy processor
	lagDecay   = 8   // waits over which the lag is averaged
)

func newPacer(lim *limits.Limits) *pacer {
	return &pacer{interval: limits.Duration(1 / lim.PacedRate), slowest: limits.Duration(1 / lim.MinPacedRate)}
}

// take reports whether one more message may be read without a wait, and counts it if so.
func (p *pacer) take(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-pacerBurst * p.interval); p.next.Before(earliest) {
		p.next = earliest
	}
	if p.next.After(now) {
		return false
	}
	p.next = p.next.Add(max(p.interval, min(lagFactor*p.lag, p.slowest)))
	return true
}

// recordLag takes how late a wait has ended.
func (p *pacer) recordLag(late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag += (late - p.lag) / lagDecay
}
