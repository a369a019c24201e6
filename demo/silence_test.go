package demo_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Sound servers are silent for up to 1.6 s, one, all of a service, or all, and go on. Guards against a request that may run
// once and gets neither its answer nor a refusal, or is refused and has run.
func TestRequestsThatMayRunOnceSurviveSilence(t *testing.T) {
	// A request waits for longer than the kernel does before it asks, twice, whether the server is there.
	const workTime, callersPerVM = 2500 * time.Millisecond, 4
	silences := []time.Duration{200 * time.Millisecond, time.Second, 1300 * time.Millisecond, 1600 * time.Millisecond}
	silent := map[string]func(*demo.Site) []*stand.Backend{
		"one server":        func(s *demo.Site) []*stand.Backend { return s.Backends(demo.SitePlainService)[:1] },
		"all of a service":  func(s *demo.Site) []*stand.Backend { return s.Backends(demo.SitePlainService) },
		"all model servers": func(s *demo.Site) []*stand.Backend { return s.Backends(demo.SiteModelService) },
		"all servers": func(s *demo.Site) []*stand.Backend {
			return append(s.Backends(demo.SitePlainService), s.Backends(demo.SiteModelService)...)
		},
	}
	for name, servers := range silent {
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
				for _, b := range servers(s) {
					require.NoError(t, s.SetSilent(b, true))
				}
				pause.For(ctx, silence)
				for _, b := range servers(s) {
					require.NoError(t, s.SetSilent(b, false))
				}
			}
			stop()
			wait.Wait()
			t.Log(statuses)
			require.Empty(t, checks.Violations())
		})
	}
}
