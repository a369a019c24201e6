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

// Options configures a Deployment.
type Options struct {
	Settings *conf.Settings
	Profiles []wire.Profile
	// MaxVMsPerDomain limits the number of entry VMs in each failure domain; 0 means no limit.
	MaxVMsPerDomain int
	// MaxVMs limits the total number of entry VMs; 0 means no limit.
	MaxVMs int
	// Preload starts the deployment with one replica of each model loaded, as in a deployment that has
	// been running.
	Preload bool
	// PreloadReplicas is the number of replicas of each model that Preload loads; 0 means one.
	PreloadReplicas int
	// AdjustEngine changes an engine stand-in before it starts.
	AdjustEngine func(*stand.Engine)
	Seed         uint64
	Log          zerolog.Logger
	// AdjustVM changes the configuration of a VM before it starts.
	AdjustVM func(*entry.Config)
}

// Deployment is a deployment on loopback in one process: entry VMs, and stand-ins for the platform, the
// weight store and the backend servers of the settings.
type Deployment struct {
	Platform *stand.Platform
	Weights  *stand.WeightStore
	Net      *stand.Network
	Runs     *stand.RunCounter

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
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{
		Platform: &stand.Platform{
			WritesPerSecond: o.Settings.Float("platform", "writes_per_second"),
			ReadsPerSecond:  o.Settings.Float("platform", "reads_per_second"),
			APIKey:          o.Settings.Text("platform", "key"),
		},
		Weights: NewWeightStore(o.Settings), Net: &stand.Network{}, Runs: &stand.RunCounter{}, options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, 7)),
		engines: make(map[string]*stand.Engine), services: make(map[string]*stand.Service),
		httpServers: make(map[string]*http.Server), vms: make(map[string]*entry.Daemon), killed: make(map[string]bool),
	}
	d.Platform.Random = d.randomFloat
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// NewWeightStore returns a stand-in for the weight store in the settings.
func NewWeightStore(s *conf.Settings) *stand.WeightStore {
	return &stand.WeightStore{
		LoadsPerSecond:        s.Float("weight_store", "loads_per_second"),
		FullSpeedModelLoads:   s.Int("weight_store", "loads_at_full_speed"),
		FullSpeedAdapterLoads: s.Int("weight_store", "adapters_in_transit"),
		ModelLoadTime:         s.Duration("weight_store", "model_load"),
		AdapterLoadTime:       s.Duration("weight_store", "adapter_load"),
	}
}

func (d *Deployment) start(ctx context.Context) error {
	address, err := d.listen("platform", d.Platform.Handler())
	if err != nil {
		return err
	}
	d.platformAddress = address
	for _, pool := range d.options.Settings.Pools() {
		if err := d.startPool(pool); err != nil {
			return err
		}
	}
	if d.options.Preload {
		d.preloadModels()
	}
	for _, doc := range d.options.Profiles {
		if err := d.ApplyProfile(doc); err != nil {
			return err
		}
	}
	return d.startVMs(ctx)
}

func (d *Deployment) randomFloat() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

// listen serves a handler on a free loopback port.
func (d *Deployment) listen(name string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return "", fmt.Errorf("listen for %s: %w", name, err)
	}
	address := l.Addr().String()
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.mu.Lock()
	d.httpServers[name] = s
	d.mu.Unlock()
	d.Net.SetHost(address, name)
	go func() { _ = s.Serve(l) }()
	return address, nil
}

