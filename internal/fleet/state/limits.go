package state

// Bounds on what is kept. Jobs and orders are named by operators; open runs by their time tables.
const (
	maxScheduledJobs = 1000
	maxOverrides     = 1000
	retainedRuns     = 20  // over, of a job
	maxOpenRuns      = 100 // of a job; what would pass it is missed
	maxListBytes     = 512 << 10
)
