package admission

// Idempotency states whether a request may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // engines drop repeats with the same idempotency key
	NonIdempotent                        // must not run twice
)

// DedupScope is the set of engines that recognize a request's idempotency key and drop its repeats.
type DedupScope int

// The deduplication scopes, relative to the engine of the first attempt.
const (
	DedupEverywhere DedupScope = iota
	DedupInZone
	DedupInCell
)

// Settings are the settings of a deployment that the controller uses. They are decoded once at startup.
type Settings struct {
	GatewayIndex int // index of this gateway, from 0
	GatewayCount int // number of gateways, at least 1
	Zone         int // zone of this gateway

	EndpointsOnRequest bool // the endpoint list is sent only after it was requested
	MayCancel          bool // attempts may be cancelled
	MayHedge           bool // a request may have several attempts in flight

	EnginesTakeGrants     bool // engines honor the memory grant of an attempt
	EnginesTakePriorities bool // engines honor the priority of an attempt
	EnginesQueue          bool // engines queue an attempt for which they lack memory; otherwise they reject it
	EnginesReportMemory   bool // engines report their granted memory when they are polled

	MaxAttempts   int     // maximum number of attempts per request
	MaxRetryAfter float64 // maximum delay, in seconds, that a client is asked to wait before it retries a rejected request

	SlowStartWindow         float64 // seconds after its start for which an engine warms up
	SlowStartInitialFactor  float64 // fraction of its full speed at which an engine starts
	SlowStartBudgetMultiple float64 // budget of an engine that warms up, as a multiple of its work in a window at initial speed
	SlowStartBudgetWindow   float64 // window of that budget, in seconds

	OrderedKeyBackoff float64 // seconds for which an ordered key is blocked after an attempt that may still be running, or a restart

	RetryBudgetFree   float64 // retries allowed per window regardless of arrivals
	RetryBudgetRatio  float64 // additional retries allowed for each request that arrived in the window
	RetryBudgetWindow float64 // window of the retry budget in seconds; 0 for no budget

	OverQuotaWeight float64 // factor on the priority weight of a request that exceeds its tenant's quota
	MaxGrantShare   float64 // largest share of an engine's memory that a request may be granted; 0 for the built-in limit
	MinPolledWork   float64 // work above which engines are polled while requests run slowly; 0 for the default

	MachineTypes []MachineType
	Classes      []Class
	TenantQuotas []float64 // requests per second that each tenant may send, over all gateways
}

// MachineType describes the size of an engine.
type MachineType struct {
	Cores  float64
	Memory float64
}

// Class holds the settings of a workload class.
type Class struct {
	LatencyObjective  float64 // seconds within which an answer earns the full priority weight
	ObjectiveStretch  float64 // seconds added to the objective for each second that the request takes when it runs alone
	PriorityWeight    float64 // value of an answer within the objective
	IdempotencyWindow float64 // seconds for which engines recognize an idempotency key

	Idempotency Idempotency
	DedupScope  DedupScope

	Ordered         bool    // requests with the same ordered key run one after another
	WritesTables    bool    // requests lock their tables while they run
	BlockedByWrites bool    // requests make no progress while their tables are locked
	Threads         float64 // threads that a request runs on

	AllowedZones        []int // nil for all
	AllowedMachineTypes []int // nil for all
}
