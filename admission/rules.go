package admission

// rule is one kind of decision. The rules are tried in the order of the table after every event.
type rule struct {
	name string
	// fire finds a subject for the rule and acts on it. If there is none, it returns false and changes no request.
	fire func(*Controller, *input) bool
}

// input is what the current event passes to the rules.
type input struct {
	answered *engine // engine of the attempt that has ended; nil once the rule on answers has run
}

// placement pairs a request with the engine that it is sent to, or that is polled for it.
type placement struct {
	request *request
	engine  *engine
}

// rules lists the decisions in order of precedence.
var rules = []rule{
	when("watch the endpoint list", (*Controller).needsEndpointWatch, (*Controller).watchEndpoints),
	on("fail a request past its deadline", (*Controller).expiredRequest, (*Controller).fail),
	when("reset silences after a stall of this gateway", (*Controller).hasStalled, (*Controller).resetSilences),
	on("eject a silent engine and move its requests", (*Controller).silentEngine, (*Controller).ejectAndMigrate),
	onAnswer("eject a failing engine", (*Controller).isFailing, (*Controller).eject),
	on("cancel an attempt", (*Controller).attemptToCancel, (*Controller).cancelAttempt),
	on("reject a request that may not retry in time", (*Controller).unretriableRequest, (*Controller).reject),
	on("shed a request for one that would end late", (*Controller).requestToShed, (*Controller).reject),
	on("hedge a lagging request", (*Controller).laggingRequest, (*Controller).hedge),
	on("poll the load of the best engine", (*Controller).pollNeeded, (*Controller).poll),
	on("start a retry", (*Controller).retryPlacement, (*Controller).startAttempt),
	on("start a queued request", (*Controller).queuePlacement, (*Controller).startAttempt),
	on("shed from a full queue", (*Controller).overflowingRequest, (*Controller).reject),
	on("ask for a wake-up", (*Controller).neededWakeUp, (*Controller).askForWakeUp),
}

// on returns a rule that finds a subject and acts on it.
func on[S any](name string, find func(*Controller) (S, bool), act func(*Controller, S)) rule {
	return rule{name: name, fire: func(c *Controller, _ *input) bool {
		subject, found := find(c)
		if found {
			act(c, subject)
		}
		return found
	}}
}

// when returns a rule that concerns the controller as a whole.
func when(name string, holds func(*Controller) bool, act func(*Controller)) rule {
	return rule{name: name, fire: func(c *Controller, _ *input) bool {
		if !holds(c) {
			return false
		}
		act(c)
		return true
	}}
}

// onAnswer returns a rule that concerns the engine of the attempt that has ended. It is tried once per ended attempt.
func onAnswer(name string, holds func(*Controller, *engine) bool, act func(*Controller, *engine)) rule {
	return rule{name: name, fire: func(c *Controller, in *input) bool {
		e := in.answered
		in.answered = nil
		if e == nil || !holds(c, e) {
			return false
		}
		act(c, e)
		return true
	}}
}

// applyRules takes the decisions that follow from an event that did not end an attempt.
func (c *Controller) applyRules() { c.applyRulesAfter(input{}) }

// applyRulesAfter tries the rules in order, and starts over from the first after each one that fires, until none does.
func (c *Controller) applyRulesAfter(in input) {
	for i := 0; i < len(rules); i++ {
		if rules[i].fire(c, &in) {
			i = -1
		}
	}
}
