package admission

import (
	"math"
	"slices"
)

// engine is one engine as this gateway sees it. A new start of its process, told by the endpoint list, resets what was held
// against it and its slow start.
type engine struct {
	id                uint32
	zone              int
	cell              int
	machineType       int     // one whose size is known
	listedMachineType int     // as the list tells it, maybe past those that the settings name
	ready             bool    // takes new requests, as the list tells
	listed            bool    // is in the list
	startedAt         float64 // time of its process's latest start, 0 where it is not known
	weight            float64 // as the list tells
	relativeWeight    float64 // weight over the largest in the list, 1 where all are alike

	inFlight      []*attempt // this gateway's attempts without a result, by start
	grantedMemory float64    // MB booked for them
	pendingWork   float64    // CPU seconds booked for them
	slowdown      float64    // moving average of its run times over the class's

	lastAnswerAt    float64      // time of its last answer or progress
	answers         answerCounts // for its share of failures; reset when it is ejected
	overloadedUntil float64      // time before which nothing is sent to it since it told that it was full
	suspected       bool         // from its ejection until its trials have succeeded
	trialsPassed    int          // answers since its ejection
	ejectedUntil    float64      // time before which no trial is sent to it
	ejectionLength  float64      // seconds of its latest ejection, 0 after a while without one

	polledAt           float64 // time at which it was last polled, or a peer polled it
	reportedAt         float64 // time of its latest load report
	reportedMemory     float64 // share of its memory granted by all gateways, as reported
	reportedCPU        float64 // share of its cores in use, as reported
	memorySinceReport  float64 // MB that this gateway granted since the report
	threadsSinceReport float64 // that this gateway started since the report
	shareFactor        float64 // times its share that this gateway may use where others leave room, from 1

	slowStartRank     int           // this gateway's place, from 0, among those that part its slow start budget
	slowStartSlot     uint64        // slot of the clock for which that place holds
	slowStartSlotWork float64       // CPU seconds that this gateway sent in the slot
	recentWork        slidingWindow // CPU seconds that this gateway sent in the budget's window
}

// newEngine returns an engine of which nothing is known; workBucket is the bucket of its slow start window, in seconds.
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

// pastEngine stands for the engine of an attempt that an earlier process started.
func pastEngine(past PastAttempt) *engine {
	return &engine{zone: past.Zone, cell: past.Cell, slowdown: 1, weight: 1, relativeWeight: 1}
}

// isWriting tells whether a request of this gateway holds the tables there.
func (e *engine) isWriting(tables uint32) bool {
	return slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.request.class.WritesTables && a.request.tables == tables
	})
}

// queueTime is this gateway's pending work at the engine, with so much more, over its relative pace.
func (e *engine) queueTime(moreWork float64) float64 {
	return (e.pendingWork + moreWork) * e.slowdown / e.relativeWeight
}

// overdueAnswers is how many answers the attempts in flight should have brought since the last one: each counts the time
// that it has been out in the silence over its expected duration.
func (e *engine) overdueAnswers(now float64) float64 {
	sum := 0.0
	for _, a := range e.inFlight {
		sum += (now - max(e.lastAnswerAt, a.startedAt)) / a.expectedDuration
	}
	return sum
}

// answerCounts counts good and bad answers by the second.
type answerCounts struct {
	successes, failures slidingWindow
}

// answerHistory is how many seconds of answers are kept; failureWindow of them are looked at.
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

// failureShare is the share of failures among the answers of the latest seconds.
func (n *answerCounts) failureShare(now float64) float64 {
	failures := n.failures.sum(now, failureWindow)
	return failures / max(failures+n.successes.sum(now, failureWindow), 1)
}
