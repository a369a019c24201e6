package demo_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// plannedWorkTime is how long servers take for a request, plannedSilence how long one is silent meanwhile, and
	// plannedDelay the time from its beginning to the planned work. All of it fits into the grace time of a VM.
	plannedWorkTime = 2 * time.Second
	plannedSilence  = 1200 * time.Millisecond
	plannedDelay    = 200 * time.Millisecond
	// plannedRequests are under way when the planned work begins; a further one is sent to each VM each plannedInterval.
	plannedRequests = 9
	plannedInterval = 300 * time.Millisecond
	// domains is the number of failure domains of a site.
	domains = 3
)

// plannedModels are the models of the kinds of requests that need one.
var plannedModels = map[string]string{"draft": "m1", "batch": "m2"}

// planned are requests beside planned work.
type planned struct {
	site *demo.Site
	kind demo.RequestKind
	vms  []int

	mu      sync.Mutex
	results map[string]plannedResult
	sending sync.WaitGroup
}

type plannedResult struct {
	callResult
	vm       int
	underWay bool
	took     time.Duration
}

// send sends a request to a VM.
func (p *planned) send(ctx context.Context, id string, vm int, underWay bool) {
	p.sending.Go(func() {
		sent := time.Now()
		got := call(ctx, p.site, p.site.VMAddresses()[vm], id, p.kind.Method, p.kind.Path, plannedModels[p.kind.Name])
		p.mu.Lock()
		defer p.mu.Unlock()
		p.results[id] = plannedResult{got, vm, underWay, time.Since(sent)}
	})
}

// begin sends requests to the VMs in turn and returns the server of the first one once all are under way. One that is
// refused is replaced by another.
func (p *planned) begin(ctx context.Context, t *testing.T) *stand.Backend {
	t.Helper()
	ids, sends := make([]string, plannedRequests), 0
	send := func(i int) {
		ids[i] = fmt.Sprint(p.kind.Name, "-begun-", sends)
		sends++
		p.send(ctx, ids[i], p.vms[i%len(p.vms)], true)
	}
	for i := range ids {
		send(i)
	}
	requireEventually(t, func() bool {
		all := true
		for i, id := range ids {
			if p.refused(id) {
				send(i)
			}
			all = all && len(p.site.Runs.Servers(id)) > 0
		}
		return all
	}, time.Millisecond)
	first := p.site.Runs.Servers(ids[0])[0]
	for _, b := range append(p.site.Backends(demo.SitePlainService), p.site.Backends(demo.SiteModelService)...) {
		if b.ID == first {
			return b
		}
	}
	require.FailNow(t, "no such server", first)
	return nil
}

// refused reports whether a request was refused as not run, and no longer counts it as under way.
func (p *planned) refused(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	got, ended := p.results[id]
	refused := ended && got.underWay && got.status == http.StatusServiceUnavailable
	if refused {
		got.underWay = false
		p.results[id] = got
	}
	return refused
}

// sendMore sends further requests until ctx ends.
func (p *planned) sendMore(ctx, sendCtx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		for _, vm := range p.vms {
			p.send(sendCtx, fmt.Sprintf("%s-later-%d-%d", p.kind.Name, vm, n), vm, false)
		}
		pause.For(ctx, plannedInterval)
	}
}

// check checks all requests once they have ended: one that was under way has its whole answer, and any other one too
// unless it was refused or not read, and then it has not run.
func (p *planned) check(t *testing.T) {
	t.Helper()
	p.sending.Wait()
	counts := make(map[string]int)
	for id, got := range p.results {
		ran := p.site.Runs.Servers(id)
		whole := got.status == http.StatusOK && got.err == nil && (got.body == "answer to "+id || got.body == completeStream(id))
		notRun := got.status == 0 || got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests || got.status == http.StatusNotFound
		switch {
		case whole:
			counts["whole"]++
		case got.took >= demo.CallDeadline:
			counts["late"]++ // The machine was busy: its caller's time was over.
		case notRun && len(ran) == 0 && !got.underWay:
			counts["refused"]++
		default:
			t.Errorf("%s at VM %d, under way %v: status %d, %v, %q after %v, ran on %v", id, got.vm, got.underWay, got.status, got.err, got.body, got.took, ran)
		}
	}
	t.Log(counts)
}

