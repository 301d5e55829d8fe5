package fairshare

// Class is what the scheduler needs to know of a workload class.
type Class struct {
	Idempotent       bool    // its requests may be preempted
	MayPreempt       bool    // its requests may have others preempted
	PriorityWeight   float64 // value of one answer in time
	LatencyObjective float64 // seconds, 0 for none
	Threads          float64 // that one request runs with
}

// Options are the parameters of a Scheduler. Times are seconds.
type Options struct {
	Classes            []Class
	DefaultTeam        string  // the team of requests that name none, or one that is not known
	MaxUndispatched    int     // most requests, of each class and of all recent ones, that the admission controller may hold undispatched
	StarvationTimeout  float64 // after so long without service a team's next request goes first
	AgingRate          float64 // work, in seconds, by which a second without service betters a team's tag
	MaxRetryAfter      float64 // the most that a rejection may name, 0 for rejections without one
	PreemptAfter       float64 // for which a request has to fit nowhere before another is preempted for it
	PreemptWeightRatio float64 // times the victim's priority weight for its work that the other's has to be, at least
	MaxPreemptions     int     // of one request, 0 to switch preemption off
	MinEstimateChange  float64 // part by which a queue time must have moved to be reported again
}
