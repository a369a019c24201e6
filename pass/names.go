// Package pass passes callers' requests on to backend servers unchanged and
// their answers back unchanged: any method, path and body under a route, plain
// answers and event streams. It decides how often a request is sent and what a
// caller may be told when it was not answered.
package pass

import (
	"net/http"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// Names are the names of headers on the wire of a deployment, and how their
// values are read. The adapter of the deployment fills it.
type Names struct {
	// ID names an attempt of a caller; servers echo it.
	ID string
	// Deadline is how many milliseconds the caller will wait, or the server may
	// take.
	Deadline string
	// ExpectServer makes any server but the named one refuse.
	ExpectServer string
	// Stamp proves that an answer is a server's own.
	Stamp string
	// NotRun says that the server did not run the request.
	NotRun string
	// Load is the server's running requests, waiting requests and slots.
	Load string
	// Limit is the maximum number of requests per second that the server accepts from all VMs
	// together. It applies for as long as the server's answers contain it.
	Limit string
	// Model is the model, with an adapter after a slash.
	Model string
	// Usage is prompt tokens and the most output tokens.
	Usage string
	// Prefix lists the parts of the prompt.
	Prefix string
	// Priority ranks a request at the server, 0 to 9, 0 first.
	Priority string
	// Reserved are headers that only the system may set at servers.
	Reserved []string

	// ParseUsage and ParsePrefix read the values; a value that can not be read
	// gives zeros.
	ParseUsage  func(string) (prompt, output int)
	ParsePrefix func(string) []pick.PromptPart
	// ParseModel splits the model from the adapter.
	ParseModel func(string) (model, adapter string)
	// ParseLimit parses a rate in requests per second and reports whether it is valid.
	ParseLimit func(string) (rate float64, ok bool)
}

// Headers of HTTP that this package sets or reads.
const (
	headerTrace      = "Traceparent"
	headerLastEvent  = "Last-Event-Id"
	headerRetryAfter = "Retry-After"
	headerLength     = "Content-Length"
	headerType       = "Content-Type"
	headerEncoding   = "Content-Encoding"
	typeEvents       = "text/event-stream"
)

// hopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Expect": true,
}

// ends reports whether a header ends at this hop: by its name or because the
// Connection header lists it.
func ends(name string, listed []string) bool {
	if hopHeaders[name] {
		return true
	}
	for _, l := range listed {
		if http.CanonicalHeaderKey(l) == name {
			return true
		}
	}
	return false
}
