// Package node is the daemon of an entry VM that discovers its configuration, the backend servers
// and the other VMs through the platform's store. It connects, starts and stops the request path
// (pass), the control of the backend servers (steer) and the links between VMs (peers).
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
	"github.com/hibiscuscart/hibiscuscart/drain"
	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/guard"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/origin"
	"github.com/hibiscuscart/hibiscuscart/pass"
	"github.com/hibiscuscart/hibiscuscart/paths"
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
	// cleanupInterval is the interval between removals of idle connections and of the state of
	// removed servers.
	cleanupInterval = time.Second
	// restartLeaseDuration is the duration of the lease of a VM that stops. A process restarts
	// within one to two seconds.
	restartLeaseDuration = 2500 * time.Millisecond
	// usableBudgetShare is the share of the retry budget that VMs use. The number of VMs by which
	// each VM divides the budget is some seconds old.
	usableBudgetShare = 0.8
)

// Config holds the dependencies of a Node. Its functions translate between the platform's types and
// those of this module.
type Config struct {
	Settings     *conf.Settings
	Objects      store.Objects
	ServerClient steer.ServerCalls
	HeaderNames  *pass.HeaderNames
	// InstanceProbe is how a server is asked which of its instances it is; nil if instances have names of
	// their own.
	InstanceProbe *pass.InstanceProbe
	// ConfigKind and ConfigName identify the object that holds the configuration. ServerKind is the
	// kind of the server entries.
	ConfigKind, ConfigName, ServerKind string
	// DecodeTable decodes the configuration, DecodeEntry a server entry.
	DecodeTable func(store.Object) (*routes.Table, error)
	DecodeEntry func(store.Object) (backs.Entry, error)
	// DialServer opens a connection to a backend server; nil uses conns.DialFrom with the source address
	// of the settings.
	DialServer func(ctx context.Context, address string) (net.Conn, error)
	// CloseIdleStoreConns closes the idle connections to the store, which may be broken without
	// having been reset.
	CloseIdleStoreConns func()
	// DroppedLogLines returns the number of log lines dropped. It may be nil.
	DroppedLogLines func() int64
	Now             func() time.Time
	Log             zerolog.Logger
}

// Node is the daemon of one VM.
type Node struct {
	config         Config
	activeSettings atomic.Pointer[conf.Settings]
	log            zerolog.Logger
	now            func() time.Time
	meter          *meter.Registry
	serverView     *backs.View
	balancer       *pick.Balancer
	gauge          *gauge.Gauge
	connPool       *conns.Pool
	gateway        *pass.Gateway
	controller     *steer.Controller
	peers          *peers.Peers
	lease          *peers.Lease
	crashTracker   *poison.Tracker
	partTracker    *poison.PartTracker
	rateLimits     *limit.Limits
	quotas         *limit.Quotas
	retries        *retry.Budgets
	// paths knows whether this VM reaches the servers; pathSuspected wakes the probes.
	paths         *paths.Tracker
	origins       *origin.Exchange
	pathSuspected chan struct{}
	table         atomic.Pointer[routes.Table]

	mu sync.Mutex
	// inForce is the configuration in force. configChange is closed when it changes.
	inForce      inForce
	configChange chan struct{}
	// storeEra is the era of the versions last read from the store. storeRead is set once there are any.
	storeEra  int
	storeRead bool
	// confirmedAt is when the store last confirmed that this VM's data is current, by kind.
	confirmedAt map[string]time.Time
	// serverPosition is how far this VM follows the servers in the store.
	serverPosition position
	// failedCalls is the number of consecutive store calls that failed, by kind.
	failedCalls map[string]int

	// exitsAt is when this VM exits, nil before it has been told to stop, and stoppingSince when it was told.
	exitsAt, stoppingSince atomic.Pointer[time.Time]
	// retryAllotmentVMs is among how many VMs this one divided the extra retries when it last looked, for the log.
	retryAllotmentVMs int
	// readiness is the last answer to a readiness check, for the log.
	readiness atomic.Value
	// waitContext is canceled to end the waits of requests for a server.
	waitContext context.Context
	cancelWaits context.CancelFunc
	// exitContext is canceled to end the requests of callers that are under way as the process exits.
	exitContext    context.Context
	endCalls       context.CancelFunc
	httpServers    []*http.Server
	callerServer   *http.Server
	callerConns    drain.Conns
	callerListener *drain.Listener
	peerServer     *http.Server
	peerConns      drain.Conns
	peerListener   *drain.Listener
	background     sync.WaitGroup
	stopBackground context.CancelFunc
	// guard bounds what the clients of all ports hold together, responses the memory of the responses for them.
	guard     *guard.Guard
	responses *conns.Budget
}

