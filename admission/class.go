package admission

import "slices"

// classState is a workload class: its settings, what waits and runs, and what answers have taught. The sums over answers
// fade with each further answer and are kept over a restart (snapshot.go).
type classState struct {
	*Class

	queue         []*request // requests that have not started, in order of arrival, those that yield last
	grantedMemory float64    // MB booked for the attempts in flight
	inFlight      int        // attempts without a result
	unplacedAt    float64    // time at which its next request last fitted nowhere

	answers       float64 // answers that told the work needed
	estimatedWork float64 // sum over answers of the work that clients estimated
	neededWork    float64 // sum over answers of the work needed
	neededMemory  float64 // sum over answers of the memory needed

	estimatedAnswers float64 // answers that told the memory needed, to requests with an estimate of it
	logRatios        float64 // sum over them of the logarithm of memory needed over estimated
	squaredLogRatios float64 // sum over them of the square of that

	meanWork      float64       // of a request, CPU seconds
	slowdown      float64       // moving average of run time over the time that the work takes alone
	completedWork slidingWindow // CPU seconds that were answered
}

const (
	initialSlowdown      = 1.2  // before answers tell: near the best that is seen
	initialWorkDivisor   = 3    // before answers tell, a request needs a third of what it could in its latency objective
	minInitialWork       = 0.01 // CPU seconds
	completedWorkHistory = 10   // seconds that the rate of completed work looks back
)

func newClassState(class *Class) *classState {
	return &classState{
		Class:         class,
		slowdown:      initialSlowdown,
		meanWork:      max(class.LatencyObjective*class.Threads/initialWorkDivisor, minInitialWork),
		completedWork: newSlidingWindow(1, completedWorkHistory),
	}
}

// nextRequest returns the first queued request that does not wait for its key, nil where there is none.
func (class *classState) nextRequest(now float64) *request {
	if i := slices.IndexFunc(class.queue, func(r *request) bool { return r.isNextOfItsKey(now) }); i >= 0 {
		return class.queue[i]
	}
	return nil
}

// tenantQuota is a token bucket of requests.
type tenantQuota struct {
	rate       float64 // requests a second
	tokens     float64 // requests that may come at once
	refilledAt float64 // time
}

const (
	quotaTolerance    = 1.5 // times an even part of a tenant's quota, since gateways see uneven parts
	quotaBurstSeconds = 2   // of a quota that may come at once
	minQuotaBurst     = 2   // requests, for tenants of small quotas
)

// newTenantQuota returns the part of a tenant's quota, in requests a second, that one of so many gateways lets through.
func newTenantQuota(quota float64, gateways int) *tenantQuota {
	return &tenantQuota{rate: quotaTolerance * quota / float64(gateways), tokens: quota}
}

// take counts a request against the quota and tells whether it is within it.
func (t *tenantQuota) take(now float64) bool {
	t.tokens = min(t.tokens+(now-t.refilledAt)*t.rate, max(quotaBurstSeconds*t.rate, minQuotaBurst))
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