// plannedRoutes are routes whose requests wait for a server alone for less than a silence.
func plannedRoutes() []routes.Route {
	all := demo.SiteRoutes()
	for i := range all {
		all[i].Timeout, all[i].Objective, all[i].MaxEventGap, all[i].MaxServers = testTimeout, 300*time.Millisecond, 100*time.Millisecond, 3
	}
	return all
}

// movedRoutes are these routes with the services exchanged.
func movedRoutes() []routes.Route {
	all := plannedRoutes()
	for i := range all {
		other := map[string]string{demo.SitePlainService: demo.SiteModelService, demo.SiteModelService: demo.SitePlainService}
		all[i].Targets = []routes.Target{{Service: other[all[i].Targets[0].Service], Weight: 1}}
	}
	return all
}

// changedSettings returns settings of a VM with some text replaced.
func changedSettings(t *testing.T, s *demo.Site, from, to string) *conf.Settings {
	t.Helper()
	text, err := demo.VMSettings(0, s.StoreAddress())
	require.NoError(t, err)
	require.Contains(t, string(text), from)
	settings, err := conf.ParseNode(bytes.ReplaceAll(text, []byte(from), []byte(to)))
	require.NoError(t, err)
	return settings
}

// releaseServer starts a server in place of another one, which leaves once it has drained.
func releaseServer(t *testing.T, s *demo.Site, old *stand.Backend) {
	t.Helper()
	next, err := s.AddBackend(old.Service, 100)
	require.NoError(t, err)
	for _, m := range old.Entry().Models {
		next.AddModels(m.Model)
	}
	next.OnChange()
	old.Drain()
	require.NoError(t, s.RemoveBackend(old))
}

// A server is told to leave while its host is silent and a request waits there on a connection that its VM has kept.
// Guards against a stand-in that leaves at once, so that its VM can not tell whether the request has run.
func TestReleasedServerServesWhatWaits(t *testing.T) {
	for _, kind := range demo.SiteRequestKinds {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			s, ctx := startSite(t, demo.SiteOptions{VMs: 1, Backends: 1, WorkTime: plannedDelay, Routes: plannedRoutes()})
			p := &planned{site: s, kind: kind, vms: []int{0}, results: make(map[string]plannedResult)}
			requireEventually(t, func() bool {
				return call(ctx, s, s.VMAddresses()[0], "before", kind.Method, kind.Path, plannedModels[kind.Name]).status == http.StatusOK
			}, time.Millisecond)
			service := demo.SitePlainService
			if kind.Stream {
				service = demo.SiteModelService
			}
			silent := s.Backends(service)[0]
			require.NoError(t, s.SetSilent(silent, true))
			time.AfterFunc(plannedSilence, func() { _ = s.SetSilent(silent, false) })
			p.send(ctx, "waits", 0, true)
			pause.For(ctx, plannedDelay)
			releaseServer(t, s, silent)
			p.check(t)
		})
	}
}

