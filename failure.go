package hibiscuscart

import (
	"errors"
	"fmt"
	"time"
)

// Failure is the error of a request that ended without a complete response. The
// zero value is an internal error with an unknown outcome.
type Failure struct {
	cause      Cause
	field      string
	detail     string
	retryAfter time.Duration
	err        error
}

// Fail returns a Failure with the given cause and a formatted detail.
func Fail(cause Cause, format string, args ...any) *Failure {
	return &Failure{cause: cause, detail: fmt.Sprintf(format, args...)}
}

// WithField returns a copy that names the invalid input field.
func (f Failure) WithField(name string) *Failure {
	f.field = name
	return &f
}

// WithRetryAfter returns a copy that asks the caller to retry after d.
func (f Failure) WithRetryAfter(d time.Duration) *Failure {
	f.retryAfter = d
	return &f
}

// WithError returns a copy that wraps err.
func (f Failure) WithError(err error) *Failure {
	f.err = err
	return &f
}

// Cause returns the reason why the request ended.
func (f *Failure) Cause() Cause { return f.cause }

// Outcome returns what the caller may conclude about the request.
func (f *Failure) Outcome() Outcome { return f.cause.Outcome() }

// Field returns the name of the invalid input field, or "".
func (f *Failure) Field() string { return f.field }

// Detail returns the message for the caller.
func (f *Failure) Detail() string { return f.detail }

// RetryAfter returns the delay before a retry, or 0 if none is set.
func (f *Failure) RetryAfter() time.Duration { return f.retryAfter }

// Error implements error.
func (f *Failure) Error() string {
	text := f.cause.String()
	if f.detail != "" {
		text += ": " + f.detail
	}
	if f.field != "" {
		text += " (field " + f.field + ")"
	}
	if f.err != nil {
		text += ": " + f.err.Error()
	}
	return text
}

// Unwrap returns the wrapped error.
func (f *Failure) Unwrap() error { return f.err }

// AsFailure returns the Failure in err's chain. It wraps any other error in an
// internal Failure, whose outcome is unknown.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Fail(CauseInternal, "internal error").WithError(err)
}
