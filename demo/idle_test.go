package demo_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Callers reuse connections that have been idle for up to four fifths of the idle limit, and a change lowers it meanwhile, by
// itself or beside a silence of all servers. Guards against a VM that closes a connection as idle while its next request is
// under way.
func TestIdleLimitLowered(t *testing.T) {
	const limit, lowered, silence, callers, rounds = time.Second, 200 * time.Millisecond, 1200 * time.Millisecond, 40, 3
	for name, silent := range map[string]bool{"alone": false, "beside a silence": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := demo.SiteRoutes()
			for i := range all {
				all[i].Timeout = testTimeout
			}
			s, ctx := startSite(t, demo.SiteOptions{Routes: all})
			limits := func(idle time.Duration) routes.Limits {
				return routes.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: limit, IdleTimeout: idle}
			}
			version := 2
			change := func(idle time.Duration) {
				require.NoError(t, s.ConfigureLimits(version, limits(idle), all))
				version++
			}
			change(limit)
			requireServing(ctx, t, s, 0, "before")
			for round := range rounds {
				results := make(chan error, callers)
				for n := range callers {
					rng := rand.New(rand.NewPCG(uint64(round), uint64(n)))
					kind := demo.SiteRequestKinds[n%len(demo.SiteRequestKinds)]
					go func() {
						client, address := &http.Client{Transport: &keptConn{}}, s.VMAddresses()[n%3]
						send := func(id string) error {
							resp, err := s.Call(ctx, client, address, id, kind.Method, kind.Path, modelOf(kind, rng), "body")
							if err == nil && resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
								err = fmt.Errorf("status %d", resp.StatusCode)
							}
							return err
						}
						err := send(fmt.Sprintf("first-%d-%d", round, n))
						pause.For(ctx, time.Duration((0.2+0.6*rng.Float64())*float64(limit)))
						if err == nil {
							err = send(fmt.Sprintf("second-%d-%d", round, n))
						}
						if err != nil {
							err = fmt.Errorf("round %d, caller %d, %s: %w", round, n, kind.Name, err)
						}
						results <- err
					}()
				}
				pause.For(ctx, limit/4)
				change(lowered)
				if silent {
					for _, b := range append(s.Backends(demo.SitePlainService), s.Backends(demo.SiteModelService)...) {
						require.NoError(t, s.SetSilent(b, true))
					}
					pause.For(ctx, silence)
					for _, b := range append(s.Backends(demo.SitePlainService), s.Backends(demo.SiteModelService)...) {
						require.NoError(t, s.SetSilent(b, false))
					}
				}
				for range callers {
					require.NoError(t, <-results)
				}
				change(limit)
				pause.For(ctx, limit/4)
			}
		})
	}
}
