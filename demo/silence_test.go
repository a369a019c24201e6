package demo_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Sound servers are silent for up to 1.6 s, one, all of a service, or all, or the store is, and go on. Guards against a
// request that may run once and gets neither its answer nor a refusal, or is refused and has run.
func TestRequestsThatMayRunOnceSurviveSilence(t *testing.T) {
	// A request waits for longer than the kernel does before it asks, twice, whether the server is there.
	const workTime, callersPerVM = 2500 * time.Millisecond, 4
	silences := []time.Duration{200 * time.Millisecond, time.Second, 1300 * time.Millisecond, 1600 * time.Millisecond}
	silent := map[string]func(*demo.Site, bool) error{
		"one server":        ofServers(func(s *demo.Site) []*stand.Backend { return s.Backends(demo.SitePlainService)[:1] }),
		"all of a service":  ofServers(func(s *demo.Site) []*stand.Backend { return s.Backends(demo.SitePlainService) }),
		"all model servers": ofServers(func(s *demo.Site) []*stand.Backend { return s.Backends(demo.SiteModelService) }),
		"all servers": ofServers(func(s *demo.Site) []*stand.Backend {
			return append(s.Backends(demo.SitePlainService), s.Backends(demo.SiteModelService)...)
		}),
		"the store": (*demo.Site).SetStoreSilent,
	}
	for name, setSilent := range silent {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := demo.SiteRoutes()
			for i := range all {
				all[i].Timeout = testTimeout
			}
			s, ctx := startSite(t, demo.SiteOptions{WorkTime: workTime, Routes: all})
			sendCtx, stop := context.WithCancel(ctx)
			defer stop()
			var wait sync.WaitGroup
			var checks demo.Checks
			var mu sync.Mutex
			statuses := make(map[string]int)
			for vm, address := range s.VMAddresses() {
				for k, kind := range demo.SiteRequestKinds {
					if !kind.AtMostOnce {
						continue
					}
					for n := range callersPerVM {
						wait.Go(func() {
							rng := rand.New(rand.NewPCG(uint64(vm), uint64(n)))
							client := &http.Client{}
							defer client.CloseIdleConnections()
							pause.For(sendCtx, time.Duration(n)*workTime/callersPerVM)
							for i := 0; sendCtx.Err() == nil; i++ {
								sent := time.Now()
								o := s.SendRequest(ctx, client, address, fmt.Sprintf("%d-%d-%d-%d", vm, k, n, i), kind, rng)
								checks.CheckOutcome(o)
								refused := o.Status == http.StatusServiceUnavailable && len(s.Runs.Servers(o.ID)) == 0
								if !o.Succeeded() && !refused && time.Since(sent) < demo.CallDeadline {
									checks.AddViolation("%s: %s status %d incomplete %v, ran on %v", o.ID, o.Kind.Name, o.Status, o.Incomplete, s.Runs.Servers(o.ID))
								}
								mu.Lock()
								statuses[fmt.Sprint(o.Kind.Name, o.Status)]++
								mu.Unlock()
							}
						})
					}
				}
			}
			for _, silence := range silences {
				pause.For(ctx, 900*time.Millisecond)
				require.NoError(t, setSilent(s, true))
				pause.For(ctx, silence)
				require.NoError(t, setSilent(s, false))
			}
			stop()
			wait.Wait()
			t.Log(statuses)
			require.Empty(t, checks.Violations())
		})
	}
}

// ofServers returns a function that makes some servers of a deployment silent, or ends that.
func ofServers(choose func(*demo.Site) []*stand.Backend) func(*demo.Site, bool) error {
	return func(s *demo.Site, silent bool) (err error) {
		for _, b := range choose(s) {
			err = errors.Join(err, s.SetSilent(b, silent))
		}
		return err
	}
}

