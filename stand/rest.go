package stand

import (
	"net/http"
	"strings"
	"sync/atomic"
)

// restGate refuses the requests, load reports and orders that reach a server while it asks for rest, and
// counts them.
type restGate struct{ refused atomic.Int64 }

// refuse reports whether a request reached a server that asks for rest. It then has set the headers of the
// refusal and counted the request. An empty Retry-After value asks for no rest.
func (g *restGate) refuse(w http.ResponseWriter, r *http.Request, retryAfter string) bool {
	if retryAfter == "" || strings.HasPrefix(r.URL.Path, "/control/") {
		return false
	}
	g.refused.Add(1)
	w.Header().Set("Retry-After", retryAfter)
	return true
}
