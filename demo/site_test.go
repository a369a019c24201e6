package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
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

// testLimit bounds what a test waits for; none passes by being fast.
const testLimit = 60 * time.Second

func startSite(t *testing.T, o demo.SiteOptions) (*demo.Site, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	o.Log = zerolog.Nop()
	s, err := demo.StartSite(ctx, o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.WaitReady(ctx))
	return s, ctx
}

type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

func call(ctx context.Context, s *demo.Site, address, id, method, path, model string) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := s.Call(ctx, client, address, id, method, path, model, "body")
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: demo.StampOf(resp), body: string(body), err: err}
}

// comeBack makes a call and repeats it, as callers do, while it is refused. How
// long a model takes to be placed depends on the machine; that a refused request
// has not run does not.
func comeBack(ctx context.Context, t *testing.T, s *demo.Site, address, id, method, path, model string) answer {
	t.Helper()
	for n := 0; ; n++ {
		try := fmt.Sprintf("%s-%d", id, n)
		got := call(ctx, s, address, try, method, path, model)
		if got.status != http.StatusServiceUnavailable || ctx.Err() != nil {
			return got
		}
		require.Empty(t, s.Runs.Servers(try), "refused as not run, and it ran")
	}
}

// wholeStream is what a stream of the stand-in says when nothing is missing.
func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= 8; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return b.String()
}

func TestWholePath(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	for i, address := range s.Addresses() {
		id := fmt.Sprintf("%02d", i)
		got := call(ctx, s, address, "a"+id, "GET", "/look/x?y=1", "")
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, "answer to a"+id, got.body)
		require.NotEmpty(t, got.stamp)
		got = call(ctx, s, address, "b"+id, "POST", "/book/x", "")
		require.Equal(t, http.StatusOK, got.status, got.body)
		got = call(ctx, s, address, "c"+id, "POST", "/draft/x", "m2")
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, wholeStream("c"+id), got.body)
		got = comeBack(ctx, t, s, address, "d"+id, "POST", "/draft/x", "m4/a3")
		require.Equal(t, http.StatusOK, got.status, "a model that no server held, and an adapter of it: "+got.body)
		got = call(ctx, s, address, "e"+id, "GET", "/nowhere/", "")
		require.Equal(t, http.StatusNotFound, got.status)
	}
	for _, b := range s.Backends(demo.SiteModel) {
		require.False(t, b.Overcommitted())
	}
}

// Each fault strikes one send. What the caller sees depends on what may be
// repeated: an idempotent request and a resumable stream are answered whole by
// another server; one that runs at most once is told that it may have run, and
// only a refusal by the server lets it be sent again.
func TestFaultsOfBackends(t *testing.T) {
	tests := map[string]struct {
		faults stand.BackendFaults
		path   string
		status int
		runs   int
	}{
		"refused, idempotent":       {stand.BackendFaults{Rejections: 1}, "/look/", 200, 1},
		"refused, once":             {stand.BackendFaults{Rejections: 1}, "/book/", 200, 1},
		"answer lost, idempotent":   {stand.BackendFaults{LostResponses: 1}, "/look/", 200, 2},
		"answer lost, once":         {stand.BackendFaults{LostResponses: 1}, "/book/", 502, 1},
		"failed, idempotent":        {stand.BackendFaults{ErrorResponses: 1}, "/look/", 200, 2},
		"failed, once":              {stand.BackendFaults{ErrorResponses: 1}, "/book/", 500, 1},
		"forged, idempotent":        {stand.BackendFaults{ForgedResponses: 1}, "/look/", 200, 2},
		"forged, once":              {stand.BackendFaults{ForgedResponses: 1}, "/book/", 502, 1},
		"answered twice":            {stand.BackendFaults{DuplicateResponses: 1}, "/look/", 200, 1},
		"stream lost, resumable":    {stand.BackendFaults{LostResponses: 1}, "/draft/", 200, 2},
		"stream cut, resumable":     {stand.BackendFaults{BrokenStreams: 1}, "/draft/", 200, 2},
		"stream cut, not resumable": {stand.BackendFaults{BrokenStreams: 1}, "/batch/", 200, 1},
	}
	s, ctx := startSite(t, demo.SiteOptions{Backends: 2})
	n := 0
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			n++
			id := fmt.Sprintf("f%03d", n)
			method, model, service := "GET", "", demo.SitePlain
			if tc.path == "/draft/" || tc.path == "/batch/" {
				method, model, service = "POST", "m1", demo.SiteModel
				require.Eventually(t, func() bool { return spread(ctx, s, n) }, testLimit, 10*time.Millisecond)
			}
			strikes := stand.NewPendingFaults(tc.faults)
			for _, b := range s.Backends(service) {
				b.SetPendingFaults(strikes)
			}
			got := call(ctx, s, s.Addresses()[0], id, method, tc.path, model)
			require.Equal(t, tc.status, got.status, got.body)
			require.Len(t, s.Runs.Servers(id), tc.runs)
			switch {
			case name == "stream cut, not resumable":
				require.Error(t, got.err, "a stream that broke off must not look complete")
			case model != "":
				require.NoError(t, got.err)
				require.Equal(t, wholeStream(id), got.body)
			case got.status == 200:
				require.Equal(t, "answer to "+id, got.body)
			}
		})
	}
}

