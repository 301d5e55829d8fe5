package admission

// Actions is what the controller decides. Requests and engines go by the ids that they came in with, attempts by their
// number within the request, from 0. Methods are called while an event is handled and must not call the controller.
type Actions interface {
	// StartAttempt sends the request to the engine.
	StartAttempt(request, engine uint32)
	// SetAttemptTerms names the priority and the memory grant (MB, 0 for none) of the attempt that starts next.
	SetAttemptTerms(request uint32, priority uint8, grant float64)
	// Reject ends the request without a result; its client may send it again after so many seconds.
	Reject(request uint32, retryAfter float64)
	// Fail ends the request without a result and promises nothing on a repeat.
	Fail(request uint32)
	// CancelAttempt cancels one attempt; how it ended is told by AttemptEnded all the same.
	CancelAttempt(request uint32, attempt int)
	// PollLoad asks the engine for a load report. LoadReported follows where it answers, and PollEnded in any case.
	PollLoad(engine uint32)
	// WatchEndpoints asks for the endpoint list and for its changes from now on.
	WatchEndpoints()
	// WakeAfter asks for one WakeUp after so many seconds, in place of any asked for before.
	WakeAfter(seconds float64)
}
