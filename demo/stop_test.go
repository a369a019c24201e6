package demo_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
)

// startStop begins to stop a VM, and waits until it is unready. The result of the stop is sent on stopped.
func startStop(t *testing.T, s *demo.Site, vm int) (stopped chan error) {
	t.Helper()
	stopped = make(chan error, 1)
	go func() { stopped <- s.StopNode(vm) }()
	require.Eventually(t, func() bool { return !s.Node(vm).Ready() }, testTimeout, time.Millisecond)
	return stopped
}

// A VM takes requests after SIGTERM that take its servers longer than until its exit. Guards against answers that are
// cut there: the requests must be refused as not run.
func TestRequestLongerThanStop(t *testing.T) {
	const workTime, grace, notice = 3800 * time.Millisecond, 4 * time.Second, 3 * time.Second
	all := demo.SiteRoutes()
	for i := range all {
		all[i].Timeout, all[i].Objective = testTimeout, testTimeout
	}
	for _, kind := range demo.SiteRequestKinds {
		if kind.Stream {
			continue // How long streams take is known by their tokens, which pass TestLongStreamAfterSIGTERM has.
		}
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			s, ctx := startSite(t, demo.SiteOptions{WorkTime: workTime, Grace: grace, Notice: notice, Routes: all})
			address := s.VMAddresses()[0]
			require.Equal(t, http.StatusOK, call(ctx, s, address, "before", kind.Method, kind.Path, "").status)
			stopped := startStop(t, s, 0)
			resp, err := s.Call(ctx, &http.Client{}, address, "after", kind.Method, kind.Path, "", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.True(t, resp.Close)
			require.NoError(t, resp.Body.Close())
			require.Empty(t, s.Runs.Servers("after"))
			require.NoError(t, <-stopped)
			require.Equal(t, int64(1), s.Node(0).Metrics().CounterValue("pass.refused_stopping"))
		})
	}
}