// holders counts the servers that hold a model.
func holders(s *demo.Site, model string) int {
	n := 0
	for _, b := range s.Backends(demo.SiteModel) {
		if b.Entry().HasModel(model, "") {
			n++
		}
	}
	return n
}

// spread makes demand for a model and reports whether two servers hold it.
func spread(ctx context.Context, s *demo.Site, n int) bool {
	call(ctx, s, s.Addresses()[0], fmt.Sprintf("w%03d", n), "POST", "/draft/", "m1")
	return holders(s, "m1") == 2
}

// A configuration is changed while the VMs run: the new route is served by all
// of them, and the old one no more, without a restart.
func TestConfigurationChanges(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	moved := demo.SiteRoutes()
	moved[0].PathPrefix = "/seen/"
	require.NoError(t, s.Configure(5, moved))
	for i, address := range s.Addresses() {
		require.Eventually(t, func() bool {
			return call(ctx, s, address, fmt.Sprintf("n%d", i), "GET", "/seen/", "").status == 200
		}, testLimit, 10*time.Millisecond)
		require.Equal(t, 404, call(ctx, s, address, fmt.Sprintf("o%d", i), "GET", "/look/", "").status)
	}
	require.NoError(t, s.Configure(4, demo.SiteRoutes()), "written later, so it is in force, whatever its number")
}

// The store forgets its history and then goes away. Requests are served all the
// while; a change made after its return is in force everywhere.
func TestStoreAwayAndCompacted(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	s.Objects.Compact()
	s.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
	for i := range 20 {
		got := call(ctx, s, s.Addresses()[i%3], fmt.Sprintf("s%d", i), "GET", "/look/", "")
		require.Equal(t, 200, got.status, got.body)
	}
	s.Objects.SetFaults(stand.ObjectStoreFaults{})
	moved := demo.SiteRoutes()
	moved[0].PathPrefix = "/seen/"
	require.NoError(t, s.Configure(9, moved))
	for i, address := range s.Addresses() {
		require.Eventually(t, func() bool {
			return call(ctx, s, address, fmt.Sprintf("t%d", i), "GET", "/seen/", "").status == 200
		}, testLimit, 10*time.Millisecond)
	}
}

// The VM that steers is killed; another takes over and loads a model that no
// server holds, for a request that waits for it.
func TestControllerIsKilled(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	for i := range 3 {
		if s.Node(i).Leading() {
			s.KillNode(i)
			require.Eventually(t, func() bool { return s.Node((i+1)%3).Leading() || s.Node((i+2)%3).Leading() }, testLimit, 5*time.Millisecond)
			require.Eventually(t, func() bool {
				return call(ctx, s, s.Addresses()[(i+1)%3], fmt.Sprintf("k%d", time.Now().UnixNano()), "POST", "/draft/", "m4/a1").status == 200
			}, testLimit, 20*time.Millisecond)
			break
		}
	}
	for _, b := range s.Backends(demo.SiteModel) {
		require.False(t, b.Overcommitted())
	}
}

// A VM is stopped under load: callers that it took get their whole answers.
func TestStopInPeace(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{VMs: 2})
	var wait sync.WaitGroup
	answers := make([]answer, 40)
	for i := range answers {
		wait.Go(func() {
			answers[i] = call(ctx, s, s.Addresses()[0], fmt.Sprintf("p%d", i), "POST", "/draft/", "m1")
		})
	}
	require.Eventually(t, func() bool { return len(s.Runs.Servers("p0")) > 0 }, testLimit, time.Millisecond)
	require.NoError(t, s.StopNode(0))
	wait.Wait()
	for i, got := range answers {
		if got.err != nil && got.status == 0 {
			continue // It was not taken any more.
		}
		require.NoError(t, got.err)
		if got.status == 200 {
			require.Equal(t, wholeStream(fmt.Sprintf("p%d", i)), got.body)
		}
	}
}

