package msgpackrpc

import "sync/atomic"

// inFlight is the table of a connection's open requests and the number of pending responses. conn.mu guards it.
type inFlight struct {
	requests  map[uint32]*responder // by the client's message ID
	pending   int                   // responses not yet written, including those of open requests
	busyConns *atomic.Int64         // the server's number of connections with open requests
}

// newInFlight returns an empty table. The connection counts towards busyConns while it has open requests.
func newInFlight(busyConns *atomic.Int64) inFlight {
	return inFlight{requests: map[uint32]*responder{}, busyConns: busyConns}
}

// find returns the open request with the given message ID, nil if there is none.
func (f *inFlight) find(id uint32) *responder { return f.requests[id] }

// add opens a request. Its response counts as pending from now until it is written.
func (f *inFlight) add(r *responder) {
	if len(f.requests) == 0 {
		f.busyConns.Add(1)
	}
	f.requests[r.id] = r
	f.pending++
}

// answered closes a request whose response is yet to be written. It returns false if the request is not open: another request
// may have taken its message ID since it was closed.
func (f *inFlight) answered(r *responder) bool {
	if f.requests[r.id] != r {
		return false
	}
	delete(f.requests, r.id)
	if len(f.requests) == 0 {
		f.busyConns.Add(-1)
	}
	return true
}

// drop closes a request, if it is open, without a response.
func (f *inFlight) drop(r *responder) {
	if f.answered(r) {
		f.pending--
	}
}

// dropAll closes all open requests without a response.
func (f *inFlight) dropAll() {
	for _, r := range f.requests {
		r.answered = true
		f.drop(r)
	}
}

// written records that a response has been written.
func (f *inFlight) written() { f.pending-- }

// open returns the number of open requests.
func (f *inFlight) open() int { return len(f.requests) }

// empty reports whether no request is open and no response is pending.
func (f *inFlight) empty() bool { return len(f.requests) == 0 && f.pending == 0 }

// full reports whether no further request may be opened. Pending responses are limited as well: otherwise they would
// accumulate without bound for a client that does not read them.
func (f *inFlight) full(limit int) bool { return len(f.requests) >= limit || f.pending >= 2*limit }
