package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

func startSite(t *testing.T, o demo.SiteOptions) (*demo.Site, context.Context) {
	t.Helper()
	ctx, cancel := withRunTime(context.Background(), testTimeout)
	t.Cleanup(cancel)
	s, err := demo.StartSite(ctx, o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.WaitReady(ctx))
	return s, ctx
}

// callResult is the response to a call, or the error that ended it.
type callResult struct {
	status int
	stamp  string
	body   string
	err    error
}

func call(ctx context.Context, s *demo.Site, address, id, method, path, model string) callResult {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return resultOf(s.Call(ctx, client, address, id, method, path, model, "body"))
}

// callAfter sends a request for a stream of m1 that takes up an earlier one.
func callAfter(ctx context.Context, s *demo.Site, client *http.Client, address, id string, p demo.Progress) callResult {
	return resultOf(s.CallAfter(ctx, client, address, id, http.MethodPost, "/draft/x", "m1", "body", p))
}

func resultOf(resp *http.Response, err error) callResult {
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, stamp: demo.ServerStamp(resp), body: string(body), err: err}
}

// callUntilAccepted sends a call and repeats it while it is refused with status 503, as callers do.
// The time until a model is loaded depends on the machine. A refused request must never have run.
func callUntilAccepted(ctx context.Context, t *testing.T, s *demo.Site, address, id, method, path, model string) callResult {
	t.Helper()
	for n := 0; ; n++ {
		attemptID := fmt.Sprintf("%s-%d", id, n)
		got := call(ctx, s, address, attemptID, method, path, model)
		if got.status != http.StatusServiceUnavailable || ctx.Err() != nil {
			return got
		}
		require.Empty(t, s.Runs.Servers(attemptID), "the request was refused as not run, but a server ran it")
	}
}

// completeStream returns the body of a complete event stream of the backend stand-in.
func completeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= 8; n++ {
		b.WriteString(platform.StreamEvent(id, n, "v1"))
	}
	return b.String()
}

// Guards against a route that is not served end to end through every VM, and against an order that
// exceeds the memory or adapter slots of a model server.
func TestAllRoutes(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	for i, address := range s.VMAddresses() {
		id := fmt.Sprintf("%02d", i)
		got := call(ctx, s, address, "a"+id, "GET", "/look/x?y=1", "")
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, "answer to a"+id, got.body)
		require.NotEmpty(t, got.stamp)
		got = call(ctx, s, address, "b"+id, "POST", "/book/x", "")
		require.Equal(t, http.StatusOK, got.status, got.body)
		got = call(ctx, s, address, "c"+id, "POST", "/draft/x", "m2")
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, completeStream("c"+id), got.body)
		got = callUntilAccepted(ctx, t, s, address, "d"+id, "POST", "/draft/x", "m4/a3")
		require.Equal(t, http.StatusOK, got.status, "a model and adapter that no server had loaded: "+got.body)
		got = call(ctx, s, address, "e"+id, "GET", "/nowhere/", "")
		require.Equal(t, http.StatusNotFound, got.status)
	}
	for _, b := range s.Backends(demo.SiteModelService) {
		require.False(t, b.Overcommitted())
	}
}

