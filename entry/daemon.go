package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/drain"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/guard"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/naive"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/plain"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/route"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	retryInitialBackoff = 10 * time.Millisecond
	retryMaxBackoff     = 500 * time.Millisecond
	readHeaderTimeout   = 5 * time.Second
	// drainDelay is how long readiness is off before connections are closed, so
	// that the load balancer stops sending and the peers are informed.
	drainDelay = time.Second
	// cutAnswerTime is how long the process waits until the calls that it cuts off are answered, as far as nothing of an answer
	// was sent.
	cutAnswerTime = 100 * time.Millisecond
	// cutOutcomeTime is how long the process then waits at most until the outcomes of these calls are recorded: a caller that
	// repeats one elsewhere would be told that it is in progress until its time is over.
	cutOutcomeTime = time.Second
	// unlimitedStop is the grace time of a stop without one.
	unlimitedStop = 24 * time.Hour
)

// notRun ends the response to a request that was not read.
const notRun = hibiscuscart.OutcomeHeader + ": not_run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// closeResponse is the answer to a request that crosses the close of its unused connection.
const closeResponse = "HTTP/1.1 408 Request Timeout\r\n" + notRun

// Daemon is the process of one entry VM.
type Daemon struct {
	config  Config
	bootID  string
	log     zerolog.Logger
	now     func() time.Time
	meter   *meter.Registry
	store   *store.Client
	engines *engine.Client
	plain   *plain.Client

	profiles     *profs.View
	activeConfig *activeConfig
	baseCtx      context.Context
	fleet        *fleet.View
	offeredLoads *offeredLoads
	admission    *admissionStage
	claims       *claimStage
	claimer      *claimer
	pipeline     Next
	peers        *peers

	// profilesSynced and serversSynced are set once the profiles and servers in
	// force are read.
	profilesSynced, serversSynced atomic.Bool
	// stopping turns readiness off; refusing refuses new requests.
	stopping, refusing atomic.Bool
	jobs               sync.WaitGroup
	cancel             context.CancelFunc
	// callsCtx is canceled by endCalls, to end the calls that are under way as the process exits.
	callsCtx context.Context
	endCalls context.CancelFunc

	callerServer   *http.Server
	callerConns    drain.Conns
	callerListener *drain.Listener
	peerServer     *http.Server
	listenAddr     string
	peerAddr       string
	// guard bounds what the clients of both ports hold together.
	guard                *guard.Guard
	callerPort, peerPort *guard.Port
}

// New returns a Daemon that is not started.
func New(c Config) *Daemon {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.PlatformHTTP == nil {
		c.PlatformHTTP = &httpx.Client{}
	}
	if c.BackendHTTP == nil {
		c.BackendHTTP = &httpx.Client{}
	}
	if c.RandomSeed == 0 {
		c.RandomSeed = rand.Uint64()
	}
	d := &Daemon{
		config: c, bootID: uuid.NewString(), now: c.Now, meter: meter.New(),
		log:     c.Log.With().Str("node", c.Name).Str("failure_domain", c.FailureDomain).Logger(),
		store:   &store.Client{BaseURL: c.PlatformURL, Key: c.PlatformKey, VMName: c.Name, Timeout: c.PlatformTimeout, HTTP: c.PlatformHTTP},
		engines: &engine.Client{HTTP: c.BackendHTTP}, plain: &plain.Client{HTTP: c.BackendHTTP, MaxResponseBytes: c.Limits.ResponseBytes},
		profiles: &profs.View{}, fleet: &fleet.View{}, offeredLoads: &offeredLoads{},
	}
	d.keepRests()
	d.activeConfig = &activeConfig{profiles: d.profiles}
	d.baseCtx = context.Background()
	d.peers = newPeers(d)
	d.admission = newAdmissionStage(d)
	d.claimer = newClaimer(d)
	d.callsCtx, d.endCalls = context.WithCancel(context.Background())
	d.claims = &claimStage{claims: d.claimer.claims(), now: d.now, log: d.log, meter: d.meter, exit: d.callsCtx, recording: d.baseCtx}
	if c.UnbatchedClaims {
		d.claims.claims = unbatchedClaims(d.store)
	}
	d.pipeline = d.newPipeline()
	return d
}

