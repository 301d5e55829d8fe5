// Package gateway forwards requests from a frontend to query engines and returns their answers. A Gateway owns the
// admission controller, which decides when and where each attempt of a request runs. The gateway feeds events to the
// controller, provides its clock and timer, and carries out its decisions.
//
// # Goroutines
//
//   - Run, one per gateway: handles the timers of the controller and the fair-share scheduler, and deferred events.
//   - Serve, one per request, owned by the frontend: the only goroutine that answers the request, starts its attempts
//     and handles their outcomes. It receives decisions on a channel of its own, in the order in which they were made.
//   - One per attempt, owned by the gateway's group: waits for the attempt to end at the engine and reports the outcome
//     to Serve.
//   - The goroutines of the engine connections (package resp), which report load and progress, and those of discovery,
//     the fleet and the operator, which call the exported methods.
//
// # The lock
//
// Gateway.mu guards the admission controller, the fair-share scheduler, the endpoint list, the table of open requests
// and the state of persistence. Calls of the controller and the scheduler that handle an event go through
// Gateway.runEvent, which holds the lock and reads the clock once for the whole event. The controller's callbacks (type
// actions) therefore run under the lock.
//
// Code under the lock never blocks: a decision goes into a buffered channel or is logged as dropped, an event caused by
// a callback is deferred to Run, and the store only queues records. The lock order is Gateway.mu before the engines'
// own locks; engines hold no lock while they call back.
//
// Serve and the attempts' goroutines wait for slow operations (the store's disk, an engine, the client) without holding
// the lock.
//
// # Units
//
// As in package admission, times are float64 seconds of the Unix clock, durations are float64 seconds and memory is in
// megabytes, unless a type documents another unit.
package gateway
