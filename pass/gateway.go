package pass

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/origin"
	"github.com/hibiscuscart/hibiscuscart/paths"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/places"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/spans"
)

// callerDisconnected reports whether the caller has closed its connection. The HTTP server cancels
// the request's context for that, but only some time after it has read the request: a request
// buffered in the kernel while this VM was suspended would be forwarded for a caller that
// disconnected long ago.
func callerDisconnected(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := httpx.CallerConn(r.Context())
	return ok && conns.PeerClosed(c)
}

// Gateway forwards requests to backend servers. The HTTP server that calls it uses httpx.WithConn as its
// ConnContext. All fields must be set, except those described as
// optional; RecordDemand and FindServer may be nil if no service runs models.
type Gateway struct {
	HeaderNames *HeaderNames
	// Table returns the current configuration, or nil before the first one is loaded.
	Table    func() *routes.Table
	Servers  *backs.View
	Balancer *pick.Balancer
	Pool     *conns.Pool
	// Paths tracks whether this VM reaches the servers.
	Paths *paths.Tracker
	// Poison tracks server crashes by request and blocks requests that cause them.
	Poison *poison.Tracker
	// PartTracker does the same for parts of prompts. Optional.
	PartTracker *poison.PartTracker
	// Gauge estimates how long work takes on servers, by what they report. Optional; if nil, it is not read.
	Gauge *gauge.Gauge
	// RateLimits holds the request rate limits that servers have announced.
	RateLimits *limit.Limits
	// RetryBudget returns the retry budget of a service.
	RetryBudget func(service string) *retry.SlidingWindow
	// RecordDemand records the demand for a model: one request, and its cost in server time.
	RecordDemand func(service string, w pick.Work, cost time.Duration)
	// FindServer requests a server for a request from the controller, waits until the server
	// has them, and returns its ID.
	FindServer func(ctx context.Context, need backs.Need) (string, error)
	// Alone reports whether this VM is cut off from the store and from the other VMs, so that nobody loads a model for
	// it. Optional; if nil, it never is.
	Alone func() bool
	// ProxyVMs returns the addresses of VMs through which requests may be sent while this VM has no path to
	// the servers, and ProxyKey the key that they want. AcceptsProxyKey reports whether a key allows another
	// VM to send requests through this one, at most MaxProxied at a time. Optional; if nil, no other VM is
	// used or served.
	ProxyVMs        func() []string
	ProxyKey        func() string
	AcceptsProxyKey func(key string) bool
	MaxProxied      int
	// TellOrigin has other VMs keep where an attempt began a stream, and FindOrigin finds that out from them.
	// Optional; if nil, streams that callers take up go on only if the list of servers proves their version.
	TellOrigin func(attempt string, r origin.Record)
	FindOrigin func(ctx context.Context, attempt string) (origin.Record, origin.Verdict)
	// ConfirmServers makes sure that Servers has every change that the store had made by a time, or returns an error.
	// Optional; if nil, that is not made sure.
	ConfirmServers func(ctx context.Context, by time.Time) error
	// InstanceProbe is how servers that start again under their names are asked which instance they are.
	// Optional; if nil, they are not asked.
	InstanceProbe *InstanceProbe
	// RequestPermit requests a permit for one request to a server with a rate limit. It returns 0
	// if the permit was granted, and otherwise how long to wait before the next attempt.
	RequestPermit func(ctx context.Context, server string) time.Duration
	// RequestPlace requests a place at a server of a service with few slots, and returns an error if no VM
	// grants them. EndPlace reports the end of a request with a place. Optional; if nil, requests need no places.
	RequestPlace func(ctx context.Context, service string, r places.Request) (places.Answer, error)
	EndPlace     func(places.End)
	// ShutdownContext ends when the VM starts to shut down: from then on, requests without a server are
	// refused. Optional.
	ShutdownContext context.Context
	// StopsAt returns when this VM exits, once it has been told to stop. Optional; if nil, it never is.
	StopsAt func() (exit time.Time, stopping bool)
	// StoppingSince returns when this VM was told to stop, once it has been. Optional; if nil, that was long ago.
	StoppingSince func() time.Time
	// ExitContext ends when this VM exits: requests that are under way and have no answer yet are then answered. Optional.
	ExitContext context.Context
	// OnRefusedStopping is called when this VM refuses a request because it would be under way as the VM exits. Optional.
	OnRefusedStopping func()
	// AwaitConfig waits for a change of the configuration for at most limit. Optional; if nil, requests
	// do not wait for the first configuration.
	AwaitConfig func(ctx context.Context, limit time.Duration)
	// Quotas holds the quotas of the teams; if nil, teams have none. TakeQuota takes the tokens of a
	// request from its team's quota. If granted is set, the request may be sent after wait; otherwise
	// its caller should retry after wait.
	Quotas    *limit.Quotas
	TakeQuota func(ctx context.Context, r limit.QuotaRequest) (wait time.Duration, granted bool)
	// ConfigCurrent reports whether the configuration was recently confirmed to be the newest. Optional;
	// if nil, it is.
	ConfigCurrent func(now time.Time) bool
	// VMCount returns how many VMs send requests to the same servers. Optional; the default is 1.
	VMCount func() int
	// RetryVMs returns among how many VMs this one divides the extra retries, 0 if it has no allotment of them, for
	// the log. Optional.
	RetryVMs func() int
	// OnReject is called when a server that may not reject many requests has rejected one. Optional.
	OnReject func()
	// ReportSuspect reports that a server is unreachable or does not have the model it was listed with.
	// Optional.
	ReportSuspect func(server string)
	Now           func() time.Time
	Log           zerolog.Logger
	// ResponseBudget bounds the memory of the responses that are buffered whole. Optional; if nil, the gateway has the
	// smallest one for itself.
	ResponseBudget *conns.Budget
	// RequestMemory returns how many bytes the long bodies of requests may take at the same time. Optional; if nil, there is
	// no bound.
	RequestMemory func() int64
	// Meter receives counters and durations.
	Meter *meter.Registry

	// proxyPool and proxyLoads are the connections to proxies and the requests at them, proxiedRunning counts
	// the requests that this VM sends for others.
	proxyPool      conns.Pool
	proxyLoads     proxyLoads
	proxiedRunning atomic.Int64
	lives          streamLives
	// invalidLoads are the servers whose invalid reports were logged.
	invalidLoads loggedServers
	// reportingServers are the servers that have reported their load with a pace.
	reportingServers loggedServers
	bodyRoom         bodyRoom
	// ownBudget is used if ResponseBudget is nil.
	ownBudget conns.Budget

	mu  sync.Mutex
	rng *rand.Rand
	// admissionWaiters counts the requests that wait for capacity at the servers, by service and
	// model.
	admissionWaiters map[string]int
	// permitWaiters counts the requests that wait for a permit, by server.
	permitWaiters map[string]int
	// probing holds the servers to which a connection is being opened to find out whether their
	// process has ended.
	probing map[string]bool
}

