// Package sharedwork does the work that the controllers of a fleet share: one controller polls each engine for its load on
// behalf of all, one controller runs each occurrence of a scheduled job, one controller publishes the endpoint list, and
// each controller applies the operators' overrides. Package internal/fleet/assignment decides which controller owns which
// shard of that work, and for how long; this package has the goroutines that do it.
//
// Worker.Run starts a goroutine for each part that is configured, and returns when its context has ended. The scheduler
// starts a goroutine for each occurrence of a job, and waits for these at the end. The other methods of Worker are called
// from the fleet's goroutines.
package sharedwork
