package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// noticeLoadDuration is longer than the bound for servers that leave and the rest that servers ask for.
const noticeLoadDuration = 3500 * time.Millisecond

// Guards against requests to a server after a VM has passed on its word that it leaves, or during the
// rest that it has asked the VM for. Without a store, nothing else tells.
func TestServerNotices(t *testing.T) {
	tests := map[string]struct {
		service, method, path, model string
		notice                       func(b *stand.Backend)
		// store is set if the store is available, and a controller gives orders and asks for reports.
		store bool
	}{
		"plain service leaves":                       {demo.SitePlainService, http.MethodGet, "/look/x", "", func(b *stand.Backend) { b.SetLeaving(true) }, false},
		"model server leaves":                        {demo.SiteModelService, http.MethodPost, "/draft/x", "m1", func(b *stand.Backend) { b.SetLeaving(true) }, false},
		"plain service rests":                        {demo.SitePlainService, http.MethodGet, "/look/x", "", func(b *stand.Backend) { b.SetRest("3", 3*time.Second) }, false},
		"model server rests":                         {demo.SiteModelService, http.MethodPost, "/draft/x", "m1", func(b *stand.Backend) { b.SetRest("3", 3*time.Second) }, false},
		"request that runs once, server leaves":      {demo.SitePlainService, http.MethodPost, "/book/x", "", func(b *stand.Backend) { b.SetLeaving(true) }, false},
		"stream that is not resumed, server rests":   {demo.SiteModelService, http.MethodPost, "/batch/x", "m1", func(b *stand.Backend) { b.SetRest("3", 3*time.Second) }, false},
		"model server rests from orders and reports": {demo.SiteModelService, http.MethodPost, "/draft/x", "m1/a1", func(b *stand.Backend) { b.SetRest("3", 3*time.Second) }, true},
		"model server leaves, store reachable":       {demo.SiteModelService, http.MethodPost, "/draft/x", "m1", func(b *stand.Backend) { b.SetLeaving(true) }, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, ctx := startSite(t, demo.SiteOptions{})
			lags := startLagMeter(t)
			if !tc.store {
				s.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
			}
			b := s.Backends(tc.service)[0]
			tc.notice(b)
			sendLoad(ctx, s, noticeLoadDuration, tc.method, tc.path, tc.model)
			require.Empty(t, b.Notices().Violations(nil, lags.overlaps), "the longest lag was %v", lags.longestLag())
		})
	}
}

// Guards against a VM keeping to itself that a server leaves, and against a VM that starts later going by
// the server's entry, which says ready.
func TestLeavingServerKnownToAllVMs(t *testing.T) {
	ctx, cancel := withRunTime(context.Background(), testTimeout)
	t.Cleanup(cancel)
	var log logBuffer
	s, err := demo.StartSite(ctx, demo.SiteOptions{Log: zerolog.New(&log)})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.WaitReady(ctx))
	b := s.Backends(demo.SitePlainService)[0]
	b.SetLeaving(true)
	for i := 0; log.count("server leaves") == 0; i++ {
		require.NoError(t, ctx.Err())
		call(ctx, s, s.VMAddresses()[0], fmt.Sprint("first", i), http.MethodGet, "/look/x", "")
	}
	awaitLeaving := func(vms int) {
		requireEventually(t, func() bool { return log.count("server leaves") >= vms }, time.Millisecond)
	}
	awaitLeaving(3)
	for i := range 3 {
		s.KillNode(i)
		require.NoError(t, s.StartNode(ctx, i))
		awaitLeaving(4 + i)
	}
	require.NoError(t, s.WaitReady(ctx))
	arrived := b.Notices().Contacts()
	sendLoad(ctx, s, 200*time.Millisecond, http.MethodGet, "/look/x", "")
	require.Equal(t, arrived, b.Notices().Contacts())
}
