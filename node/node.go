// Package node is the daemon of a VM that finds everything else in the
// platform's store: it joins the path of requests (pass), the steering of the
// backend servers (steer) and the links between VMs (peers), and starts and
// stops them.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pass"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/peers"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/store"
)

const (
	// headerTimeout and idleTimeout are for callers. They are longer than the
	// operators' limits, which callers keep: a connection that is closed
	// sooner meets requests on their way.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	headerBytes   = 64 << 10
	// memoryShare is the part of the VM's memory that the collector keeps the
	// heap under; stacks, buffers of the kernel and the binary have the rest.
	memoryShare = 0.6
	// tidyEvery is how often idle connections and forgotten servers are
	// cleared away, and the settings file is looked at.
	tidyEvery = time.Second
	// stopSlack is left of the grace time for the process to end by itself.
	stopSlack = 400 * time.Millisecond
	// restartLease is how long the lease of a VM that stops lasts: a process
	// starts again within a second or two.
	restartLease = 2500 * time.Millisecond
	// budgetShare is the part of the retry budget that is used: the VMs' counts
	// of each other are some seconds old.
	budgetShare = 0.8
)

// Config says what a Node runs on. The functions translate between the
// platform and the product.
type Config struct {
	Settings *conf.Settings
	Objects  store.Objects
	Commands steer.Commands
	Names    *pass.HeaderNames
	// ConfigKind and ConfigName are where the configuration lies, ServerKind
	// where the servers' entries do.
	ConfigKind, ConfigName, ServerKind string
	Table                              func(store.Object) (*routes.Table, error)
	Entry                              func(store.Object) (backs.Entry, error)
	// CloseIdle closes connections to the store that may have gone silent.
	CloseIdle func()
	// Dropped returns how many lines of the log were dropped; nil for none.
	Dropped func() int64
	Now     func() time.Time
	Log     zerolog.Logger
}

// Node is the daemon of one VM.
type Node struct {
	config  Config
	active  atomic.Pointer[conf.Settings]
	log     zerolog.Logger
	now     func() time.Time
	meter   *meter.Registry
	servers *backs.View
	book    *pick.Balancer
	pool    *conns.Pool
	gateway *pass.Gateway
	control *steer.Controller
	peers   *peers.Peers
	lease   *peers.Lease
	poison  *poison.Tracker
	limits  *limit.Limits
	table   atomic.Pointer[routes.Table]

	mu sync.Mutex
	// revision and value are the configuration in force as the store holds it;
	// configured is closed when it changes.
	revision   int
	value      []byte
	configured chan struct{}
	// contact is when the store told last that what is known of a kind is
	// current.
	contact map[string]time.Time
	// failed counts the calls in a row that the store did not answer, by kind.
	failed  map[string]int
	budgets map[string]*retry.SlidingWindow

	stopping atomic.Bool
	// closing is done when requests that wait for a server are given up.
	closing  context.Context
	endWaits context.CancelFunc
	listened []*http.Server
	callers  *http.Server
	jobs     sync.WaitGroup
	cancel   context.CancelFunc
}

