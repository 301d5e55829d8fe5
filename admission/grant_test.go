package admission

import "testing"

// The grant follows the estimate, what answers told, or neither, between a least and a most grant.
func TestGrant(t *testing.T) {
	x := newTrace(t, Settings{}, Class{})
	x.listReady(Snapshot, 1, 2)
	x.arrive(Request{ID: 1, Work: 1})               // nothing estimated or learned: no grant is named
	x.arrive(Request{ID: 2, Work: 1, Memory: 1000}) // a margin over
	x.arrive(Request{ID: 3, Work: 1, Memory: 10})   // the least
	x.arrive(Request{ID: 4, Work: 1, Memory: 5000}) // the most
	x.tallies()
	x.endAttempt(1, 0, Succeeded)
	x.arrive(Request{ID: 5, Work: 1}) // a margin over the mean need
	for id := range uint32(4) {
		x.arrive(Request{ID: id + 6, Work: 1, Memory: 500}) // estimated at half of the need: the margin grows
		x.endAttempt(id+6, 0, Succeeded)
	}
	x.check()
}
