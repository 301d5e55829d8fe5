package admission

import (
	"slices"
	"testing"
)

// Requests that yield wait behind the others, also those that came later and those of other classes, and are shed before
// them: guards against clients that ask without end and hold the engines' room for which others wait.
func TestYieldingRequestsWait(t *testing.T) {
	x := newTrace(t, Settings{}, Class{}, Class{})
	const yielding = 1000 // ids from here on
	for n := range uint32(maxQueueLength) {
		x.arrive(Request{ID: yielding + n, Work: 1, Memory: 100, Yields: true})
	}
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.arrive(Request{ID: 2, Class: 1, Work: 1, Memory: 100})
	x.arrive(Request{ID: 3, Work: 1, Memory: 100})
	first := x.classes[0].queue
	if len(first) != maxQueueLength || first[0].id != 1 || first[1].id != 3 || first[2].id != yielding {
		t.Fatalf("%d in the queue, first %d, %d, %d", len(first), first[0].id, first[1].id, first[2].id)
	}
	if last := first[len(first)-1].id; last != yielding+maxQueueLength-3 {
		t.Errorf("the last one in a full queue is %d", last)
	}
	for _, id := range []uint32{1, 2, 3} {
		if r := x.requests[id]; r == nil || r.ended {
			t.Errorf("%d was shed", id)
		}
	}
	x.listReady(Snapshot, 1)
	started := func(id uint32) bool { return len(x.requests[id].attempts) > 0 }
	if !started(1) || !started(2) || !started(3) {
		t.Error("those that do not yield have not started first")
	}
	var attempts []uint32
	for id, r := range x.requests {
		if len(r.attempts) > 0 && id >= yielding {
			attempts = append(attempts, id)
		}
	}
	slices.Sort(attempts)
	if len(attempts) == 0 || attempts[0] != yielding {
		t.Errorf("what is left of the engine goes to %v", attempts)
	}
}

// Of requests that would end late the one that yields is shed, whatever its work.
func TestYieldingRequestsAreShedFirst(t *testing.T) {
	class := &classState{Class: &Class{}}
	long := &request{id: 1, work: 10, priorityWeight: 1}
	short := &request{id: 2, work: 1, priorityWeight: yieldingWeight, yields: true}
	late := &request{id: 3, work: 1, priorityWeight: 1}
	class.queue = []*request{long, late, short}
	if least := class.leastValuableUpTo(2); least != short {
		t.Errorf("%d is shed", least.id)
	}
}