// New returns a Node that has not started.
func New(c Config) *Node {
	s := c.Settings
	n := &Node{
		config: c, now: c.Now, meter: meter.New(), servers: &backs.View{Heartbeat: s.Duration("servers", "heartbeat")}, pool: &conns.Pool{}, limits: &limit.Limits{},
		log:     c.Log.With().Str("vm", s.Text("vm", "name")).Logger(),
		book:    &pick.Balancer{Domain: s.Text("vm", "failure_domain"), Seed: xxhash.Sum64String(s.Text("vm", "name"))},
		budgets: make(map[string]*retry.SlidingWindow), configured: make(chan struct{}), contact: make(map[string]time.Time),
		failed: make(map[string]int),
	}
	n.active.Store(s)
	n.config.Objects = c.Objects.WithResponseObserver(func() { n.servers.RecordStoreAnswer(n.now()) })
	n.servers.OnMissing = n.noteMissing
	n.poison = &poison.Tracker{CrashLimit: s.Int("poison", "crashes"), BlockDuration: s.Duration("poison", "block"), OnCrash: n.noteCrash, OnBlock: n.noteBlock}
	n.book.HasIdleConn = n.pool.HasIdle
	n.lease = &peers.Lease{
		Name: s.Text("vm", "name"), Address: s.Text("vm", "peer_listen"), Objects: n.config.Objects,
		AcquireDelay: weakness(s.Float("limits", "cpu")), Poison: n.poison,
		Duration: s.Duration("steering", "lease"), Handover: s.Duration("steering", "handover"), Now: c.Now, Log: n.log,
	}
	n.control = &steer.Controller{
		Name: s.Text("vm", "name"), Commands: c.Commands, Servers: n.servers, Table: n.table.Load, Fence: n.lease.FencingToken,
		Term: n.lease.Term, PredecessorEnd: n.lease.PreviousTermEnd, Contended: n.limits.Contended,
		Window: s.Duration("steering", "load_window"), Now: c.Now, Log: n.log, Meter: n.meter,
	}
	n.peers = &peers.Peers{
		Name: s.Text("vm", "name"), Domain: s.Text("vm", "failure_domain"), Boot: uuid.NewString(), Lease: n.lease,
		Address: s.Text("vm", "peer_listen"), Cores: s.Float("limits", "cpu"),
		Config: n.configValue, ConfigChanged: n.configChanged, ApplyConfig: n.configure, ConfirmedAt: n.current, StoreUnreachable: n.storeAway,
		Controller: n.control, Servers: n.servers, Book: n.book, Poison: n.poison, Limits: n.limits, Now: c.Now, Log: n.log, Meter: n.meter,
	}
	n.lease.CountVMs = n.peers.VMs
	n.closing, n.endWaits = context.WithCancel(context.Background())
	n.gateway = &pass.Gateway{
		ShutdownContext: n.closing,
		HeaderNames:     c.Names, Table: n.table.Load, Servers: n.servers, Balancer: n.book, Pool: n.pool, Poison: n.poison, RateLimits: n.limits, RetryBudget: n.budget,
		RecordDemand: n.peers.RecordDemand, FindServer: n.peers.Find, ReportSuspect: n.peers.RequestVerification, RequestPermit: n.peers.Permit, VMCount: n.peers.VMs, Now: c.Now, Log: n.log, Meter: n.meter,
	}
	return n
}

// weakness is how long a VM leaves a free lease to stronger ones: none with a
// core or more, a second with an eighth of one.
func weakness(cores float64) time.Duration {
	return max(0, time.Duration(weakest/8*(1/cores-1)*float64(time.Second)))
}

// weakest is the wait in seconds, nearly, of a VM with an eighth of a core.
const weakest = 1.14

// budget returns the retry budget of a service.
func (n *Node) budget(service string) *retry.SlidingWindow {
	vms := n.peers.VMs()
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.budgets[service]
	if b == nil {
		b = &retry.SlidingWindow{}
		n.limit(b, vms)
		n.budgets[service] = b
	}
	return b
}

// limit gives a budget this VM's part of what all may retry. The number of VMs
// is asked of the peers before n.mu is taken: the peers ask this node for its
// configuration under their own lock.
func (n *Node) limit(b *retry.SlidingWindow, vms int) {
	s := n.settings()
	b.SetLimit(budgetShare*s.Float("retries", "share"), budgetShare*s.Float("retries", "extra")/float64(vms), s.Duration("retries", "window"))
}

// Start listens and begins to serve.
func (n *Node) Start(ctx context.Context) error {
	n.apply()
	ctx, n.cancel = context.WithCancel(ctx)
	n.callers = &http.Server{
		Handler: http.HandlerFunc(n.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ConnContext: pass.WithConn,
	}
	listeners := []struct {
		key    string
		server *http.Server
	}{
		{"listen", n.callers},
		{"ready_listen", &http.Server{Handler: http.HandlerFunc(n.ready), ReadHeaderTimeout: headerTimeout}},
		{"peer_listen", &http.Server{Handler: n.peers.Handler(), ReadHeaderTimeout: headerTimeout}},
		{"metrics_listen", &http.Server{Handler: http.HandlerFunc(n.meter.ServeText), ReadHeaderTimeout: headerTimeout}},
	}
	for _, l := range listeners {
		address := n.settings().Text("vm", l.key)
		if address == "" {
			continue
		}
		if err := n.listen(l.server, address); err != nil {
			n.Kill()
			return fmt.Errorf("listen at %s %s: %w", l.key, address, err)
		}
	}
	for _, job := range []func(context.Context){n.followConfig, n.followServers, n.peers.Run, n.control.Run, n.tidy, n.probe} {
		n.jobs.Go(func() { job(ctx) })
	}
	n.log.Info().Str("listen", n.settings().Text("vm", "listen")).Str("store", n.settings().Text("store", "address")).Msg("started")
	return nil
}

// apply puts the settings of the process in force.
func (n *Node) apply() {
	runtime.GOMAXPROCS(n.settings().Int("limits", "threads"))
	debug.SetMemoryLimit(int64(memoryShare * float64(n.settings().Int("limits", "memory_mb")) * (1 << 20)))
}

func (n *Node) listen(s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.listened = append(n.listened, s)
	n.jobs.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Str("address", address).Msg("listener ended")
		}
	})
	return nil
}

