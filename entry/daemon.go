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
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/fleet"
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
	retryFirst        = 10 * time.Millisecond
	retryMax          = 500 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	// drainNotice is how long readiness is off before connections are closed,
	// so that the balancer has stopped sending and the peers have heard of it.
	drainNotice = time.Second
)

// Daemon is the process of one entry VM.
type Daemon struct {
	config  Config
	boot    string
	log     zerolog.Logger
	now     func() time.Time
	meter   *meter.Set
	store   *store.Client
	engines *engine.Client
	plain   *plain.Client

	profiles *profs.View
	configs  *configs
	base     context.Context
	fleet    *fleet.View
	usage    *modelUsage
	admit    *admitStage
	claims   *claimStage
	claimer  *claimer
	handle   Next
	peers    *peers

	// These are set once the profiles and servers in force are known.
	caughtProfiles, caughtServers atomic.Bool
	// stopping turns readiness off; refusing turns requests away.
	stopping, refusing atomic.Bool
	jobs               sync.WaitGroup
	cancel             context.CancelFunc

	callers    *http.Server
	operators  *http.Server
	listenAddr string
	peerAddr   string
}

// New returns a Daemon that has not started yet.
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
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	d := &Daemon{
		config: c, boot: uuid.NewString(), now: c.Now, meter: meter.New(),
		log:     c.Log.With().Str("node", c.Name).Str("failure_domain", c.FailureDomain).Logger(),
		store:   &store.Client{Base: c.Platform, Key: c.PlatformKey, Node: c.Name, Timeout: c.PlatformTimeout, HTTP: c.PlatformHTTP},
		engines: &engine.Client{HTTP: c.BackendHTTP}, plain: &plain.Client{HTTP: c.BackendHTTP, MaxAnswerBytes: c.Limits.AnswerBytes},
		profiles: &profs.View{}, fleet: &fleet.View{}, usage: &modelUsage{},
	}
	d.configs = &configs{profiles: d.profiles}
	d.base = context.Background()
	d.peers = newPeers(d)
	d.admit = newAdmitStage(d)
	d.claimer = newClaimer(d)
	d.claims = &claimStage{claims: d.claimer.claims(), now: d.now, log: d.log, meter: d.meter}
	if c.SimpleClaims {
		d.claims.claims = storeClaims(d.store)
	}
	d.handle = d.pipe()
	return d
}

// storeClaims makes each claim with a conditional update of its own.
func storeClaims(c *store.Client) Claims {
	n := naive.NewClaims(c)
	return Claims{Claim: n.Claim, Finish: n.Finish, Release: n.Release}
}

// pipe joins the stages that a request passes.
func (d *Daemon) pipe() Next {
	account := &accountStage{now: d.now, log: d.log, meter: d.meter}
	profile := &profileStage{view: d.profiles, usage: d.usage}
	policy := route.Policy{Domain: d.config.FailureDomain}
	rng := rand.New(rand.NewPCG(d.config.Seed, 1))
	relay := &relayStage{
		fleet: d.fleet, resumes: resumesAllowed,
		choosePolicy: func(c []fleet.Candidate, prefix uint64, tried []string) (fleet.Candidate, bool) {
			return policy.Choose(rng, c, prefix, tried)
		},
		budget: &retry.Budget{RetriesPerRequest: d.config.RetryShare}, backoff: retry.Backoff{Initial: retryFirst, Max: retryMax},
		engines: d.engines, plain: d.plain, now: d.now, meter: d.meter, usage: d.usage,
		rng: rng,
	}
	if d.config.Baseline {
		relay.choosePolicy = func(c []fleet.Candidate, _ uint64, _ []string) (fleet.Candidate, bool) { return naive.LeastLoaded(c) }
		relay.budget = &retry.Budget{Reserve: math.MaxInt32}
		relay.backoff = retry.Backoff{}
		relay.resumes = 0
		return Chain(account.run, profile.run, d.claims.run, relay.run)
	}
	return Chain(account.run, profile.run, d.admit.run, d.claims.run, relay.run)
}

