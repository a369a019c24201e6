package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// limitKnown is how long the VMs have to learn of a limit, limitWindow the span in which
	// requests are counted, and limitFactor and limitExtra what is allowed in it beyond the rate.
	limitKnown  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitLoad is how long requests are sent, limitGap the pause between those of a VM.
	limitLoad = 9 * time.Second
	limitGap  = 20 * time.Millisecond
)

// load sends requests to all VMs for some time, and returns the answers.
func load(ctx context.Context, s *demo.Site, method, path, model string) []answer {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var answers []answer
	end := time.Now().Add(limitLoad)
	for v, address := range s.Addresses() {
		wait.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				wait.Go(func() {
					got := call(ctx, s, address, fmt.Sprintf("%s-%d-%d-%d", model, v, i, end.UnixNano()), method, path, model)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, got)
				})
				time.Sleep(limitGap)
			}
		})
	}
	wait.Wait()
	return answers
}

// requireWithinLimit checks the requests that came to a server once its limit must be known.
func requireWithinLimit(t *testing.T, b *stand.Backend, named time.Time) {
	t.Helper()
	rate, _ := b.Limit()
	allowed := limitFactor*rate*limitWindow.Seconds() + limitExtra
	arrivals := b.Arrivals()
	for i, first := range arrivals {
		if first.Before(named.Add(limitKnown)) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), allowed, "in %v from %v after the limit", limitWindow, first.Sub(named))
	}
}

// A server that limits its rate gets more requests than that from all VMs together, or none.
func TestServerGetsMoreThanItsLimit(t *testing.T) {
	tests := map[string]struct{ method, path, model, service string }{
		"plain service": {http.MethodGet, "/look/x", "", demo.SitePlain},
		"model server":  {http.MethodPost, "/draft/x", "m1", demo.SiteModel},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, ctx := startSite(t, demo.SiteOptions{})
			b := s.Backends(tc.service)[0]
			named := time.Now()
			b.SetLimit(2, true)
			served := 0
			for _, got := range load(ctx, s, tc.method, tc.path, tc.model) {
				if got.status == http.StatusOK {
					served++
				}
			}
			requireWithinLimit(t, b, named)
			require.NotEmpty(t, b.Arrivals())
			require.Positive(t, served)
		})
	}
}
