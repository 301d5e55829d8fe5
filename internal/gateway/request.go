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

// Request is a statement to run on an engine, as passed in by a frontend. It must not be changed while Serve runs.
type Request struct {
	ID              string // ID by which engines know the request; unique among open requests
	Class           string // workload class
	Team            string // team whose budget the request counts against
	Tenant          string // tenant whose quota the request counts against
	OrderKey        string // requests with the same key run in order; "" for none
	Timeout         float64
	EstimatedWork   float64 // in core-seconds, 0 if unknown
	EstimatedMemory float64
	Statement       *bufferpool.Chain // owned by the caller, which frees it after Serve returns

	// IdempotencyKey is the same in all tries of a request by the client; the store recognizes them by it. "" means none.
	// FirstTry reports that the client has not sent the request before.
	IdempotencyKey string
	FirstTry       bool

	// EngineIdempotencyKey is forwarded to engines, which use it to drop repeats. "" means none.
	EngineIdempotencyKey string

	// WantsWaitEstimate requests calls of Responder.WaitEstimate.
	WantsWaitEstimate bool

	// Yields means that the client keeps exceeding its limits: the request waits behind others and is shed before them.
	Yields bool

	// ClientState is called before each attempt and again immediately before its first byte, by any goroutine; nil means
	// ClientConnected. A client that has disconnected gets no attempt, and the end of ctx may be behind. It must not block.
	ClientState func() ClientState

	// FencingToken is called immediately before each attempt of a request that runs under a lease; it is nil for a
	// client's request. It returns the token to send with the attempt, "" if engines take none, and whether the lease is
	// still held.
	FencingToken func() (token string, held bool)
}

// ClientState is what a frontend knows of a request's client.
type ClientState int

// The states of a client.
const (
	ClientConnected ClientState = iota
	ClientDisconnected
	ClientUnknown // so much input is unread that the client may have disconnected behind it
)

// clientState returns the state of the request's client.
func (r *Request) clientState() ClientState {
	if r.ClientState == nil {
		return ClientConnected
	}
	return r.ClientState()
}

// Responder receives a request's final answer: one call of Succeeded or Failed, or neither if the client has gone. It is
// called by the goroutine in Serve.
type Responder interface {
	// WaitEstimate reports how long the request is expected to wait. It may be called any number of times before the answer.
	WaitEstimate(estimate fairshare.Estimate)
	// Succeeded passes on the rows. The responder owns them and must free them.
	Succeeded(rows *bufferpool.Chain)
	// Failed reports why there is no result. If err wraps a *RejectedError, the request may be sent again.
	Failed(err error)
}

// openRequest is the state of a request that has not ended. The fields of the first group do not change after
// newOpenRequest.
type openRequest struct {
	*Request
	class        int // index of the workload class
	tables       uint32
	deadline     float64                 // by when to answer: the client's deadline less the answer margin
	pastAttempts []admission.PastAttempt // attempts of earlier tries that may have run
	decisions    chan decision           // read by the goroutine in Serve

	// Guarded by Gateway.mu.
	handle          uint32 // ID of the request at the controller and the scheduler
	arrivedAt       float64
	priority        int
	grant           float64
	maxGrant        float64 // upper bound of the grant, 0 for none
	bounded         bool    // a budget limits the memory of its attempts
	attemptsStarted int     // number of attempts decided on, including those of earlier tries
	attemptsOpen    int     // number of attempts without an outcome
	mayHaveRun      bool    // an attempt has ended that may have run
	work            float64 // core-seconds used, 0 until the request has succeeded
}

// initialPriority is the priority of a request until the controller sets one.
const initialPriority = 1

