package gateway

import (
	"errors"
	"hash/fnv"
	"math"
	"slices"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/sqltables"
)

// Request is a statement that is to run on some engine, as a frontend hands it over. It must not change while Serve
// runs.
type Request struct {
	ID              string // under which engines know it; unique among open requests
	Class           string // workload class
	Team            string // whose budget it counts against
	Tenant          string // whose quota it counts against
	OrderKey        string // requests of one key run in order; "" for none
	Timeout         float64
	EstimatedWork   float64 // in core-seconds, 0 where it is not known
	EstimatedMemory float64
	Statement       *bufferpool.Chain // the caller's, which frees it after Serve

	// IdempotencyKey is the same in all tries of the client, "" for none: the store knows them by it. FirstTry says that
	// the client has sent none before.
	IdempotencyKey string
	FirstTry       bool

	// EngineIdempotencyKey is forwarded to engines, which drop repeats by it; "" for none.
	EngineIdempotencyKey string

	// WantsWaitEstimate asks for Responder.WaitEstimate.
	WantsWaitEstimate bool

	// Yields says that the client goes on over its limits: the request waits behind others, and is shed before them.
	Yields bool

	// FencingToken is asked right before each attempt of a request that belongs to the holder of a lease; nil for a
	// client's request. It returns the token to send along, "" where engines take none, and whether the lease is held.
	FencingToken func() (token string, held bool)
}

// Responder takes a request's final answer: one call of Succeeded or Failed, or none where the client has gone. The
// goroutine in Serve calls it.
type Responder interface {
	// WaitEstimate reports how long the request will wait, any number of times before the answer.
	WaitEstimate(estimate fairshare.Estimate)
	// Succeeded hands over the rows, which are the responder's from then on.
	Succeeded(rows *bufferpool.Chain)
	// Failed says why there is no result; a *RejectedError in it means that the request may be sent again.
	Failed(err error)
}

// openRequest is a request that has not ended, as the gateway and the admission controller know it. The first fields do
// not change after newOpenRequest.
type openRequest struct {
	*Request
	class        int // index of the workload class
	tables       uint32
	deadline     float64                 // for the answer, ahead of the client's by the margin
	pastAttempts []admission.PastAttempt // of earlier tries, which may have run
	decisions    chan decision           // for the goroutine in Serve

	// Guarded by Gateway.mu.
	handle          uint32 // under which the controller and the scheduler know it
	arrivedAt       float64
	priority        int
	grant           float64
	maxGrant        float64 // 0 for no bound
	bounded         bool    // a budget bounds the memory of its attempts
	attemptsStarted int     // decided, those of earlier tries included
	attemptsOpen    int     // without an outcome
	work            float64 // that it took, 0 until it has succeeded
}

// initialPriority holds until the controller sets another.
const initialPriority = 1

// newOpenRequest reads what the controller needs to know of a request. Its deadline counts from here.
func (g *Gateway) newOpenRequest(request *Request, class int, pastAttempts []admission.PastAttempt) *openRequest {
	return &openRequest{
		Request:         request,
		class:           class,
		tables:          sqltables.Tables(request.Statement.Bytes()),
		deadline:        g.now() + request.Timeout - g.answerMargin(request),
		pastAttempts:    pastAttempts,
		decisions:       make(chan decision, 4*g.settings.Admission.MaxAttempts+4),
		priority:        initialPriority,
		attemptsStarted: len(pastAttempts),
	}
}

// answerMargin is how long before the client's deadline an answer is to be on its way.
func (g *Gateway) answerMargin(request *Request) float64 {
	return min(g.limits.DeadlineMargin, request.Timeout*g.limits.MaxMarginFraction)
}

// classIndex finds a request's workload class.
func (g *Gateway) classIndex(request *Request) (int, error) {
	class := slices.Index(g.settings.Classes, request.Class)
	if class < 0 {
		return 0, &RequestError{opAdmit, request.ID, ErrUnknownClass}
	}
	return class, nil
}

