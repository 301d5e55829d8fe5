package admission

// Actions receives the controller's decisions. Requests and engines are identified by the IDs that the events gave them,
// attempts by their number within the request, from 0. The methods are called while an event is being handled and must not call
// the controller.
type Actions interface {
	// StartAttempt sends the request to the engine.
	StartAttempt(request, engine uint32)
	// SetAttemptTerms sets the priority and the memory grant (in MB, 0 for none) of the attempt that starts next.
	SetAttemptTerms(request uint32, priority uint8, grant float64)
	// Reject ends the request without a result. Its client may send it again after retryAfter seconds.
	Reject(request uint32, retryAfter float64)
	// Fail ends the request without a result and makes no promise about sending it again.
	Fail(request uint32)
	// CancelAttempt cancels one attempt. Its outcome still has to be reported with Controller.AttemptEnded.
	CancelAttempt(request uint32, attempt int)
	// PollLoad requests a load report from the engine. Controller.LoadReported has to be called if the engine answers, and
	// Controller.PollEnded in any case.
	PollLoad(engine uint32)
	// WatchEndpoints requests the endpoint list and its subsequent changes.
	WatchEndpoints()
	// WakeAfter requests one call of Controller.WakeUp after the given number of seconds, replacing any earlier request.
	WakeAfter(seconds float64)
}
