// Package demo runs complete deployments in one process on loopback: VMs of the system, and stand-ins
// for the platform and the backend servers. The demo command, the experiments and multi-VM tests use
// it.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/naive"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const anyLoopbackPort = "127.0.0.1:0"

// Options configures a World.
type Options struct {
	Settings *conf.Settings
	Profiles []wire.Profile
	// VMsPerDomain limits the number of entry VMs in each failure domain; 0 means no limit.
	VMsPerDomain int
	// MaxVMs limits the total number of entry VMs; 0 means no limit.
	MaxVMs int
	// Preload starts the deployment with one copy of each model loaded, as in a deployment that has
	// been running.
	Preload bool
	// PreloadCopies is the number of copies of each model that Preload loads; 0 means one.
	PreloadCopies int
	// AdjustEngine changes an engine stand-in before it starts.
	AdjustEngine func(*stand.Engine)
	Seed         uint64
	Log          zerolog.Logger
	// Adjust changes the configuration of a VM before it starts.
	Adjust func(*entry.Config)
}

// World is a deployment on loopback in one process: entry VMs, and stand-ins for the platform, the
// weight store and the backend servers of the settings.
type World struct {
	Platform *stand.Platform
	Weights  *stand.Weights
	Net      *stand.Net
	Runs     *stand.Runs

	options         Options
	mu              sync.Mutex
	rng             *rand.Rand
	engines         map[string]*stand.Engine
	services        map[string]*stand.Service
	servers         []wire.Server
	httpServers     map[string]*http.Server
	vms             map[string]*entry.Daemon
	killed          map[string]bool
	platformAddress string
}

// Start starts a deployment. The caller must call Close.
func Start(ctx context.Context, o Options) (*World, error) {
	w := &World{
		Platform: &stand.Platform{
			WritesPerSecond: o.Settings.Float("platform", "writes_per_second"),
			ReadsPerSecond:  o.Settings.Float("platform", "reads_per_second"),
			Key:             o.Settings.Text("platform", "key"),
		},
		Weights: NewWeights(o.Settings), Net: &stand.Net{}, Runs: &stand.Runs{}, options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, 7)),
		engines: make(map[string]*stand.Engine), services: make(map[string]*stand.Service),
		httpServers: make(map[string]*http.Server), vms: make(map[string]*entry.Daemon), killed: make(map[string]bool),
	}
	w.Platform.Chance = w.randomFloat
	if err := w.start(ctx); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// NewWeights returns a stand-in for the weight store in the settings.
func NewWeights(s *conf.Settings) *stand.Weights {
	return &stand.Weights{
		LoadsPerSecond:    s.Float("weight_store", "loads_per_second"),
		LoadsAtFullSpeed:  s.Int("weight_store", "loads_at_full_speed"),
		AdaptersInTransit: s.Int("weight_store", "adapters_in_transit"),
		ModelLoad:         s.Duration("weight_store", "model_load"),
		AdapterLoad:       s.Duration("weight_store", "adapter_load"),
	}
}

func (w *World) start(ctx context.Context) error {
	address, err := w.listen("platform", w.Platform.Handler())
	if err != nil {
		return err
	}
	w.platformAddress = address
	for _, pool := range w.options.Settings.Pools() {
		if err := w.startPool(pool); err != nil {
			return err
		}
	}
	if w.options.Preload {
		w.preloadModels()
	}
	for _, doc := range w.options.Profiles {
		if err := w.ApplyProfile(doc); err != nil {
			return err
		}
	}
	return w.startVMs(ctx)
}

func (w *World) randomFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// listen serves a handler on a free loopback port.
func (w *World) listen(name string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return "", fmt.Errorf("listen for %s: %w", name, err)
	}
	address := l.Addr().String()
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	w.mu.Lock()
	w.httpServers[name] = s
	w.mu.Unlock()
	w.Net.Name(address, name)
	go func() { _ = s.Serve(l) }()
	return address, nil
}

