package state

// Limits on what the state stores. Operators name jobs and overrides; open runs follow from the jobs' schedules.
const (
	maxScheduledJobs    = 1000 // configured
	retainedRemovedJobs = 1000 // no longer configured
	maxOverrides        = 1000
	maxOpenRuns         = 100 // per job
	retainedRuns        = 20  // finished runs, per job
	maxTargetLength     = 256 // bytes of an override's target
	maxOutcomeLength    = 200 // bytes
	maxListBytes        = 512 << 10
	maxShards           = 1 << 16 // per task
)
