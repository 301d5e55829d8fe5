// Package lease implements the holder's side of leases on divided quantities. It decides, without asking the leader, how
// much of each quantity a controller may use now. The package does no I/O and reads no clock: the caller passes the time to
// each method, in seconds of the controller's monotonic clock. A Holder and its Quotas are used from one goroutine, or under
// the caller's lock.
//
// The time to live of a lease runs from when the lease was requested, not from when the answer arrived, and is shortened by
// the bound on clock drift. Once the lease has expired only the floor of each quantity may be used, until a request is
// answered again.
package lease
