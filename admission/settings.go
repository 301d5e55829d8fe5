package admission

// Idempotency tells what a repeat of a request may do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // engines drop repeats that carry the same key
	NonIdempotent                        // must not run twice
)

// DedupScope tells which engines recognize the key of a request and drop its repeats.
type DedupScope int

// The scopes within which keys are recognized, counted from the engine of the first attempt.
const (
	DedupEverywhere DedupScope = iota
	DedupInZone
	DedupInCell
)

// Settings are what the controller reads of a deployment, decoded once at start.
type Settings struct {
	GatewayIndex int // of this gateway, from 0
	GatewayCount int // at least 1
	Zone         int // of this gateway

	EndpointsOnRequest bool // the endpoint list is sent only once it was asked for
	MayCancel          bool // attempts may be cancelled
	MayHedge           bool // a request may have several attempts in flight

	EnginesTakeGrants     bool // engines heed the memory grant of an attempt
	EnginesTakePriorities bool // engines heed the priority of an attempt
	EnginesQueue          bool // engines queue an attempt that finds no memory, where others reject it
	EnginesReportMemory   bool // engines tell the memory that they have granted when they are polled

	MaxAttempts   int     // of a request
	MaxRetryAfter float64 // seconds that a client may be asked to wait before it sends a rejected request again

	SlowStartWindow         float64 // seconds after its start for which an engine warms up
	SlowStartInitialFactor  float64 // fraction of its full speed at which an engine starts
	SlowStartBudgetMultiple float64 // times its pace that an engine bears in a budget window while it warms up
	SlowStartBudgetWindow   float64 // seconds

	OrderedKeyBackoff float64 // seconds for which an ordered key rests after an attempt that may still run

	RetryBudgetFree   float64 // retries in a window whatever the arrivals
	RetryBudgetRatio  float64 // further retries for each request that arrived in the window
	RetryBudgetWindow float64 // seconds; 0 for no budget

	OverQuotaWeight float64 // factor on the priority weight of a request over its tenant's quota
	MaxGrantShare   float64 // the most of an engine's memory that a request may be granted, 0 for no bound
	MinPolledWork   float64 // work from which engines are polled while requests run slowly; 0 for the default

	MachineTypes []MachineType
	Classes      []Class
	TenantQuotas []float64 // requests a second that each tenant may send, over all gateways
}

// MachineType is the size of an engine.
type MachineType struct {
	Cores  float64
	Memory float64
}

// Class is a workload class.
type Class struct {
	LatencyObjective  float64 // seconds within which an answer earns the whole priority weight
	ObjectiveStretch  float64 // further seconds for each second that the request runs alone
	PriorityWeight    float64 // what an answer in time is worth
	IdempotencyWindow float64 // seconds for which engines recognize an idempotency key

	Idempotency Idempotency
	DedupScope  DedupScope

	Ordered         bool    // requests with the same order key run one after another
	WritesTables    bool    // holds its tables while it runs
	BlockedByWrites bool    // stands still while its tables are held
	Threads         float64 // that a request runs on

	AllowedZones        []int // nil for all
	AllowedMachineTypes []int // nil for all
}
