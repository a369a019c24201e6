// Package demo runs a whole deployment in one process on loopback: the
// stand-ins and the entry VMs. The demo command, the experiments and the tests
// of several VMs use it.
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

const anyPort = "127.0.0.1:0"

// Options say what to run.
type Options struct {
	Settings *conf.Settings
	Profiles []wire.Profile
	// VMsPerDomain bounds the entry VMs of each failure domain; 0 runs all.
	VMsPerDomain int
	// MaxVMs bounds the entry VMs; 0 runs all.
	MaxVMs int
	// Preload has one copy of each model loaded at the start, as in a
	// deployment that has been running.
	Preload bool
	// PreloadCopies is how many copies Preload makes; 0 makes one.
	PreloadCopies int
	// AdjustEngine changes an engine stand-in before it starts.
	AdjustEngine func(*stand.Engine)
	Seed         uint64
	Log          zerolog.Logger
	// Adjust changes a VM's configuration before it starts.
	Adjust func(*entry.Config)
}

// World is a running deployment.
type World struct {
	Platform *stand.Platform
	Weights  *stand.WeightStore
	Net      *stand.Network
	Runs     *stand.RunCounter

	options  Options
	mu       sync.Mutex
	rng      *rand.Rand
	engines  map[string]*stand.Engine
	services map[string]*stand.Service
	servers  []wire.Server
	https    map[string]*http.Server
	vms      map[string]*entry.Daemon
	dead     map[string]bool
	platform string
}

// Start runs a deployment. Close ends it.
func Start(ctx context.Context, o Options) (*World, error) {
	w := &World{
		Platform: &stand.Platform{
			WritesPerSecond: o.Settings.Float("platform", "writes_per_second"),
			ReadsPerSecond:  o.Settings.Float("platform", "reads_per_second"),
			APIKey:          o.Settings.Text("platform", "key"),
		},
		Weights: NewWeights(o.Settings), Net: &stand.Network{}, Runs: &stand.RunCounter{}, options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, 7)),
		engines: make(map[string]*stand.Engine), services: make(map[string]*stand.Service),
		https: make(map[string]*http.Server), vms: make(map[string]*entry.Daemon), dead: make(map[string]bool),
	}
	w.Platform.Random = w.chance
	if err := w.start(ctx); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// NewWeights returns the weight store that the settings describe.
func NewWeights(s *conf.Settings) *stand.WeightStore {
	return &stand.WeightStore{
		LoadsPerSecond:        s.Float("weight_store", "loads_per_second"),
		FullSpeedModelLoads:   s.Int("weight_store", "loads_at_full_speed"),
		FullSpeedAdapterLoads: s.Int("weight_store", "adapters_in_transit"),
		ModelLoadTime:         s.Duration("weight_store", "model_load"),
		AdapterLoadTime:       s.Duration("weight_store", "adapter_load"),
	}
}

func (w *World) start(ctx context.Context) error {
	address, err := w.listen("platform", w.Platform.Handler())
	if err != nil {
		return err
	}
	w.platform = address
	for _, pool := range w.options.Settings.Pools() {
		if err := w.startPool(pool); err != nil {
			return err
		}
	}
	if w.options.Preload {
		w.preload()
	}
	for _, doc := range w.options.Profiles {
		if err := w.ApplyProfile(doc); err != nil {
			return err
		}
	}
	return w.startVMs(ctx)
}

func (w *World) chance() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// listen serves a handler on a free port of loopback.
func (w *World) listen(name string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", fmt.Errorf("listen for %s: %w", name, err)
	}
	address := l.Addr().String()
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	w.mu.Lock()
	w.https[name] = s
	w.mu.Unlock()
	w.Net.SetHost(address, name)
	go func() { _ = s.Serve(l) }()
	return address, nil
}