// Orders are carried out and their answers lost. No server is ordered beyond its
// memory or places, and every model stays reachable.
func TestOrdersWithoutAnswers(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	strikes := stand.NewPendingFaults(stand.BackendFaults{LostOrderReplies: 6})
	for _, b := range s.Backends(demo.SiteModel) {
		b.SetPendingFaults(strikes)
	}
	for i, model := range []string{"m1/a1", "m2/a2", "m3/a3", "m4/a4", "m4/a1", "m2"} {
		require.Eventually(t, func() bool {
			return call(ctx, s, s.Addresses()[i%3], fmt.Sprintf("l%d-%d", i, time.Now().UnixNano()), "POST", "/draft/", model).status == 200
		}, testLimit, 20*time.Millisecond)
	}
	for _, b := range s.Backends(demo.SiteModel) {
		require.False(t, b.Overcommitted())
	}
}

func TestSiteRoutesAreOfAllKinds(t *testing.T) {
	kinds := map[routes.Kind]bool{}
	for _, r := range demo.SiteRoutes() {
		kinds[r.Kind] = true
	}
	require.Len(t, kinds, 3)
}

// Each hop of a request has a span: the VM that takes it, the choice of a server,
// the question to the controller for a model that no server holds, and each send.
func TestSpansOfTheWholePath(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(recorder)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.Cleanup(func() { otel.SetTracerProvider(trace.NewTracerProvider()) })
	s, ctx := startSite(t, demo.SiteOptions{})
	for i, address := range s.Addresses() {
		comeBack(ctx, t, s, address, fmt.Sprint("traced", i), "POST", "/draft/x", fmt.Sprint("m4/a", i+1))
	}
	require.Eventually(t, func() bool {
		names := make(map[string]int)
		for _, span := range recorder.Ended() {
			names[span.Name()]++
		}
		return names["request"] >= 3 && names["route"] >= 3 && names["attempt"] >= 3 && names["find"] >= 1
	}, testLimit, 10*time.Millisecond)
}

// Backend servers start again under their IDs, empty, and say when they were born. What
// the VMs knew of the starts before, down to the number of the next order, is wrong:
// requests for their models would be refused, and orders be taken for known. Every
// model is loaded again and reached, and no server is ordered beyond its memory.
func TestServersStartAgainUnderTheirIDs(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	served := func(name, model string) {
		t.Helper()
		for i, address := range s.Addresses() {
			got := comeBack(ctx, t, s, address, fmt.Sprint(name, i, model), "POST", "/draft/x", model)
			require.Equal(t, http.StatusOK, got.status, got.body)
		}
	}
	for round := range 3 {
		for _, b := range s.Backends(demo.SiteModel) {
			b.Restart(time.UnixMilli(int64(1_000_000 + round)))
		}
		for _, model := range demo.SiteModels {
			served(fmt.Sprint("restart", round), model)
		}
		served(fmt.Sprint("adapter", round), "m2/a1")
	}
	for _, b := range s.Backends(demo.SiteModel) {
		require.False(t, b.Overcommitted())
	}
}

// Another writer leaves entries that name no server, and overwrites those of servers
// with such. Read as servers they would draw requests to nowhere; taken for the end of
// the list they would hide the others. Requests go to the servers whose entries hold,
// and to the others again after their next heartbeat.
func TestEntriesOfOtherWriters(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	bad := []string{`{}`, `{"Service":5}`, `"ready"`, `{"Service":"` + demo.SitePlain + `","Address":"127.0.0.1:1","Zone":"d","Version":"v","Slots":8,"State":"resting","Sequence":1}`}
	backends := s.Backends(demo.SitePlain)
	for i, value := range bad {
		for _, name := range []string{fmt.Sprint("stranger", i), backends[i%len(backends)].ID} {
			_, err := s.Objects.Put(platform.ServerKind, name, -1, json.RawMessage(value))
			require.NoError(t, err)
		}
		for k, address := range s.Addresses() {
			got := call(ctx, s, address, fmt.Sprint("bad", i, k), "GET", "/look/", "")
			require.Equal(t, 200, got.status, got.body)
		}
		backends[i%len(backends)].OnChange()
	}
}

// Guards against assigning one port to two VMs, the second of which then fails to listen.
func TestVMsShareNoPort(t *testing.T) {
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
