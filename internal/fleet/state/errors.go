package state

import (
	"errors"
	"fmt"
)

// Reasons for which a command is rejected. Each error that Apply returns wraps one of them; its text is the details alone.
var (
	// ErrFenced means that the fencing token or the revision is not the current one.
	ErrFenced = errors.New("fenced")
	// ErrStaleIncarnation means that the controller is unknown, expired or replaced by a later incarnation of its name.
	ErrStaleIncarnation = errors.New("stale incarnation")
	// ErrStaleGeneration means that the configuration is not later than the current one.
	ErrStaleGeneration = errors.New("stale generation")
	// ErrLimit means that a limit on what the state stores would be exceeded.
	ErrLimit = errors.New("limit reached")
	// ErrInvalid means that the command contradicts the current state, or is invalid in any state.
	ErrInvalid = errors.New("invalid command")
)

// rejection is the error of a command that is rejected.
type rejection struct {
	reason error
	text   string
}

// Error returns only the details, because operators read them.
func (r *rejection) Error() string { return r.text }

// Unwrap returns the reason, for errors.Is.
func (r *rejection) Unwrap() error { return r.reason }

func reject(reason error, format string, args ...any) error {
	return &rejection{reason: reason, text: fmt.Sprintf(format, args...)}
}
