package fleet

import "time"

// Timeouts and intervals that follow from the lease, as fractions of it.
const (
	renewalsPerLease     = 10 // requests are made at most so often
	leaseChecksPerLease  = 20
	maxLeaseCheckSeconds = 0.1
	leaseCheckMargin     = 1.5 // checks, by which a lease counts as expired early
	idleTimeoutLeases    = 10  // a connection without a frame for so long is closed
)

// seconds makes a duration of the cores' unit of time.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// writeTimeout bounds the writing of a frame, and dialing.
func (o *Options) writeTimeout() time.Duration { return seconds(o.Lease / 2) }

// replyTimeout bounds the wait for a voter's answer.
func (o *Options) replyTimeout() time.Duration { return seconds(o.Lease) }

// leaseCheckInterval is how often, in seconds, the expiry of the lease is looked for.
func (o *Options) leaseCheckInterval() float64 {
	return min(o.Lease/leaseChecksPerLease, maxLeaseCheckSeconds)
}
