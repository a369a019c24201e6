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

	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Kind is what a caller of a Site asks for.
type Kind struct {
	Name, Method, Path string
	// Once says that it may run once only, Stream that it is answered by events.
	Once, Stream bool
	// Models are those it may name, each with an adapter after a slash or none.
	Models []string
}

// SiteKinds are requests for the routes of SiteRoutes.
var SiteKinds = []Kind{
	{Name: "look", Method: http.MethodGet, Path: "/look/x"},
	{Name: "book", Method: http.MethodPost, Path: "/book/x", Once: true},
	{Name: "draft", Method: http.MethodPost, Path: "/draft/x", Stream: true, Models: []string{"m1", "m2/a1", "m3", "m4/a2", "m1/a3"}},
	{Name: "batch", Method: http.MethodPost, Path: "/batch/x", Once: true, Stream: true, Models: []string{"m2", "m4"}},
}

// Outcome is what a caller saw of one request.
type Outcome struct {
	ID     string
	Kind   Kind
	Status int
	Body   string
	Stamp  string
	// Broken says that the connection ended before the answer was whole.
	Broken bool
}

// Good reports whether the request was answered with success, whole.
func (o Outcome) Good() bool { return o.Status == http.StatusOK && !o.Broken }

// Ask sends one request of a kind to a VM, with a model drawn from rng.
func (s *Site) Ask(ctx context.Context, client *http.Client, address, id string, k Kind, rng *rand.Rand) Outcome {
	model := ""
	if len(k.Models) > 0 {
		model = k.Models[rng.IntN(len(k.Models))]
	}
	o := Outcome{ID: id, Kind: k}
	resp, err := s.Call(ctx, client, address, id, k.Method, k.Path, model, "body of "+id)
	if err != nil {
		o.Broken = true
		return o
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o.Status, o.Stamp, o.Body, o.Broken = resp.StatusCode, StampOf(resp), string(body), err != nil
	return o
}

// Checks gathers broken promises, as text. The zero value works. It is safe for
// use by several goroutines.
type Checks struct {
	mu   sync.Mutex
	list []string
}

// Add notes a broken promise.
func (b *Checks) Add(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, fmt.Sprintf(format, args...))
}

// Broken returns the broken promises.
func (b *Checks) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list
}

// Answer checks what can be told from the answer alone.
func (b *Checks) Answer(o Outcome) {
	if o.Status != http.StatusOK || o.Broken {
		return
	}
	if o.Stamp == "" {
		b.Add("%s %s: a success without proof of its server", o.Kind.Name, o.ID)
	}
	want := "answer to " + o.ID
	if o.Kind.Stream {
		want = wholeStream(o.ID)
	}
	if o.Body != want {
		b.Add("%s %s: a success with another body: %.80q", o.Kind.Name, o.ID, o.Body)
	}
}

// Runs checks answers against what the servers ran, once nothing runs any
// more: a request that ran twice, and one that ran although its caller was told
// that it had not.
func (b *Checks) Runs(outcomes []Outcome, ledger *stand.RunLog) {
	for _, o := range outcomes {
		ran := len(ledger.Servers(o.ID))
		if o.Kind.Once && ran > 1 {
			b.Add("%s %s: ran %d times", o.Kind.Name, o.ID, ran)
		}
		if o.Kind.Once && o.Status == http.StatusServiceUnavailable && ran > 0 {
			b.Add("%s %s: told that it had not run, and it ran", o.Kind.Name, o.ID)
		}
		if o.Status == http.StatusOK && ran == 0 {
			b.Add("%s %s: a success that no server ran", o.Kind.Name, o.ID)
		}
	}
}

func wholeStream(id string) string {
	var s strings.Builder
	for n := 1; n <= siteEvents; n++ {
		fmt.Fprintf(&s, "id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return s.String()
}

const (
	// limitGracePeriod is the time for a rate limit to reach all VMs. After it, each limitWindow may
	// contain limitFactor times the requests that the rate allows, plus limitSlack.
	limitGracePeriod = 3 * time.Second
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
)

// Limit checks that the requests to a backend server stay within its rate limit once limitGracePeriod
// has passed since limitedAt, when the limit was announced. It reports only the first violation.
func (b *Checks) Limit(backend *stand.Backend, limitedAt time.Time) {
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
			b.Add("server %s: rate limit of %v requests per second exceeded: %d requests in %v, starting %v after the announcement; at most %v allowed",
				backend.ID, rate, count, limitWindow, first.Sub(limitedAt), allowed)
			return
		}
	}
}
