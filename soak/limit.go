package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
)

const (
	// limitRate is the rate limit that the backend server announces, in requests per second.
	limitRate = 2
	// limitLoadDuration is how long requests are sent, and limitLoadInterval the time between two
	// requests to the same VM.
	limitLoadDuration = 8 * time.Second
	limitLoadInterval = 15 * time.Millisecond
)

// checkLimit sets a rate limit on a plain backend server, sends more requests than it allows to all
// VMs, and checks the requests that the server receives. It guards against all VMs together sending
// the server more requests than its rate limit allows.
func (r *run) checkLimit(ctx context.Context) {
	backend := r.site.Backends(demo.SitePlainService)[0]
	limitedAt := time.Now()
	backend.SetRateLimit(limitRate, true)
	r.sendLoadToAll(ctx, limitLoadDuration, "limit")
	r.checks.CheckRateLimit(backend, limitedAt)
	backend.SetRateLimit(0, false)
}

// sendLoadToAll sends concurrent requests to all VMs for a time, then waits for the responses.
func (r *run) sendLoadToAll(ctx context.Context, duration time.Duration, name string) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var wait sync.WaitGroup
	for v := range r.vms {
		wait.Go(func() { r.sendLoad(ctx, v, name) })
	}
	wait.Wait()
}

// sendLoad sends concurrent requests to a VM until ctx is done, then waits for the responses. Requests
// in flight are not canceled.
func (r *run) sendLoad(ctx context.Context, v int, name string) {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
			r.checks.CheckOutcome(r.site.SendRequest(context.Background(), client, r.vms[v].listenAddress, fmt.Sprintf("%s-%d-%d-%d", name, r.options.Seed, v, i), demo.SiteRequestKinds[0], rng))
		})
		time.Sleep(limitLoadInterval)
	}
	wait.Wait()
}