func (n *Node) followConfig(ctx context.Context)  { n.follow(ctx, n.configWatcher()) }
func (n *Node) followServers(ctx context.Context) { n.follow(ctx, n.serverWatcher()) }

// serve is the callers' door. While the VM stops, each answer asks its caller
// to go elsewhere.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	n.gateway.ServeHTTP(w, r)
}

// Ready reports whether the VM may get requests: it knows the configuration and
// the servers, is not stopping, and is not cut off from most servers.
func (n *Node) Ready() bool {
	return n.table.Load() != nil && n.servers.Synced() && !n.stopping.Load() && !n.cutOff(n.now())
}

// cutOff reports whether the VM reaches neither the controller nor the servers
// of any other failure domain, while those are most of all servers. It goes on
// serving what it can for the callers it has; new ones are better off with the
// VMs of another domain, to which the balancer sends them.
func (n *Node) cutOff(now time.Time) bool {
	if n.peers.HubDataFresh(now) || n.peers.Leading() {
		return false
	}
	own := n.settings().Text("vm", "failure_domain")
	near, far := 0, 0
	for _, e := range n.servers.All(now) {
		if e.Domain == own {
			near++
			continue
		}
		far++
		if !n.book.DomainUnreachable(now, e.Domain) {
			return false
		}
	}
	return far > near
}

func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload puts changed settings in force: the memory limit, the retry budget and
// the times of draining and steering. Addresses stay until the next start.
func (n *Node) Reload(s *conf.Settings) {
	for _, key := range []string{"listen", "ready_listen", "peer_listen", "metrics_listen"} {
		if old := n.settings().Text("vm", key); old != s.Text("vm", key) {
			n.log.Warn().Str("key", key).Str("old", old).Str("new", s.Text("vm", key)).Msg("address changes with the next start only")
		}
	}
	n.active.Store(s)
	n.apply()
	n.log.Info().Msg("settings reloaded")
}

// ReloadFailed notes that changed settings were wrong.
func (n *Node) ReloadFailed(err error) {
	n.log.Error().Err(err).Msg("settings not reloaded, the old ones stay")
}

func (n *Node) settings() *conf.Settings { return n.active.Load() }

// tidy clears away what is not needed any more and divides the retry budget
// anew.
func (n *Node) tidy(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, tidyEvery)
		now := n.now()
		n.pool.CloseExpired(now)
		n.book.Retain(n.servers.All(now))
		n.limits.Retain(func(id string) bool { return n.servers.Usable(now, id) })
		if n.config.Dropped != nil {
			n.meter.SetGauge("log.dropped", n.config.Dropped())
		}
		vms := n.peers.VMs()
		n.mu.Lock()
		for _, b := range n.budgets {
			n.limit(b, vms)
		}
		n.mu.Unlock()
	}
}

// Stop ends the VM in peace: readiness goes off at once, new requests are taken
// until callers are sent elsewhere, and those in progress may end within the
// grace time.
func (n *Node) Stop() error {
	begun := n.now()
	n.stopping.Store(true)
	n.log.Info().Msg("stopping")
	background := context.Background()
	pause.For(background, n.settings().Duration("drain", "notice"))
	n.endWaits()
	left := n.settings().Duration("drain", "grace") - stopSlack - n.now().Sub(begun)
	ctx, cancel := context.WithTimeout(background, left)
	defer cancel()
	err := n.callers.Shutdown(ctx)
	// From here on this VM must not renew by itself.
	n.cancel()
	n.lease.Extend(background, restartLease)
	n.Kill()
	n.log.Info().Err(err).Msg("stopped")
	if err != nil {
		return fmt.Errorf("requests were cut off: %w", err)
	}
	return nil
}

// Kill ends the VM at once.
func (n *Node) Kill() {
	n.cancel()
	for _, s := range n.listened {
		_ = s.Close()
	}
	n.jobs.Wait()
}

// Leading reports whether this VM steers the servers.
func (n *Node) Leading() bool { return n.peers.Leading() }
