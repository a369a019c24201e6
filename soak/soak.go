// Package soak runs the real program as separate processes on one machine and injects faults from
// outside. Loopback proxies delay, reset or block connections in one or both directions. Processes are
// paused, killed, stopped and restarted. Stand-ins for the store and the backend servers fail. During a
// run and at its end, the package checks the system's guarantees from the responses that callers get
// and the requests that servers execute.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
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
	// VMs is the number of VMs; 0 means three. Callers is the number of callers; 0 means twelve.
	VMs, Callers int
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
}

const (
	defaultVMs     = 3
	defaultCallers = 12
	startTimeout   = 30 * time.Second
	// recoveryTimeout is the time within which all VMs must serve after the last fault, and
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

	mu            sync.Mutex
	serverProxies []*Proxy
	// proxyByServerID holds the proxy in front of each backend server, by the backend's ID.
	proxyByServerID map[string]*Proxy
	outcomes        []demo.Outcome
	faults          map[string]int
}

// vm is one VM process with the proxy between it and the store.
type vm struct {
	settingsPath, listenAddress string
	// source is the IP address from which the VM connects to the servers.
	source     string
	storeProxy *Proxy
	logFile    *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// reserved is set while the process is being restarted.
	reserved bool
}

// reserve reserves the process for a restart. It reports false if it was already reserved.
func (v *vm) reserve() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	free := !v.reserved
	v.reserved = true
	return free
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reserved = false
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
	r := &run{options: o, faults: make(map[string]int), proxyByServerID: make(map[string]*Proxy)}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	loadCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for i := range o.Callers {
		wait.Go(func() { r.sendRequests(loadCtx, i) })
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
	r.checks.CheckExecutions(r.outcomes, r.site.Runs)
	for _, b := range r.site.Backends(demo.SiteModelService) {
		if b.Overcommitted() {
			r.checks.AddViolation("server %s was ordered to exceed its memory or adapter slots", b.ID)
		}
	}
	return r.result(), nil
}

func (r *run) result() Result {
	res := Result{Seed: r.options.Seed, Faults: r.faults, Requests: len(r.outcomes), Violations: r.checks.Violations()}
	for _, o := range r.outcomes {
		if o.Succeeded() {
			res.Served++
		}
	}
	return res
}

func (r *run) start(ctx context.Context) error {
	var err error
	r.site, err = demo.StartSite(ctx, demo.SiteOptions{NoVMs: true, RegisteredAddress: r.proxyAddress, CrashBody: crashBody, CrashPart: crashPart, Teams: teams(1, true), Log: zerolog.Nop()})
	if err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	for i := range r.options.VMs {
		if err := r.addVM(i); err != nil {
			return err
		}
	}
	return r.waitServing(ctx, startTimeout)
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
	// Servers are added only while the site starts; serverProxies is read without mu
	// afterwards.
	r.serverProxies = append(r.serverProxies, p)
	r.proxyByServerID[id] = p
	return p.Address(), nil
}

func (r *run) addVM(i int) error {
	store, err := NewProxy(r.site.StoreAddress())
	if err != nil {
		return fmt.Errorf("start proxy for the store: %w", err)
	}
	v := &vm{storeProxy: store, settingsPath: filepath.Join(r.options.Dir, fmt.Sprintf("vm-%d.ini", i))}
	r.vms = append(r.vms, v)
	text, err := demo.VMSettings(i, store.Address())
	if err != nil {
		return err
	}
	if !r.options.NoCuts {
		v.source = fmt.Sprintf("127.0.0.%d", firstSource+i)
		text = fmt.Appendf(text, "[servers]\nsource = %s\n", v.source)
	}
	if err := os.WriteFile(v.settingsPath, text, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if v.listenAddress, err = demo.ListenAddress(text); err != nil {
		return err
	}
	if v.logFile, err = os.Create(filepath.Join(r.options.Dir, fmt.Sprintf("vm-%d.log", i))); err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	return v.start(r.options.Program)
}

// start starts the VM process.
func (v *vm) start(program string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := exec.Command(program, "node", "-settings", v.settingsPath)
	c.Stdout, c.Stderr = v.logFile, v.logFile
	if err := c.Start(); err != nil {
		return fmt.Errorf("start VM: %w", err)
	}
	v.command, v.exited = c, make(chan struct{})
	go func(ended chan struct{}) {
		// The exit status is kept in c: the code that ends the process checks that it exits in time.
		_ = c.Wait()
		close(ended)
	}(v.exited)
	return nil
}

// signal sends a signal to the process that this run started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// The error is ignored: the process may have exited already.
	_ = v.command.Process.Signal(s)
}

