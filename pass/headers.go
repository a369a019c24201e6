// Package pass forwards requests of callers to backend servers, and their responses back, without
// changing them: any method, path and body under a route, plain responses and event streams. It
// decides how often a request is sent, and which error the caller gets if no server responds.
package pass

import (
	"net/http"

	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// HeaderNames holds the header names of a deployment and the parsers of their values. The platform
// adapter of the deployment sets it.
type HeaderNames struct {
	// AttemptID identifies one send of a request by a caller; servers echo it.
	AttemptID string
	// Resumes is, in a request that takes a stream up after its Last-Event-Id, the attempt that brought the
	// caller its first event.
	Resumes string
	// Deadline is how many milliseconds the caller waits, or the server may take.
	Deadline string
	// ExpectServer is the server that the request is for; any other server refuses it.
	ExpectServer string
	// ServerStamp proves that a response was sent by the server itself.
	ServerStamp string
	// NotExecuted marks a response as proof that the server did not execute the request.
	NotExecuted string
	// ServerLoad is the server's running requests, waiting requests and slots, and how long work currently takes
	// there.
	ServerLoad string
	// RateLimit is the maximum number of requests per second that the server accepts from all VMs
	// together. It applies for as long as the server's responses contain it.
	RateLimit string
	// RejectLimit is how many requests the server can reject in a second for want of room; it crashes if it
	// has to reject more. It applies for as long as the server's responses contain it.
	RejectLimit string
	// Leaving is 1 in all responses of a server that will exit soon.
	Leaving string
	// Model is the model, followed by a slash and the adapter if there is one.
	Model string
	// TokenUsage is the number of prompt tokens and the maximum number of output tokens.
	TokenUsage string
	// PromptPrefix lists the parts of the prompt.
	PromptPrefix string
	// Priority is the request's priority at the server, from 0 to 9; 0 is the highest.
	Priority string
	// Key is the caller's API key, which servers never get. Team is the name of the team that holds
	// it, which only the gateway sets.
	Key, Team string
	// Reserved lists headers that only the gateway may send to servers.
	Reserved []string

	// ParseTokenUsage and ParsePromptPrefix parse the header values, and return zeros for an
	// invalid value.
	ParseTokenUsage   func(string) (prompt, output int)
	ParsePromptPrefix func(string) []pick.PromptPart
	// ParseModel splits a header value into the model and the adapter.
	ParseModel func(string) (model, adapter string)
	// ParseRateLimit parses a rate in requests per second and reports whether it is valid.
	ParseRateLimit func(string) (rate float64, ok bool)
	// ParseServerLoad parses what a response reports about the load of its server.
	ParseServerLoad func(string) (gauge.Reading, error)
}

// HTTP headers and values that this package sets or reads.
const (
	headerTrace      = "Traceparent"
	headerLastEvent  = "Last-Event-Id"
	headerRetryAfter = "Retry-After"
	headerLength     = "Content-Length"
	headerType       = "Content-Type"
	headerEncoding   = "Content-Encoding"
	typeEvents       = "text/event-stream"
)

// hopByHopHeaders apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Expect": true,
}

// isHopByHop reports whether a header must not be forwarded, by its name or because the Connection
// header lists it.
func isHopByHop(name string, options []string) bool {
	if hopByHopHeaders[name] {
		return true
	}
	for _, option := range options {
		if http.CanonicalHeaderKey(option) == name {
			return true
		}
	}
	return false
}