// keepRests makes the client of the backend servers keep for how long they want nothing from this VM, and the
// choice of servers respect that.
func (d *Daemon) keepRests() {
	rests := &httpx.Rests{
		OnRest: func(address string, rest time.Duration) {
			d.meter.AddCounter("backend.rests", 1)
			d.log.Info().Str("address", address).Dur("rest", rest).Msg("server asked for rest")
		},
		OnInvalid: func(address string, err error) {
			d.log.Info().Str("address", address).Err(err).Msg("invalid Retry-After of a server")
		},
	}
	d.config.BackendHTTP.Rests, d.config.BackendHTTP.Now = rests, d.now
	d.fleet.RestRemaining = rests.Remaining
}

// unbatchedClaims makes each claim with its own conditional update.
func unbatchedClaims(c *store.Client) Claims {
	n := naive.NewClaims(c)
	return Claims{Claim: n.Claim, Finish: n.Finish, Release: n.Release}
}

// newPipeline joins the stages that handle a request.
func (d *Daemon) newPipeline() Next {
	account := &accountingStage{now: d.now, log: d.log, meter: d.meter}
	profile := &profileStage{view: d.profiles, offeredLoads: d.offeredLoads}
	policy := route.Policy{Domain: d.config.FailureDomain}
	rng := rand.New(rand.NewPCG(d.config.RandomSeed, 1))
	relay := &relayStage{
		fleet: d.fleet, maxResumes: maxResumesPerRun,
		selectCandidate: func(c []fleet.Candidate, prefix uint64, tried []string) (fleet.Candidate, bool) {
			return policy.Choose(rng, c, prefix, tried)
		},
		budget: &retry.Budget{RetriesPerRequest: d.config.RetryShare, Since: d.now()}, backoff: retry.Backoff{Initial: retryInitialBackoff, Max: retryMaxBackoff},
		engines: d.engines, plain: d.plain, now: d.now, meter: d.meter, offeredLoads: d.offeredLoads,
		rng: rng,
	}
	if d.config.Baseline {
		relay.selectCandidate = func(c []fleet.Candidate, _ uint64, _ []string) (fleet.Candidate, bool) { return naive.LeastLoaded(c) }
		relay.budget = &retry.Budget{Reserve: math.MaxInt32}
		relay.backoff = retry.Backoff{}
		relay.maxResumes = 0
		return Chain(account.run, profile.run, d.claims.run, relay.run)
	}
	return Chain(account.run, profile.run, d.admission.run, d.claims.run, relay.run)
}

// freeSlots returns this VM's share of the free slots of the servers that have
// loaded a model, and whether the number is known.
func (d *Daemon) freeSlots(p hibiscuscart.Profile, model string) (int, bool) {
	if p.IsService() {
		return 0, false
	}
	free, known := d.fleet.FreeSlots(d.now(), fleet.Requirements{Pool: p.Pool(), Model: model})
	vms := d.peers.remoteDemand.Load().vms + 1
	return (free + vms - 1) / vms, known
}

// Metrics returns the VM's metrics.
func (d *Daemon) Metrics() *meter.Registry { return d.meter }

// FailureDomain returns the failure domain of the VM.
func (d *Daemon) FailureDomain() string { return d.config.FailureDomain }

// ProfileVersion returns the version of a profile in force, or 0 when there is
// none.
func (d *Daemon) ProfileVersion(name string) int {
	p, _ := d.profiles.Get(name)
	return p.Version()
}

// ActiveVMs returns the names of the VMs, including this one, that this VM
// considers alive and not leaving.
func (d *Daemon) ActiveVMs() []string { return d.peers.activeVMs() }

// Address returns the listen address for callers. It is empty before Start.
func (d *Daemon) Address() string { return d.listenAddr }

// PeerAddress returns the listen address for peers and operators. It is empty
// before Start.
func (d *Daemon) PeerAddress() string { return d.peerAddr }

