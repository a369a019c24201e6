package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// RequestKind is a kind of request that callers send to a Site.
type RequestKind struct {
	Name, Method, Path string
	// AtMostOnce is set for requests that must run at most once, Stream for requests whose response
	// is an event stream.
	AtMostOnce, Stream bool
	// Models lists the models that the request may name, each optionally followed by a slash and an
	// adapter.
	Models []string
}

// SiteRequestKinds lists one request kind for each route of SiteRoutes.
var SiteRequestKinds = []RequestKind{
	{Name: "look", Method: http.MethodGet, Path: "/look/x"},
	{Name: "book", Method: http.MethodPost, Path: "/book/x", AtMostOnce: true},
	{Name: "draft", Method: http.MethodPost, Path: "/draft/x", Stream: true, Models: []string{"m1", "m2/a1", "m3", "m4/a2", "m1/a3"}},
	{Name: "batch", Method: http.MethodPost, Path: "/batch/x", AtMostOnce: true, Stream: true, Models: []string{"m2", "m4"}},
}

// Outcome is the result of one request as its caller observed it.
type Outcome struct {
	ID          string
	Kind        RequestKind
	Status      int
	Body        string
	ServerStamp string
	// Incomplete is set if the connection failed before the response was complete.
	Incomplete bool
	// EndsByClose is set if the response ended with its connection, and ServerEndsByClose if that of the
	// server did.
	EndsByClose, ServerEndsByClose bool
	// Err is why there was no response, or only a part of it.
	Err error
}

// Succeeded reports whether the caller received a complete successful response.
func (o Outcome) Succeeded() bool { return o.Status == http.StatusOK && !o.Incomplete }

// SendRequest sends one request of a kind to a VM, with a model chosen at random by rng.
func (s *Site) SendRequest(ctx context.Context, client *http.Client, address, id string, kind RequestKind, rng *rand.Rand) Outcome {
	model := ""
	if len(kind.Models) > 0 {
		model = kind.Models[rng.IntN(len(kind.Models))]
	}
	outcome := Outcome{ID: id, Kind: kind}
	resp, err := s.Call(ctx, client, address, id, kind.Method, kind.Path, model, "body of "+id)
	if err != nil {
		outcome.Incomplete, outcome.Err = true, err
		return outcome
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	outcome.Err = err
	outcome.EndsByClose, outcome.ServerEndsByClose = httpx.FramingOf(resp) == httpx.FramedByClose, resp.Header.Get(platform.HeaderEndsByClose) != ""
	outcome.Status, outcome.ServerStamp, outcome.Body, outcome.Incomplete = resp.StatusCode, ServerStamp(resp), string(body), err != nil
	return outcome
}

// saysNotRun reports whether the response promises that the request has not run: a refusal, or the answer to a request that
// crossed the close of its connection.
func (o Outcome) saysNotRun() bool {
	return o.Status == http.StatusServiceUnavailable || o.Status == http.StatusRequestTimeout
}

// Checks collects descriptions of violated guarantees. The zero value is ready to use. It is safe
// for concurrent use.
type Checks struct {
	mu         sync.Mutex
	violations []string
}

// AddViolation records a violation.
func (c *Checks) AddViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations returns the recorded violations.
func (c *Checks) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

// CheckOutcome checks a successful response: it carries the server stamp and the expected complete
// body, and states no length or last chunk if its server did not.
func (c *Checks) CheckOutcome(o Outcome) {
	if o.Status != http.StatusOK || o.Incomplete {
		return
	}
	if o.ServerStamp == "" {
		c.AddViolation("%s %s: successful response without a server stamp", o.Kind.Name, o.ID)
	}
	if o.ServerEndsByClose && !o.EndsByClose {
		c.AddViolation("%s %s: a response that ends with its server's connection has a length or a last chunk", o.Kind.Name, o.ID)
	}
	expected := o.Body == "answer to "+o.ID
	if o.Kind.Stream {
		expected = isCompleteStream(o.ID, o.Body)
	}
	if !expected {
		c.AddViolation("%s %s: successful response with an unexpected body: %.80q", o.Kind.Name, o.ID, o.Body)
	}
}

// CheckExecutions checks outcomes against the executions that the servers recorded, once all
// requests have ended. A violation is an at-most-once request that ran twice, an at-most-once
// request that ran although its caller got status 503 or 408 (not run), or a success that no server ran.
func (c *Checks) CheckExecutions(outcomes []Outcome, runs *stand.RunLog) {
	for _, o := range outcomes {
		executions := len(runs.Servers(o.ID))
		if o.Kind.AtMostOnce && executions > 1 {
			c.AddViolation("%s %s: ran %d times", o.Kind.Name, o.ID, executions)
		}
		if o.Kind.AtMostOnce && o.saysNotRun() && executions > 0 {
			c.AddViolation("%s %s: reported to the caller as not run, but a server ran it", o.Kind.Name, o.ID)
		}
		if o.Status == http.StatusOK && executions == 0 {
			c.AddViolation("%s %s: reported as a success, but no server ran it", o.Kind.Name, o.ID)
		}
	}
}

// isCompleteStream reports whether a body is a complete event stream for a request, written by servers of one
// software version.
func isCompleteStream(id, body string) bool {
	versions := EventVersions(body)
	if len(versions) != SiteStreamEvents {
		return false
	}
	var s strings.Builder
	for n := 1; n <= SiteStreamEvents; n++ {
		s.WriteString(platform.StreamEvent(id, n, versions[0]))
	}
	return body == s.String()
}

// EventVersions returns the software version of the server that wrote each complete event of a stream.
func EventVersions(body string) []string {
	var versions []string
	for event := range strings.SplitSeq(body, "\n\n") {
		if fields := strings.Fields(event); len(fields) == eventFields {
			versions = append(versions, fields[eventFields-1])
		}
	}
	return versions
}

// eventFields is the number of words of a complete event: id:, its number, data:, the request, its number
// again and the version.
const eventFields = 6

const (
	// limitGracePeriod is the time for a rate limit to reach all VMs. After it, each limitWindow may
	// contain limitFactor times the requests that the rate allows, plus limitSlack.
	limitGracePeriod = 3 * time.Second
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
)

// CheckRateLimit checks that the requests to a backend server stay within its rate limit once
// limitGracePeriod has passed since limitedAt, when the limit was announced. It reports only the
// first violation.
func (c *Checks) CheckRateLimit(backend *stand.Backend, limitedAt time.Time) {
	rate, _ := backend.RateLimit()
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	arrivals := backend.Arrivals()
	for i, first := range arrivals {
		if first.Before(limitedAt.Add(limitGracePeriod)) {
			continue
		}
		count := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitWindow {
				count++
			}
		}
		if float64(count) > allowed {
			c.AddViolation("server %s: rate limit of %v requests per second exceeded: %d requests in %v, starting %v after the announcement; at most %v allowed",
				backend.ID, rate, count, limitWindow, first.Sub(limitedAt), allowed)
			return
		}
	}
}
