package fleet

import (
	"math"
	"slices"
	"sync"
)

// LoadReport is an engine's load, polled by the owner of the health check shard that the engine belongs to.
type LoadReport struct {
	Engine string     `msgpack:"Engine"`
	Shard  int        `msgpack:"Slice"`
	Fence  uint64     `msgpack:"Fence"` // fencing token of the shard
	Age    float64    `msgpack:"Age"`   // age of the load in seconds, when the report was sent
	Load   [5]float64 `msgpack:"Load"`
}

// maxLoadReports is the largest number of reports in one message.
const maxLoadReports = 1024

// PublishLoad sends load reports to all other controllers by way of the leader. Reports that can't be sent are dropped; newer
// ones follow.
func (m *Member) PublishLoad(reports []LoadReport) {
	trySend(m.loadReports, reports[:min(len(reports), maxLoadReports)])
}

// relayLoadReports passes the reports of a controller on to all other controllers that are connected to this voter, and to
// this controller's own worker. Invalid ones are dropped.
func (m *Member) relayLoadReports(sender string, body []byte) {
	reports, err := decodeLoadReports(body)
	if err != nil {
		return
	}
	m.loadFeed.publish(sender, body)
	if m.worker != nil && sender != m.options.Self {
		m.worker.LoadReported(reports)
	}
}

// decodeLoadReports decodes reports and checks their bounds. Its error wraps errInvalidFrame.
func decodeLoadReports(body []byte) (reports []LoadReport, err error) {
	if err := decodeMessage(body, &reports); err != nil {
		return nil, err
	}
	if len(reports) > maxLoadReports {
		return nil, errInvalidFrame
	}
	notFinite := func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) }
	for _, report := range reports {
		if report.Engine == "" || !(report.Age >= 0) || slices.ContainsFunc(report.Load[:], notFinite) {
			return nil, errInvalidFrame
		}
	}
	return reports, nil
}

// loadFeed passes load reports on to the controllers that are connected to this voter. A controller that reads too slowly
// misses reports and delays no other.
type loadFeed struct {
	mu          sync.Mutex
	lastID      int
	subscribers map[int]subscriber // by id of the subscription
}

// subscriber is a connected controller. Its send function must not block.
type subscriber struct {
	name string
	send func(body []byte)
}

// subscribe adds a controller, which receives reports until unsubscribe is called.
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

// publish sends reports to all subscribers except their sender.
func (f *loadFeed) publish(sender string, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, subscriber := range f.subscribers {
		if subscriber.name != sender {
			subscriber.send(body)
		}
	}
}
