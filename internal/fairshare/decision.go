package fairshare

// Action is a kind of decision.
type Action int

// The actions that a Decision may ask for.
const (
	Admit      Action = iota // hand the request to the admission controller
	Reject                   // the request, which never ran
	ReportWait               // tell the request's client how long it will wait
	Preempt                  // cancel the request's attempt so that Beneficiary fits
)

// Decision is one thing that the caller has to carry out.
type Decision struct {
	Action      Action
	Request     uint32
	Beneficiary uint32   // of Preempt
	Reason      string   // of Reject
	RetryAfter  float64  // of Reject, in seconds
	Estimate    Estimate // of ReportWait
}

// Estimate is how long a request will wait, in seconds from when the estimate was made.
type Estimate struct {
	Start               float64 // until its first attempt starts
	Completion          float64 // until it is complete
	StartLow, StartHigh float64 // bounds between which Start lies four times in five
	valid               bool
}
