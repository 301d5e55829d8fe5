package gateway

import (
	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/limits"
)

// actions implements admission.Actions, the callbacks of the admission controller. All methods run under Gateway.mu,
// within the event that the controller is handling.
type actions struct{ *Gateway }

// StartAttempt sends a request to an engine. If the engine no longer exists, the attempt ends without having run.
func (a actions) StartAttempt(request, engine uint32) {
	r := a.requests[request]
	if r == nil {
		return
	}
	start := startDecision{number: r.attemptsStarted, target: a.target(engine), grant: r.grant, priority: r.priority}
	if r.attemptsStarted > 0 && a.persistence != nil && a.persistence.store != nil {
		start.recorded = a.persistence.store.RecordRetry()
	}
	a.sendDecision(request, start)
	switch {
	case a.fairShare == nil:
	case r.attemptsOpen > 0:
		a.fairShare.AttemptAdded(request, r.bookedMemory(start.grant))
	default:
		a.startedRequests = append(a.startedRequests, request)
	}
	r.attemptsStarted++
	r.attemptsOpen++
}

// target returns the engine of an endpoint, or a stopped engine if there is none.
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

// SetAttemptTerms sets the priority and the grant of a request's next attempts, and the priority of its open ones.
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
		a.sendDecision(request, priorityDecision{int(priority)})
	}
}

// Reject rejects a request.
func (a actions) Reject(request uint32, retryAfter float64) {
	a.sendDecision(request, rejectDecision{retryAfter})
}

// Fail fails a request permanently.
func (a actions) Fail(request uint32) { a.sendDecision(request, failDecision{}) }

// CancelAttempt cancels one attempt of a request.
func (a actions) CancelAttempt(request uint32, number int) {
	a.sendDecision(request, cancelDecision{number})
}

// PollLoad asks an engine for a load report. The result is delivered to the controller as a separate event.
func (a actions) PollLoad(engine uint32) {
	e := a.endpointsByID[engine]
	if e == nil || e.engine == nil {
		a.deferEvent(func(now float64) { a.controller.PollEnded(now) })
		return
	}
	e.engine.PollLoad(func(load deployment.Load, ok bool) {
		a.runEvent(func(now float64) {
			if ok {
				a.reportLoad(now, e, load)
			}
			a.controller.PollEnded(now)
		})
	})
}

// WatchEndpoints requests nothing, since discovery reports changes on its own. It answers the controller with an empty
// update.
func (a actions) WatchEndpoints() {
	a.deferEvent(func(now float64) { a.controller.UpdateEndpoints(now, admission.Delta, nil) })
}

// WakeAfter sets the controller's timer.
func (a actions) WakeAfter(after float64) {
	a.wakeDue = a.now() + after
	a.wakeTimer.Reset(limits.Duration(after))
}
