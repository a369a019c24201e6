package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/places"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// minLoadInterval and maxLoadInterval bound the interval between two frames with load. The
	// interval grows by loadIntervalPerLink with each link, because a VM handles at most some
	// hundred frames per second. Server reports are at least 200 ms old, so shorter intervals
	// would add little.
	minLoadInterval     = 100 * time.Millisecond
	maxLoadInterval     = 300 * time.Millisecond
	loadIntervalPerLink = 5 * time.Millisecond
	// loadIntervalPerVM is the growth with the fleet, so that a VM does not receive more because the
	// links are divided among more relays.
	loadIntervalPerVM = time.Millisecond
	// linkIdleTimeout is the time without frames after which a link counts as broken. It is a
	// few times the longest interval between frames.
	linkIdleTimeout = 1200 * time.Millisecond
	// maxHubDataAge is the age of the hub's data, including its age when the hub sent it, from
	// which a VM reads the store itself. It leaves time for that read within the 1 to 2 s in
	// which a change must be in force.
	maxHubDataAge = 1300 * time.Millisecond
	// leaseCheckInterval is the interval between checks whether the lease is due for renewal or
	// acquisition. The holder renews it after a third of its duration.
	leaseCheckInterval = 100 * time.Millisecond
	// leaseReadInterval is the pause between reads of the lease record while this VM has no
	// current data from a controller.
	leaseReadInterval = 300 * time.Millisecond
	// linkDialTimeout bounds opening a link. Round trips take milliseconds, and the lease is not
	// checked during a dial.
	linkDialTimeout = 400 * time.Millisecond
	// defaultVMs is the number of VMs assumed until a controller reports it.
	defaultVMs = 8
)

