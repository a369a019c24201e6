// Package soak runs the real program as separate processes on one machine and
// injects faults from outside: connections that a loopback proxy delays, resets,
// silences or cuts one way, processes that are paused, killed, stopped and
// started again, and stand-ins of the store and of servers that misbehave. It
// checks the promises from what callers and servers see, while it runs and at
// its end.
package soak

import (
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

// Options say what to run.
type Options struct {
	// Program is the path of hibiscuscart, Dir where settings and logs go.
	Program, Dir string
	Seed         uint64
	// For is how long faults and load go on.
	For time.Duration
	// VMs and Callers are how many of each there are; 0 takes three and twelve.
	VMs, Callers int
}

// Result is what a run saw.
type Result struct {
	Seed uint64 `json:"seed"`
	// Faults counts the injected faults by kind.
	Faults map[string]int `json:"faults"`
	// Requests counts those sent, Served those answered with success.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	// Broken are the broken promises.
	Broken []string `json:"broken"`
}

const (
	defaultVMs     = 3
	defaultCallers = 12
	startLimit     = 30 * time.Second
	// settleLimit is how long the system has to serve again after the last
	// fault, and endLimit how long a process has to end after SIGTERM.
	settleLimit = 30 * time.Second
	endLimit    = 20 * time.Second
	dumpLimit   = 2 * time.Second
	callLimit   = 7 * time.Second
)

// run is one soak.
type run struct {
	options Options
	site    *demo.Site
	vms     []*vm
	checks  demo.Checks
	// crashingRequests is appended to by crashServers and read only after it has returned.
	crashingRequests []*crashingRequest

	mu     sync.Mutex
	fronts []*Proxy
	// frontsByID holds the proxy in front of each backend server, by the backend's ID.
	frontsByID map[string]*Proxy
	outcomes   []demo.Outcome
	faults     map[string]int
}

// vm is one process of the system, with the proxy between it and the store.
type vm struct {
	settings, listen string
	store            *Proxy
	log              *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// claimed is set while the process is being started again.
	claimed bool
}

// claim reserves the process for a restart; it reports whether it was free.
func (v *vm) claim() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	free := !v.claimed
	v.claimed = true
	return free
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.claimed = false
}

// Run runs one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.VMs == 0 {
		o.VMs = defaultVMs
	}
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	r := &run{options: o, faults: make(map[string]int), frontsByID: make(map[string]*Proxy)}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	load, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var wait sync.WaitGroup
	for i := range o.Callers {
		wait.Go(func() { r.caller(load, i) })
	}
	wait.Go(func() { r.crashServers(load) })
	r.strike(load)
	wait.Wait()
	r.settle(ctx)
	r.checks.Runs(r.outcomes, r.site.Runs)
	for _, b := range r.site.Backends(demo.SiteModel) {
		if b.Overcommitted() {
			r.checks.Add("server %s was ordered beyond its memory or places", b.ID)
		}
	}
	return r.result(), nil
}

func (r *run) result() Result {
	res := Result{Seed: r.options.Seed, Faults: r.faults, Requests: len(r.outcomes), Broken: r.checks.Broken()}
	for _, o := range r.outcomes {
		if o.Good() {
			res.Served++
		}
	}
	return res
}

func (r *run) start(ctx context.Context) error {
	var err error
	r.site, err = demo.StartSite(ctx, demo.SiteOptions{NoVMs: true, Front: r.front, CrashBody: crashBody, Log: zerolog.Nop()})
	if err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	for i := range r.options.VMs {
		if err := r.addVM(i); err != nil {
			return err
		}
	}
	return r.await(ctx, startLimit)
}

// front returns the address of the proxy that forwards to a backend server at address. A restarted
// server keeps its proxy, so that no proxy of an ended process remains a target of faults.
func (r *run) front(id, address string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.frontsByID[id]; p != nil {
		p.SetTarget(address)
		return p.Address(), nil
	}
	p, err := NewProxy(address)
	if err != nil {
		return "", err
	}
	// Servers are added only while the site starts; fronts is read without mu afterwards.
	r.fronts = append(r.fronts, p)
	r.frontsByID[id] = p
	return p.Address(), nil
}

func (r *run) addVM(i int) error {
	store, err := NewProxy(r.site.StoreAddress())
	if err != nil {
		return fmt.Errorf("proxy to the store: %w", err)
	}
	v := &vm{store: store, settings: filepath.Join(r.options.Dir, fmt.Sprintf("vm-%d.ini", i))}
	r.vms = append(r.vms, v)
	text, err := demo.VMSettings(i, store.Address())
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settings, text, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if v.listen, err = demo.ListenAddress(text); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(r.options.Dir, fmt.Sprintf("vm-%d.log", i))); err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	return v.start(r.options.Program)
}

