package gateway

import (
	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/limits"
)

// actions is what the admission controller calls; it implements admission.Actions. All methods run under Gateway.mu,
// within the event that the controller is handling.
type actions struct{ *Gateway }

// StartAttempt sends a request to an engine. One that is gone by now takes nothing.
func (a actions) StartAttempt(request, engine uint32) {
	r := a.requests[request]
	if r == nil {
		return
	}
	start := startDecision{number: r.attemptsStarted, target: a.target(engine), grant: r.grant, priority: r.priority}
	if r.attemptsStarted > 0 && a.persistence != nil && a.persistence.store != nil {
		start.recorded = a.persistence.store.RecordRetry()
	}
	a.decide(request, start)
	switch {
	case a.fairShare == nil:
	case r.attemptsOpen > 0:
		a.fairShare.AttemptAdded(request, r.bookedFor(start.grant))
	default:
		a.startedRequests = append(a.startedRequests, request)
	}
	r.attemptsStarted++
	r.attemptsOpen++
}

// target finds the engine of an endpoint.
func (a actions) target(id uint32) target {
	e := a.endpointsByID[id]
	if e == nil || e.engine == nil {
		return target{engine: stoppedEngine()}
	}
	return target{
		name:   e.entry.Name,
		zone:   nameIndex(a.settings.Zones, e.entry.Zone),
		cell:   e.entry.Cell,
		engine: e.engine,
	}
}

// SetAttemptTerms sets the priority and the grant of a request's attempts. Those that are open change their priority.
func (a actions) SetAttemptTerms(request uint32, priority uint8, grant float64) {
	r := a.requests[request]
	if r == nil {
		return
	}
	if r.maxGrant > 0 {
		grant = min(grant, r.maxGrant)
	}
	r.priority, r.grant = int(priority), grant
	if r.attemptsOpen > 0 {
		a.decide(request, priorityDecision{int(priority)})
	}
}

// Reject rejects a request.
func (a actions) Reject(request uint32, retryAfter float64) {
	a.decide(request, rejectDecision{retryAfter})
}

// Fail fails a request for good.
func (a actions) Fail(request uint32) { a.decide(request, failDecision{}) }

// CancelAttempt cancels one attempt of a request.
func (a actions) CancelAttempt(request uint32, number int) {
	a.decide(request, cancelDecision{number})
}

// PollLoad asks an engine for a load report. Its outcome is an event of its own.
func (a actions) PollLoad(engine uint32) {
	e := a.endpointsByID[engine]
	if e == nil || e.engine == nil {
		a.deferEvent(func(now float64) { a.controller.PollEnded(now) })
		return
	}
	e.engine.PollLoad(func(load deployment.Load, ok bool) {
		a.enter(func(now float64) {
			if ok {
				a.reportLoad(now, e, load)
			}
			a.controller.PollEnded(now)
		})
	})
}

// WatchEndpoints has nothing to ask for: discovery reports unasked. The controller is told that nothing has changed.
func (a actions) WatchEndpoints() {
	a.deferEvent(func(now float64) { a.controller.UpdateEndpoints(now, admission.Delta, nil) })
}

// WakeAfter sets the controller's timer.
func (a actions) WakeAfter(after float64) {
	a.wakeDue = a.now() + after
	a.wakeTimer.Reset(limits.Duration(after))
}