// Peers links a VM to the controller, directly or through a relay. While this VM holds the lease,
// Peers serves the controller's side of the links. All fields must be set unless noted.
type Peers struct {
	Name, Domain string
	// Boot identifies the process run of this VM.
	Boot string
	// Address is where this VM accepts links. Cores is its CPU share.
	Address    string
	Cores      float64
	Lease      *Lease
	Controller *steer.Controller
	Servers    *backs.View
	Balancer   *pick.Balancer
	// Poison tracks server crashes by request and blocks requests that cause them.
	Poison *poison.Tracker
	// PartTracker does the same for parts of prompts. If nil, they are not tracked.
	PartTracker *poison.PartTracker
	// Gauge estimates the pace of servers. If nil, what VMs learn of it is not exchanged.
	Gauge *gauge.Gauge
	// Limits holds the request rate limits that servers have announced.
	Limits *limit.Limits
	// Quotas holds the quotas of the teams. If nil, teams have none.
	Quotas *limit.Quotas
	// EqualQuotas gives each VM an equal part of all quotas, without a root.
	EqualQuotas bool
	// Retries holds the retry budgets, which are told among how many VMs they are divided. If nil, there are
	// none.
	Retries *retry.Budgets
	// Config returns the configuration in force, as stored, and the number of frames with it, which
	// rises when it changes. ConfigChanged returns a channel that is closed when the configuration
	// changes. ApplyConfig applies a configuration received from the hub.
	Config        func() (revision int, value []byte)
	ConfigChanged func() <-chan struct{}
	ApplyConfig   func(revision int, value []byte)
	// ConfirmedAt returns when the store last confirmed that this VM's data is current.
	ConfirmedAt func() time.Time
	// ConfirmFromStore brings Servers, by a call to the store, to a state that has every change that the store had made
	// when it was called, and marks that. It returns an error if this VM does not follow the store. If nil, it does not.
	ConfirmFromStore func(ctx context.Context) error
	// StoreUnreachable reports whether the store did not answer this VM's last request and a retry is
	// in progress. If nil, the store counts as reachable.
	StoreUnreachable func() bool
	// HasPath reports whether this VM has a path to the backend servers and serves as a proxy for VMs
	// that have none. If nil, it has one and does not serve.
	HasPath func() bool
	// KeepsOrigins is set if this VM keeps origins of streams for others.
	KeepsOrigins bool
	// Dial opens a connection to another VM. If nil, it is a TCP connection.
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	Now   func() time.Time
	Log   zerolog.Logger
	Meter *meter.Registry

	// configFrames has a lock of its own.
	configFrames configFrames

	mu sync.Mutex
	// demand and unverified are not yet reported to the controller.
	demand     map[demandKey]*steer.ModelDemand
	unverified map[string]bool
	// finds are the pending find calls.
	finds findGroup
	// confirms is the pending confirmation of the list of servers.
	confirms confirmGroup
	// confirmFailed is set if the last confirmation failed, for the log.
	confirmFailed bool
	vms           int
	links         map[*downlink]bool
	// sent holds the revisions that have been sent on all links.
	sent   sentRevisions
	uplink *uplink
	// linkedOnce is set once this VM has been linked to a hub.
	linkedOnce bool
	// hubConfirmedAt is when the store last confirmed the hub's data. extraAge is how much older
	// than maxHubDataAge that data may become.
	hubConfirmedAt time.Time
	extraAge       time.Duration
	// reportInterval is the interval between load reports to the hub.
	reportInterval time.Duration
	// subtrees holds the last report of each VM linked to this one, by VM name. externalLoads is
	// the load of all VMs outside this VM's subtree, by server.
	subtrees      map[string]subtree
	externalLoads map[string]pick.Load
	// relays is the list last received from the hub. chosenRelays are the VMs that this hub chose as
	// relays. relayLostAt is when the link to a relay was lost, by address.
	relays       []wire.Relay
	chosenRelays map[string]bool
	// withoutPathSince is since when this VM, the controller, has had no path to the servers.
	withoutPathSince time.Time
	// rooms grants requests to servers that may not reject many.
	rooms limit.Slots
	// places grants places at servers of services with few slots. placeEnds are the ends to report to the hub, and
	// placesSuspendedUntil is until when this VM does not call it for places.
	places               places.Owner
	placeEnds            placeEnds
	placesSuspendedUntil time.Time
	// rejects are the news of servers that may not reject many requests.
	rejects rejectNews
	// paces is what is to be passed on of the pace of servers.
	paces paceExchange
	// keepers are the VMs that keep origins.
	keepers keeperList
	// holderAskedAt is when this VM last asked others for the lease record.
	holderAskedAt time.Time
	// hubProxies are the proxies that the hub named last.
	hubProxies []string
	// relaysOutdated is set when a relay of the list was lost. dividedSince is since when this relay has
	// had enough VMs to divide them.
	relaysOutdated bool
	dividedSince   time.Time
	relayLostAt    map[string]time.Time
	// rejectedAt is when this relay rejected the link of a stronger VM, by VM name.
	rejectedAt map[string]time.Time
	// withheld records how often the full state was withheld from a VM that linked, by its process run.
	withheld map[string]withheldLinks
	// termStart is when this VM became the controller. inheritedVMs is the number of VMs then.
	termStart    time.Time
	inheritedVMs int
	termStarted  chan struct{}
	// relaying is set while this VM is a relay, and furtherRelay if another relay chose it.
	// leaseRenewed then signals each renewal that the controller announces.
	relaying     bool
	furtherRelay bool
	stopRelaying context.CancelFunc
	leaseRenewed chan struct{}
	// frameDue makes a hub send a frame at once, because the list of tight teams or, with loadsDue,
	// that of the relays or proxies has changed. reportDue does the same for the report to the hub.
	frameDue, reportDue signal
	loadsDue            bool
	// fleet is the size of the fleet for the parts of the quotas, and allotments what this VM has counted as the
	// controller.
	fleet      fleetSize
	allotments allotmentCount
	// quotasSeeded is set once this process has its part of the levels in the lease record.
	quotasSeeded bool
	// quotaFailedAt is when the hub last failed to answer a quota call.
	quotaFailedAt time.Time
}

// VMs returns the number of VMs as last reported by the hub, else from the lease record, else
// defaultVMs.
func (p *Peers) VMs() int {
	p.mu.Lock()
	vms := p.vms
	p.mu.Unlock()
	if vms == 0 {
		vms = p.Lease.VMs()
	}
	if vms == 0 {
		return defaultVMs
	}
	return vms
}

