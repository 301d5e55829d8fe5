// Package admission decides when and on which engine each request of one gateway runs. It is the gateway's decision core:
// it does no I/O, reads no clock, takes no lock and starts no goroutine.
//
// To drive it, make a Controller with New and call one method for each event, with the time of the event. A Controller
// belongs to one goroutine, or to one lock. What is decided leaves through Actions before the event's method returns;
// implementations of Actions must not call the Controller from there.
//
// A request becomes a memory grant (grant.go). It starts on an engine where this gateway's own tallies have capacity for
// the grant, by engine and by workload class (capacity.go); which engine is compared in placement.go. Else it waits in the
// queue of its class (queue.go). The rules that look after queues, engines and attempts are in the table in rules.go.
// docs/design.md describes them in the same order.
//
// Units: times and durations are float64 seconds, times on the Unix clock; memory is MB; work is CPU seconds; shares are
// parts of 1.
package admission

import (
	"cmp"
	"math"
)

// Controller is the state of one gateway's decisions.
type Controller struct {
	settings Settings // as given to New; the fleet's events replace GatewayIndex, GatewayCount and RetryBudgetFree
	actions  Actions
	random   randomSource
	now      float64 // time of the event under way

	requests    map[uint32]*request // by id, from arrival until it has ended and no attempt is in flight
	classes     []*classState       // in the order of Settings.Classes
	tenants     []*tenantQuota      // in the order of Settings.TenantQuotas
	endpoints   endpointList        // engines by their entry in the endpoint list
	orderedKeys orderedKeys         // requests that run one after another
	deadlines   deadlineHeap        // open requests by deadline

	retryQueue []*request    // requests that wait for a retry or a hedge, in the order in which they came here
	toCancel   []*attempt    // attempts to be cancelled by the next rules
	arrivals   slidingWindow // requests that arrived, for the retry budget
	retries    slidingWindow // attempts after the first, for the retry budget

	answers           answerCounts  // answers of all engines, for the usual share of failures
	longestSilences   slidingWindow // the most overdue answers that ended with an answer, by second
	usualGrantedShare float64       // moving average of the granted memory that engines report, 0 to 2
	misleadingReports float64       // moving average: share of attempts that ran slowly although a report showed room

	capacityShare float64 // share of every engine that is this gateway's, set by the fleet
	poolFactor    float64 // times the share that a class's pool may grow to where reports show free memory, from 1
	poolGrownAt   float64 // time at which poolFactor last grew

	nextWatchAt      float64 // time from which the endpoint list may be asked for again
	queuesCheckedAt  float64 // time at which the queues were last looked through for requests to shed
	silenceCheckedAt float64 // time at which engines were last looked through for silent ones
	hedgesCheckedAt  float64 // time at which attempts were last looked through for lagging ones
	capacityFreedAt  float64 // time at which an attempt last ended
	wakeUpAt         float64 // time for which the latest wake-up was asked

	shutDownAt            float64 // time by which the gateway ends, infinite until it is told
	firstListAt           float64 // time of the first endpoint list, infinite before it
	keysBlockedUntil      float64 // time before which no ordered key starts, after a restart
	slowStartBlockedUntil float64 // time before which nothing goes to engines that warm up, after a restart
}

// defaultMinPolledWork holds where the settings name no work from which engines are polled, in CPU seconds.
const defaultMinPolledWork = 0.3

// New returns the controller of one gateway. Equal seeds, settings and events give equal decisions.
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

// SetGatewayIndex tells this gateway's index among all that there may be, where a fleet numbers them: the parts of slow
// start budgets and of tenants' quotas follow it. Below 0 it has no index and sends nothing to engines that warm up.
func (c *Controller) SetGatewayIndex(now float64, index, gateways int) {
	c.now = now
	unchanged := index == c.settings.GatewayIndex && gateways == c.settings.GatewayCount
	if unchanged || gateways <= max(index, 0) {
		return
	}
	for _, t := range c.tenants {
		t.rate *= float64(c.settings.GatewayCount) / float64(gateways)
	}
	if c.capacityShare == 1/float64(c.settings.GatewayCount) { // the fleet has told no share
		c.capacityShare = 1 / float64(gateways)
	}
	c.settings.GatewayIndex, c.settings.GatewayCount = index, gateways
	for _, e := range c.endpoints.engines {
		e.slowStartRank = e.slowStartRankOf(index, gateways, 0)
		e.slowStartSlot = 0
	}
	c.applyRules()
}
