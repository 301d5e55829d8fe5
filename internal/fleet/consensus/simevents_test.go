package consensus

import (
	"container/heap"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"
)

// event is something that happens at a time of the simulation.
type event struct {
	at     float64
	serial int // order of scheduling, which breaks ties between events at the same time
	do     func()
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].serial < e[k].serial
}

func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (s *sim) schedule(delay float64, do func()) {
	s.serial++
	heap.Push(&s.events, event{s.now + delay, s.serial, do})
}

// run runs the simulation until a time or the first violation.
func (s *sim) run(until float64) {
	for len(s.events) > 0 && s.violation == "" {
		if s.events[0].at > until {
			s.now = until
			return
		}
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
		if !s.unchecked {
			s.check()
		}
	}
}

// send schedules the arrival of a message, and sometimes of a duplicate, unless the link is cut. Messages that are on their
// way when the link is cut still arrive.
func (s *sim) send(from, to string, arrive func()) {
	if s.cutLinks[[2]string{from, to}] {
		return
	}
	delay := func() float64 {
		return 0.0005 + 0.004*s.random.Float64() + (s.slowLinks[from]+s.slowLinks[to])*s.random.Float64()
	}
	s.schedule(delay(), arrive)
	if s.random.Float64() < s.duplicateChance {
		s.schedule(delay()+0.2*s.random.Float64(), arrive)
	}
}

// countMessage counts a message that a voter sends or receives, if messages are counted.
func (s *sim) countMessage(voter string, message any) {
	if s.messageCounts == nil {
		return
	}
	s.messageCounts[voter]++
	if raftMessage, ok := message.(*raftpb.Message); ok {
		data, _ := marshal(raftMessage)
		s.byteCounts[voter] += len(data)
	} else {
		data, _ := msgpack.Marshal(message)
		s.byteCounts[voter] += len(data)
	}
}
