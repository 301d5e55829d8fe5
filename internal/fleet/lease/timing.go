package lease

// Timing holds the parameters that must be the same at all controllers of a fleet. Times are seconds.
type Timing struct {
	TTL      float64 // time to live of a lease, from its request
	MaxDrift float64 // largest fraction by which one machine's clock may run faster than another's
	Linger   float64 // longest time for which a client's request may still run at an engine after its controller was lost
}

// ExpiryBound returns the time after its request at which a lease has expired by every clock within the drift bound.
func (t Timing) ExpiryBound() float64 { return t.TTL * (1 + t.MaxDrift) / (1 - t.MaxDrift) }