// Start opens the listeners and starts the background jobs. Stop ends both.
func (d *Daemon) Start(ctx context.Context) error {
	d.openPorts()
	l, err := d.callerPort.Listen(ctx, d.config.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	d.callerListener = &drain.Listener{Listener: l}
	peerListener, err := d.peerPort.Listen(ctx, d.config.PeerListen)
	if err != nil {
		_ = l.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.listenAddr, d.peerAddr = l.Addr().String(), peerListener.Addr().String()
	ctx, d.cancel = context.WithCancel(ctx)
	d.claimer.baseCtx, d.claims.recording, d.baseCtx = ctx, ctx, ctx
	d.callerServer = d.newServer(d.callerConns.Handler(d.stopping.Load, d.callerHandler()))
	d.callerServer.BaseContext = func(net.Listener) context.Context { return d.callsCtx }
	d.callerConns.CloseResponse = closeResponse
	d.callerServer.ConnState = func(c net.Conn, s http.ConnState) { d.callerConns.Record(d.now(), c, s) }
	d.peerServer = d.newServer(d.peerHandler())
	d.peerServer.TLSConfig = d.config.TLS
	d.servePorts(peerListener)
	d.startJobs(ctx)
	d.log.Info().Str("listen", d.listenAddr).Str("peer_listen", d.peerAddr).Msg("started")
	return nil
}

func (d *Daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: d.config.Limits.ReadTimeout,
		MaxHeaderBytes: d.config.Limits.HeaderBytes, ConnContext: httpx.WithConn,
	}
}

func (d *Daemon) serve(name string, s *http.Server, l net.Listener, encrypted bool) {
	d.jobs.Go(func() {
		var err error
		if encrypted {
			err = s.ServeTLS(l, "", "")
		} else {
			err = s.Serve(l)
		}
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			d.log.Error().Err(err).Str("listener", name).Msg("listener failed")
		}
	})
}

func (d *Daemon) startJobs(ctx context.Context) {
	for _, job := range []func(context.Context){
		d.watchProfiles, d.watchServers, d.pollServers, d.peers.run, d.runController, d.admission.runExpiry, d.runGuard,
	} {
		d.jobs.Go(func() { job(ctx) })
	}
}

// Ready reports whether the VM may receive requests.
func (d *Daemon) Ready() bool {
	return d.profilesSynced.Load() && d.serversSynced.Load() && !d.stopping.Load()
}

// HasServerReports reports whether the VM has load reports of all backend
// servers.
func (d *Daemon) HasServerReports() bool {
	for _, s := range d.fleet.Status(d.now()) {
		if s.State == wire.ServerStatusStateSilent {
			return false
		}
	}
	return true
}

// Stop shuts the VM down gracefully: it refuses new requests, waits for those
// in progress until ctx ends, then stops the jobs. It returns an error when
// requests were cut off.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.log.Info().Msg("stopping")
	d.peers.announceLeaving(ctx)
	pause.For(ctx, drainDelay)
	d.refusing.Store(true)
	exit, limited := ctx.Deadline()
	if !limited {
		exit = d.now().Add(unlimitedStop)
	}
	d.callerConns.Drain(ctx, d.now, exit, d.callerListener)
	cut := d.callerConns.Active()
	d.endCalls()
	d.callerConns.AwaitInactive(cutAnswerTime)
	d.recordOutcomes(ctx)
	d.cancel()
	d.Kill()
	d.jobs.Wait()
	d.claimer.wait()
	if cut > 0 {
		return fmt.Errorf("%d requests were cut off: %w", cut, ctx.Err())
	}
	return nil
}

// recordOutcomes waits until the outcomes of calls are recorded, for at most a while after ctx ends, and until their writes are, for
// at most a while: with a store that fails nothing is written.
func (d *Daemon) recordOutcomes(ctx context.Context) {
	ctx, cancel := outlive(d.baseCtx, ctx, cutOutcomeTime)
	defer cancel()
	d.claims.waitForOutcomes(ctx)
	ctx, cancel = context.WithTimeout(ctx, cutOutcomeTime)
	defer cancel()
	d.claimer.waitForWrites(ctx)
}

// outlive returns a context that ends with parent, or a while after ctx.
func outlive(parent, ctx context.Context, while time.Duration) (context.Context, context.CancelFunc) {
	later, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(ctx, func() {
		pause.For(later, while)
		cancel()
	})
	return later, func() {
		stop()
		cancel()
	}
}

// Kill stops the VM at once, as in a process crash.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.callerServer.Close()
	_ = d.peerServer.Close()
	d.endCalls()
	d.config.PlatformHTTP.CloseIdle()
	d.config.BackendHTTP.CloseIdle()
}
