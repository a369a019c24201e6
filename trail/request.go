package trail

import (
	"net/http"
	"regexp"
	"time"
)

// Outcome is the result of a request for its caller.
type Outcome uint8

// The outcomes.
const (
	// InTime is a complete response within the objective and without a pause beyond the limit.
	InTime Outcome = iota
	// Late is a complete response that missed the objective or exceeded the pause limit.
	Late
	// Lost means that there was no complete response.
	Lost
)

// Request holds the data of a request's log line.
type Request struct {
	at                                    int64
	vm, route, service, model             textID
	server, cause                         textID
	outcome                               Outcome
	attempts                              uint8
	streamed, sentDirectly                bool
	objective, predicted                  float32
	firstEvent, pauseLimit                float32
	longestPause, admissionWait, duration float32
}

// Causes of late responses. The causes of lost requests are the reasons in the log lines.
const (
	causeRetried       = "sent more than once"
	causeAdmission     = "waited at the VM for server capacity"
	causeNoServer      = "waited for a server with its model or adapter"
	causePredictedLate = "sent although predicted to be late"
	causeMispredicted  = "first event later than predicted"
	causePause         = "pause longer than the limit"
)

// statusCallerDisconnected is the logged status of a request whose caller disconnected.
const statusCallerDisconnected = 499

// refusedByVM reports whether a VM refused the request because of its key or its team's quota. Servers
// give no reason with these statuses.
func (l *logLine) refusedByVM() bool {
	return l.Reason != "" && (l.Status == http.StatusUnauthorized || l.Status == http.StatusTooManyRequests)
}

// classify returns the outcome of a request and, unless it was in time, the cause.
func classify(l *logLine) (Outcome, string) {
	if l.Status == statusCallerDisconnected {
		return Lost, "caller disconnected"
	}
	if l.Status >= http.StatusInternalServerError || l.refusedByVM() {
		return Lost, normalizeReason(l.Reason)
	}
	stream := l.PauseLimit > 0
	first := l.Duration
	if stream {
		first = l.FirstEvent
	}
	excess := first - l.Objective
	switch {
	case l.Objective <= 0 || l.Status >= http.StatusBadRequest:
		return InTime, ""
	case excess > 0 && l.AdmissionWait >= excess:
		return Late, causeAdmission
	case excess > 0 && l.FindWait >= excess:
		return Late, causeNoServer
	case excess > 0 && l.Attempts > 1:
		return Late, causeRetried
	case excess > 0 && l.Predicted > l.Objective:
		return Late, causePredictedLate
	case excess > 0:
		return Late, causeMispredicted
	case stream && l.LongestPause > l.PauseLimit:
		return Late, causePause
	}
	return InTime, ""
}

// Parts of reasons that differ between requests: addresses, names, and status codes.
var (
	addressPattern = regexp.MustCompile(`(\d{1,3}\.){3}\d{1,3}:\d+(->(\d{1,3}\.){3}\d{1,3}:\d+)?`)
	findPattern    = regexp.MustCompile(`find a server for [^:]+:`)
	statusPattern  = regexp.MustCompile(`status \d+: `)
)

// normalizeReason removes the parts of a reason that differ between requests.
func normalizeReason(reason string) string {
	reason = addressPattern.ReplaceAllString(reason, "ADDRESS")
	reason = findPattern.ReplaceAllString(reason, "find a server:")
	reason = statusPattern.ReplaceAllString(reason, "")
	if reason == "" {
		return "no reason given"
	}
	return reason
}

// At returns when the request ended, according to the clock of its VM.
func (r *Request) At() time.Time { return time.Unix(0, r.at) }

// Outcome returns the outcome of the request.
func (r *Request) Outcome() Outcome { return r.outcome }
