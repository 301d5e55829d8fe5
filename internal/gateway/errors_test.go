package gateway

import (
	"errors"
	"testing"
)

// The text of an error, the reason sent to the client, and the errors that errors.Is and errors.As find in it.
func TestRequestError(t *testing.T) {
	for _, c := range []struct {
		name           string
		err            error
		text, reason   string
		is             error
		rejected       bool
		wantRetryAfter float64
	}{
		{"failed", &RequestError{opRun, "7", ErrFailed},
			"run request 7: cancelled for good", "cancelled for good", ErrFailed, false, 0},
		{"rejected by a decision", &RequestError{opAdmit, "7", &RejectedError{RetryAfter: 1.5}},
			"admit request 7: rejected, retry after 1.5 s", "rejected, retry after 1.5 s", nil, true, 1.5},
		{"rejected for a cause", &RequestError{opAdmit, "7", &RejectedError{RetryAfter: 2, Err: ErrTooManyRequests}},
			"admit request 7: rejected, retry after 2 s: too many open requests",
			"rejected, retry after 2 s: too many open requests", ErrTooManyRequests, true, 2},
		{"another error", errors.New("other"), "other", "other", nil, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.err.Error(); got != c.text {
				t.Errorf("Error() = %q, want %q", got, c.text)
			}
			if got := Reason(c.err); got != c.reason {
				t.Errorf("Reason() = %q, want %q", got, c.reason)
			}
			if c.is != nil && !errors.Is(c.err, c.is) {
				t.Errorf("errors.Is(err, %v) = false, want true", c.is)
			}
			var rejected *RejectedError
			if got := errors.As(c.err, &rejected); got != c.rejected {
				t.Fatalf("is a RejectedError: got %v, want %v", got, c.rejected)
			}
			if c.rejected && rejected.RetryAfter != c.wantRetryAfter {
				t.Errorf("RetryAfter = %g, want %g", rejected.RetryAfter, c.wantRetryAfter)
			}
		})
	}
}
