//go:build race

package consensus

// raceDetector reports whether the race detector is enabled. The simulations run on one goroutine, so more schedules give the
// race detector nothing more to find.
const raceDetector = true
