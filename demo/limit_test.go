package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
)

const (
	// loadDuration is how long requests to a limited server are sent, and loadInterval the time between two requests to
	// the same VM.
	loadDuration = 9 * time.Second
	loadInterval = 20 * time.Millisecond
)

// sendLoad sends requests to all VMs for a duration and returns the results.
func sendLoad(ctx context.Context, s *demo.Site, duration time.Duration, method, path, model string) []callResult {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var results []callResult
	end := time.Now().Add(duration)
	for v, address := range s.VMAddresses() {
		wait.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				wait.Go(func() {
					got := call(ctx, s, address, fmt.Sprintf("%s-%d-%d-%d", model, v, i, end.UnixNano()), method, path, model)
					mu.Lock()
					defer mu.Unlock()
					results = append(results, got)
				})
				time.Sleep(loadInterval)
			}
		})
	}
	wait.Wait()
	return results
}

// Guards against all VMs together sending a server more requests than its rate limit allows, or no
// requests at all.
func TestServerRateLimit(t *testing.T) {
	tests := map[string]struct{ method, path, model, service string }{
		"plain service": {http.MethodGet, "/look/x", "", demo.SitePlainService},
		"model server":  {http.MethodPost, "/draft/x", "m1", demo.SiteModelService},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, ctx := startSite(t, demo.SiteOptions{})
			b := s.Backends(tc.service)[0]
			limitedAt := time.Now()
			b.SetRateLimit(2, true)
			served := 0
			for _, got := range sendLoad(ctx, s, loadDuration, tc.method, tc.path, tc.model) {
				if got.status == http.StatusOK {
					served++
				}
			}
			var checks demo.Checks
			checks.CheckRateLimit(b, limitedAt)
			require.Empty(t, checks.Violations())
			require.NotEmpty(t, b.Arrivals())
			require.Positive(t, served)
		})
	}
}

// Guards against a permit call closing the VM's link to the controller because the frame of the call
// is rejected or the caller of the request disconnects.
func TestPermitCallKeepsLink(t *testing.T) {
	ctx, cancel := withRunTime(context.Background(), testTimeout)
	t.Cleanup(cancel)
	var log logBuffer
	s, err := demo.StartSite(ctx, demo.SiteOptions{Log: zerolog.New(&log)})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.WaitReady(ctx))
	for _, b := range s.Backends(demo.SitePlainService) {
		b.SetRateLimit(1.5, true)
	}
	before := log.count("link to the controller lost")
	var wait sync.WaitGroup
	for i := range 1000 {
		wait.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, time.Duration(i%40)*time.Millisecond)
			defer cancel()
			call(callCtx, s, s.VMAddresses()[i%3], fmt.Sprint("disconnect", i), http.MethodGet, "/look/x", "")
		})
		time.Sleep(loadInterval / 10)
	}
	wait.Wait()
	require.Equal(t, before, log.count("link to the controller lost"))
}

// logBuffer collects the log output of the VMs.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// count returns how often text occurs in the logs.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}
