package hibiscuscart

import "net/http"

// Cause is the reason why a request ended. The table below maps each cause to
// one Outcome and one HTTP status; no other code determines an outcome.
type Cause int

// The causes, in the order of the processing stages at which they can occur.
const (
	CauseInternal Cause = iota
	CauseBadInput
	CauseTooLarge
	CauseUnauthorized
	CauseNoProfile
	CauseProfileRetired
	CauseStopping
	CauseQueueFull
	CauseDeadlineUnreachable
	CauseWaitTimeout
	CauseCanceledBeforeSend
	CauseClaimUnavailable
	CauseClaimMismatch
	CauseClaimInProgress
	CauseAlreadyRan
	CauseClaimUnknown
	CauseGrantExpired
	CauseNoServer
	CauseDialFailed
	CauseNothingWritten
	CauseRefused
	CauseLostBeforeAnswer
	CauseLostInStream
	CauseTimeoutAfterSend
	CauseCanceledAfterSend
	CauseBackendError
	CauseDone
	causeCount
)

// causeInfo holds the properties of one cause.
type causeInfo struct {
	code    string
	outcome Outcome
	status  int
	// retryable reports whether the request may be sent to another server
	// without the risk of executing it twice.
	retryable bool
	// transient reports whether a caller may retry after the Retry-After delay.
	transient bool
}

var causes = [causeCount]causeInfo{
	CauseInternal:            {"internal", OutcomeUnknown, http.StatusInternalServerError, false, false},
	CauseBadInput:            {"bad_input", OutcomeNotRun, http.StatusBadRequest, false, false},
	CauseTooLarge:            {"too_large", OutcomeNotRun, http.StatusRequestEntityTooLarge, false, false},
	CauseUnauthorized:        {"unauthorized", OutcomeNotRun, http.StatusUnauthorized, false, false},
	CauseNoProfile:           {"no_profile", OutcomeNotRun, http.StatusNotFound, false, false},
	CauseProfileRetired:      {"profile_retired", OutcomeNotRun, http.StatusGone, false, false},
	CauseStopping:            {"stopping", OutcomeNotRun, http.StatusServiceUnavailable, false, true},
	CauseQueueFull:           {"queue_full", OutcomeNotRun, http.StatusTooManyRequests, false, true},
	CauseDeadlineUnreachable: {"deadline_unreachable", OutcomeNotRun, http.StatusServiceUnavailable, false, true},
	CauseWaitTimeout:         {"wait_timeout", OutcomeNotRun, http.StatusServiceUnavailable, false, true},
	CauseCanceledBeforeSend:  {"canceled_before_send", OutcomeNotRun, StatusClientClosedRequest, false, false},
	CauseClaimUnavailable:    {"claim_unavailable", OutcomeNotRun, http.StatusServiceUnavailable, false, true},
	CauseClaimMismatch:       {"claim_mismatch", OutcomeNotRun, http.StatusUnprocessableEntity, false, false},
	CauseClaimInProgress:     {"claim_in_progress", OutcomeUnknown, http.StatusConflict, false, true},
	CauseAlreadyRan:          {"already_ran", OutcomeDone, http.StatusConflict, false, false},
	CauseClaimUnknown:        {"claim_unknown", OutcomeUnknown, http.StatusConflict, false, false},
	CauseGrantExpired:        {"grant_expired", OutcomeNotRun, http.StatusServiceUnavailable, false, true},
	CauseNoServer:            {"no_server", OutcomeNotRun, http.StatusServiceUnavailable, false, true},
	CauseDialFailed:          {"dial_failed", OutcomeNotRun, http.StatusBadGateway, true, true},
	CauseNothingWritten:      {"nothing_written", OutcomeNotRun, http.StatusBadGateway, true, true},
	CauseRefused:             {"refused", OutcomeNotRun, http.StatusServiceUnavailable, true, true},
	CauseLostBeforeAnswer:    {"lost_before_answer", OutcomeUnknown, http.StatusBadGateway, false, false},
	CauseLostInStream:        {"lost_in_stream", OutcomeUnknown, http.StatusBadGateway, false, false},
	CauseTimeoutAfterSend:    {"timeout_after_send", OutcomeUnknown, http.StatusGatewayTimeout, false, false},
	CauseCanceledAfterSend:   {"canceled_after_send", OutcomeUnknown, StatusClientClosedRequest, false, false},
	CauseBackendError:        {"backend_error", OutcomeUnknown, http.StatusBadGateway, false, false},
	CauseDone:                {"done", OutcomeDone, http.StatusOK, false, false},
}

// StatusClientClosedRequest is the status logged when a caller closes its
// connection before the response. No caller receives it.
const StatusClientClosedRequest = 499

func (c Cause) info() causeInfo {
	if c < 0 || c >= causeCount {
		return causes[CauseInternal]
	}
	return causes[c]
}

// Causes returns every cause, for tests and documentation.
func Causes() []Cause {
	all := make([]Cause, causeCount)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// String returns the snake_case code that problem documents and logs use.
func (c Cause) String() string { return c.info().code }

// Outcome returns what a caller may conclude from a request that ended with c.
func (c Cause) Outcome() Outcome { return c.info().outcome }

// Status returns the HTTP status of the response to a request that ended with c.
func (c Cause) Status() int { return c.info().status }

// Retryable reports whether the request may be sent to another server without
// the risk of executing it twice.
func (c Cause) Retryable() bool { return c.info().retryable }

// Transient reports whether the same request may succeed on a later retry.
func (c Cause) Transient() bool { return c.info().transient }
