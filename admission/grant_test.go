package admission

import (
	"testing"
)

func TestGrant(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Snapshot, true, 0, 1, 2)
	x.arrive(1, 0, 0, 1, 0)    // nothing told or learned: no grant named
	x.arrive(2, 0, 0, 1, 1000) // a margin over
	x.arrive(3, 0, 0, 1, 10)   // the least
	x.arrive(4, 0, 0, 1, 5000) // the most
	x.tallies()
	x.outcome(1, 0, Succeeded)
	x.arrive(5, 0, 0, 1, 0) // four fifths over what answers told
	for id := range uint32(4) {
		x.arrive(id+6, 0, 0, 1, 500) // told half of the need: the margin grows
		x.outcome(id+6, 0, Succeeded)
	}
	x.check()
}
