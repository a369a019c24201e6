package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/hibiscuscart/hibiscuscart"
)

const problemTypeBase = "https://hibiscuscart.example/problems/"

// problem is a problem document (RFC 9457) that also contains the error object
// that client libraries of model servers expect.
type problem struct {
	Type    string      `json:"type"`
	Title   string      `json:"title"`
	Status  int         `json:"status"`
	Detail  string      `json:"detail"`
	Outcome string      `json:"outcome"`
	Request string      `json:"request"`
	Error   errorObject `json:"error"`
}

type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func newProblem(f *hibiscuscart.Failure, requestID string) problem {
	p := problem{
		Type:    problemTypeBase + f.Cause().String(),
		Title:   f.Cause().String(),
		Status:  f.Cause().Status(),
		Detail:  f.Detail(),
		Outcome: f.Outcome().String(),
		Request: requestID,
		Error:   errorObject{Message: f.Detail(), Type: errorType(f.Cause().Status()), Code: f.Cause().String()},
	}
	if field := f.Field(); field != "" {
		p.Error.Param = &field
		p.Detail = field + ": " + f.Detail()
	}
	return p
}

func errorType(status int) string {
	if status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}

// writeFailure writes the failure of a request whose response has not started.
func writeFailure(w http.ResponseWriter, f *hibiscuscart.Failure, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(hibiscuscart.OutcomeHeader, f.Outcome().String())
	if d := f.RetryAfter(); d > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
	w.WriteHeader(f.Cause().Status())
	_ = json.NewEncoder(w).Encode(newProblem(f, requestID))
}
