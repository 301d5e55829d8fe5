package gateway

import (
	"errors"
	"fmt"
)

// Reasons for which a request ends without a result. Their texts are part of the protocol: they are sent to clients and
// written to the store. Go code compares the values, not the texts.
var (
	// ErrUnknownClass means that the deployment has no workload class with the name that the request gives.
	ErrUnknownClass = errors.New("unknown reservation type")
	// ErrDuplicateID means that a request with the same ID is open. Engines could not distinguish the two.
	ErrDuplicateID = errors.New("a job of that id is open")
	// ErrFailed means that the admission controller has failed the request permanently.
	ErrFailed = errors.New("cancelled for good")
	// ErrDeadlineExceeded means that the admission controller made no decision before the deadline.
	ErrDeadlineExceeded = errors.New("no decision in time")
	// ErrMayHaveRun means that an earlier try of the request may have run and that it must not run again.
	ErrMayHaveRun = errors.New("may have run")
	// ErrRowsNotStored means that an earlier try succeeded but its rows were not stored.
	ErrRowsNotStored = errors.New("done before; its rows were not kept")
	// ErrCancelled means that the caller cancelled the request.
	ErrCancelled = errors.New("given up")
)

// Causes of a rejection by the gateway itself, wrapped in a RejectedError.
var (
	// ErrTooManyRequests means that the gateway has reached its limit of open requests.
	ErrTooManyRequests = errors.New("too many open requests")
	// ErrUnavailable means that something the request needs, such as the store, is temporarily unavailable.
	ErrUnavailable = errors.New("unavailable")
	// ErrInProgress means that another try of the request is open.
	ErrInProgress = errors.New("another try is in progress")
)

// RejectedError means that the request did not run and may be sent again.
type RejectedError struct {
	RetryAfter float64 // suggested delay in seconds, 0 for none
	Err        error   // the cause; nil if admission control or fair sharing decided
}

// Error returns the rejection with its delay and cause.
func (e *RejectedError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("rejected, retry after %g s", e.RetryAfter)
	}
	return fmt.Sprintf("rejected, retry after %g s: %v", e.RetryAfter, e.Err)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Err }

// Operations during which a request can end without a result.
const (
	opLookUp = "look up"
	opAdmit  = "admit"
	opRun    = "run"
)

// RequestError reports that a request ended without a result.
type RequestError struct {
	Op  string // operation that failed
	ID  string // ID of the request
	Err error  // reason
}

// Error returns the operation, the request and the reason.
func (e *RequestError) Error() string { return e.Op + " request " + e.ID + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *RequestError) Unwrap() error { return e.Err }

// Reason returns the text of an error as sent to clients: the reason alone, without operation and request ID.
func Reason(err error) string {
	var request *RequestError
	if errors.As(err, &request) {
		err = request.Err
	}
	return err.Error()
}