// newOpenRequest prepares a request for admission. Its timeout is counted from this call.
func (g *Gateway) newOpenRequest(request *Request, class int, pastAttempts []admission.PastAttempt) *openRequest {
	return &openRequest{
		Request:         request,
		class:           class,
		tables:          sqltables.TableGroup(request.Statement.Bytes()),
		deadline:        g.now() + request.Timeout - g.answerMargin(request),
		pastAttempts:    pastAttempts,
		decisions:       make(chan decision, 4*g.settings.Admission.MaxAttempts+4),
		priority:        initialPriority,
		attemptsStarted: len(pastAttempts),
	}
}

// answerMargin returns how long before the client's deadline the answer is to be sent.
func (g *Gateway) answerMargin(request *Request) float64 {
	return min(g.limits.DeadlineMargin, request.Timeout*g.limits.MaxMarginFraction)
}

// classIndex returns the index of a request's workload class.
func (g *Gateway) classIndex(request *Request) (int, error) {
	class := slices.Index(g.settings.Classes, request.Class)
	if class < 0 {
		return 0, &RequestError{opAdmit, request.ID, ErrUnknownClass}
	}
	return class, nil
}

// admit registers and enqueues a request, unless another one with its ID is open or may have run, or too many others are open.
// The IDs of requests that run under a lease are the fleet's, which decides whether they run again.
func (g *Gateway) admit(r *openRequest) error {
	var err error
	g.runEvent(func(now float64) {
		switch {
		case g.requestIDs[r.ID]:
			err = &RequestError{opAdmit, r.ID, ErrDuplicateID}
		case r.FencingToken == nil && g.endedIDs.contains(r.ID):
			err = &RequestError{opAdmit, r.ID, ErrMayHaveRun}
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

// rejected returns the error for a request that the gateway itself rejects, with the longest Retry-After that clients
// respect.
func (g *Gateway) rejected(op string, request *Request, cause error) error {
	return &RequestError{op, request.ID, &RejectedError{RetryAfter: g.settings.Admission.MaxRetryAfter, Err: cause}}
}

// register adds a request to the table of open requests. The lock is held.
func (g *Gateway) register(now float64, r *openRequest) {
	g.lastHandle++
	r.handle, r.arrivedAt = g.lastHandle, now
	g.requests[r.handle] = r
	g.requestIDs[r.ID] = true
}

// enqueue passes a request to the fair-share scheduler, or to the controller if there is no scheduler. The lock is held.
func (g *Gateway) enqueue(now float64, r *openRequest) {
	if g.fairShare == nil {
		g.submit(now, r)
		return
	}
	memory := r.EstimatedMemory
	r.bounded = g.fairShare.IsBounded(r.Team)
	if g.fairShare.CountsFleetWide(r.Team) { // a grant must not exceed the memory booked, as other gateways share the budget
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

// submit passes a request to the admission controller. The lock is held.
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

// release forgets an answered request if none of its attempts is open, and reports whether it did.
func (g *Gateway) release(r *openRequest) (released bool) {
	g.runEvent(func(now float64) {
		if r.attemptsOpen != 0 {
			return
		}
		released = true
		delete(g.requests, r.handle)
		delete(g.requestIDs, r.ID)
		if r.mayHaveRun && g.settings.Admission.Classes[r.class].Idempotency != admission.Idempotent {
			g.endedIDs.add(r.ID)
		}
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

// Utilization returns the number of open requests as a fraction of the limit.
func (g *Gateway) Utilization() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(len(g.requests)) / float64(max(g.limits.MaxRequests, 1))
}

// tenantIndex returns the controller's number of a tenant. For an unknown tenant it is past the end of the list, which
// means no quota.
func (g *Gateway) tenantIndex(name string) int {
	if i := slices.Index(g.tenants, name); i >= 0 && name != "" {
		return i
	}
	return len(g.settings.Admission.TenantQuotas)
}

// orderKeyHash returns the controller's number of an order key, 0 for none.
func orderKeyHash(key string) uint64 {
	if key == "" {
		return 0
	}
	hash := fnv.New64a()
	hash.Write([]byte(key))
	return max(hash.Sum64(), 1)
}
