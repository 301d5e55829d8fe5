package admission

// Request is an arriving request.
type Request struct {
	ID       uint32
	Class    int     // index into Settings.Classes
	Tenant   int     // index into Settings.TenantQuotas; past its end for a tenant without a quota
	OrderKey uint64  // requests of an ordered class with the same key run one after another; 0 for none
	Deadline float64 // time by which the request must be answered
	Work     float64 // estimated work in CPU seconds, 0 if there is no estimate
	Memory   float64 // estimated memory in MB, 0 if there is no estimate
	Tables   uint32  // hash of the tables that the request accesses, 0 for none
	Waited   float64 // seconds since its client sent it
	Yields   bool    // its client keeps sending beyond its limits: it is queued behind other requests and shed before them

	// PastAttempts were started by an earlier process of this gateway and may have run. The retry rules count them as the first
	// attempts of the request.
	PastAttempts []PastAttempt

	// MayRunConcurrently is called to decide whether an attempt may be started while others of the request are in flight. It
	// returns false if a budget outside this package has no room for another attempt; nil means that there is always room. It
	// must not call the Controller.
	MayRunConcurrently func() bool
}

// PastAttempt is an attempt that an earlier process of this gateway started and that may have run. Of its engine, only the
// properties that restrict a repeat are known.
type PastAttempt struct {
	StartedAt  float64 // time at which it started
	Zone, Cell int
}

// Status is the outcome of an attempt.
type Status int

// The outcomes of an attempt. After Overloaded, ConnectFailed and NotStarted, the request is known not to have run.
const (
	Succeeded       Status = iota // the answer is complete
	Failed                        // the engine answered with an error
	Overloaded                    // the engine had no capacity for it
	TimedOut                      // no answer in time
	ConnectFailed                 // no connection to the engine could be established
	ConnectionReset               // the connection was lost
	Cancelled                     // cancelled through Actions.CancelAttempt
	NotStarted                    // ended before it reached the engine
)

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Status   Status
	Duration float64 // seconds
	Final    bool    // the request has been answered and needs no further attempt
	Work     float64 // CPU seconds that the request needed, 0 if the engine does not report them
	Memory   float64 // MB that the request needed, 0 if the engine does not report them
}

// ProgressTopic is the quantity that a progress message reports.
type ProgressTopic int

// ShareDone is the share of its work that an attempt has completed. Other topics do not affect decisions.
const ShareDone ProgressTopic = 1

// ListMode is the kind of a message on the endpoint list.
type ListMode int

// The kinds of messages on the endpoint list.
const (
	Delta           ListMode = iota // entries that are new or have changed
	Snapshot                        // all entries
	CachedSnapshot                  // all entries as of an earlier time; the list has to be requested
	ListUnavailable                 // no entries; the list has to be requested
)

// Endpoint is one entry of the endpoint list. A machine type or zone that is not in the settings has an index beyond those that
// are. Requests restricted to machine types or zones are not sent there, and the engine is assumed to have the size of the last
// machine type.
type Endpoint struct {
	ID          uint32
	Zone        int
	MachineType int
	Cell        int
	Ready       bool    // accepts new requests
	Weight      float64 // share of requests and memory relative to the other engines, greater than 0
	StartedAt   float64 // start time of its process, 0 if unknown
}

// LoadReport is what an engine reports about its load. The zero value reports nothing.
type LoadReport struct {
	Waiting       Measurement // requests in the engine's own queue
	CPU           Measurement // share of its cores in use
	MemoryGranted Measurement // share of its memory granted to requests of all gateways
}

// Measurement is one figure of a load report. The zero value stands for a figure that the engine does not report.
type Measurement struct {
	value    float64
	reported bool
}

// Measured returns a reported figure. A negative value or NaN counts as not reported.
func Measured(value float64) Measurement {
	return Measurement{value: value, reported: value >= 0}
}
