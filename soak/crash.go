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
	// maxCrashingRequestInterval bounds the delay before each send of a crashing request, and
	// crashingRequestSends is the number of sends before the next request is used.
	maxCrashingRequestInterval = 200 * time.Millisecond
	crashingRequestSends       = 10
	// crashLimit is the number of crashes after which a request must be blocked, and
	// maxLaterCrashes bounds its crashes once blockTimeout has passed after the last fault.
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
		r.countFault("crashing_request")
		for range crashingRequestSends {
			pause.For(ctx, time.Duration(rng.Int64N(int64(maxCrashingRequestInterval))))
			if ctx.Err() != nil {
				return
			}
			r.sendCrashingRequest(c, r.vms[rng.IntN(len(r.vms))])
		}
	}
}

// sendCrashingRequest sends the request to a VM under a new identifier and ignores the outcome.
func (r *run) sendCrashingRequest(c *crashingRequest, v *vm) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	id := fmt.Sprintf("%s-%d-%d", c.path, r.options.Seed, len(c.ids))
	c.ids = append(c.ids, id)
	resp, err := r.site.Call(context.Background(), client, v.listenAddress, id, http.MethodPost, c.path, demo.SiteModels[0], crashBody)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// crashCount returns how often the request has crashed a server: each execution is a crash.
func (r *run) crashCount(c *crashingRequest) int {
	n := 0
	for _, id := range c.ids {
		n += len(r.site.Runs.Servers(id))
	}
	return n
}

// checkBlocked checks that requests with at least crashLimit crashes during the faults cause at
// most maxLaterCrashes after a grace period of blockTimeout without faults, and at most
// crashLimit+maxLaterCrashes within it. It guards against VMs that do not block such requests.
func (r *run) checkBlocked(ctx context.Context) {
	var toBlock []*crashingRequest
	crashesDuringFaults := make(map[*crashingRequest]int)
	for _, c := range r.crashingRequests {
		if n := r.crashCount(c); n >= crashLimit {
			toBlock = append(toBlock, c)
			crashesDuringFaults[c] = n
			// If all VMs are killed while the store is unavailable, the record of the crashes is
			// lost, and the VMs can block the request only after it crashes servers again.
			r.sendCrashingRequest(c, r.vms[0])
		}
	}
	pause.For(ctx, blockTimeout)
	crashesBeforeResend := make(map[*crashingRequest]int)
	for _, c := range toBlock {
		crashesBeforeResend[c] = r.crashCount(c)
	}
	for range resendRounds {
		for _, c := range toBlock {
			for _, v := range r.vms {
				r.sendCrashingRequest(c, v)
			}
		}
	}
	for _, c := range toBlock {
		if graceCrashes := crashesBeforeResend[c] - crashesDuringFaults[c]; graceCrashes > crashLimit+maxLaterCrashes {
			r.checks.AddViolation("request %s crashed %d servers, and %d more within %v after the last fault", c.path, crashesDuringFaults[c], graceCrashes, blockTimeout)
		}
		if later := r.crashCount(c) - crashesBeforeResend[c]; later > maxLaterCrashes {
			r.checks.AddViolation("request %s crashed %d servers, and %d more later than %v after the last fault", c.path, crashesBeforeResend[c], later, blockTimeout)
		}
	}
}
