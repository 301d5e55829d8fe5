package consensus

import (
	"container/heap"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"
)

type event struct {
	at     float64
	serial int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].serial < e[k].serial
}

func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (s *sim) schedule(d float64, do func()) {
	s.serial++
	heap.Push(&s.events, event{s.now + d, s.serial, do})
}

// run plays until a time or the first thing wrong.
func (s *sim) run(to float64) {
	for len(s.events) > 0 && s.violation == "" {
		if s.events[0].at > to {
			s.now = to
			return
		}
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		if !s.unchecked {
			s.check()
		}
	}
}

// send has something arrive elsewhere, unless the link is cut; what is on its way when it is cut still arrives.
func (s *sim) send(from, to string, do func()) {
	if s.cutLinks[[2]string{from, to}] {
		return
	}
	delay := func() float64 {
		return 0.0005 + 0.004*s.random.Float64() + (s.slowLinks[from]+s.slowLinks[to])*s.random.Float64()
	}
	s.schedule(delay(), do)
	if s.random.Float64() < s.duplicateChance {
		s.schedule(delay()+0.2*s.random.Float64(), do)
	}
}

// countMessage counts a message at a voter, where that is measured.
func (s *sim) countMessage(at string, m any) {
	if s.messageCounts == nil {
		return
	}
	s.messageCounts[at]++
	if p, is := m.(*raftpb.Message); is {
		b, _ := marshal(p)
		s.byteCounts[at] += len(b)
	} else {
		b, _ := msgpack.Marshal(m)
		s.byteCounts[at] += len(b)
	}
}
