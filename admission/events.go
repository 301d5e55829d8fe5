package admission

// Request is a request as it arrives.
type Request struct {
	ID       uint32
	Class    int     // index into Settings.Classes
	Tenant   int     // index into Settings.TenantQuotas; past its end where the tenant has no quota
	OrderKey uint64  // requests of an ordered class with the same key run one after another; 0 for none
	Deadline float64 // time by which the request has to be answered
	Work     float64 // estimated work, 0 where there is no estimate
	Memory   float64 // estimated memory, 0 where there is no estimate
	Tables   uint32  // hash of the tables that it touches, 0 for none
	Waited   float64 // seconds since its client sent it
	Yields   bool    // its client goes on over its limits: it waits behind the others and is shed before them

	// PastAttempts were started by an earlier process of this gateway and may have run. The rules for retries hold for
	// the request from the first of them on.
	PastAttempts []PastAttempt

	// MayRunConcurrently is called before an attempt is started while others of the request are in flight. It returns false
	// when a budget outside this package has no room for another one. nil means always. It must not call the Controller.
	MayRunConcurrently func() bool
}

// PastAttempt is an attempt that an earlier process of this gateway started and that may have run. Of its engine only what
// binds a repeat is known.
type PastAttempt struct {
	StartedAt  float64 // time
	Zone, Cell int
}

// Status tells how an attempt ended.
type Status int

// The ways in which an attempt ends. After Overloaded, ConnectFailed and NotStarted it is known that nothing ran.
const (
	Succeeded       Status = iota // the answer is complete
	Failed                        // the engine answered with an error
	Overloaded                    // the engine had no room for it
	TimedOut                      // no answer in time
	ConnectFailed                 // no connection to the engine came up
	ConnectionReset               // the connection was lost
	Cancelled                     // cancelled by CancelAttempt
	NotStarted                    // ended before it reached the engine
)

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	Status   Status
	Duration float64 // seconds
	Final    bool    // the request has been answered and needs no further attempt
	Work     float64 // that the request needed, 0 where the engine does not tell
	Memory   float64 // that the request needed, 0 where the engine does not tell
}

// ProgressTopic tells what the amount of a progress message counts.
type ProgressTopic int

// ShareDone is the share of its work that an attempt has done. Other topics decide nothing.
const ShareDone ProgressTopic = 1

// ListMode tells what a message on the endpoint list holds.
type ListMode int

// The modes of a message on the endpoint list.
const (
	Delta           ListMode = iota // entries that are new or have changed
	Snapshot                        // all entries
	CachedSnapshot                  // all entries as they once were; the list has to be asked for
	ListUnavailable                 // nothing; the list has to be asked for
)

// Endpoint is one entry of the endpoint list. A machine type or zone that the settings do not name is a number past
// theirs: requests that are bound to machine types or zones do not go there, and it is sized as the last machine type.
type Endpoint struct {
	ID          uint32
	Zone        int
	MachineType int
	Cell        int
	Ready       bool    // takes new requests
	Weight      float64 // its part of requests and memory against the others', over 0
	StartedAt   float64 // time of its process's start, 0 where it is not known
}

// LoadReport is what an engine tells of its load. The zero value tells nothing.
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

// Measured returns a figure as reported; one under 0 or NaN counts as not reported.
func Measured(value float64) Measurement {
	return Measurement{value: value, reported: value >= 0}
}
