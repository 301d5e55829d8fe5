// Package admission decides when and on which engine each request of one gateway runs. It is the gateway's decision core: it
// does no I/O, reads no clock, takes no locks and starts no goroutines.
//
// To use it, create a Controller with New and call one method for each event, passing the time of the event. A Controller is
// not safe for concurrent use. Its decisions are delivered through Actions before the event's method returns; implementations
// of Actions must not call back into the Controller.
//
// Each request is assigned a memory grant (grant.go). It starts on an engine where this gateway's own accounting has capacity
// for the grant, both for the engine (capacity.go) and for the request's workload class (pool.go); placement.go compares the
// engines that qualify. If there is none, the request waits in the queue of its class (queue.go). The rules that maintain
// queues, engines and attempts are listed in rules.go. docs/design.md describes them in the same order.
//
// Unless noted otherwise, times and durations are float64 seconds, with times on the Unix clock; memory is in MB, work in CPU
// seconds, and shares are fractions of 1.
package admission

import (
	"cmp"
	"math"
)

// Controller holds the state behind one gateway's decisions.
type Controller struct {
	settings Settings // as passed to New; fleet events update GatewayIndex, GatewayCount and RetryBudgetFree
	actions  Actions
	random   randomSource
	now      float64 // time of the current event

	requests    map[uint32]*request // by ID, from arrival until ended with no attempt in flight
	classes     []*classState       // in the order of Settings.Classes
	tenants     []*tenantQuota      // in the order of Settings.TenantQuotas
	endpoints   endpointList        // engines by endpoint ID
	orderedKeys orderedKeys         // ordered keys with their requests, which run one after another
	deadlines   deadlineHeap        // open requests by deadline

	retryQueue []*request    // requests waiting for a retry or a hedge, in the order in which they were added
	toCancel   []*attempt    // attempts that the rules are to cancel
	arrivals   slidingWindow // arrived requests, for the retry budget
	retries    slidingWindow // attempts after a request's first, for the retry budget

	answers             answerCounts  // answers of all engines, for their common failure share
	longestSilences     slidingWindow // per second, the most answers that were overdue when an engine answered
	averageGrantedShare float64       // moving average of the share of memory that engines report as granted, 0 to 2
	misleadingReports   float64       // moving average of the share of attempts that ran slowly although a report showed capacity

	capacityShare float64 // this gateway's share of every engine; an even one until the fleet sets it
	poolFactor    float64 // multiplier, at least 1, on the share of the reported free memory that a class's pool may use
	poolGrownAt   float64 // time at which poolFactor last grew

	nextWatchAt      float64 // time from which the endpoint list may be requested again
	queuesCheckedAt  float64 // time at which a scan of the queues last found no request to shed
	silenceCheckedAt float64 // time at which a scan of the engines last found no silent one
	hedgesCheckedAt  float64 // time at which a scan of the attempts last found no lagging one
	capacityFreedAt  float64 // time at which an attempt last ended
	wakeUpAt         float64 // time for which the latest wake-up was requested

	shutDownAt            float64 // time by which the gateway shuts down, infinite until it is known
	firstListAt           float64 // time of the first endpoint list, infinite before it
	keysBlockedUntil      float64 // after a restart, time until which ordered keys are blocked
	slowStartBlockedUntil float64 // after a restart, time until which nothing is sent to engines that are warming up
}

// defaultMinPolledWork is the value, in CPU seconds, that replaces a Settings.MinPolledWork of 0.
const defaultMinPolledWork = 0.3

// New returns the controller of one gateway. The same seed, settings and events produce the same decisions.
func New(seed uint64, settings Settings, actions Actions) *Controller {
	retryBucket := windowBucket(settings.RetryBudgetWindow)
	c := &Controller{
		settings:        settings,
		actions:         actions,
		random:          randomSource{seed: seed},
		requests:        map[uint32]*request{},
		endpoints:       endpointList{engines: map[uint32]*engine{}},
		orderedKeys:     orderedKeys{byKey: map[uint64]*orderedKey{}},
		arrivals:        newSlidingWindow(retryBucket, windowBuckets+1),
		retries:         newSlidingWindow(retryBucket, windowBuckets+1),
		answers:         newAnswerCounts(),
		longestSilences: newSlidingWindow(1, silenceHistory),
		capacityShare:   1 / float64(settings.GatewayCount),
		poolFactor:      1,
		shutDownAt:      math.Inf(1),
		firstListAt:     math.Inf(1),
	}
	c.settings.MinPolledWork = cmp.Or(settings.MinPolledWork, defaultMinPolledWork)
	for i := range settings.Classes {
		c.classes = append(c.classes, newClassState(&settings.Classes[i]))
	}
	for _, quota := range settings.TenantQuotas {
		c.tenants = append(c.tenants, newTenantQuota(quota, settings.GatewayCount))
	}
	return c
}

// SetGatewayIndex sets this gateway's index and the largest number of gateways that there may be, in a fleet that numbers its
// gateways. Slow start budgets and tenant quotas are divided accordingly. A negative index means that the gateway has no index;
// it then sends nothing to engines that are warming up.
func (c *Controller) SetGatewayIndex(now float64, index, gateways int) {
	c.now = now
	unchanged := index == c.settings.GatewayIndex && gateways == c.settings.GatewayCount
	if unchanged || gateways <= max(index, 0) {
		return
	}
	for _, t := range c.tenants {
		t.rate *= float64(c.settings.GatewayCount) / float64(gateways)
	}
	if c.capacityShare == 1/float64(c.settings.GatewayCount) { // the fleet has not set a share
		c.capacityShare = 1 / float64(gateways)
	}
	c.settings.GatewayIndex, c.settings.GatewayCount = index, gateways
	for _, e := range c.endpoints.engines {
		e.slowStartRank = e.slowStartRankOf(index, gateways, 0)
		e.slowStartSlot = 0
	}
	c.applyRules()
}