// New returns a Node that has not started.
func New(c Config) *Node {
	s := c.Settings
	if c.DialServer == nil {
		c.DialServer = conns.DialFrom(s.Text("servers", "source"))
	}
	n := &Node{
		config: c, now: c.Now, meter: meter.New(), serverView: &backs.View{Heartbeat: s.Duration("servers", "heartbeat")}, connPool: &conns.Pool{DialFunc: c.DialServer}, rateLimits: &limit.Limits{}, quotas: &limit.Quotas{AlwaysTight: s.Text("quotas", "tokens") == "always"},
		log:      c.Log.With().Str("vm", s.Text("vm", "name")).Logger(),
		balancer: &pick.Balancer{Domain: s.Text("vm", "failure_domain"), Seed: xxhash.Sum64String(s.Text("vm", "name"))},
		retries:  &retry.Budgets{}, configChange: make(chan struct{}), confirmedAt: make(map[string]time.Time),
		failedCalls: make(map[string]int), pathSuspected: make(chan struct{}, 1),
	}
	n.activeSettings.Store(s)
	n.retries.Configure(n.now(), retryRules(s))
	n.paths = &paths.Tracker{OnSuspicion: n.suspectPath, OnChange: n.pathChanged}
	n.config.Objects = c.Objects.WithResponseObserver(func() { n.serverView.RecordStoreAnswer(n.now()) })
	n.serverView.OnMissing, n.serverView.OnNotice = n.handleMissing, n.handleNotice
	n.crashTracker = &poison.Tracker{CrashLimit: s.Int("poison", "crashes"), BlockDuration: s.Duration("poison", "block"), OnCrash: n.recordCrash, OnBlock: n.recordBlock}
	n.partTracker = &poison.PartTracker{BlockDuration: s.Duration("poison", "block"), OnCrash: n.recordPartCrash, OnBlock: n.recordPartBlock}
	n.balancer.HasIdleConn = n.connPool.HasIdle
	n.gauge = n.newGauge()
	n.balancer.Pace, n.balancer.Observed = n.gauge.Pace, n.gauge.Observed
	n.lease = &peers.Lease{
		Name: s.Text("vm", "name"), Address: s.Text("vm", "peer_listen"), Objects: n.config.Objects,
		AcquireDelay: acquireDelay(s.Float("limits", "cpu")), Poison: n.crashTracker, PartTracker: n.partTracker,
		Duration: s.Duration("steering", "lease"), Handover: s.Duration("steering", "handover"), Now: c.Now, Log: n.log,
	}
	n.controller = &steer.Controller{
		Name: s.Text("vm", "name"), ServerCalls: c.ServerClient, Servers: n.serverView, Table: n.table.Load, FencingToken: n.lease.FencingToken,
		Term: n.lease.Term, PredecessorEnd: n.lease.PreviousTermEnd, FirstTerm: n.lease.FirstTerm, Contended: n.rateLimits.Contended,
		Pace: n.gauge.Steady, Window: s.Duration("steering", "load_window"), Now: c.Now, Log: n.log, Meter: n.meter,
	}
	n.peers = &peers.Peers{
		Name: s.Text("vm", "name"), Domain: s.Text("vm", "failure_domain"), Boot: uuid.NewString(), Lease: n.lease,
		Address: s.Text("vm", "peer_listen"), Cores: s.Float("limits", "cpu"),
		Config: n.currentConfig, ConfigChanged: n.configChanged, ApplyConfig: n.applyHubConfig, ConfirmedAt: n.dataConfirmedAt, ConfirmFromStore: n.confirmFromStore, StoreUnreachable: n.storeUnreachable,
		Controller: n.controller, Servers: n.serverView, Balancer: n.balancer, Poison: n.crashTracker, PartTracker: n.partTracker, Gauge: n.gauge, Limits: n.rateLimits, Quotas: n.quotas, Retries: n.retries, EqualQuotas: s.Text("quotas", "tokens") == "equal",
		HasPath: func() bool { return !n.paths.Lost() }, KeepsOrigins: true, Now: c.Now, Log: n.log, Meter: n.meter,
	}
	n.quotas.OnTight = n.peers.SignalTight
	n.lease.HasPath = func() bool { return !n.paths.Lost() }
	n.lease.VersionHistory = func() backs.VersionHistory { return n.serverView.VersionHistory(n.now()) }
	n.lease.ObserveHistory = func(h backs.VersionHistory) { n.serverView.AddVersionHistory(n.now(), h) }
	n.lease.OnRestored = func() { n.serverView.MarkRestored(n.now()) }
	n.lease.CountVMs, n.lease.RecordAllotments, n.lease.QuotaLevels = n.peers.VMs, n.peers.RecordAllotments, n.peers.StoredLevels
	n.waitContext, n.cancelWaits = context.WithCancel(context.Background())
	n.exitContext, n.endCalls = context.WithCancel(context.Background())
	n.origins = &origin.Exchange{
		Address: s.Text("vm", "peer_listen"), Domain: s.Text("vm", "failure_domain"), Keepers: n.peers.OriginKeepers,
		Key: n.peers.ProxyKey, AcceptedKeys: n.lease.AcceptedKeys, Now: c.Now, Log: n.log, Meter: n.meter,
	}
	n.paths.OnProcessEnded = n.processEnded
	n.responses = &conns.Budget{MemoryLimit: func() int64 { return n.memoryBytes(1) }}
	n.gateway = n.newGateway(c)
	n.guard = n.newGuard()
	return n
}