const (
	// maxResponseBytes bounds a plain response, which is buffered before it is forwarded.
	maxResponseBytes = 16 << 20
	// defaultMaxBodyBytes bounds a request body if the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// maxTableWait bounds how long a request waits for the first configuration of its VM, which is
	// checked at least every tableCheckInterval.
	maxTableWait       = 600 * time.Millisecond
	tableCheckInterval = 100 * time.Millisecond
	// minRetryAfter is the minimum delay before a refused caller retries. The random delay on top, so
	// that callers do not retry all at the same time, has a range as long as the delay itself, within
	// minRetryAfterSpread and maxRetryAfterSpread.
	minRetryAfter       = 150 * time.Millisecond
	minRetryAfterSpread = 350 * time.Millisecond
	maxRetryAfterSpread = 5 * time.Second
)

// ServeHTTP forwards one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := g.Now()
	table := g.awaitTable(r.Context(), now)
	if table == nil {
		g.reject(w, r, http.StatusServiceUnavailable, "no configuration is known yet")
		return
	}
	route, ok := table.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		g.reject(w, r, http.StatusNotFound, "no route")
		return
	}
	team, ok := table.Authenticate(route, r.Header.Values(g.HeaderNames.Key))
	if !ok {
		g.rejectKey(w, r, now)
		return
	}
	maxBodyBytes := table.Limits().MaxBodyBytes
	if maxBodyBytes == 0 {
		maxBodyBytes = defaultMaxBodyBytes
	}
	body, release, err := g.readBody(r, maxBodyBytes)
	if err != nil {
		g.rejectBody(w, r, err)
		return
	}
	defer release()
	resumes, err := parseResumes(g.HeaderNames, r)
	if err != nil {
		g.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	c := newCall(now, g.HeaderNames, r, body, table, route, team, resumes)
	g.recordStop(c)
	g.serveCall(w, c)
	g.Meter.RecordDuration("pass.request", g.Now().Sub(c.arrived))
	g.Meter.AddCounter("pass.status."+strconv.Itoa(c.status), 1)
	g.logRequest(c)
	if c.status == statusCallerClosed || c.status == statusStreamAborted {
		// The HTTP server answers with an empty success when a handler returns without having written. A caller that
		// has closed only its sending side would take it for the answer.
		panic(http.ErrAbortHandler)
	}
}