// Guards against a wrong retry after a backend fault; each fault affects one attempt. Another server
// must complete the response to an idempotent request or a resumable stream. An at-most-once request must be
// reported as possibly run, and may be sent again only if the server refused it.
func TestBackendFaults(t *testing.T) {
	tests := map[string]struct {
		faults stand.BackendFaults
		path   string
		status int
		runs   int
	}{
		"refused, idempotent":         {stand.BackendFaults{Rejections: 1}, "/look/", 200, 1},
		"refused, at most once":       {stand.BackendFaults{Rejections: 1}, "/book/", 200, 1},
		"response lost, idempotent":   {stand.BackendFaults{LostResponses: 1}, "/look/", 200, 2},
		"response lost, at most once": {stand.BackendFaults{LostResponses: 1}, "/book/", 502, 1},
		"failed, idempotent":          {stand.BackendFaults{ErrorResponses: 1}, "/look/", 200, 2},
		"failed, at most once":        {stand.BackendFaults{ErrorResponses: 1}, "/book/", 500, 1},
		"forged stamp, idempotent":    {stand.BackendFaults{ForgedResponses: 1}, "/look/", 200, 2},
		"forged stamp, at most once":  {stand.BackendFaults{ForgedResponses: 1}, "/book/", 502, 1},
		"duplicate response":          {stand.BackendFaults{DuplicateResponses: 1}, "/look/", 200, 1},
		"stream lost, resumable":      {stand.BackendFaults{LostResponses: 1}, "/draft/", 200, 2},
		"stream cut, resumable":       {stand.BackendFaults{BrokenStreams: 1}, "/draft/", 200, 2},
		"stream cut, not resumable":   {stand.BackendFaults{BrokenStreams: 1}, "/batch/", 200, 1},

		"no length, idempotent":                 {stand.BackendFaults{ByCloseResponses: 1}, "/look/", 200, 1},
		"no length, at most once":               {stand.BackendFaults{ByCloseResponses: 1}, "/book/", 200, 1},
		"no length, cut short, idempotent":      {stand.BackendFaults{CutShortResponses: 1}, "/look/", 200, 2},
		"no length, cut short, at most once":    {stand.BackendFaults{CutShortResponses: 1}, "/book/", 502, 1},
		"without an end, idempotent":            {stand.BackendFaults{EndlessResponses: 1}, "/look/", 200, 2},
		"without an end, at most once":          {stand.BackendFaults{EndlessResponses: 1}, "/book/", 502, 1},
		"without an end, resumable stream":      {stand.BackendFaults{EndlessResponses: 1}, "/draft/", 200, 2},
		"broken head, idempotent":               {stand.BackendFaults{BrokenHeads: 1}, "/look/", 200, 2},
		"broken head, at most once":             {stand.BackendFaults{BrokenHeads: 1}, "/book/", 502, 1},
		"broken head, resumable stream":         {stand.BackendFaults{BrokenHeads: 1}, "/draft/", 200, 2},
		"broken head, stream":                   {stand.BackendFaults{BrokenHeads: 1}, "/batch/", 502, 1},
		"stream without chunks":                 {stand.BackendFaults{ByCloseResponses: 1}, "/draft/", 200, 1},
		"stream without chunks, cut, resumable": {stand.BackendFaults{CutShortResponses: 1}, "/draft/", 200, 2},
		"stream without chunks, cut":            {stand.BackendFaults{CutShortResponses: 1}, "/batch/", 200, 1},
	}
	s, ctx := startSite(t, demo.SiteOptions{Backends: 2})
	earnRetries(ctx, t, s)
	n := 0
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := withRunTime(t.Context(), testTimeout)
			defer cancel()
			n++
			id := fmt.Sprintf("f%03d", n)
			method, model, service := "GET", "", demo.SitePlainService
			if tc.path == "/draft/" || tc.path == "/batch/" {
				method, model, service = "POST", "m1", demo.SiteModelService
				requireEventually(t, func() bool { return loadedOnBothServers(ctx, s, n) }, 10*time.Millisecond)
			}
			sharedFaults := stand.NewPendingFaults(tc.faults)
			for _, b := range s.Backends(service) {
				b.SetPendingFaults(sharedFaults)
			}
			got := call(ctx, s, s.VMAddresses()[0], id, method, tc.path, model)
			require.Equal(t, tc.status, got.status, got.body)
			require.Len(t, s.Runs.Servers(id), tc.runs)
			switch {
			case tc.path == "/batch/" && got.status == 200:
				require.Error(t, got.err, "an interrupted stream must not appear complete")
			case model != "" && got.status == 200:
				require.NoError(t, got.err)
				require.Equal(t, completeStream(id), got.body)
			case got.status == 200:
				require.Equal(t, "answer to "+id, got.body)
			}
		})
	}
}

// earnRetries sends requests to the first VM until it may send as many once more as a test needs, whether or not it has
// been counted and has its part of the retries of all VMs.
func earnRetries(ctx context.Context, t *testing.T, s *demo.Site) {
	t.Helper()
	const requests = 60
	for path, model := range map[string]string{"/look/": "", "/draft/": "m1"} {
		for i := range requests {
			got := call(ctx, s, s.VMAddresses()[0], fmt.Sprint("e", path, i), "POST", path, model)
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status, got.body)
		}
	}
}

// loadedServerCount returns the number of servers that have loaded a model.
func loadedServerCount(s *demo.Site, model string) int {
	n := 0
	for _, b := range s.Backends(demo.SiteModelService) {
		if b.Entry().HasModel(model, "") {
			n++
		}
	}
	return n
}

// loadedOnBothServers sends a request for model m1 and reports whether two servers have loaded it.
func loadedOnBothServers(ctx context.Context, s *demo.Site, n int) bool {
	call(ctx, s, s.VMAddresses()[0], fmt.Sprintf("w%03d", n), "POST", "/draft/", "m1")
	return loadedServerCount(s, "m1") == 2
}