// plannedWorks are done while a server of a service is silent.
var plannedWorks = map[string]func(t *testing.T, s *demo.Site, silent *stand.Backend){
	"a VM stops": func(t *testing.T, s *demo.Site, _ *stand.Backend) { stopVM(t, s, 0) },
	"VMs stop in turn": func(t *testing.T, s *demo.Site, _ *stand.Backend) {
		for vm := range s.VMAddresses() {
			stopVM(t, s, vm)
			require.NoError(t, s.StartNode(t.Context(), vm))
		}
	},
	"reload without retries": func(t *testing.T, s *demo.Site, _ *stand.Backend) {
		for vm := range s.VMAddresses() {
			s.Node(vm).Reload(changedSettings(t, s, "share = 1\nextra = 1000", "share = 0\nextra = 0"))
		}
	},
	"reload beside a stop": func(t *testing.T, s *demo.Site, _ *stand.Backend) {
		settings := changedSettings(t, s, "grace = 5s\nnotice = 50ms", "grace = 2s\nnotice = 10ms")
		time.AfterFunc(plannedDelay, func() { s.Node(0).Reload(settings) })
		stopVM(t, s, 0)
	},
	"the silent server is released": releaseServer,
	"another server is released": func(t *testing.T, s *demo.Site, silent *stand.Backend) {
		for _, b := range s.Backends(silent.Service) {
			if b != silent {
				releaseServer(t, s, b)
				return
			}
		}
	},
	"the silent server drains": func(_ *testing.T, _ *demo.Site, silent *stand.Backend) { silent.Drain() },
	"the route moves": func(t *testing.T, s *demo.Site, _ *stand.Backend) {
		require.NoError(t, s.Configure(2, movedRoutes()))
	},
	"the route goes": func(t *testing.T, s *demo.Site, _ *stand.Backend) {
		require.NoError(t, s.Configure(2, []routes.Route{{Name: "other", Host: "other.example", PathPrefix: "/", Kind: routes.Idempotent, Timeout: time.Second, MaxServers: 1, Targets: plannedRoutes()[0].Targets}}))
	},
	"several at once": func(t *testing.T, s *demo.Site, silent *stand.Backend) {
		require.NoError(t, s.Configure(2, movedRoutes()))
		s.Node(1).Reload(changedSettings(t, s, "extra = 1000", "extra = 1"))
		var wait sync.WaitGroup
		wait.Go(func() { stopVM(t, s, 0) })
		wait.Go(func() { releaseServer(t, s, silent) })
		pause.For(t.Context(), plannedDelay)
		require.NoError(t, s.Configure(3, plannedRoutes()))
		wait.Wait()
	},
}

// stopVM stops a VM, which must not cut a request off.
func stopVM(t *testing.T, s *demo.Site, vm int) {
	t.Helper()
	if err := s.StopNode(vm); err != nil {
		t.Errorf("stop VM %d: %v", vm, err)
	}
}

// A sound server is silent for 1.2 s and goes on, and planned work begins meanwhile. Guards against a request that
// planned work, or planned work and a silence together, leave without its whole answer, and against one that is refused
// or not answered and has run.
func TestPlannedWorkBesideSilence(t *testing.T) {
	for _, kind := range demo.SiteRequestKinds {
		for name, work := range plannedWorks {
			t.Run(kind.Name+", "+name, func(t *testing.T) {
				t.Parallel()
				s, ctx := startSite(t, demo.SiteOptions{Backends: 2 * len(demo.SiteModels), WorkTime: plannedWorkTime, Routes: plannedRoutes()})
				runPlanned(ctx, t, &planned{site: s, kind: kind, vms: []int{0, 1, 2}}, func(silent *stand.Backend) { work(t, s, silent) })
			})
		}
	}
}

// runPlanned does planned work while requests are under way and arrive and the server of the first one is silent.
func runPlanned(ctx context.Context, t *testing.T, p *planned, work func(silent *stand.Backend)) {
	t.Helper()
	p.results = make(map[string]plannedResult)
	silent := p.begin(ctx, t)
	require.NoError(t, p.site.SetSilent(silent, true))
	goOn := time.AfterFunc(plannedSilence, func() { _ = p.site.SetSilent(silent, false) })
	defer goOn.Stop()
	moreCtx, stop := context.WithCancel(ctx)
	var more sync.WaitGroup
	more.Go(func() { p.sendMore(moreCtx, ctx) })
	pause.For(ctx, plannedDelay)
	work(silent)
	stop()
	more.Wait()
	p.check(t)
}

