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

// ResponseLostError reports that the response was lost. The change may have
// taken effect; reading the object shows whether it has.
type ResponseLostError struct{ Err error }

// Error implements error.
func (e *ResponseLostError) Error() string {
	return fmt.Sprintf("response lost, the change may have taken effect: %v", e.Err)
}

// Unwrap returns the cause.
func (e *ResponseLostError) Unwrap() error { return e.Err }

// UnavailableError reports that the platform was unreachable or unavailable.
// The call had no effect.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// RateLimitedError reports that the platform's rate limit rejected the call. The
// call had no effect.
type RateLimitedError struct {
	// RetryAfter is when the platform takes calls again, 0 if it does not say.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	if e.RetryAfter == 0 {
		return "rate limited"
	}
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

// IsResponseLost reports whether err is or wraps a ResponseLostError.
func IsResponseLost(err error) bool {
	var e *ResponseLostError
	return errors.As(err, &e)
}

// IsUnavailable reports whether err is or wraps an UnavailableError.
func IsUnavailable(err error) bool {
	var e *UnavailableError
	return errors.As(err, &e)
}

// IsRateLimited reports whether err is or wraps a RateLimitedError.
func IsRateLimited(err error) bool {
	var e *RateLimitedError
	return errors.As(err, &e)
}

// IsGone reports whether err is or wraps a GoneError.
func IsGone(err error) bool {
	var e *GoneError
	return errors.As(err, &e)
}
