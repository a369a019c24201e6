package httpx

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"
)

// ReasonResting is the detail of the Failure of a request that was not sent because its server asked for
// rest.
const ReasonResting = "resting"

// Rests keeps for how long servers want nothing from this process: no requests, reports or orders. A server
// says so with a Retry-After in a refusal. The zero value is ready to use. It is safe for concurrent use.
type Rests struct {
	// OnRest, when set, is called when a server that was not at rest asks for it, and OnInvalid for a
	// Retry-After that cannot be read.
	OnRest    func(address string, rest time.Duration)
	OnInvalid func(address string, err error)

	mu    sync.Mutex
	until map[string]time.Time
}

// Remaining returns how much longer nothing may be sent to the server at an address.
func (r *Rests) Remaining(now time.Time, address string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.until[address].Sub(now), 0)
}

// Apply applies a response of the server at an address, received at now. A later response does not shorten
// a rest that was asked for before.
func (r *Rests) Apply(now time.Time, address string, resp *http.Response) {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return
	}
	rest, err := ParseRetryAfter(now, resp.Header)
	if err != nil && r.OnInvalid != nil {
		r.OnInvalid(address, err)
	}
	if err != nil || rest == 0 {
		return
	}
	if started := r.extend(now, address, now.Add(rest)); started && r.OnRest != nil {
		r.OnRest(address, rest)
	}
}

// extend extends a rest and reports whether it has begun with that. It forgets rests that have ended.
func (r *Rests) extend(now time.Time, address string, until time.Time) (started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.until, func(_ string, until time.Time) bool { return !until.After(now) })
	previous := r.until[address]
	if !until.After(previous) {
		return false
	}
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	r.until[address] = until
	return previous.IsZero()
}

// RestingError reports that a request was not sent because its server asked for rest.
type RestingError struct {
	Address   string
	Remaining time.Duration
}

// Error implements error.
func (e *RestingError) Error() string {
	return fmt.Sprintf("server %s asked for rest, %v remain", e.Address, e.Remaining)
}
