package fleet

import (
	"context"
	"math"
	"slices"
	"sync"

	"copperrock.example/copperrock/internal/fleet/consensus"
)

// LoadReport is what the owner of an engine's slice read of its load.
type LoadReport struct {
	Engine string     `msgpack:"Engine"`
	Shard  int        `msgpack:"Slice"`
	Fence  uint64     `msgpack:"Fence"`
	Age    float64    `msgpack:"Age"` // seconds, when it was sent on
	Load   [5]float64 `msgpack:"Load"`
}

// maxLoadReports that one message holds.
const maxLoadReports = 1024

// PublishLoad has readings go to all controllers. Those that can't go are dropped: the next ones are newer.
func (f *Member) PublishLoad(readings []LoadReport) {
	select {
	case f.loadReports <- readings[:min(len(readings), maxLoadReports)]:
	default:
	}
}

// sendLoadReports sends readings to whoever leads.
func (f *Member) sendLoadReports(ctx context.Context, links map[uint64]*leaderConn, answers chan consensus.LeaseResponse, readings []LoadReport) {
	f.mu.Lock()
	to := f.leader
	f.mu.Unlock()
	body := encodeMessage(readings)
	switch {
	case to == 0:
	case to == f.options.voterID():
		if f.voter != nil {
			f.loadFeed.publish(f.options.Self, body)
		}
	default:
		if l := f.connection(ctx, links, answers, to); l != nil {
			l.send(frameLoadReports, body)
		}
	}
}

// relayLoadReports sends readings on to all that are connected, and takes them here.
func (f *Member) relayLoadReports(from string, body []byte) {
	readings, ok := decodeLoadReports(body)
	if !ok {
		return
	}
	f.loadFeed.publish(from, body)
	if f.worker != nil && from != f.options.Self {
		f.worker.LoadReported(readings)
	}
}

func decodeLoadReports(body []byte) (readings []LoadReport, ok bool) {
	if decodeMessage(body, &readings) != nil || len(readings) > maxLoadReports {
		return nil, false
	}
	for _, r := range readings {
		if r.Engine == "" || !(r.Age >= 0) || slices.ContainsFunc(r.Load[:], func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) }) {
			return nil, false
		}
	}
	return readings, true
}

// loadFeed is the controllers that are connected to this voter, by name; one that does not read misses news, and delays none.
type loadFeed struct {
	mu          sync.Mutex
	lastID      int
	subscribers map[int]subscriber
}

type subscriber struct {
	name string
	send func(body []byte)
}

// subscribe adds one; what it gives takes it out.
func (p *loadFeed) subscribe(name string, put func(body []byte)) (leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.subscribers == nil {
		p.subscribers = map[int]subscriber{}
	}
	p.lastID++
	at := p.lastID
	p.subscribers[at] = subscriber{name, put}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.subscribers, at)
	}
}

func (p *loadFeed) publish(from string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.subscribers {
		if r.name != from {
			r.send(body)
		}
	}
}
