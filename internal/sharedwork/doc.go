// Package sharedwork carries out what a fleet of controllers does as one: each engine is polled for its load by one
// controller, scheduled jobs run once, one controller publishes the endpoint list for all, and operators' overrides are
// applied. Which controller owns which shard of that work, and for how long, is decided by internal/fleet/assignment; this
// package owns the goroutines that do it.
//
// Worker.Run starts a goroutine for each part that is configured, and ends with its context. The scheduler starts one more
// for each occurrence of a job and waits for them at the end. The other methods of Worker are called by the fleet's
// goroutines.
package sharedwork
