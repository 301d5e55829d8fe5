package admission

import (
	"math"
	"slices"
)

// engine is one engine as this gateway sees it. When the endpoint list reports a new start of the engine's process, what was
// held against the engine and its slow start are reset.
type engine struct {
	id                uint32
	zone              int
	cell              int
	machineType       int     // index into Settings.MachineTypes
	listedMachineType int     // as listed, possibly past the end of Settings.MachineTypes
	ready             bool    // listed as accepting new requests
	listed            bool    // present in the endpoint list
	startedAt         float64 // latest start time of its process, 0 if unknown
	weight            float64 // as listed
	relativeWeight    float64 // weight divided by the largest in the list, 1 if all are equal

	inFlight      []*attempt // this gateway's attempts without a result, in order of start
	grantedMemory float64    // MB booked for them
	pendingWork   float64    // CPU seconds booked for them
	slowdown      float64    // moving average of the slowdown of its answers relative to that of their class

	lastAnswerAt    float64      // time of its last answer or progress message
	answers         answerCounts // recent answers, for its failure share; reset when it is ejected
	overloadedUntil float64      // time before which nothing is sent to it after it reported that it was full
	suspected       bool         // from its ejection until its trials have succeeded
	trialsPassed    int          // successful answers since its ejection
	ejectedUntil    float64      // time before which no trial is sent to it
	ejectionLength  float64      // length of its latest ejection in seconds, reset after a time without one

	polledAt           float64 // time at which this gateway or a peer last polled it
	reportedAt         float64 // time of its latest load report
	reportedMemory     float64 // reported share of its memory granted by all gateways
	reportedCPU        float64 // reported share of its cores in use
	memorySinceReport  float64 // MB that this gateway has granted since the report
	threadsSinceReport float64 // threads that this gateway has started since the report
	shareFactor        float64 // multiplier, at least 1, on this gateway's share of the engine while others leave capacity unused

	slowStartRank     int           // rank of this gateway, from 0, in the division of its slow start budget
	slowStartSlot     uint64        // time slot for which that rank holds
	slowStartSlotWork float64       // CPU seconds that this gateway has sent in that slot
	recentWork        slidingWindow // CPU seconds that this gateway has sent within the budget window
}

// newEngine returns an engine about which nothing is known. workBucket is the bucket width of its slow start window, in
// seconds.
func newEngine(id uint32, workBucket float64) *engine {
	return &engine{
		id:             id,
		slowdown:       1,
		weight:         1,
		relativeWeight: 1,
		shareFactor:    1,
		reportedAt:     math.Inf(-1),
		polledAt:       math.Inf(-1),
		answers:        newAnswerCounts(),
		recentWork:     newSlidingWindow(workBucket, windowBuckets+1),
	}
}

// pastEngine returns a stand-in for the engine of an attempt that an earlier process started.
func pastEngine(past PastAttempt) *engine {
	return &engine{zone: past.Zone, cell: past.Cell, slowdown: 1, weight: 1, relativeWeight: 1}
}

// isWriting reports whether a request of this gateway that writes to the tables is in flight at the engine.
func (e *engine) isWriting(tables uint32) bool {
	return slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.request.class.WritesTables && a.request.tables == tables
	})
}

// queueTime returns this gateway's pending work at the engine plus moreWork, divided by the engine's relative speed.
func (e *engine) queueTime(moreWork float64) float64 {
	return (e.pendingWork + moreWork) * e.slowdown / e.relativeWeight
}

// overdueAnswers returns how many answers the attempts in flight should have produced since the engine's last one. Each attempt
// contributes the time that it has been in flight during this silence, divided by its expected duration.
func (e *engine) overdueAnswers(now float64) float64 {
	sum := 0.0
	for _, a := range e.inFlight {
		sum += (now - max(e.lastAnswerAt, a.startedAt)) / a.expectedDuration
	}
	return sum
}

// answerCounts counts successful and failed answers per second.
type answerCounts struct {
	successes, failures slidingWindow
}

// answerHistory is how many seconds of answers are kept; the failure share is taken over the latest failureWindow seconds.
const (
	answerHistory = 5
	failureWindow = 4
)

func newAnswerCounts() answerCounts {
	return answerCounts{
		successes: newSlidingWindow(1, answerHistory),
		failures:  newSlidingWindow(1, answerHistory),
	}
}

func (n *answerCounts) add(now, successes, failures float64) {
	n.successes.add(now, successes)
	n.failures.add(now, failures)
}

// failureShare returns the share of failures among the answers of the latest failureWindow seconds.
func (n *answerCounts) failureShare(now float64) float64 {
	failures := n.failures.sum(now, failureWindow)
	return failures / max(failures+n.successes.sum(now, failureWindow), 1)
}
