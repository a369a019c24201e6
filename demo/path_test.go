package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// simultaneousRequests is how many requests of each kind are sent at the same time, more than a VM has kept
// connections for.
const simultaneousRequests = 4

// servedAtFirst sends requests of each kind to a VM at the same time and reports whether all were served at
// the first attempt.
func servedAtFirst(ctx context.Context, s *demo.Site, vm int, id string) bool {
	requests := []struct{ method, path, model string }{{"GET", "/look/", ""}, {"POST", "/book/", ""}, {"POST", "/draft/", "m1"}, {"POST", "/batch/", "m2"}}
	var failed atomic.Int64
	var wait sync.WaitGroup
	for i, r := range requests {
		for n := range simultaneousRequests {
			wait.Go(func() {
				got := call(ctx, s, s.VMAddresses()[vm], fmt.Sprintf("%s-%d-%d", id, i, n), r.method, r.path, r.model)
				if got.status != http.StatusOK || got.err != nil {
					failed.Add(1)
				}
			})
		}
	}
	wait.Wait()
	return failed.Load() == 0
}

// servedRounds is how many rounds of requests in a row have to be served.
const servedRounds = 10

// requireServing requires that a VM begins to serve all requests at the first attempt.
func requireServing(ctx context.Context, t *testing.T, s *demo.Site, vm int, id string) {
	t.Helper()
	served, n := 0, 0
	requireEventually(t, func() bool {
		n++
		if !servedAtFirst(ctx, s, vm, fmt.Sprintf("%s-%d-%d", id, vm, n)) {
			served = 0
			return false
		}
		served++
		return served == servedRounds
	}, time.Millisecond)
}

// proxiedRequests returns how many requests VMs have sent for others.
func proxiedRequests(s *demo.Site) (sent int64) {
	for vm := range s.VMAddresses() {
		sent += s.Node(vm).Metrics().CounterValue("proxy.sent")
	}
	return sent
}

// controllerOf returns the VM that is the controller.
func controllerOf(ctx context.Context, t *testing.T, s *demo.Site) int {
	t.Helper()
	require.NoError(t, s.WaitReady(ctx))
	for vm := range s.VMAddresses() {
		if s.Node(vm).Leading() {
			return vm
		}
	}
	require.FailNow(t, "no controller")
	return 0
}

// Two of three VMs, the controller among them, lose their path to all backend servers, in each way in which
// that can look. Guards against refusing the requests that the third VM could send, and against sending
// through it for longer than the cut.
func TestVMsWithoutPathServe(t *testing.T) {
	for name, state := range stand.PathFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, ctx := startSite(t, demo.SiteOptions{})
			controller := controllerOf(ctx, t, s)
			cut := []int{controller, (controller + 1) % len(s.VMAddresses())}
			for vm := range s.VMAddresses() {
				requireServing(ctx, t, s, vm, "before")
			}
			for _, vm := range cut {
				s.Path(vm).SetState(state)
			}
			for _, vm := range cut {
				requireServing(ctx, t, s, vm, "cut")
			}
			for _, vm := range cut {
				s.Path(vm).SetState(stand.PathOpen)
			}
			for _, vm := range cut {
				requireServing(ctx, t, s, vm, "after")
			}
			requireEventually(t, func() bool {
				before := proxiedRequests(s)
				for _, vm := range cut {
					requireServing(ctx, t, s, vm, fmt.Sprintf("direct-%d", before))
				}
				return proxiedRequests(s) == before
			}, time.Millisecond, "requests still go through another VM")
		})
	}
}
