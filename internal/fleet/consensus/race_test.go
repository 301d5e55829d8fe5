//go:build race

package consensus

// raceDetector tells that the race detector is on. What is played here runs on one goroutine, so it has nothing to find in more
// schedules.
const raceDetector = true
