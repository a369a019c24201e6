package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
)

const (
	// crowdCallers is the number of callers, each of which sends crowdRequests one after the other on new
	// connections.
	crowdCallers  = 24
	crowdRequests = 12
	// crowdShare is the least share of what was served before that must be served in the crowd.
	crowdShare = 0.75
)

// servedOnNewConnections returns the share of the requests of all callers that are served at the first attempt. vm
// returns the VM to which the balancer hands the n-th connection.
func servedOnNewConnections(ctx context.Context, s *demo.Site, name string, vm func(n int) int) float64 {
	var served, read atomic.Int64
	var callers sync.WaitGroup
	for c := range crowdCallers {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for i := range crowdRequests {
				n := c*crowdRequests + i
				kind := demo.SiteRequestKinds[n%2]
				resp, err := s.Call(ctx, client, s.VMAddresses()[vm(n)], fmt.Sprint(name, "-", n), kind.Method, kind.Path, "", "body")
				if err != nil {
					continue // not read: refused or closed connections do not count
				}
				read.Add(1)
				if resp.StatusCode == http.StatusOK {
					served.Add(1)
				}
				_ = resp.Body.Close()
			}
		})
	}
	callers.Wait()
	return float64(served.Load()) / float64(max(read.Load(), 1))
}

// Guards against a VM that serves fewer of the requests it reads while the balancer hands it nearly all new connections,
// and against one that still does when another has taken its place.
func TestMostNewConnectionsAtOneVM(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	vms := len(s.VMAddresses())
	before := servedOnNewConnections(ctx, s, "spread", func(n int) int { return n % vms })
	require.NotZero(t, before)
	for crowded := range vms {
		at := func(n int) int {
			if n%10 == 0 {
				return (crowded + 1) % vms
			}
			return crowded
		}
		require.GreaterOrEqual(t, servedOnNewConnections(ctx, s, fmt.Sprint("crowd-", crowded), at), crowdShare*before)
	}
}