// freeSlots returns this VM's part of the free slots of the servers that hold a
// model.
func (d *Daemon) freeSlots(p hibiscuscart.Profile, model string) (int, bool) {
	if p.IsService() {
		return 0, false
	}
	free, known := d.fleet.FreeSlots(d.now(), fleet.Requirements{Pool: p.Pool(), Model: model})
	vms := d.peers.others.Load().vms + 1
	return (free + vms - 1) / vms, known
}

// Metrics returns the VM's metrics.
func (d *Daemon) Metrics() *meter.Set { return d.meter }

// FailureDomain returns where the VM is.
func (d *Daemon) FailureDomain() string { return d.config.FailureDomain }

// ProfileVersion returns the version in force of a profile, 0 for none.
func (d *Daemon) ProfileVersion(name string) int {
	p, _ := d.profiles.Get(name)
	return p.Version()
}

// LiveNodes returns the names of the VMs that this one takes for alive and
// staying, its own too.
func (d *Daemon) LiveNodes() []string { return d.peers.liveNodes() }

// Address returns the address for callers, once started.
func (d *Daemon) Address() string { return d.listenAddr }

// PeerAddress returns the address for peers and operators, once started.
func (d *Daemon) PeerAddress() string { return d.peerAddr }

// Start listens and begins to serve. Stop ends it.
func (d *Daemon) Start(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.config.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", d.config.PeerListen)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.listenAddr, d.peerAddr = callers.Addr().String(), operators.Addr().String()
	ctx, d.cancel = context.WithCancel(ctx)
	d.claimer.base, d.base = ctx, ctx
	d.callers = d.server(d.callerHandler())
	d.operators = d.server(d.operatorHandler())
	d.operators.TLSConfig = d.config.TLS
	d.serve("callers", d.callers, callers, false)
	d.serve("peers", d.operators, operators, d.config.TLS != nil)
	d.startJobs(ctx)
	d.log.Info().Str("listen", d.listenAddr).Str("peer_listen", d.peerAddr).Msg("started")
	return nil
}

func (d *Daemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: d.config.Limits.ReadTimeout,
		MaxHeaderBytes: d.config.Limits.HeaderBytes,
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
		if !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Str("listener", name).Msg("listener ended")
		}
	})
}

func (d *Daemon) startJobs(ctx context.Context) {
	for _, job := range []func(context.Context){
		d.followProfiles, d.followServers, d.pollServers, d.peers.run, d.control, d.admit.expire,
	} {
		d.jobs.Go(func() { job(ctx) })
	}
}

// Ready reports whether the VM may get requests.
func (d *Daemon) Ready() bool {
	return d.caughtProfiles.Load() && d.caughtServers.Load() && !d.stopping.Load()
}

// SeesServers reports whether the VM has had a load report of every backend
// server.
func (d *Daemon) SeesServers() bool {
	for _, s := range d.fleet.Status(d.now()) {
		if s.State == wire.ServerStatusStateSilent {
			return false
		}
	}
	return true
}

// Stop ends the VM in peace: it takes no new requests, waits for those in
// progress until ctx ends, then stops the jobs. It returns an error when
// requests were cut off.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.log.Info().Msg("stopping")
	d.peers.announce(ctx)
	pause.For(ctx, drainNotice)
	d.refusing.Store(true)
	err := d.callers.Shutdown(ctx)
	d.claims.wait(ctx)
	d.cancel()
	d.Kill()
	d.jobs.Wait()
	d.claimer.jobs.Wait()
	if err != nil {
		return fmt.Errorf("requests were cut off: %w", err)
	}
	return nil
}

// Kill ends the VM at once, as when its process dies.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.config.PlatformHTTP.CloseIdle()
	d.config.BackendHTTP.CloseIdle()
}
