package gateway

// endedIDs remembers the IDs of the latest requests that have ended, may have run and must not run again. A client that sends
// such an ID again, on another connection perhaps, gets no second run. The zero value remembers nothing.
type endedIDs struct {
	known map[string]struct{}
	ring  []string // the known IDs, in the order in which they were added, beginning at next once the ring is full
	next  int
	limit int
}

func newEndedIDs(limit int) endedIDs { return endedIDs{known: map[string]struct{}{}, limit: limit} }

// contains reports whether an ID is remembered.
func (e *endedIDs) contains(id string) bool {
	_, found := e.known[id]
	return found
}

// add remembers an ID, and forgets the oldest one if there are too many.
func (e *endedIDs) add(id string) {
	if e.limit == 0 || e.contains(id) {
		return
	}
	if len(e.ring) < e.limit {
		e.ring = append(e.ring, id)
	} else {
		delete(e.known, e.ring[e.next])
		e.ring[e.next] = id
		e.next = (e.next + 1) % e.limit
	}
	e.known[id] = struct{}{}
}