// awaitTable returns the configuration in force. A VM that has just started has none for some tenths of
// a second; its callers wait that long, because most of them can retry only once.
func (g *Gateway) awaitTable(ctx context.Context, now time.Time) *routes.Table {
	deadline := now.Add(maxTableWait)
	for {
		table := g.Table()
		if table != nil || g.AwaitConfig == nil || ctx.Err() != nil || !g.Now().Before(deadline) {
			return table
		}
		g.AwaitConfig(ctx, tableCheckInterval)
	}
}

// serveCall sends a call to servers until one responds or no further attempt is allowed.
func (g *Gateway) serveCall(w http.ResponseWriter, c *call) {
	ctx, cancel := c.context(g.Now())
	defer cancel()
	defer g.endAtExit(cancel)()
	ctx, span := spans.Start(spans.Extract(ctx, c.request.Header.Get(headerTrace)), "request",
		attribute.String("request", c.id), attribute.String("route", c.route.Name), attribute.String("service", c.service.Name))
	defer func() {
		span.SetAttributes(attribute.Int("status", c.status), attribute.Int("sends", c.sends))
		spans.End(span, c.failure())
	}()
	if g.blocked(c.arrived, c) {
		g.Meter.AddCounter("pass.blocked", 1)
		g.fail(ctx, w, c)
		return
	}
	err := g.refuseLate(c)
	if err == nil {
		err = g.bind(ctx, c)
	}
	if err != nil {
		c.reason, c.refusal = err.Error(), err
		g.fail(ctx, w, c)
		return
	}
	g.countTeamRequest(c)
	if !g.takeQuota(ctx, c) {
		g.failQuota(w, c)
		return
	}
	defer g.settleQuota(c)
	c.retryBudget = g.RetryBudget(c.service.Name)
	c.retryBudget.RecordRequest(c.arrived)
	if g.RecordDemand != nil && c.work.Model != "" {
		g.RecordDemand(c.service.Name, c.work, g.Balancer.Cost(c.work))
	}
	defer g.finishCall(c)
	for {
		choice, err := g.chooseServerTraced(ctx, c)
		if err != nil {
			c.reason, c.refusal = err.Error(), err
			break
		}
		if done := g.sendAttempt(ctx, w, c, choice); done {
			return
		}
		if !g.mayRetry(ctx, c) {
			break
		}
	}
	g.fail(ctx, w, c)
}

// chooseServerTraced calls chooseServer in a span.
func (g *Gateway) chooseServerTraced(ctx context.Context, c *call) (pick.Choice, error) {
	ctx, span := spans.Start(ctx, "route", attribute.String("model", c.work.Model), attribute.String("adapter", c.work.Adapter))
	choice, err := g.chooseServer(ctx, c)
	span.SetAttributes(attribute.String("server", choice.Server.ID))
	spans.End(span, err)
	return choice, err
}

// maxSends bounds the sends of one request, including refused ones, and maxAttempts the
// attempts including failed connections.
const (
	maxSends    = 4
	maxAttempts = 10
)

// mayRetry reports whether a request without a final response may be sent once more.
func (g *Gateway) mayRetry(ctx context.Context, c *call) bool {
	if ctx.Err() != nil || c.sends >= maxSends || c.attempts >= maxAttempts {
		return false
	}
	if c.budgetExhausted || c.disconnected || c.keyRemoved || c.withoutPath || g.blocked(g.Now(), c) {
		return false
	}
	if c.unnumbered {
		c.reason += "; not resumed, as its last event has no number as its id"
		return false
	}
	return !c.mayHaveRun || c.route.Repeatable()
}
