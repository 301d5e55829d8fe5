package gateway

import (
	"copperrock.example/copperrock/internal/backend/resp"
	"copperrock.example/copperrock/internal/fairshare"
)

// decision is a decision of the admission controller or the fair-share scheduler on one request. It is one of the types
// below.
type decision interface{ isDecision() }

// startDecision sends the request to an engine.
type startDecision struct {
	number   int // the controller's number of the attempt
	target   target
	grant    float64
	priority int
	recorded <-chan error // receives when the retry has been written to disk; nil if nothing is recorded
}

// cancelDecision cancels an attempt.
type cancelDecision struct{ number int }

// priorityDecision changes the priority of all open attempts.
type priorityDecision struct{ priority int }

// waitDecision reports the estimated wait of the request.
type waitDecision struct{ estimate fairshare.Estimate }

// rejectDecision rejects the request.
type rejectDecision struct{ retryAfter float64 }

// failDecision fails the request permanently.
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

// sendDecision passes a decision to the goroutine that serves the request. The lock is held.
func (g *Gateway) sendDecision(handle uint32, d decision) {
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
