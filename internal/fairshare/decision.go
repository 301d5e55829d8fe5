package fairshare

// Action is the kind of a Decision.
type Action int

// The actions that a Decision may ask for.
const (
	Admit      Action = iota // pass the request to the admission controller
	Reject                   // reject the request, which has not run
	ReportWait               // report to the request's client how long it will wait
	Preempt                  // cancel the request's attempt so that Beneficiary fits
)

// Decision is an action that the caller has to carry out.
type Decision struct {
	Action      Action
	Request     uint32
	Beneficiary uint32   // for Preempt: the request that is to get the capacity
	Reason      string   // for Reject
	RetryAfter  float64  // for Reject, in seconds
	Estimate    Estimate // for ReportWait
}

// Estimate is the expected wait of a request, in seconds from the time of the estimate.
type Estimate struct {
	Start               float64 // time until its first attempt starts
	Completion          float64 // time until it is complete
	StartLow, StartHigh float64 // interval that contains the actual start with a probability of 80%
	valid               bool
}
