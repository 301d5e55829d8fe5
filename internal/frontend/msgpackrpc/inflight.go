package msgpackrpc

import "sync/atomic"

// inFlight is the table of a connection's open requests, and the count of responses that are owed. conn.mu guards it.
type inFlight struct {
	requests map[uint32]*responder // by the client's message id
	owed     int                   // responses not yet written, those of open requests included
	busy     *atomic.Int64         // the server's count of connections with open requests
}

// newInFlight makes an empty table. The connection counts in busy while it has open requests.
func newInFlight(busy *atomic.Int64) inFlight {
	return inFlight{requests: map[uint32]*responder{}, busy: busy}
}

// find returns the open request of an id, nil for none.
func (f *inFlight) find(id uint32) *responder { return f.requests[id] }

// add opens a request, whose response is owed from here.
func (f *inFlight) add(r *responder) {
	if len(f.requests) == 0 {
		f.busy.Add(1)
	}
	f.requests[r.id] = r
	f.owed++
}

// answered closes a request whose response is still to be written. It is false where the request was closed before;
// another one may have its id by now.
func (f *inFlight) answered(r *responder) bool {
	if f.requests[r.id] != r {
		return false
	}
	delete(f.requests, r.id)
	if len(f.requests) == 0 {
		f.busy.Add(-1)
	}
	return true
}

// drop closes a request that gets no response, if it is open.
func (f *inFlight) drop(r *responder) {
	if f.answered(r) {
		f.owed--
	}
}

// written tells that a response has been written.
func (f *inFlight) written() { f.owed-- }

// open is the number of open requests.
func (f *inFlight) open() int { return len(f.requests) }

// settled reports whether no request is open and no response is owed.
func (f *inFlight) settled() bool { return len(f.requests) == 0 && f.owed == 0 }

// full reports whether no further request may be opened. Responses count as well: of a client that does not read them,
// more would be owed without end.
func (f *inFlight) full(limit int) bool { return len(f.requests) >= limit || f.owed >= 2*limit }
