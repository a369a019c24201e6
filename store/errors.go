package store

import (
	"errors"
	"fmt"
	"time"
)

// ConflictError reports that the object has another version than the update
// expected. The update had no effect.
type ConflictError struct {
	// Current is the object's version, 0 when it does not exist.
	Current int
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the current version is %d", e.Current)
}

// LostError reports that the response was lost. The change may have taken
// effect; read the object to find out.
type LostError struct{ Err error }

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("response lost, the change may have taken effect: %v", e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// AwayError reports that the platform was unreachable or unavailable. The call
// had no effect.
type AwayError struct{ Err error }

// Error implements error.
func (e *AwayError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *AwayError) Unwrap() error { return e.Err }

// LimitedError reports that the platform's rate limit rejected the call. The
// call had no effect.
type LimitedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("rate limited, retry after %v", e.RetryAfter)
}

// GoneError reports that the platform's history no longer contains the start
// version of a watch. List the objects and watch from the version of the list.
type GoneError struct{}

// Error implements error.
func (e *GoneError) Error() string { return "watch version is too old" }

// IsConflict reports whether err is or wraps a ConflictError.
func IsConflict(err error) bool {
	var e *ConflictError
	return errors.As(err, &e)
}

// IsLost reports whether err is or wraps a LostError.
func IsLost(err error) bool {
	var e *LostError
	return errors.As(err, &e)
}

// IsAway reports whether err is or wraps an AwayError.
func IsAway(err error) bool {
	var e *AwayError
	return errors.As(err, &e)
}

// IsLimited reports whether err is or wraps a LimitedError.
func IsLimited(err error) bool {
	var e *LimitedError
	return errors.As(err, &e)
}

// IsGone reports whether err is or wraps a GoneError.
func IsGone(err error) bool {
	var e *GoneError
	return errors.As(err, &e)
}