func (d *Deployment) startPool(pool conf.Pool) error {
	for _, doc := range pool.Servers(d.options.Settings.FailureDomains()) {
		handler := d.newServerHandler(pool, doc)
		address, err := d.listen(doc.Name, handler)
		if err != nil {
			return err
		}
		doc.Address = address
		d.servers = append(d.servers, doc)
		if err := d.putObject(entry.KindServer, doc.Name, doc); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) newServerHandler(pool conf.Pool, doc wire.Server) http.Handler {
	if pool.IsService() {
		s := &stand.Service{Name: doc.Name, Runs: d.Runs, Random: d.randomFloat}
		d.services[doc.Name] = s
		return s.Handler()
	}
	e := NewEngine(pool, doc.Name)
	e.FetchWeights, e.Runs, e.Random = d.Weights.Fetch, d.Runs, d.randomFloat
	if d.options.AdjustEngine != nil {
		d.options.AdjustEngine(e)
	}
	d.engines[doc.Name] = e
	return e.Handler()
}

// NewEngine returns an engine stand-in configured from the settings of a pool.
func NewEngine(pool conf.Pool, name string) *stand.Engine {
	return &stand.Engine{
		Name: name, MemoryBytes: pool.MemoryBytes(), KVBytes: pool.KVBytes(), Slots: pool.Slots(),
		FirstTokenDelay: pool.FirstTokenDelay(), TokenInterval: pool.TokenInterval(), ChecksFencing: pool.ChecksFencing(),
	}
}

// preloadModels makes PreloadReplicas replicas of each model resident on the engines.
func (d *Deployment) preloadModels() {
	var models []naive.PoolModel
	for _, doc := range d.options.Profiles {
		for _, m := range doc.Models {
			models = append(models, naive.PoolModel{Pool: doc.Pool, Model: m})
		}
	}
	placement, _ := naive.Place(d.servers, models, max(d.options.PreloadReplicas, 1))
	for server, artifacts := range placement {
		for _, a := range artifacts {
			d.engines[server].SetResident(a.Model, a.Adapter, a.Version, a.Bytes)
		}
	}
}

// putObject writes an object directly to the platform, bypassing its rate limit as operators do.
func (d *Deployment) putObject(kind, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	current, _ := d.Platform.Get(kind, name)
	if _, ok := d.Platform.Put(kind, name, current.Version, data); !ok {
		return fmt.Errorf("put %s/%s: conflict", kind, name)
	}
	return nil
}

// ApplyProfile writes a profile to the platform.
func (d *Deployment) ApplyProfile(doc wire.Profile) error {
	return d.putObject(profs.ObjectKind, doc.Name, doc)
}

// SetServer writes the entry of a backend server to the platform.
func (d *Deployment) SetServer(doc wire.Server) error {
	return d.putObject(entry.KindServer, doc.Name, doc)
}

func (d *Deployment) startVMs(ctx context.Context) error {
	started := make(map[string]int)
	for _, vm := range d.options.Settings.VMs() {
		domain := vm.FailureDomain()
		if limit := d.options.MaxVMsPerDomain; limit > 0 && started[domain] >= limit {
			continue
		}
		if d.options.MaxVMs > 0 && len(d.VMs()) >= d.options.MaxVMs {
			break
		}
		started[domain]++
		if _, err := d.StartVM(ctx, vm); err != nil {
			return err
		}
	}
	return nil
}

// StartVM starts an entry VM and adds it to the platform's list of VMs.
func (d *Deployment) StartVM(ctx context.Context, vm conf.VM) (*entry.Daemon, error) {
	c, err := entry.ConfigFrom(d.options.Settings, vm, d.options.Log)
	if err != nil {
		return nil, fmt.Errorf("configure %s: %w", vm.Name(), err)
	}
	c.Listen, c.PeerListen, c.PlatformURL = anyLoopbackPort, anyLoopbackPort, "http://"+d.platformAddress
	dial := d.Net.Dialer(vm.Name())
	c.PlatformHTTP, c.BackendHTTP = &httpx.Client{Dial: dial}, &httpx.Client{Dial: dial}
	c.PeerDial, c.SeedVMs = dial, d.vmDocuments()
	c.RandomSeed = d.options.Seed + uint64(len(d.vms)) + 1
	if d.options.AdjustVM != nil {
		d.options.AdjustVM(&c)
	}
	daemon := entry.New(c)
	if err := daemon.Start(ctx); err != nil {
		return nil, fmt.Errorf("start %s: %w", vm.Name(), err)
	}
	d.Net.SetHost(daemon.PeerAddress(), vm.Name())
	d.mu.Lock()
	d.vms[vm.Name()] = daemon
	d.mu.Unlock()
	doc := vm.Document()
	doc.PeerAddress = daemon.PeerAddress()
	d.Platform.SetVM(doc)
	return daemon, nil
}

// vmDocuments returns the documents by which the platform lists the running VMs.
func (d *Deployment) vmDocuments() []wire.VM {
	var docs []wire.VM
	for name, vm := range d.VMs() {
		docs = append(docs, wire.VM{Name: name, FailureDomain: vm.FailureDomain(), PeerAddress: vm.PeerAddress()})
	}
	return docs
}

// RestartVM starts a VM that was stopped or killed.
func (d *Deployment) RestartVM(ctx context.Context, name string) (*entry.Daemon, error) {
	vm, err := d.options.Settings.VM(name)
	if err != nil {
		return nil, fmt.Errorf("find VM to restart: %w", err)
	}
	return d.StartVM(ctx, vm)
}

// PeerBytes returns the total number of bytes that the running VMs have sent to and received from
// their peers.
func (d *Deployment) PeerBytes() int64 {
	total := int64(0)
	for _, vm := range d.VMs() {
		total += vm.Metrics().CounterValue("peers.bytes_sent") + vm.Metrics().CounterValue("peers.bytes_received")
	}
	return total
}

// SplitHosts returns the hosts inside a failure domain, and all other hosts including the platform.
func (d *Deployment) SplitHosts(domain string) (inside, outside []string) {
	outside = append(outside, "platform")
	add := func(name, serverDomain string) {
		if serverDomain == domain {
			inside = append(inside, name)
			return
		}
		outside = append(outside, name)
	}
	for name, vm := range d.VMs() {
		add(name, vm.FailureDomain())
	}
	for _, doc := range d.servers {
		add(doc.Name, doc.FailureDomain)
	}
	return inside, outside
}

// SetPathBlocked blocks or restores the network path from one host to another, in this direction only.
func (d *Deployment) SetPathBlocked(from, to string, blocked bool) {
	if blocked {
		d.Net.Partition(from, to)
		return
	}
	d.Net.Heal(from, to)
}

// StopVM removes a VM from the platform's list and stops it gracefully.
func (d *Deployment) StopVM(ctx context.Context, name string) error {
	vm := d.removeVM(name)
	if vm == nil {
		return fmt.Errorf("stop VM %s: not running", name)
	}
	return vm.Stop(ctx)
}

// KillVM removes a VM from the platform's list and kills it without a graceful shutdown.
func (d *Deployment) KillVM(name string) {
	if vm := d.removeVM(name); vm != nil {
		vm.Kill()
	}
}

func (d *Deployment) removeVM(name string) *entry.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	vm := d.vms[name]
	delete(d.vms, name)
	d.Platform.RemoveVM(name)
	return vm
}

// KillServer closes the listener and connections of a backend server.
func (d *Deployment) KillServer(name string) {
	d.mu.Lock()
	s := d.httpServers[name]
	d.killed[name] = true
	d.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// VMs returns the running VMs by name.
func (d *Deployment) VMs() map[string]*entry.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]*entry.Daemon, len(d.vms))
	for name, vm := range d.vms {
		all[name] = vm
	}
	return all
}