// Guards against VMs that need a restart to apply a configuration change: all running VMs must serve
// the new route and stop serving the old one.
func TestConfigurationChange(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	changedRoutes := demo.SiteRoutes()
	changedRoutes[0].PathPrefix = "/seen/"
	require.NoError(t, s.Configure(5, changedRoutes))
	for i, address := range s.VMAddresses() {
		requireEventually(t, func() bool {
			return call(ctx, s, address, fmt.Sprintf("n%d", i), "GET", "/seen/", "").status == 200
		}, 10*time.Millisecond)
		require.Equal(t, 404, call(ctx, s, address, fmt.Sprintf("o%d", i), "GET", "/look/", "").status)
	}
	require.NoError(t, s.Configure(4, demo.SiteRoutes()), "the store takes any write")
	for round := range 20 {
		for i, address := range s.VMAddresses() {
			require.Equal(t, 200, call(ctx, s, address, fmt.Sprintf("p%d-%d", round, i), "GET", "/seen/", "").status, "no VM goes back to an older version")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against failed requests while the store is unavailable, and against VMs that miss later
// changes. The store compacts its watch history and then becomes unavailable. A configuration change
// after its recovery must apply on all VMs.
func TestStoreOutageAndCompaction(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	s.Objects.Compact()
	s.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
	for i := range 20 {
		got := call(ctx, s, s.VMAddresses()[i%3], fmt.Sprintf("s%d", i), "GET", "/look/", "")
		require.Equal(t, 200, got.status, got.body)
	}
	s.Objects.SetFaults(stand.ObjectStoreFaults{})
	changedRoutes := demo.SiteRoutes()
	changedRoutes[0].PathPrefix = "/seen/"
	require.NoError(t, s.Configure(9, changedRoutes))
	for i, address := range s.VMAddresses() {
		requireEventually(t, func() bool {
			return call(ctx, s, address, fmt.Sprintf("t%d", i), "GET", "/seen/", "").status == 200
		}, 10*time.Millisecond)
	}
}

// Guards against models that are no longer loaded after a controller failure. The VM that acts as the
// controller is killed. Another VM must become the controller and load a model that no server has
// loaded, for a request that waits for the model.
func TestControllerKilled(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	for i := range 3 {
		if s.Node(i).Leading() {
			s.KillNode(i)
			requireEventually(t, func() bool { return s.Node((i+1)%3).Leading() || s.Node((i+2)%3).Leading() }, 5*time.Millisecond)
			requireEventually(t, func() bool {
				return call(ctx, s, s.VMAddresses()[(i+1)%3], fmt.Sprintf("k%d", time.Now().UnixNano()), "POST", "/draft/", "m4/a1").status == 200
			}, 20*time.Millisecond)
			break
		}
	}
	for _, b := range s.Backends(demo.SiteModelService) {
		require.False(t, b.Overcommitted())
	}
}

// Guards against truncated responses when a VM is stopped gracefully under load: each accepted request
// must get a complete response.
func TestGracefulStop(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{VMs: 2})
	var wait sync.WaitGroup
	results := make([]callResult, 40)
	for i := range results {
		wait.Go(func() {
			results[i] = call(ctx, s, s.VMAddresses()[0], fmt.Sprintf("p%d", i), "POST", "/draft/", "m1")
		})
	}
	requireEventually(t, func() bool { return len(s.Runs.Servers("p0")) > 0 }, time.Millisecond)
	require.NoError(t, s.StopNode(0))
	wait.Wait()
	for i, got := range results {
		if got.err != nil && got.status == 0 {
			continue // The VM no longer accepted the connection.
		}
		require.NoError(t, got.err)
		if got.status == 200 {
			require.Equal(t, completeStream(fmt.Sprintf("p%d", i)), got.body)
		}
	}
}

// Guards against wrong model placement when model servers execute orders but the responses are lost.
// No order may exceed the memory or adapter slots of a server, and every model must stay reachable.
func TestLostOrderResponses(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	sharedFaults := stand.NewPendingFaults(stand.BackendFaults{LostOrderResponses: 6})
	for _, b := range s.Backends(demo.SiteModelService) {
		b.SetPendingFaults(sharedFaults)
	}
	for i, model := range []string{"m1/a1", "m2/a2", "m3/a3", "m4/a4", "m4/a1", "m2"} {
		requireEventually(t, func() bool {
			return call(ctx, s, s.VMAddresses()[i%3], fmt.Sprintf("l%d-%d", i, time.Now().UnixNano()), "POST", "/draft/", model).status == 200
		}, 20*time.Millisecond)
	}
	for _, b := range s.Backends(demo.SiteModelService) {
		require.False(t, b.Overcommitted())
	}
}

// Guards against default routes that leave a kind of route untested.
func TestSiteRoutesCoverAllKinds(t *testing.T) {
	kinds := map[routes.Kind]bool{}
	for _, r := range demo.SiteRoutes() {
		kinds[r.Kind] = true
	}
	require.Len(t, kinds, 3)
}

// Guards against missing trace spans: each request has a span for the VM that accepts it, the choice
// of a server, the query to the controller for a model that no server has loaded, and each attempt.
func TestTraceSpans(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(recorder)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.Cleanup(func() { otel.SetTracerProvider(trace.NewTracerProvider()) })
	s, ctx := startSite(t, demo.SiteOptions{})
	for i, address := range s.VMAddresses() {
		callUntilAccepted(ctx, t, s, address, fmt.Sprint("traced", i), "POST", "/draft/x", fmt.Sprint("m4/a", i+1))
	}
	requireEventually(t, func() bool {
		names := make(map[string]int)
		for _, span := range recorder.Ended() {
			names[span.Name()]++
		}
		return names["request"] >= 3 && names["route"] >= 3 && names["attempt"] >= 3 && names["find"] >= 1
	}, 10*time.Millisecond)
}

// Guards against state of an earlier instance being applied to a restarted backend server. The servers
// restart under the same IDs without models and report a new start time. With stale state, including
// the sequence number of the next order, servers would refuse requests for their models and discard new
// orders as duplicates. Every model must be loaded again, and no order may exceed a server's memory.
func TestBackendRestartWithSameID(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	requireServed := func(name, model string) {
		t.Helper()
		for i, address := range s.VMAddresses() {
			got := callUntilAccepted(ctx, t, s, address, fmt.Sprint(name, i, model), "POST", "/draft/x", model)
			require.Equal(t, http.StatusOK, got.status, got.body)
		}
	}
	for round := range 3 {
		for _, b := range s.Backends(demo.SiteModelService) {
			b.Restart(time.UnixMilli(int64(1_000_000 + round)))
		}
		for _, model := range demo.SiteModels {
			requireServed(fmt.Sprint("restart", round), model)
		}
		requireServed(fmt.Sprint("adapter", round), "m2/a1")
	}
	for _, b := range s.Backends(demo.SiteModelService) {
		require.False(t, b.Overcommitted())
	}
}

// Guards against invalid server entries from another writer, which adds new entries and overwrites
// valid ones. If such entries were accepted as servers, requests would go to unreachable addresses. If
// they ended the list, other servers would be hidden. Requests must go to servers with valid entries,
// and to the overwritten servers again after their next heartbeat.
func TestInvalidServerEntries(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	invalidValues := []string{`{}`, `{"Service":5}`, `"ready"`, `{"Service":"` + demo.SitePlainService + `","Address":"127.0.0.1:1","Zone":"d","Version":"v","Slots":8,"State":"resting","Sequence":1}`}
	backends := s.Backends(demo.SitePlainService)
	for i, value := range invalidValues {
		for _, name := range []string{fmt.Sprint("invalid", i), backends[i%len(backends)].ID} {
			_, err := s.Objects.Put(platform.ServerKind, name, -1, json.RawMessage(value))
			require.NoError(t, err)
		}
		for k, address := range s.VMAddresses() {
			got := call(ctx, s, address, fmt.Sprint("bad", i, k), "GET", "/look/", "")
			require.Equal(t, 200, got.status, got.body)
		}
		backends[i%len(backends)].OnChange()
	}
}

// Guards against assigning one port to two VMs, so that the second VM fails to listen.
func TestVMPortsUnique(t *testing.T) {
	used := make(map[string]bool)
	for i := range 200 {
		text, err := demo.VMSettings(i, "127.0.0.1:1")
		require.NoError(t, err)
		settings, err := conf.ParseNode(text)
		require.NoError(t, err)
		for _, key := range []string{"listen", "ready_listen", "peer_listen"} {
			address := settings.Text("vm", key)
			require.False(t, used[address], "address %s assigned twice", address)
			used[address] = true
		}
	}
}

// Guards against two processes, each with a demo or a test, that give the same port to a VM.
func TestVMPortsReservedAcrossProcesses(t *testing.T) {
	text, err := demo.VMSettings(0, "127.0.0.1:1")
	require.NoError(t, err)
	address, err := demo.ListenAddress(text)
	require.NoError(t, err)
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	other, err := net.ListenPacket("udp", "127.0.1.1:"+port)
	if err == nil {
		require.NoError(t, other.Close())
	}
	require.Error(t, err, "another process would take the port")
}