func (w *World) startPool(pool conf.Pool) error {
	for _, doc := range pool.Servers(w.options.Settings.FailureDomains()) {
		handler := w.newServer(pool, doc)
		address, err := w.listen(doc.Name, handler)
		if err != nil {
			return err
		}
		doc.Address = address
		w.servers = append(w.servers, doc)
		if err := w.put(entry.KindServer, doc.Name, doc); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) newServer(pool conf.Pool, doc wire.Server) http.Handler {
	if pool.IsService() {
		s := &stand.Service{Name: doc.Name, Runs: w.Runs, Random: w.chance}
		w.services[doc.Name] = s
		return s.Handler()
	}
	e := NewEngine(pool, doc.Name)
	e.FetchWeights, e.Runs, e.Random = w.Weights.Fetch, w.Runs, w.chance
	if w.options.AdjustEngine != nil {
		w.options.AdjustEngine(e)
	}
	w.engines[doc.Name] = e
	return e.Handler()
}

// NewEngine returns an engine stand-in that a pool's settings describe.
func NewEngine(pool conf.Pool, name string) *stand.Engine {
	return &stand.Engine{
		Name: name, MemoryBytes: pool.MemoryBytes(), KVBytes: pool.KVBytes(), Slots: pool.Slots(),
		FirstTokenDelay: pool.FirstTokenDelay(), TokenInterval: pool.TokenInterval(), ChecksFencing: pool.ChecksFencing(),
	}
}

// preload makes copies of each model resident.
func (w *World) preload() {
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

// put writes an object past the rate limit, as the platform's operators do.
func (w *World) put(kind, name string, value any) error {
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

// ApplyProfile puts a profile in the platform.
func (w *World) ApplyProfile(doc wire.Profile) error { return w.put(profs.ObjectKind, doc.Name, doc) }

// SetServer changes a backend server's entry.
func (w *World) SetServer(doc wire.Server) error { return w.put(entry.KindServer, doc.Name, doc) }

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

// StartVM starts an entry VM and enters it in the platform's list.
func (w *World) StartVM(ctx context.Context, vm conf.VM) (*entry.Daemon, error) {
	c, err := entry.ConfigFrom(w.options.Settings, vm, w.options.Log)
	if err != nil {
		return nil, fmt.Errorf("configure %s: %w", vm.Name(), err)
	}
	c.Listen, c.PeerListen, c.PlatformURL = anyPort, anyPort, "http://"+w.platform
	dial := w.Net.Dialer(vm.Name())
	c.PlatformHTTP, c.BackendHTTP = &httpx.Client{Dial: dial}, &httpx.Client{Dial: dial}
	c.PeerDial, c.SeedVMs = dial, w.vmDocuments()
	c.RandomSeed = w.options.Seed + uint64(len(w.vms)) + 1
	if w.options.Adjust != nil {
		w.options.Adjust(&c)
	}
	d := entry.New(c)
	if err := d.Start(ctx); err != nil {
		return nil, fmt.Errorf("start %s: %w", vm.Name(), err)
	}
	w.Net.SetHost(d.PeerAddress(), vm.Name())
	w.mu.Lock()
	w.vms[vm.Name()] = d
	w.mu.Unlock()
	doc := vm.Document()
	doc.PeerAddress = d.PeerAddress()
	w.Platform.SetVM(doc)
	return d, nil
}

// vmDocuments returns the running VMs as the platform lists them.
func (w *World) vmDocuments() []wire.VM {
	var docs []wire.VM
	for name, d := range w.VMs() {
		docs = append(docs, wire.VM{Name: name, FailureDomain: d.FailureDomain(), PeerAddress: d.PeerAddress()})
	}
	return docs
}

// RestartVM starts a VM that was stopped anew.
func (w *World) RestartVM(ctx context.Context, name string) (*entry.Daemon, error) {
	vm, err := w.options.Settings.VM(name)
	if err != nil {
		return nil, fmt.Errorf("restart: %w", err)
	}
	return w.StartVM(ctx, vm)
}

// PeerBytes returns the bytes that the running VMs have sent to each other and
// received.
func (w *World) PeerBytes() int64 {
	total := int64(0)
	for _, d := range w.VMs() {
		total += d.Metrics().CounterValue("peers.bytes_sent") + d.Metrics().CounterValue("peers.bytes_received")
	}
	return total
}

// Split returns the hosts of a failure domain, and the others with the
// platform.
func (w *World) Split(domain string) (inside, outside []string) {
	outside = append(outside, "platform")
	put := func(name, where string) {
		if where == domain {
			inside = append(inside, name)
			return
		}
		outside = append(outside, name)
	}
	for name, d := range w.VMs() {
		put(name, d.FailureDomain())
	}
	for _, doc := range w.servers {
		put(doc.Name, doc.FailureDomain)
	}
	return inside, outside
}

// SetCut cuts or heals what goes from one host to another.
func (w *World) SetCut(from, to string, cut bool) {
	if cut {
		w.Net.Partition(from, to)
		return
	}
	w.Net.Heal(from, to)
}

// StopVM stops a VM in peace.
func (w *World) StopVM(ctx context.Context, name string) error {
	d := w.takeVM(name)
	if d == nil {
		return fmt.Errorf("no VM %s", name)
	}
	return d.Stop(ctx)
}

// KillVM ends a VM at once.
func (w *World) KillVM(name string) {
	if d := w.takeVM(name); d != nil {
		d.Kill()
	}
}

func (w *World) takeVM(name string) *entry.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.vms[name]
	delete(w.vms, name)
	w.Platform.RemoveVM(name)
	return d
}

// KillServer breaks a backend server's connections and takes no new ones.
func (w *World) KillServer(name string) {
	w.mu.Lock()
	s := w.https[name]
	w.dead[name] = true
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
