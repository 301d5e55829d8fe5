package fleet

import "time"

// Timeouts and intervals that are derived from the lease's time to live.
const (
	renewalsPerLease     = 10  // largest number of lease requests within a lease
	leaseChecksPerLease  = 20  // checks for the lease's expiry within a lease
	maxLeaseCheckSeconds = 0.1 // longest interval between these checks
	leaseCheckMargin     = 1.5 // check intervals by which a lease is treated as expired early
	idleTimeoutLeases    = 10  // leases after which a connection without a frame is closed
)

// seconds converts seconds, the unit of time of the packages below this one, to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// writeTimeout returns the timeout for dialing and for writing a frame.
func (o *Options) writeTimeout() time.Duration { return seconds(o.Lease / 2) }

// replyTimeout returns the timeout for a voter's answer.
func (o *Options) replyTimeout() time.Duration { return seconds(o.Lease) }

// leaseCheckInterval returns the interval, in seconds, between checks for the lease's expiry.
func (o *Options) leaseCheckInterval() float64 {
	return min(o.Lease/leaseChecksPerLease, maxLeaseCheckSeconds)
}
