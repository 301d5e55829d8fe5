package admission

import "testing"

// The grant follows the estimate, what was learned from answers, or neither, within a smallest and a largest grant.
func TestGrant(t *testing.T) {
	x := newTrace(t, Settings{}, Class{})
	x.listReady(Snapshot, 1, 2)
	x.arrive(Request{ID: 1, Work: 1})               // nothing estimated or learned: no grant is requested
	x.arrive(Request{ID: 2, Work: 1, Memory: 1000}) // the estimate plus a margin
	x.arrive(Request{ID: 3, Work: 1, Memory: 10})   // the smallest grant
	x.arrive(Request{ID: 4, Work: 1, Memory: 5000}) // the largest grant
	x.tallies()
	x.endAttempt(1, 0, Succeeded)
	x.arrive(Request{ID: 5, Work: 1}) // the mean need plus a margin
	for id := range uint32(4) {
		x.arrive(Request{ID: id + 6, Work: 1, Memory: 500}) // the estimate is half of the need: the margin grows
		x.endAttempt(id+6, 0, Succeeded)
	}
	x.checkGolden()
}
