// Package lease is the holder's side of leases on divided quantities: what a controller may use now, by its own monotonic
// clock, without asking anyone. The package does no I/O and reads no clock: each method is told the time, in seconds that
// never go back. It is used from one goroutine, or under its caller's lock.
//
// A lease counts from when it was requested, not from when the answer came, and is taken to expire earlier by the bound on
// clock drift. After its expiry only the floor of each quantity is left, until a request is answered again.
package lease
