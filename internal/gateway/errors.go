package gateway

import (
	"errors"
	"fmt"
)

// Reasons for which a request ends without a result. Their texts are part of the protocol: clients are sent them and
// the store keeps them. Code compares the values.
var (
	// ErrUnknownClass means that the deployment has no workload class of the request's name.
	ErrUnknownClass = errors.New("unknown reservation type")
	// ErrDuplicateID means that a request with the same ID is open; engines could not tell the two apart.
	ErrDuplicateID = errors.New("a job of that id is open")
	// ErrFailed means that the admission controller has given the request up for good.
	ErrFailed = errors.New("cancelled for good")
	// ErrDeadlineExceeded means that the admission controller has decided nothing before the deadline.
	ErrDeadlineExceeded = errors.New("no decision in time")
	// ErrMayHaveRun means that an earlier try may have run and must not run again.
	ErrMayHaveRun = errors.New("may have run")
	// ErrRowsNotStored means that an earlier try succeeded and that its rows are not stored.
	ErrRowsNotStored = errors.New("done before; its rows were not kept")
	// ErrCancelled means that the caller cancelled the request.
	ErrCancelled = errors.New("given up")
)

// Causes of a rejection by the gateway itself, found in a RejectedError.
var (
	// ErrTooManyRequests means that the gateway has as many open requests as it may.
	ErrTooManyRequests = errors.New("too many open requests")
	// ErrUnavailable means that something that the request needs, such as the store, cannot be used now.
	ErrUnavailable = errors.New("unavailable")
	// ErrInProgress means that another try of the request is open.
	ErrInProgress = errors.New("another try is in progress")
)

// RejectedError means that the request did not run and may be sent again.
type RejectedError struct {
	RetryAfter float64 // seconds, 0 for no advice
	Err        error   // the cause, nil where admission or fair sharing decided it
}

// Error describes the rejection.
func (e *RejectedError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("rejected, retry after %g s", e.RetryAfter)
	}
	return fmt.Sprintf("rejected, retry after %g s: %v", e.RetryAfter, e.Err)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Err }

// Operations in which a request can end without a result.
const (
	opLookUp = "look up"
	opAdmit  = "admit"
	opRun    = "run"
)

// RequestError is how a request ended without a result.
type RequestError struct {
	Op  string // what the gateway was doing
	ID  string // the request's
	Err error
}

// Error names the operation and the request.
func (e *RequestError) Error() string { return e.Op + " request " + e.ID + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *RequestError) Unwrap() error { return e.Err }

// Reason is what clients are told of an error: the reason alone, without operation and subject.
func Reason(err error) string {
	var request *RequestError
	if errors.As(err, &request) {
		err = request.Err
	}
	return err.Error()
}
