package httpx

import (
	"context"
	"errors"
	"net"

	"github.com/hibiscuscart/hibiscuscart"
)

// SendFailure returns the Failure for a call that received no response. Its cause
// depends on written, which reports whether a byte of the request may have been
// written: a request of which nothing was written has not run.
func SendFailure(ctx context.Context, written bool, err error) *hibiscuscart.Failure {
	if cause, ended := ContextCause(ctx, written); ended {
		return hibiscuscart.Fail(cause, "no answer").WithError(err)
	}
	if written {
		return hibiscuscart.Fail(hibiscuscart.CauseLostBeforeAnswer, "the connection broke").WithError(err)
	}
	var resting *RestingError
	if errors.As(err, &resting) {
		return hibiscuscart.Fail(hibiscuscart.CauseRefused, ReasonResting).WithRetryAfter(resting.Remaining).WithError(err)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return hibiscuscart.Fail(hibiscuscart.CauseDialFailed, "the server could not be reached").WithError(err)
	}
	return hibiscuscart.Fail(hibiscuscart.CauseNothingWritten, "the connection broke before the request").WithError(err)
}

// ContextCause returns the cause for a request whose context has ended, and
// whether the context has ended. The cause depends on whether the request was
// sent.
func ContextCause(ctx context.Context, sent bool) (hibiscuscart.Cause, bool) {
	err := ctx.Err()
	switch {
	case err == nil:
		return hibiscuscart.CauseInternal, false
	case errors.Is(err, context.DeadlineExceeded) && sent:
		return hibiscuscart.CauseTimeoutAfterSend, true
	case errors.Is(err, context.DeadlineExceeded):
		return hibiscuscart.CauseWaitTimeout, true
	case sent:
		return hibiscuscart.CauseCanceledAfterSend, true
	}
	return hibiscuscart.CauseCanceledBeforeSend, true
}
