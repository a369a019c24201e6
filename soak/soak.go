// Package soak runs the real program as separate processes on one machine and injects faults from
// outside. Loopback proxies delay, reset or block connections in one or both directions. Processes are
// paused, killed, stopped and restarted. Stand-ins for the store and the backend servers fail. During a
// run and at its end, the package checks the system's guarantees from the responses that callers get
// and the requests that servers execute.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/demo"
)

// Options configures a run.
type Options struct {
	// Program is the path of the hibiscuscart program, and Dir the folder for settings and logs.
	Program, Dir string
	Seed         uint64
	// Duration is the duration of the faults and the load.
	Duration time.Duration
	// NoCuts leaves out the cuts between single VMs and all servers. They need a setting that builds from
	// before the proxy VMs do not know.
	NoCuts bool
	// Planned leaves out all faults and their checks: only planned work is done, beside sound servers that are silent. In
	// runs with an even seed VMs know how many tokens an event has, so that they can measure the pace of streams.
	Planned bool
	// Repeats leaves out all faults but refusals that come twice and silences, and their checks.
	Repeats bool
	// OutOfStep leaves out all faults but those that put a VM out of step with the others as servers of a new software
	// version join, and their checks. Desync, if not empty, is a JSON object with the fields of the drawn Desync
	// that are to be others.
	OutOfStep bool
	Desync    string
	// Odd leaves out all faults but odd objects in the store, and their checks.
	Odd bool
	// Streams only reads streams to their end beside all that may break them, and checks their order.
	Streams bool
	// Share is the share of each window of a tenth of a second in which VMs run, with Streams; 0 means all of it.
	Share float64
	// VMs is the number of VMs; 0 means three. Callers is the number of callers; 0 means twelve. Servers is the number of
	// servers of each service; 0 means three, with OutOfStep outOfStepServers.
	VMs, Callers, Servers int
}

// Result is the result of a run.
type Result struct {
	Seed uint64 `json:"seed"`
	// Faults counts the injected faults by kind.
	Faults map[string]int `json:"faults"`
	// Requests counts the requests sent by the callers, Served those with a complete successful
	// response.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	// Violations describes the violated guarantees.
	Violations []string `json:"broken"`
	// Desync is how a VM was put out of step, and TakeUps counts how the requests ended there that took streams up.
	Desync  *Desync        `json:"desync,omitempty"`
	TakeUps map[string]int `json:"take_ups,omitempty"`
}

const (
	defaultVMs     = 3
	defaultCallers = 12
	// recoveryTimeout is the time within which all VMs must serve after their start and the last fault, and
	// exitTimeout the time within which a process must exit after SIGTERM.
	recoveryTimeout = 30 * time.Second
	exitTimeout     = 20 * time.Second
	// stackDumpTimeout is the time for a process to log its goroutines after SIGQUIT.
	stackDumpTimeout = 2 * time.Second
	callTimeout      = 7 * time.Second
)

// run is the state of one soak run.
type run struct {
	options      Options
	site         *demo.Site
	vms          []*vm
	checks       demo.Checks
	teamRequests teamRequests
	// crashingRequests is appended to by crashServers and read only after it has returned.
	crashingRequests []*crashingRequest
	disturbances     disturbances
	// network is between the VMs, nil if they reach each other without it.
	network *network
	desync  *Desync
	takeUps map[string]int

	mu            sync.Mutex
	serverProxies []*Proxy
	// proxyByServerID holds the proxy in front of each backend server, by the backend's ID.
	proxyByServerID map[string]*Proxy
	outcomes        []demo.Outcome
	faults          map[string]int
	// streamServers holds the server in front of each model server, with Streams, and nextRun the number of the next run.
	streamServers map[string]*http.Server
	// replacedAt is the start of the last instance of each model server that was replaced.
	replacedAt map[string]time.Time
	nextRun    atomic.Uint64
}

