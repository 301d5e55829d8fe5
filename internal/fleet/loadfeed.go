package fleet

import (
	"math"
	"slices"
	"sync"
)

// LoadReport is what the owner of an engine's health check shard read of the engine's load.
type LoadReport struct {
	Engine string     `msgpack:"Engine"`
	Shard  int        `msgpack:"Slice"`
	Fence  uint64     `msgpack:"Fence"` // fencing token of the shard
	Age    float64    `msgpack:"Age"`   // seconds, when the report was sent
	Load   [5]float64 `msgpack:"Load"`
}

// maxLoadReports is how many reports one message holds.
const maxLoadReports = 1024

// PublishLoad has load reports sent to all controllers. Those that can't be sent are dropped: the next ones are newer.
func (m *Member) PublishLoad(reports []LoadReport) {
	offer(m.loadReports, reports[:min(len(reports), maxLoadReports)])
}

// relayLoadReports sends reports to all controllers that are connected to this voter, and takes them here.
func (m *Member) relayLoadReports(from string, body []byte) {
	reports, err := decodeLoadReports(body)
	if err != nil {
		return
	}
	m.loadFeed.publish(from, body)
	if m.worker != nil && from != m.options.Self {
		m.worker.LoadReported(reports)
	}
}

// decodeLoadReports decodes reports and checks their bounds. Its error wraps errFrame.
func decodeLoadReports(body []byte) (reports []LoadReport, err error) {
	if err := decodeMessage(body, &reports); err != nil {
		return nil, err
	}
	if len(reports) > maxLoadReports {
		return nil, errFrame
	}
	isNoNumber := func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) }
	for _, report := range reports {
		if report.Engine == "" || !(report.Age >= 0) || slices.ContainsFunc(report.Load[:], isNoNumber) {
			return nil, errFrame
		}
	}
	return reports, nil
}

// loadFeed passes load reports on to the controllers that are connected to this voter. One that does not read misses
// reports, and delays nobody.
type loadFeed struct {
	mu          sync.Mutex
	lastID      int
	subscribers map[int]subscriber // by an id of the subscription
}

// subscriber is a connected controller. send must not block.
type subscriber struct {
	name string
	send func(body []byte)
}

// subscribe adds a controller until unsubscribe is called.
func (f *loadFeed) subscribe(name string, send func(body []byte)) (unsubscribe func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	id := f.lastID
	f.subscribers[id] = subscriber{name, send}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, id)
	}
}

// publish sends reports to all but their sender.
func (f *loadFeed) publish(from string, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, subscriber := range f.subscribers {
		if subscriber.name != from {
			subscriber.send(body)
		}
	}
}