func (w *World) startPool(pool conf.Pool) error {
	for _, doc := range pool.Servers(w.options.Settings.FailureDomains()) {
		handler := w.newServerHandler(pool, doc)
		address, err := w.listen(doc.Name, handler)
		if err != nil {
			return err
		}
		doc.Address = address
		w.servers = append(w.servers, doc)
		if err := w.putObject(entry.KindServer, doc.Name, doc); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) newServerHandler(pool conf.Pool, doc wire.Server) http.Handler {
	if pool.IsService() {
		s := &stand.Service{Name: doc.Name, Runs: w.Runs, Chance: w.randomFloat}
		w.services[doc.Name] = s
		return s.Handler()
	}
	e := NewEngine(pool, doc.Name)
	e.Fetch, e.Runs, e.Chance = w.Weights.Fetch, w.Runs, w.randomFloat
	if w.options.AdjustEngine != nil {
		w.options.AdjustEngine(e)
	}
	w.engines[doc.Name] = e
	return e.Handler()
}

// NewEngine returns an engine stand-in configured from the settings of a pool.
func NewEngine(pool conf.Pool, name string) *stand.Engine {
	return &stand.Engine{
		Name: name, MemoryBytes: pool.MemoryBytes(), KVBytes: pool.KVBytes(), Slots: pool.Slots(),
		FirstToken: pool.FirstToken(), BetweenTokens: pool.BetweenTokens(), ChecksFencing: pool.ChecksFencing(),
	}
}

// preloadModels makes PreloadCopies copies of each model resident on the engines.
func (w *World) preloadModels() {
	var demands []naive.Demand
	for _, doc := range w.options.Profiles {
		for _, m := range doc.Models {
			demands = append(demands, naive.Demand{Pool: doc.Pool, Model: m})
		}
	}
	placement, _ := naive.Place(w.servers, demands, max(w.options.PreloadCopies, 1))
	for server, artifacts := range placement {
		for _, a := range artifacts {
			w.engines[server].SetResident(a.Model, a.Adapter, a.Version, a.Bytes)
		}
	}
}

// putObject writes an object directly to the platform, bypassing its rate limit as operators do.
func (w *World) putObject(kind, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	current, _ := w.Platform.Get(kind, name)
	if _, ok := w.Platform.Put(kind, name, current.Version, data); !ok {
		return fmt.Errorf("put %s/%s: conflict", kind, name)
	}
	return nil
}

// ApplyProfile writes a profile to the platform.
func (w *World) ApplyProfile(doc wire.Profile) error { return w.putObject(profs.Kind, doc.Name, doc) }

// SetServer writes the entry of a backend server to the platform.
func (w *World) SetServer(doc wire.Server) error { return w.putObject(entry.KindServer, doc.Name, doc) }

func (w *World) startVMs(ctx context.Context) error {
	started := make(map[string]int)
	for _, vm := range w.options.Settings.VMs() {
		domain := vm.FailureDomain()
		if limit := w.options.VMsPerDomain; limit > 0 && started[domain] >= limit {
			continue
		}
		if w.options.MaxVMs > 0 && len(w.VMs()) >= w.options.MaxVMs {
			break
		}
		started[domain]++
		if _, err := w.StartVM(ctx, vm); err != nil {
			return err
		}
	}
	return nil
}

// StartVM starts an entry VM and adds it to the platform's list of VMs.
func (w *World) StartVM(ctx context.Context, vm conf.VM) (*entry.Daemon, error) {
	c, err := entry.ConfigFrom(w.options.Settings, vm, w.options.Log)
	if err != nil {
		return nil, fmt.Errorf("configure %s: %w", vm.Name(), err)
	}
	c.Listen, c.PeerListen, c.Platform = anyLoopbackPort, anyLoopbackPort, "http://"+w.platformAddress
	dial := w.Net.Dialer(vm.Name())
	c.PlatformHTTP, c.BackendHTTP = &httpx.Client{Dial: dial}, &httpx.Client{Dial: dial}
	c.PeerDial, c.Seeds = dial, w.vmDocuments()
	c.Seed = w.options.Seed + uint64(len(w.vms)) + 1
	if w.options.Adjust != nil {
		w.options.Adjust(&c)
	}
	d := entry.New(c)
	if err := d.Start(ctx); err != nil {
		return nil, fmt.Errorf("start %s: %w", vm.Name(), err)
	}
	w.Net.Name(d.PeerAddress(), vm.Name())
	w.mu.Lock()
	w.vms[vm.Name()] = d
	w.mu.Unlock()
	doc := vm.Document()
	doc.PeerAddress = d.PeerAddress()
	w.Platform.SetVM(doc)
	return d, nil
}

// vmDocuments returns the documents by which the platform lists the running VMs.
func (w *World) vmDocuments() []wire.VM {
	var docs []wire.VM
	for name, d := range w.VMs() {
		docs = append(docs, wire.VM{Name: name, FailureDomain: d.FailureDomain(), PeerAddress: d.PeerAddress()})
	}
	return docs
}

// RestartVM starts a VM that was stopped or killed.
func (w *World) RestartVM(ctx context.Context, name string) (*entry.Daemon, error) {
	vm, err := w.options.Settings.VM(name)
	if err != nil {
		return nil, fmt.Errorf("find VM to restart: %w", err)
	}
	return w.StartVM(ctx, vm)
}

// PeerBytes returns the total number of bytes that the running VMs have sent to and received from
// their peers.
func (w *World) PeerBytes() int64 {
	total := int64(0)
	for _, d := range w.VMs() {
		total += d.Metrics().Counter("peers.bytes_sent") + d.Metrics().Counter("peers.bytes_received")
	}
	return total
}

// Split returns the hosts inside a failure domain, and all other hosts including the platform.
func (w *World) Split(domain string) (inside, outside []string) {
	outside = append(outside, "platform")
	add := func(name, serverDomain string) {
		if serverDomain == domain {
			inside = append(inside, name)
			return
		}
		outside = append(outside, name)
	}
	for name, d := range w.VMs() {
		add(name, d.FailureDomain())
	}
	for _, doc := range w.servers {
		add(doc.Name, doc.FailureDomain)
	}
	return inside, outside
}

// SetCut blocks or restores the network path from one host to another, in this direction only.
func (w *World) SetCut(from, to string, cut bool) {
	if cut {
		w.Net.Cut(from, to)
		return
	}
	w.Net.Heal(from, to)
}

// StopVM removes a VM from the platform's list and stops it gracefully.
func (w *World) StopVM(ctx context.Context, name string) error {
	d := w.removeVM(name)
	if d == nil {
		return fmt.Errorf("stop VM %s: not running", name)
	}
	return d.Stop(ctx)
}

// KillVM removes a VM from the platform's list and kills it without a graceful shutdown.
func (w *World) KillVM(name string) {
	if d := w.removeVM(name); d != nil {
		d.Kill()
	}
}

func (w *World) removeVM(name string) *entry.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.vms[name]
	delete(w.vms, name)
	w.Platform.RemoveVM(name)
	return d
}

// KillServer closes the listener and connections of a backend server.
func (w *World) KillServer(name string) {
	w.mu.Lock()
	s := w.httpServers[name]
	w.killed[name] = true
	w.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// VMs returns the running VMs by name.
func (w *World) VMs() map[string]*entry.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string]*entry.Daemon, len(w.vms))
	for name, d := range w.vms {
		all[name] = d
	}
	return all
}
