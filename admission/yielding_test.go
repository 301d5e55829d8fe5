package admission

import (
	"slices"
	"testing"
)

// Requests that yield wait behind the others, including those that arrive later and those of other classes, and are shed before
// them. Guards against clients that send without end and hold engine capacity for which others wait.
func TestYieldingRequestsWait(t *testing.T) {
	x := newTrace(t, Settings{}, Class{}, Class{})
	const yielding = 1000 // IDs from here on
	for n := range uint32(maxQueueLength) {
		x.arrive(Request{ID: yielding + n, Work: 1, Memory: 100, Yields: true})
	}
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.arrive(Request{ID: 2, Class: 1, Work: 1, Memory: 100})
	x.arrive(Request{ID: 3, Work: 1, Memory: 100})
	queue := x.classes[0].queue
	if len(queue) != maxQueueLength || queue[0].id != 1 || queue[1].id != 3 || queue[2].id != yielding {
		t.Fatalf("got a queue of %d that starts with %d, %d, %d; want %d, starting with 1, 3, %d", len(queue), queue[0].id, queue[1].id, queue[2].id, maxQueueLength, yielding)
	}
	if last := queue[len(queue)-1].id; last != yielding+maxQueueLength-3 {
		t.Errorf("last request in the full queue: got %d, want %d", last, yielding+maxQueueLength-3)
	}
	for _, id := range []uint32{1, 2, 3} {
		if r := x.requests[id]; r == nil || r.ended {
			t.Errorf("request %d was shed, want it queued", id)
		}
	}
	x.listReady(Snapshot, 1)
	hasStarted := func(id uint32) bool { return len(x.requests[id].attempts) > 0 }
	if !hasStarted(1) || !hasStarted(2) || !hasStarted(3) {
		t.Error("requests that do not yield did not start first")
	}
	var started []uint32
	for id, r := range x.requests {
		if len(r.attempts) > 0 && id >= yielding {
			started = append(started, id)
		}
	}
	slices.Sort(started)
	if len(started) == 0 || started[0] != yielding {
		t.Errorf("yielding requests that started: got %v, want %d first", started, yielding)
	}
}

// If requests would be late, the one that yields is shed, whatever its work.
func TestYieldingRequestsAreShedFirst(t *testing.T) {
	class := &classState{Class: &Class{}}
	long := &request{id: 1, work: 10, priorityWeight: 1}
	short := &request{id: 2, work: 1, priorityWeight: yieldingWeight, yields: true}
	late := &request{id: 3, work: 1, priorityWeight: 1}
	class.queue = []*request{long, late, short}
	if shed := class.leastValuableUpTo(2); shed != short {
		t.Errorf("got request %d shed, want %d", shed.id, short.id)
	}
}