// waitExit waits for a process that was signaled to exit, and reports whether it exited within
// exitTimeout. Otherwise the process logs its goroutines on SIGQUIT and is then killed.
func (v *vm) waitExit() bool {
	if v.waitFor(exitTimeout) {
		return true
	}
	v.signal(syscall.SIGQUIT)
	if !v.waitFor(stackDumpTimeout) {
		v.signal(syscall.SIGKILL)
		v.waitFor(exitTimeout)
	}
	return false
}

func (v *vm) waitFor(limit time.Duration) bool {
	v.mu.Lock()
	ended := v.exited
	v.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// sendRequests sends requests as one caller, one at a time. It reuses its connection to a VM until
// the VM closes it.
func (r *run) sendRequests(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+100))
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		k := demo.SiteRequestKinds[rng.IntN(len(demo.SiteRequestKinds))]
		o := r.site.SendRequest(context.Background(), client, r.vms[rng.IntN(len(r.vms))].listenAddress, fmt.Sprintf("%d-%d-%d", r.options.Seed, n, i), k, rng)
		r.checks.CheckOutcome(o)
		r.mu.Lock()
		r.outcomes = append(r.outcomes, o)
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// waitServing waits until every VM has served a request. Its error says what is known of the VM that has not. It must
// not be called while VMs are restarted.
func (r *run) waitServing(ctx context.Context, limit time.Duration) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	rng := rand.New(rand.NewPCG(1, 1))
	for i, v := range r.vms {
		for n := 0; ; n++ {
			o := r.site.SendRequest(context.Background(), client, v.listenAddress, fmt.Sprintf("await-%d-%d-%d", i, time.Now().UnixNano(), n), demo.SiteRequestKinds[0], rng)
			if o.Succeeded() {
				break
			}
			if v.hasExited() || time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("wait for VM %d: request not served: %w; %s", i, cmp.Or(o.Err, fmt.Errorf("status %d", o.Status)), v.describe())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// checkRecovery clears all faults. It then checks that all VMs serve, that every model is reachable,
// that crashing requests and parts of prompts are blocked, that the rate limit and the limit on retries hold, that a
// restored store's configurations come into force, and that the processes exit on SIGTERM.
func (r *run) checkRecovery(ctx context.Context) {
	r.clearFaults()
	if err := r.waitServing(ctx, recoveryTimeout); err != nil {
		r.checks.AddViolation("no recovery after the last fault: %v", err)
		return
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(recoveryTimeout)
	for _, model := range demo.SiteModels {
		k := demo.RequestKind{Name: "draft", Method: http.MethodPost, Path: "/draft/x", Stream: true, Models: []string{model}}
		for n := 0; ; n++ {
			o := r.site.SendRequest(context.Background(), client, r.vms[0].listenAddress, fmt.Sprintf("reach-%s-%d-%d", model, r.options.Seed, n), k, rand.New(rand.NewPCG(1, 1)))
			r.checks.CheckOutcome(o)
			if o.Succeeded() {
				break
			}
			if time.Now().After(deadline) {
				r.checks.AddViolation("model %s is not reachable", model)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	var wait sync.WaitGroup
	wait.Go(func() { r.checkBlocked(ctx) })
	wait.Go(func() { r.checkLimit(ctx) })
	wait.Wait()
	r.checkParts(ctx)
	r.checkRetries(ctx)
	r.checkRejectLimit(ctx)
	r.checkSilence(ctx)
	r.checkCut(ctx)
	r.checkTakeUps(ctx)
	r.checkRestored(ctx)
	r.checkLoweredQuota(ctx)
	for i, v := range r.vms {
		v.signal(syscall.SIGTERM)
		if !v.waitExit() {
			r.checks.AddViolation("VM %d did not exit after SIGTERM", i)
		}
	}
}

// clearFaults clears all injected faults and resumes paused processes.
func (r *run) clearFaults() {
	r.site.Objects.SetFaults(stand.ObjectStoreFaults{})
	for _, b := range append(r.site.Backends(demo.SiteModelService), r.site.Backends(demo.SitePlainService)...) {
		b.SetPendingFaults(nil)
	}
	for _, p := range r.serverProxies {
		p.SetMode(Forward)
	}
	for _, v := range r.vms {
		v.storeProxy.SetMode(Forward)
		v.signal(syscall.SIGCONT)
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
	if r.site != nil {
		r.site.Close()
	}
	for _, p := range r.serverProxies {
		p.Close()
	}
}
