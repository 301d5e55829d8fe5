package fairshare

// Class holds the properties of a workload class that the scheduler uses.
type Class struct {
	Idempotent       bool    // its requests may be preempted
	MayPreempt       bool    // its requests may cause others to be preempted
	PriorityWeight   float64 // value of an answer that arrives in time
	LatencyObjective float64 // seconds, 0 for none
	Threads          float64 // threads with which a request runs
}

// Options configures a Scheduler. Times are in seconds.
type Options struct {
	Classes            []Class
	DefaultTeam        string  // team of requests that name no team or an unknown one
	MaxUndispatched    int     // limit of undispatched requests at the admission controller, per class and of all recent ones
	StarvationTimeout  float64 // time without service after which a team's next request goes first
	AgingRate          float64 // reduction of a team's start tag, in seconds of work, per second without service
	MaxRetryAfter      float64 // upper bound of Retry-After in rejections, 0 for none
	PreemptAfter       float64 // time from admission without a start after which another request may be preempted
	PreemptWeightRatio float64 // minimum ratio of the priority weights per work of the preempting request and the victim
	MaxPreemptions     int     // maximum number of preemptions of one request, 0 to disable preemption
	MinEstimateChange  float64 // fraction by which a queue time must change to be reported again
}
