package state

// Limits on what the state may hold. Jobs and overrides are named by operators; open runs come from time tables.
const (
	maxScheduledJobs = 1000
	maxOverrides     = 1000
	maxOpenRuns      = 100 // of a job
	retainedRuns     = 20  // finished ones, of a job
	maxTargetLength  = 256 // bytes, of an override's target
	maxOutcomeLength = 200 // bytes
	maxListBytes     = 512 << 10
	maxShards        = 1 << 16 // of a task
)