// newGateway returns the gateway of a node whose other parts are there.
func (n *Node) newGateway(c Config) *pass.Gateway {
	s := n.settings()
	return &pass.Gateway{
		HeaderNames:       c.HeaderNames,
		Table:             n.table.Load,
		Servers:           n.serverView,
		Balancer:          n.balancer,
		Pool:              n.connPool,
		Paths:             n.paths,
		Poison:            n.crashTracker,
		PartTracker:       n.partTracker,
		Gauge:             n.gauge,
		RateLimits:        n.rateLimits,
		RetryBudget:       n.retryBudget,
		RetryVMs:          func() int { return n.retries.AllotmentVMs(n.now()) },
		VMCount:           n.peers.VMs,
		RecordDemand:      n.peers.RecordDemand,
		FindServer:        n.peers.Find,
		Alone:             n.peers.Alone,
		OnReject:          n.peers.SignalReject,
		ReportSuspect:     n.peers.RequestVerification,
		RequestPermit:     n.peers.Permit,
		RequestPlace:      n.peers.Place,
		EndPlace:          n.peers.EndPlace,
		Quotas:            n.quotas,
		TakeQuota:         n.peers.TakeQuota,
		ProxyVMs:          n.peers.ProxyVMs,
		ProxyKey:          n.peers.ProxyKey,
		AcceptsProxyKey:   n.peers.AcceptsProxyKey,
		MaxProxied:        maxProxied(s.Float("limits", "cpu")),
		TellOrigin:        n.origins.Tell,
		FindOrigin:        n.origins.Ask,
		ConfirmServers:    n.peers.ConfirmServers,
		InstanceProbe:     c.InstanceProbe,
		ConfigCurrent:     n.configCurrent,
		AwaitConfig:       n.awaitConfig,
		ShutdownContext:   n.waitContext,
		StopsAt:           n.exitTime,
		ExitContext:       n.exitContext,
		StoppingSince:     n.toldToStopAt,
		OnRefusedStopping: n.callerConns.CloseEarly,
		ResponseBudget:    n.responses,
		RequestMemory:     n.bodyMemory,
		Now:               c.Now,
		Log:               n.log,
		Meter:             n.meter,
	}
}

// memoryBytes returns a share of the VM's memory.
func (n *Node) memoryBytes(share float64) int64 {
	return int64(share * float64(n.settings().Int("limits", "memory_mb")) * (1 << 20))
}

// acquireDelay returns how long a VM waits before it acquires an expired lease, so that VMs with
// more CPU acquire it first. It is 0 with one core or more, and one second with an eighth of a core.
func acquireDelay(cores float64) time.Duration {
	return max(0, time.Duration(smallVMAcquireDelaySeconds/8*(1/cores-1)*float64(time.Second)))
}

// smallVMAcquireDelaySeconds is approximately the delay of a VM with an eighth of a core. The exact
// delay is 7/8 of it.
const smallVMAcquireDelaySeconds = 1.14

// retryBudget returns the retry budget of a service.
func (n *Node) retryBudget(service string) *retry.SlidingWindow {
	return n.retries.Of(n.now(), service)
}

// retryRules returns the limit on the retries of all VMs in the settings, without what is kept in reserve.
func retryRules(s *conf.Settings) retry.Rules {
	return retry.Rules{
		PerRequest: usableBudgetShare * s.Float("retries", "share"), FirstPerRequest: (1 - usableBudgetShare) * s.Float("retries", "share"), Extra: usableBudgetShare * s.Float("retries", "extra"), Window: s.Duration("retries", "window"),
	}
}

