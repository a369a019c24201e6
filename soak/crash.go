package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// crashBody is the body of requests that crash the backend server executing them.
	crashBody = "crash"
	// crashingRequestGap bounds the pause before each send of a crashing request, and
	// crashingRequestSends is the number of sends before the next request is used.
	crashingRequestGap   = 200 * time.Millisecond
	crashingRequestSends = 10
	// crashLimit is the number of crashes after which a request must be blocked, and
	// maxLaterCrashes bounds its crashes after all faults are lifted.
	crashLimit      = 3
	maxLaterCrashes = 3
	// blockTimeout is how long the VMs have to block a request after the first send without
	// faults, and resendRounds how often it is then sent to every VM.
	blockTimeout = 3 * time.Second
	resendRounds = 3
)

// crashingRequest is a request that crashes backend servers. Each send has a new identifier.
type crashingRequest struct {
	path string
	ids  []string
}

// crashServers sends crashing requests to random VMs until ctx ends, each crashingRequestSends
// times.
func (r *run) crashServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 2))
	for n := 0; ctx.Err() == nil; n++ {
		c := &crashingRequest{path: fmt.Sprintf("/draft/crash-%d", n)}
		r.crashingRequests = append(r.crashingRequests, c)
		r.count("crashing_request")
		for range crashingRequestSends {
			pause.For(ctx, time.Duration(rng.Int64N(int64(crashingRequestGap))))
			if ctx.Err() != nil {
				return
			}
			r.sendCrashingRequest(c, r.vms[rng.IntN(len(r.vms))])
		}
	}
}

// sendCrashingRequest sends the request to a VM under a new identifier and ignores the outcome.
func (r *run) sendCrashingRequest(c *crashingRequest, v *vm) {
	client := &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	id := fmt.Sprintf("%s-%d-%d", c.path, r.options.Seed, len(c.ids))
	c.ids = append(c.ids, id)
	resp, err := r.site.Call(context.Background(), client, v.listen, id, http.MethodPost, c.path, demo.SiteModels[0], crashBody)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// crashCount returns how often the request has crashed a server: each execution is a crash.
func (r *run) crashCount(c *crashingRequest) int {
	n := 0
	for _, id := range c.ids {
		n += len(r.site.Runs.Of(id))
	}
	return n
}

// checkBlocked checks that requests with at least crashLimit crashes during the faults cause at
// most maxLaterCrashes afterwards. It guards against VMs that do not block such requests.
func (r *run) checkBlocked(ctx context.Context) {
	before := make(map[*crashingRequest]int)
	for _, c := range r.crashingRequests {
		if n := r.crashCount(c); n >= crashLimit {
			before[c] = n
			// A killed VM loses the crashes it has not reported, so the request may not be
			// blocked yet.
			r.sendCrashingRequest(c, r.vms[0])
		}
	}
	pause.For(ctx, blockTimeout)
	for range resendRounds {
		for c := range before {
			for _, v := range r.vms {
				r.sendCrashingRequest(c, v)
			}
		}
	}
	for c, n := range before {
		if later := r.crashCount(c) - n; later > maxLaterCrashes {
			r.checks.Add("request %s crashed %d servers, and %d more after the last fault", c.path, n, later)
		}
	}
}
