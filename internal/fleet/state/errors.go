package state

import (
	"errors"
	"fmt"
)

// Reasons for which a command changes nothing. Apply's errors wrap one of them; their own text tells the details.
var (
	// ErrFenced: the fencing token, or the revision, is not the present one.
	ErrFenced = errors.New("fenced")
	// ErrStaleIncarnation: the controller is unknown, expired or replaced by a later incarnation of its name.
	ErrStaleIncarnation = errors.New("stale incarnation")
	// ErrStaleGeneration: the configuration is no later than the present one.
	ErrStaleGeneration = errors.New("stale generation")
	// ErrLimit: a bound on what is stored would be passed.
	ErrLimit = errors.New("limit reached")
	// ErrInvalid: the command contradicts the state, or can't be right in any state.
	ErrInvalid = errors.New("invalid command")
)

// rejection is the error of a command that changes nothing.
type rejection struct {
	reason error
	text   string
}

// Error gives the details alone: operators read them.
func (r *rejection) Error() string { return r.text }

// Unwrap gives the reason, for errors.Is.
func (r *rejection) Unwrap() error { return r.reason }

func reject(reason error, format string, args ...any) error {
	return &rejection{reason: reason, text: fmt.Sprintf(format, args...)}
}