// Start opens the listeners and starts all background work.
func (n *Node) Start(ctx context.Context) error {
	n.applySettings()
	ctx, n.stopBackground = context.WithCancel(ctx)
	n.callerServer = newCallerServer(n.callerConns.Handler(n.stopping, n.gateway))
	n.callerServer.ConnState = func(c net.Conn, s http.ConnState) { n.callerConns.Record(n.now(), c, s) }
	n.callerConns.CloseResponse, n.peerConns.CloseResponse = callerCloseResponse, pass.StoppingRefusal
	n.peerServer = newPeerServer(n.peerHandler())
	n.peerServer.ConnState = func(c net.Conn, s http.ConnState) { n.peerConns.Record(n.now(), c, s) }
	for _, p := range n.ports() {
		address := n.settings().Text("vm", p.key)
		if address == "" {
			continue
		}
		if err := n.listen(ctx, p, address); err != nil {
			n.Kill()
			return fmt.Errorf("listen on %s %s: %w", p.key, address, err)
		}
	}
	if err := n.origins.Listen(); err != nil {
		n.Kill()
		return err
	}
	n.background.Go(n.origins.Serve)
	for _, job := range []func(context.Context){n.followConfig, n.followServers, n.peers.Run, n.controller.Run, n.cleanUp, n.probeDomains, n.watchPath, n.watchStandstills, n.runGuard} {
		n.background.Go(func() { job(ctx) })
	}
	n.log.Info().Str("listen", n.settings().Text("vm", "listen")).Str("store", n.settings().Text("store", "address")).Msg("started")
	return nil
}

// applySettings applies the limits on threads and memory to the process.
func (n *Node) applySettings() {
	runtime.GOMAXPROCS(n.settings().Int("limits", "threads"))
	debug.SetMemoryLimit(guard.HeapLimit(n.memoryBytes(1)))
}

func (n *Node) listen(ctx context.Context, p port, address string) error {
	guarded := n.guard.AddPort(p.limits)
	guarded.Attach(p.server)
	l, err := guarded.Listen(ctx, address)
	if err != nil {
		return err
	}
	if p.drained != nil {
		*p.drained = &drain.Listener{Listener: l}
		l = *p.drained
	}
	l = guarded.Listener(l)
	n.httpServers = append(n.httpServers, p.server)
	n.background.Go(func() {
		if err := p.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.log.Error().Err(err).Str("address", address).Msg("listener failed")
		}
	})
	return nil
}

func (n *Node) followConfig(ctx context.Context)  { n.follow(ctx, n.configWatcher()) }
func (n *Node) followServers(ctx context.Context) { n.follow(ctx, n.serverWatcher()) }

// Reload applies changed settings: the limits on threads and memory, the retry budget, the drain
// times and the wait of store watches. Addresses and all other settings change when the process
// restarts.
func (n *Node) Reload(s *conf.Settings) {
	for _, key := range []string{"listen", "ready_listen", "peer_listen", "metrics_listen"} {
		if old := n.settings().Text("vm", key); old != s.Text("vm", key) {
			n.log.Warn().Str("key", key).Str("old", old).Str("new", s.Text("vm", key)).Msg("address change takes effect at the next start")
		}
	}
	n.activeSettings.Store(s)
	n.applySettings()
	n.log.Info().Msg("settings reloaded")
}

// ReloadFailed logs that changed settings are invalid.
func (n *Node) ReloadFailed(err error) {
	n.log.Error().Err(err).Msg("cannot reload settings; keeping the old ones")
}

func (n *Node) settings() *conf.Settings { return n.activeSettings.Load() }

// cleanUp removes unused state, reports the dropped log lines and updates the retry budgets, at
// intervals.
func (n *Node) cleanUp(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, cleanupInterval)
		now := n.now()
		n.connPool.CloseExpired(now)
		n.gateway.CloseExpiredProxyConns(now)
		n.balancer.Retain(n.serverView.All(now))
		n.meter.SetGauge("origin.kept", int64(n.origins.Kept()))
		n.meter.SetGauge("origin.keepers", int64(len(n.peers.OriginKeepers(now))))
		usable := func(id string) bool { return n.serverView.Usable(now, id) }
		n.rateLimits.Retain(usable)
		n.retainPaces()
		n.peers.RetainServers(usable)
		if n.config.DroppedLogLines != nil {
			n.meter.SetGauge("log.dropped", n.config.DroppedLogLines())
		}
		n.updateRetries(now)
	}
}

// updateRetries applies the settings of the retry budgets, and logs a change of this VM's allotment.
func (n *Node) updateRetries(now time.Time) {
	n.retries.Configure(now, retryRules(n.settings()))
	if vms := n.retries.AllotmentVMs(now); vms != n.retryAllotmentVMs {
		n.retryAllotmentVMs = vms
		n.log.Info().Int("vms", vms).Msg("retry allotment changed")
	}
}

// Kill stops the VM immediately and closes all connections.
func (n *Node) Kill() {
	n.stopBackground()
	n.origins.Close()
	for _, s := range n.httpServers {
		_ = s.Close()
	}
	n.background.Wait()
}

// Leading reports whether this VM is the controller.
func (n *Node) Leading() bool { return n.peers.Leading() }

// Metrics returns the counters and durations of this VM.
func (n *Node) Metrics() *meter.Registry { return n.meter }
