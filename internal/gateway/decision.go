package gateway

import (
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/fairshare"
)

// decision is what the admission controller or the fair-share scheduler has decided on one request; the types below
// are all there are.
type decision interface{ isDecision() }

// startDecision sends the request to an engine.
type startDecision struct {
	number   int // of the attempt, counted as the controller does
	target   target
	grant    float64
	priority int
	recorded <-chan error // receives once a retry is on disk; nil where nothing is recorded
}

// cancelDecision cancels an attempt.
type cancelDecision struct{ number int }

// priorityDecision changes the priority of all open attempts.
type priorityDecision struct{ priority int }

// waitDecision reports how long the request will wait.
type waitDecision struct{ estimate fairshare.Estimate }

// rejectDecision rejects the request.
type rejectDecision struct{ retryAfter float64 }

// failDecision fails the request for good.
type failDecision struct{}

func (startDecision) isDecision()    {}
func (cancelDecision) isDecision()   {}
func (priorityDecision) isDecision() {}
func (waitDecision) isDecision()     {}
func (rejectDecision) isDecision()   {}
func (failDecision) isDecision()     {}

// target is an engine that an attempt goes to.
type target struct {
	name       string
	zone, cell int
	engine     *resp.Engine
}

// decide passes a decision on to the goroutine that serves the request. The lock is held.
func (g *Gateway) decide(handle uint32, d decision) {
	r := g.requests[handle]
	if r == nil {
		return
	}
	select {
	case r.decisions <- d:
	default:
		g.log.Error().Uint32("handle", handle).Msg("decision dropped: too many are queued for the request")
	}
}