// Run starts the system, injects the faults of one seed under load, and checks the guarantees. A
// violated guarantee is reported in the Result, not as an error.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.VMs == 0 {
		o.VMs = defaultVMs
	}
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	r := &run{options: o, faults: make(map[string]int), proxyByServerID: make(map[string]*Proxy), streamServers: make(map[string]*http.Server), replacedAt: make(map[string]time.Time)}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	if o.Planned {
		r.checkPlanned(ctx)
		return r.result(), nil
	}
	if o.Repeats {
		r.checkRepeats(ctx)
		return r.result(), nil
	}
	if o.OutOfStep {
		r.checkOutOfStep(ctx)
		return r.result(), nil
	}
	if o.Streams {
		r.checkStreams(ctx)
		return r.result(), nil
	}
	if o.Odd {
		r.checkOdd(ctx)
		return r.result(), nil
	}
	r.setSilences(silenceInterval)
	loadCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for i := range o.Callers {
		wait.Go(func() { r.sendRequests(loadCtx, i, demo.SiteRequestKinds) })
	}
	for i := range hotCallers {
		wait.Go(func() { r.sendHot(loadCtx, "hot", i) })
	}
	for i := range takeUpCallers {
		wait.Go(func() { r.takeStreamsUp(loadCtx, i) })
	}
	wait.Go(func() { r.releaseServers(loadCtx) })
	wait.Go(func() { r.crashServers(loadCtx) })
	wait.Go(func() { r.injectNotices(loadCtx) })
	wait.Go(func() { r.slowVMs(loadCtx) })
	wait.Go(func() { r.cutVMs(loadCtx) })
	wait.Go(func() { r.restoreStore(loadCtx) })
	r.injectFaults(loadCtx)
	wait.Wait()
	r.checkQuota(1, time.Time{})
	r.checkRecovery(ctx)
	r.checkTeams()
	r.checkNotices()
	r.checkEndless()
	r.checks.CheckExecutions(r.outcomes, r.site.Runs)
	for _, b := range r.site.Backends(demo.SiteModelService) {
		if b.Overcommitted() {
			r.checks.AddViolation("server %s was ordered to exceed its memory or adapter slots", b.ID)
		}
	}
	return r.result(), nil
}

func (r *run) result() Result {
	res := Result{Seed: r.options.Seed, Faults: r.faults, Requests: len(r.outcomes), Violations: r.checks.Violations(), Desync: r.desync, TakeUps: r.takeUps}
	for _, o := range r.outcomes {
		if o.Succeeded() {
			res.Served++
		}
	}
	return res
}

func (r *run) start(ctx context.Context) error {
	tokensPerEvent := 0
	if r.measured() {
		tokensPerEvent = plannedTokensPerEvent
	}
	options := demo.SiteOptions{
		NoVMs: true, Backends: r.options.Servers, TokensPerEvent: tokensPerEvent, RegisteredAddress: r.proxyAddress,
		CrashBody: crashBody, CrashPart: crashPart, Teams: teams(1, true), Log: zerolog.Nop(),
	}
	if r.options.OutOfStep {
		options.Backends, options.Routes = outOfStepServers, outOfStepRoutes()
	}
	if r.options.Streams {
		options.WorkTime, options.RegisteredAddress = streamTime, r.registerServer
	}
	site, err := demo.StartSite(ctx, options)
	if err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	r.mu.Lock()
	r.site = site
	r.mu.Unlock()
	if r.options.Streams {
		r.startModelServers()
	}
	for i := range r.options.VMs {
		if err := r.addVM(i); err != nil {
			return err
		}
	}
	if r.options.OutOfStep && len(r.vms) <= maxNetworkVMs {
		if r.network, err = newNetwork(r.vms); err != nil {
			return err
		}
	}
	for _, v := range r.vms {
		if err := v.start(r.options.Program); err != nil {
			return err
		}
	}
	return r.waitServing(ctx)
}

// proxyAddress returns the address of the proxy that forwards to a backend server at address. A
// restarted server keeps its proxy, so that faults are never injected into the proxy of an exited
// process.
func (r *run) proxyAddress(id, address string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.proxyByServerID[id]; p != nil {
		p.SetTarget(address)
		return p.Address(), nil
	}
	p, err := NewProxy(address)
	if err != nil {
		return "", err
	}
	r.serverProxies = append(r.serverProxies, p)
	r.proxyByServerID[id] = p
	return p.Address(), nil
}

// proxies returns the proxies in front of the backend servers.
func (r *run) proxies() []*Proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.serverProxies)
}

// pick returns one of the elements of a list.
func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// sendRequests sends requests of some kinds as one caller, one at a time. It reuses its connection to a VM until
// the VM closes it.
func (r *run) sendRequests(ctx context.Context, n int, kinds []demo.RequestKind) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+100))
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		k := kinds[rng.IntN(len(kinds))]
		o := r.site.SendRequest(context.Background(), client, r.vms[rng.IntN(len(r.vms))].listenAddress, fmt.Sprintf("%d-%d-%d", r.options.Seed, n, i), k, rng)
		r.checks.CheckOutcome(o)
		r.mu.Lock()
		r.outcomes = append(r.outcomes, o)
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// close kills the processes and closes the proxies and the site that this run started.
func (r *run) close() {
	for _, v := range r.vms {
		if v.command != nil {
			v.signal(syscall.SIGKILL)
			v.waitFor(exitTimeout)
		}
		v.storeProxy.Close()
		if v.logFile != nil {
			_ = v.logFile.Close()
		}
	}
	r.network.close()
	if r.site != nil {
		r.site.Close()
	}
	for _, p := range r.proxies() {
		p.Close()
	}
	for _, s := range r.streamServers {
		_ = s.Close()
	}
}