// A VM stops while servers at work on its requests are silent, and go on. Guards against a stop that takes a silent
// server for one that is gone.
func TestGracefulStopDuringSilence(t *testing.T) {
	const workTime, silence, requests = 500 * time.Millisecond, 1300 * time.Millisecond, 8
	s, ctx := startSite(t, demo.SiteOptions{WorkTime: workTime})
	results := make(chan callResult, requests)
	for i := range requests {
		go func() {
			results <- call(ctx, s, s.VMAddresses()[0], fmt.Sprint("stop-", i), http.MethodPost, "/book/x", "")
		}()
	}
	requireEventually(t, func() bool {
		for i := range requests {
			if len(s.Runs.Servers(fmt.Sprint("stop-", i))) == 0 {
				return false
			}
		}
		return true
	}, time.Millisecond)
	for _, b := range s.Backends(demo.SitePlainService) {
		require.NoError(t, s.SetSilent(b, true))
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.StopNode(0) }()
	pause.For(ctx, silence)
	for _, b := range s.Backends(demo.SitePlainService) {
		require.NoError(t, s.SetSilent(b, false))
	}
	for range requests {
		got := <-results
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	require.NoError(t, <-stopped)
}

// A sound server at work on requests is silent for 1.3 s and goes on, while all others refuse what they get or break
// off. Guards against a request that leaves its server for one that does not answer it.
func TestRequestsAtSilentServerAreServed(t *testing.T) {
	const workTime, begins, silence, requests = 2500 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 12
	others := map[string]stand.BackendFaults{"refuse": {Rejections: 1 << 20}, "break off": {LostResponses: 1 << 20}}
	all := demo.SiteRoutes()
	for i := range all {
		// A silence is longer than the routes' requests wait for a server alone.
		all[i].Timeout, all[i].Objective, all[i].MaxEventGap = testTimeout, 300*time.Millisecond, 100*time.Millisecond
	}
	models := map[string]string{"draft": "m1", "batch": "m2"}
	for _, kind := range demo.SiteRequestKinds {
		for name, faults := range others {
			t.Run(kind.Name+", others "+name, func(t *testing.T) {
				t.Parallel()
				s, ctx := startSite(t, demo.SiteOptions{Backends: 2 * len(demo.SiteModels), WorkTime: workTime, Routes: all})
				service := demo.SitePlainService
				if kind.Stream {
					service = demo.SiteModelService
				}
				id := func(i int) string { return fmt.Sprint(kind.Name, "-", i) }
				results := make([]chan callResult, requests)
				for i := range requests {
					results[i] = make(chan callResult, 1)
					go func() {
						results[i] <- call(ctx, s, s.VMAddresses()[i%len(s.VMAddresses())], id(i), kind.Method, kind.Path, models[kind.Name])
					}()
				}
				first := make(map[string]string)
				requireEventually(t, func() bool {
					for i := range requests {
						if servers := s.Runs.Servers(id(i)); len(servers) > 0 {
							first[id(i)] = servers[0]
						}
					}
					return len(first) == requests
				}, time.Millisecond)
				silent := first[id(0)]
				pause.For(ctx, begins)
				for _, b := range s.Backends(service) {
					if b.ID == silent {
						require.NoError(t, s.SetSilent(b, true))
						defer func() { require.NoError(t, s.SetSilent(b, false)) }()
						time.AfterFunc(silence, func() { _ = s.SetSilent(b, false) })
						continue
					}
					b.SetPendingFaults(stand.NewPendingFaults(faults))
				}
				for i := range requests {
					got := <-results[i]
					if first[id(i)] != silent {
						continue
					}
					require.NoError(t, got.err, id(i))
					require.Equal(t, http.StatusOK, got.status, "%s: %s, ran on %v", id(i), got.body, s.Runs.Servers(id(i)))
					if kind.Stream {
						require.Equal(t, completeStream(id(i)), got.body)
					}
				}
			})
		}
	}
}

// All servers are silent for a moment while many requests arrive that need new connections, so that VMs take their path
// to the servers for lost. Guards against a request that is under way, or that arrives then, and gets neither its answer
// nor a refusal.
func TestRequestsSurvivePathThatSeemsLost(t *testing.T) {
	const workTime, silence, underWay, burst = 2500 * time.Millisecond, 1900 * time.Millisecond, 8, 40
	s, ctx := startSite(t, demo.SiteOptions{Backends: 6, WorkTime: workTime})
	servers := append(s.Backends(demo.SitePlainService), s.Backends(demo.SiteModelService)...)
	var wait sync.WaitGroup
	var checks demo.Checks
	var refused atomic.Int64
	send := func(id string, vm int, mayRefuse bool) {
		wait.Go(func() {
			sent := time.Now()
			got := call(ctx, s, s.VMAddresses()[vm], id, http.MethodPost, "/book/x", "")
			ran := s.Runs.Servers(id)
			switch {
			case got.err == nil && got.status == http.StatusOK:
			case mayRefuse && got.err == nil && got.status == http.StatusServiceUnavailable && len(ran) == 0:
				refused.Add(1)
			case time.Since(sent) < demo.CallDeadline/2:
				checks.AddViolation("%s: status %d, %v, ran on %v", id, got.status, got.err, ran)
			}
		})
	}
	for vm := range s.VMAddresses() {
		for i := range underWay {
			send(fmt.Sprintf("under-way-%d-%d", vm, i), vm, false)
		}
	}
	requireEventually(t, func() bool {
		for vm := range s.VMAddresses() {
			for i := range underWay {
				if len(s.Runs.Servers(fmt.Sprintf("under-way-%d-%d", vm, i))) == 0 {
					return false
				}
			}
		}
		return true
	}, time.Millisecond)
	for _, b := range servers {
		require.NoError(t, s.SetSilent(b, true))
	}
	for vm := range s.VMAddresses() {
		for i := range burst {
			send(fmt.Sprintf("burst-%d-%d", vm, i), vm, true)
		}
	}
	pause.For(ctx, silence)
	for _, b := range servers {
		require.NoError(t, s.SetSilent(b, false))
	}
	wait.Wait()
	lost := int64(0)
	for vm := range s.VMAddresses() {
		lost += s.Node(vm).Metrics().CounterValue("path.changes")
	}
	t.Log("refused", refused.Load(), "path changes", lost)
	require.Empty(t, checks.Violations())
}