// Run maintains the lease and the link to the hub until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	p.rooms.Seed = xxhash.Sum64String(p.Name)
	p.places.Seed = xxhash.Sum64String(p.Name + p.Boot)
	leaseDue := true
	var steppedAt time.Time
	for ctx.Err() == nil {
		if now := p.Now(); leaseDue && now.Sub(steppedAt) >= p.minLeaseReadInterval(p.Lease.Expired(now)) {
			steppedAt = now
			p.Lease.Step(ctx)
			p.askForHolder(ctx)
		}
		// While a link lasts, the hub sends the lease record. After the link is lost, the store
		// is read at once only if that record has expired.
		leaseDue = true
		if p.Lease.Held(p.Now()) {
			p.runController(ctx)
			continue
		}
		if p.Lease.Expired(p.Now()) {
			// There is no holder to link to. This VM acquires the lease soon unless a stronger
			// VM does.
			pause.For(ctx, time.Duration(p.PollIntervalFactor()*float64(leaseCheckInterval)))
			continue
		}
		if address, controller, key := p.selectHub(p.Now()); address != "" {
			end := p.followHub(ctx, address, controller, key)
			leaseDue = end == linkFailed || end == linkDenied || p.Lease.Expired(p.Now())
			if end == linkDenied {
				steppedAt = time.Time{}
			}
			if end != linkMoved {
				// The hub's lease may have expired by now.
				pause.For(ctx, time.Duration(p.PollIntervalFactor()*float64(leaseCheckInterval)))
			}
			continue
		}
		pause.For(ctx, p.leaseReadPause())
	}
}

// HubDataFresh reports whether the hub's data is recent enough that this VM need not watch the store
// itself.
func (p *Peers) HubDataFresh(now time.Time) bool { return p.HubDataFreshFor(now) > 0 }

// HubDataFreshFor returns how much longer the hub's data will be recent enough if no more arrives, 0 if
// it is not.
func (p *Peers) HubDataFreshFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hubConfirmedAt.IsZero() {
		return 0
	}
	return max(p.hubConfirmedAt.Add(maxHubDataAge+p.extraAge).Sub(now), 0)
}

// Handler accepts links from other VMs while this VM holds the lease or is a relay, and has the
// full list of servers. A link starts with that list. If a process that had just started sent an
// empty one, the other VMs would treat all servers as removed and, when these were listed again,
// send them no requests for seconds.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) {
		key := p.linkKey(p.Now())
		if key == "" || !p.Servers.Synced() {
			http.Error(w, "this VM neither holds the controllers' lease nor relays, or has just begun to", http.StatusServiceUnavailable)
			return
		}
		a := &link.Acceptor{Hello: p.hello, Keys: link.Keys{Peer: key}, CountBytes: p.countBytes, Serve: p.serveLink}
		a.ServeHTTP(w, r)
	})
	mux.HandleFunc(holderPath, p.serveHolder)
	return mux
}

// linkKey returns the key that VMs must present to link to this VM, or "" if it accepts no links.
func (p *Peers) linkKey(now time.Time) string {
	if key := p.Lease.LinkKey(now); key != "" || !p.isRelaying() {
		return key
	}
	_, key := p.Lease.OtherHolder()
	return key
}

func (p *Peers) isRelaying() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relaying
}

func (p *Peers) hello() wire.Hello {
	return wire.Hello{
		Protocol: link.Protocol, Node: p.Name, FailureDomain: p.Domain, Boot: p.Boot,
		Address: p.Address, Millicores: int(1000 * p.Cores), Relaying: p.isRelaying(), ServesAsProxy: p.HasPath != nil, ZKeepsOrigins: p.KeepsOrigins,
	}
}

// countBytes counts a frame in total, and by the role of this VM and the kind of frame. The counters by
// role show what grows with the fleet: a VM may have all three roles in the course of its life.
func (p *Peers) countBytes(kind string, sent, received int) {
	p.Meter.AddCounter("peers.bytes_sent", int64(sent))
	p.Meter.AddCounter("peers.bytes_received", int64(received))
	direction, size := "sent", sent
	if received > 0 {
		direction, size = "received", received
	}
	name := "peers." + p.role() + "." + kind + "." + direction
	p.Meter.AddCounter(name+".frames", 1)
	p.Meter.AddCounter(name+".bytes", int64(size))
}

// role returns the role of this VM in the tree, as it names the counters of frames.
func (p *Peers) role() string {
	switch {
	case p.Lease.Held(p.Now()):
		return "controller"
	case p.isRelaying():
		return "relay"
	}
	return "leaf"
}
