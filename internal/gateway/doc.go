// Package gateway carries requests from a frontend to query engines and their answers back. A Gateway owns the
// admission controller, which decides when and where each attempt of a request runs: it tells it what happened, keeps
// its clock and its timer, and carries out its decisions.
//
// # Goroutines
//
//   - Run, one a gateway: the controller's and the fair-share scheduler's timers, and events that were deferred.
//   - Serve, one a request and owned by the frontend: the only goroutine that answers the request, starts its attempts
//     and handles their outcomes. Decisions reach it over a channel of its own, in the order in which they were made.
//   - One an attempt, owned by the gateway's group: it waits for the attempt's end at the engine and reports it to
//     Serve.
//   - Those of the engine connections (package resp), which report load and progress, and those of discovery, the
//     fleet and the operator, which call the exported methods.
//
// # The lock
//
// Gateway.mu guards the admission controller, the fair-share scheduler, the endpoint list, the table of open requests
// and the state of persistence. Every call of the controller or the scheduler is made by Gateway.enter, which holds it
// and reads the clock once for the whole event. The controller's callbacks (type actions) therefore run under the lock.
//
// Nothing under the lock waits: a decision goes into a buffered channel or is reported as lost, an event that a callback
// causes is deferred to Run, and the store only queues records. Engines take their own locks under it, never the other
// way round; they call back without holding any.
//
// What may wait (the store's disk, an engine, the client) is waited for in Serve or in an attempt's goroutine, without
// the lock.
//
// # Units
//
// As in package admission, times are float64 seconds of the Unix clock, durations are float64 seconds and memory is in
// megabytes, unless a type says otherwise.
package gateway