// admit takes a request on, unless one of its ID is open or there are too many.
func (g *Gateway) admit(r *openRequest) error {
	var err error
	g.enter(func(now float64) {
		switch {
		case g.requestIDs[r.ID]:
			err = &RequestError{opAdmit, r.ID, ErrDuplicateID}
		case len(g.requests) >= g.limits.MaxRequests:
			err = g.rejected(opAdmit, r.Request, ErrTooManyRequests)
		default:
			g.register(now, r)
			g.enqueue(now, r)
		}
	})
	if errors.Is(err, ErrTooManyRequests) {
		g.log.Warn().Int("limit", g.limits.MaxRequests).Msg("too many open requests")
	}
	return err
}

// rejected is the error of a request that the gateway itself rejects, with the longest Retry-After that clients heed.
func (g *Gateway) rejected(op string, request *Request, cause error) error {
	return &RequestError{op, request.ID, &RejectedError{RetryAfter: g.settings.Admission.MaxRetryAfter, Err: cause}}
}

// register enters a request into the table of open ones. The lock is held.
func (g *Gateway) register(now float64, r *openRequest) {
	g.lastHandle++
	r.handle, r.arrivedAt = g.lastHandle, now
	g.requests[r.handle] = r
	g.requestIDs[r.ID] = true
}

// enqueue hands a request to the fair-share scheduler, or to the controller where there is none. The lock is held.
func (g *Gateway) enqueue(now float64, r *openRequest) {
	if g.fairShare == nil {
		g.submit(now, r)
		return
	}
	memory := r.EstimatedMemory
	r.bounded = g.fairShare.IsBounded(r.Team)
	if g.fairShare.CountsFleetWide(r.Team) { // no grant may exceed what is booked of a budget that other gateways share
		memory = math.Ceil(g.controller.MaxGrant(r.class, r.EstimatedMemory))
		r.maxGrant = memory
	}
	g.carryOut(now, g.fairShare.Enqueue(now, fairshare.Arrival{
		ID:            r.handle,
		Team:          r.Team,
		Class:         r.class,
		Work:          r.EstimatedWork,
		Memory:        memory,
		Deadline:      r.deadline,
		WantsEstimate: r.WantsWaitEstimate,
	}))
}

// submit hands a request to the admission controller. The lock is held.
func (g *Gateway) submit(now float64, r *openRequest) {
	g.controller.RequestArrived(now, admission.Request{
		ID:                 r.handle,
		Class:              r.class,
		Tenant:             g.tenantIndex(r.Tenant),
		OrderKey:           orderKeyHash(r.OrderKey),
		Deadline:           r.deadline,
		Work:               r.EstimatedWork,
		Memory:             r.EstimatedMemory,
		Tables:             r.tables,
		Waited:             now - r.arrivedAt,
		PastAttempts:       r.pastAttempts,
		MayRunConcurrently: g.roomForAttempt(r),
		Yields:             r.Yields,
	})
}

// release forgets an answered request once none of its attempts is open, and reports whether it has.
func (g *Gateway) release(r *openRequest) (released bool) {
	g.enter(func(now float64) {
		if r.attemptsOpen != 0 {
			return
		}
		released = true
		delete(g.requests, r.handle)
		delete(g.requestIDs, r.ID)
		if g.fairShare != nil {
			g.carryOut(now, g.fairShare.Finished(now, r.handle, r.work))
		}
	})
	return released
}

// OpenRequests returns the number of requests that have not ended.
func (g *Gateway) OpenRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.requests)
}

// Utilization returns the open requests as a fraction of those that the gateway may have.
func (g *Gateway) Utilization() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(len(g.requests)) / float64(max(g.limits.MaxRequests, 1))
}

// tenantIndex is the controller's number of a tenant; one that is not known is past all of them and has no quota.
func (g *Gateway) tenantIndex(name string) int {
	if i := slices.Index(g.tenants, name); i >= 0 && name != "" {
		return i
	}
	return len(g.settings.Admission.TenantQuotas)
}

// orderKeyHash is the controller's number of an order key, 0 for none.
func orderKeyHash(key string) uint64 {
	if key == "" {
		return 0
	}
	hash := fnv.New64a()
	hash.Write([]byte(key))
	return max(hash.Sum64(), 1)
}
