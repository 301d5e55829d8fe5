package lease

// Timing is what all controllers of a fleet have to configure alike. Times are seconds.
type Timing struct {
	TTL      float64 // of a lease, from its request
	MaxDrift float64 // by which one machine's clock may run faster than another's, as a fraction
	Linger   float64 // the longest that a request may still run at an engine after its controller was lost
}

// ExpiryBound is how long after its request a lease has expired by any clock within the drift bound.
func (t Timing) ExpiryBound() float64 { return t.TTL * (1 + t.MaxDrift) / (1 - t.MaxDrift) }