// A VM stops that others need: the controller, a relay of their links, or the VM that sends their requests to the
// servers, while a server is silent. Guards against requests of other VMs that a stopping VM ends, and against requests
// that may run once and get neither their answer nor a refusal.
func TestStopOfVMThatOthersNeed(t *testing.T) {
	tests := map[string]struct {
		vms int
		// prepare returns the VMs that stop, and those that get requests. relays counts the VMs that have become relays.
		prepare func(ctx context.Context, t *testing.T, s *demo.Site, relays *atomic.Int64) (stopping, callersOf []int)
	}{
		"controller": {3, func(ctx context.Context, t *testing.T, s *demo.Site, _ *atomic.Int64) ([]int, []int) {
			controller := controllerOf(ctx, t, s)
			return []int{controller}, []int{0, 1, 2}
		}},
		"controller and the next one": {3, func(ctx context.Context, t *testing.T, s *demo.Site, _ *atomic.Int64) ([]int, []int) {
			controller := controllerOf(ctx, t, s)
			return []int{controller, (controller + 1) % 3}, []int{0, 1, 2}
		}},
		// Whichever VM of a failure domain is its relay, it is among them.
		"relay": {21, func(_ context.Context, t *testing.T, _ *demo.Site, relays *atomic.Int64) ([]int, []int) {
			requireEventually(t, func() bool { return relays.Load() >= domains }, time.Millisecond)
			return []int{0, 3, 6, 9, 12, 15, 18}, []int{0, 1, 2, 4, 5, 7, 8}
		}},
		"proxy": {3, func(ctx context.Context, t *testing.T, s *demo.Site, _ *atomic.Int64) ([]int, []int) {
			return []int{2}, requireProxied(ctx, t, s, 0, 1)
		}},
		"proxy and the VM that uses it": {3, func(ctx context.Context, t *testing.T, s *demo.Site, _ *atomic.Int64) ([]int, []int) {
			return []int{2, 0}, requireProxied(ctx, t, s, 0)
		}},
		"controller that is the proxy": {3, func(ctx context.Context, t *testing.T, s *demo.Site, _ *atomic.Int64) ([]int, []int) {
			controller := controllerOf(ctx, t, s)
			return []int{controller}, requireProxied(ctx, t, s, (controller+1)%3, (controller+2)%3)
		}},
		"VM that uses a proxy": {3, func(ctx context.Context, t *testing.T, s *demo.Site, _ *atomic.Int64) ([]int, []int) {
			return []int{0}, requireProxied(ctx, t, s, 0)
		}},
	}
	for _, kind := range demo.SiteRequestKinds {
		for name, tc := range tests {
			t.Run(kind.Name+", "+name, func(t *testing.T) {
				t.Parallel()
				var relays atomic.Int64
				log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
					if message == "started as a relay" {
						relays.Add(1)
					}
				}))
				s, ctx := startSite(t, demo.SiteOptions{VMs: tc.vms, Backends: 2 * len(demo.SiteModels), WorkTime: plannedWorkTime, Routes: plannedRoutes(), Log: log})
				stopping, vms := tc.prepare(ctx, t, s, &relays)
				runPlanned(ctx, t, &planned{site: s, kind: kind, vms: vms}, func(*stand.Backend) {
					var wait sync.WaitGroup
					for _, vm := range stopping {
						wait.Go(func() { stopVM(t, s, vm) })
					}
					wait.Wait()
				})
				if strings.Contains(name, "prox") {
					require.NotZero(t, proxiedRequests(s))
				}
			})
		}
	}
}

// requireProxied cuts VMs off from all servers, waits until another one sends their requests, and returns them.
func requireProxied(ctx context.Context, t *testing.T, s *demo.Site, cut ...int) []int {
	t.Helper()
	for _, vm := range cut {
		s.Path(vm).SetState(stand.PathRefused)
	}
	for _, vm := range cut {
		for n := 0; !servedAtFirst(ctx, s, vm, fmt.Sprintf("proxied-%d-%d", vm, n)); n++ {
			require.NoError(t, ctx.Err())
		}
	}
	return cut
}

// A VM that sends requests of others stops. Guards against a request that reaches it after SIGTERM, lasts longer than its
// grace time and is cut, though its caller's VM stays.
func TestProxyThatStopsTakesOnlyWhatItCanFinish(t *testing.T) {
	const arrival = 300 * time.Millisecond
	for _, kind := range demo.SiteRequestKinds {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			s, ctx := startSite(t, demo.SiteOptions{Backends: 2 * len(demo.SiteModels), WorkTime: plannedWorkTime, Routes: plannedRoutes()})
			settings := changedSettings(t, s, "grace = 5s\nnotice = 50ms", "grace = 1500ms\nnotice = 600ms")
			p := &planned{site: s, kind: kind, vms: requireProxied(ctx, t, s, 0, 1), results: make(map[string]plannedResult)}
			s.Node(2).Reload(settings)
			time.AfterFunc(arrival, func() {
				for i := range plannedRequests {
					p.send(ctx, fmt.Sprint(kind.Name, "-arriving-", i), p.vms[i%len(p.vms)], false)
				}
			})
			stopVM(t, s, 2)
			p.check(t)
		})
	}
}