// start starts the process.
func (v *vm) start(program string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := exec.Command(program, "node", "-settings", v.settings)
	c.Stdout, c.Stderr = v.log, v.log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start VM: %w", err)
	}
	v.command, v.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		// Its status is judged by the one who ended it.
		_ = c.Wait()
		close(ended)
	}(v.ended)
	return nil
}

// signal sends a signal to the process that this run started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// A process that has ended already needs no signal.
	_ = v.command.Process.Signal(s)
}

// mustEnd waits for a process that was told to end. One that does not writes its
// goroutines to its log before it is killed; it reports whether it ended.
func (v *vm) mustEnd() bool {
	if v.wait(endLimit) {
		return true
	}
	v.signal(syscall.SIGQUIT)
	if !v.wait(dumpLimit) {
		v.signal(syscall.SIGKILL)
		v.wait(endLimit)
	}
	return false
}

func (v *vm) wait(limit time.Duration) bool {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// caller sends requests one after the other, and keeps using its connection
// until the VM ends it.
func (r *run) caller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+100))
	client := &http.Client{Timeout: callLimit}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		k := demo.SiteKinds[rng.IntN(len(demo.SiteKinds))]
		o := r.site.Ask(context.Background(), client, r.vms[rng.IntN(len(r.vms))].listen, fmt.Sprintf("%d-%d-%d", r.options.Seed, n, i), k, rng)
		r.checks.Answer(o)
		r.mu.Lock()
		r.outcomes = append(r.outcomes, o)
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// await waits until every VM serves.
func (r *run) await(ctx context.Context, limit time.Duration) error {
	client := &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	rng := rand.New(rand.NewPCG(1, 1))
	for i, v := range r.vms {
		for n := 0; ; n++ {
			o := r.site.Ask(context.Background(), client, v.listen, fmt.Sprintf("await-%d-%d-%d", i, time.Now().UnixNano(), n), demo.SiteKinds[0], rng)
			if o.Good() {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("VM %d does not serve: status %d", i, o.Status)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// settle lifts all faults and checks that the system serves again, that every
// model is reachable, and that SIGTERM ends the processes.
func (r *run) settle(ctx context.Context) {
	r.lift()
	if err := r.await(ctx, settleLimit); err != nil {
		r.checks.Add("after the last fault: %v", err)
		return
	}
	client := &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(settleLimit)
	for _, model := range demo.SiteModels {
		k := demo.Kind{Name: "draft", Method: http.MethodPost, Path: "/draft/x", Stream: true, Models: []string{model}}
		for n := 0; ; n++ {
			o := r.site.Ask(context.Background(), client, r.vms[0].listen, fmt.Sprintf("reach-%s-%d-%d", model, r.options.Seed, n), k, rand.New(rand.NewPCG(1, 1)))
			r.checks.Answer(o)
			if o.Good() {
				break
			}
			if time.Now().After(deadline) {
				r.checks.Add("model %s is not reachable", model)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	var wait sync.WaitGroup
	wait.Go(func() { r.checkBlocked(ctx) })
	wait.Go(func() { r.checkLimit(ctx) })
	wait.Wait()
	for i, v := range r.vms {
		v.signal(syscall.SIGTERM)
		if !v.mustEnd() {
			r.checks.Add("VM %d does not end after SIGTERM", i)
		}
	}
}

func (r *run) lift() {
	r.site.Objects.SetFaults(stand.ObjectStoreFaults{})
	for _, b := range append(r.site.Backends(demo.SiteModel), r.site.Backends(demo.SitePlain)...) {
		b.SetPendingFaults(nil)
	}
	for _, p := range r.fronts {
		p.Set(Pass)
	}
	for _, v := range r.vms {
		v.store.Set(Pass)
		v.signal(syscall.SIGCONT)
	}
}

// close ends everything that this run started.
func (r *run) close() {
	for _, v := range r.vms {
		if v.command != nil {
			v.signal(syscall.SIGKILL)
			v.wait(endLimit)
		}
		v.store.Close()
		if v.log != nil {
			_ = v.log.Close()
		}
	}
	if r.site != nil {
		r.site.Close()
	}
	for _, p := range r.fronts {
		p.Close()
	}
}
