package admission

import "slices"

// classState is a workload class: its settings, its queue and accounting, and what was learned from answers. The sums over
// answers decay with each further answer and are kept across a restart (snapshot.go).
type classState struct {
	*Class

	queue             []*request // requests that have not started, in order of arrival, those that yield last
	grantedMemory     float64    // MB booked for the attempts in flight
	inFlight          int        // number of attempts without a result
	placementFailedAt float64    // time at which one of its requests last found no engine

	answers       float64 // answers that reported the work needed
	estimatedWork float64 // sum over these answers of the work that clients estimated
	neededWork    float64 // sum over these answers of the work needed
	neededMemory  float64 // sum over these answers of the memory needed

	estimatedAnswers float64 // answers that reported the memory needed, to requests with an estimate of it
	logRatios        float64 // sum over these answers of ln(memory needed / memory estimated)
	squaredLogRatios float64 // sum over these answers of the square of that logarithm

	meanWork      float64       // CPU seconds per request
	slowdown      float64       // moving average of run time over the time that the work takes when it runs alone
	completedWork slidingWindow // CPU seconds of answered requests
}

const (
	initialSlowdown      = 1.2  // until there are answers; close to the best that is observed
	initialWorkDivisor   = 3    // until there are answers, a request is assumed to need 1/3 of the work that fits its objective
	minInitialWork       = 0.01 // CPU seconds
	completedWorkHistory = 10   // seconds over which the rate of completed work is measured
)

func newClassState(class *Class) *classState {
	return &classState{
		Class:         class,
		slowdown:      initialSlowdown,
		meanWork:      max(class.LatencyObjective*class.Threads/initialWorkDivisor, minInitialWork),
		completedWork: newSlidingWindow(1, completedWorkHistory),
	}
}

// nextRequest returns the first queued request that does not have to wait for its ordered key, or nil if there is none.
func (class *classState) nextRequest(now float64) *request {
	if i := slices.IndexFunc(class.queue, func(r *request) bool { return r.isNextForKey(now) }); i >= 0 {
		return class.queue[i]
	}
	return nil
}

// tenantQuota is a token bucket of requests.
type tenantQuota struct {
	rate       float64 // requests per second
	tokens     float64 // requests that may arrive now within the quota
	refilledAt float64 // time
}

const (
	quotaTolerance    = 1.5 // multiple of an even part of a tenant's quota, since gateways receive uneven parts
	quotaBurstSeconds = 2   // burst that a quota allows, in seconds of its rate
	minQuotaBurst     = 2   // minimum burst in requests, for tenants with small quotas
)

// newTenantQuota returns one gateway's part of a tenant's quota, which is given in requests per second over all gateways.
func newTenantQuota(quota float64, gateways int) *tenantQuota {
	return &tenantQuota{rate: quotaTolerance * quota / float64(gateways), tokens: quota}
}

// take counts a request against the quota and reports whether the request is within it.
func (t *tenantQuota) take(now float64) bool {
	t.tokens = min(t.tokens+(now-t.refilledAt)*t.rate, max(quotaBurstSeconds*t.rate, minQuotaBurst))
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
