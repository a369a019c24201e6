package peers

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// shareEvery and shareMost bound the pause between two frames that tell
	// load, which grows with the links by sharePerLink: a VM handles some hundred
	// frames a second at most. Reports of servers are 200 ms old and
	// more, so more often would tell little.
	shareEvery   = 100 * time.Millisecond
	shareMost    = 300 * time.Millisecond
	sharePerLink = 5 * time.Millisecond
	// linkSilence is how long a link may be silent before it counts as dead:
	// some of the longest pauses between frames.
	linkSilence = 1200 * time.Millisecond
	// freshFor is how old the controller's word may be, its own age at the
	// store included, before a VM asks the store itself. It leaves time for
	// that within the second or two in which a change must be in force.
	freshFor = 1300 * time.Millisecond
	// leaseEvery is how often the lease is looked at. A third of its duration
	// lies between renewals.
	leaseEvery = 100 * time.Millisecond
	// searchEvery is the pause between reads of the lease while there is no
	// link to a controller.
	searchEvery = 300 * time.Millisecond
	// linkDial bounds the opening of a link. The paths take milliseconds, and
	// while a dial waits the lease is not looked at.
	linkDial = 400 * time.Millisecond
	// vmsUnknown is how many VMs are assumed before a controller has told.
	vmsUnknown = 8
)

// Peers connects a VM with the controller, or is the controller's side of the
// links while this VM holds the lease. All fields must be set.
type Peers struct {
	Name, Domain string
	Boot         string
	// Address is where this VM takes links, Cores its share of a processor.
	Address    string
	Cores      float64
	Lease      *Lease
	Controller *steer.Controller
	Servers    *backs.View
	Book       *pick.Book
	// Poison tracks server crashes by request and blocks requests that cause them.
	Poison *poison.Tracker
	// Limits holds the request rate limits that servers have announced.
	Limits *limit.Limits
	// Config returns the configuration in force as the store holds it, and its
	// revision; ConfigChanged is closed when it changes, and Configure puts one
	// in force that the controller told.
	Config        func() (revision int, value []byte)
	ConfigChanged func() <-chan struct{}
	Configure     func(revision int, value []byte)
	// Current returns when the store told last that what this VM knows is
	// current.
	Current func() time.Time
	// StoreAway reports whether the store did not answer this VM when it was asked last,
	// and is being asked again; nil for never.
	StoreAway func() bool
	Now       func() time.Time
	Log       zerolog.Logger
	Meter     *meter.Registry

	mu     sync.Mutex
	wants  map[wantKey]*steer.Want
	doubts map[string]bool
	// asking are the questions to the hub that are open.
	asking questions
	vms    int
	links  map[*downlink]bool
	// shown is what all links have been told.
	shown shown
	up    *uplink
	// fresh is as of when the word of the controller or relay is current, lent
	// how much older than usual it may get.
	fresh time.Time
	lent  time.Duration
	// pause lies between two frames that tell load to the hub.
	pause time.Duration
	// branches is what the VMs linked to this one have told, by VM, and outside
	// what those beyond the hub have at the servers.
	branches map[string]branch
	outside  map[string]pick.Load
	// relays are those told last, chosen those that this VM as the controller
	// named; shunned is when a relay was lost.
	relays  []wire.Relay
	chosen  map[string]string
	shunned map[string]time.Time
	// yielded is when this relay turned a stronger VM's link away.
	yielded map[string]time.Time
	// began is when this VM's term did, inherited how many VMs there were then.
	began     time.Time
	inherited int
	// relaying is set while VMs of the domain link to this one; renewed is then
	// signalled when the controller told that it renewed its lease.
	relaying     bool
	stopRelaying context.CancelFunc
	renewed      chan struct{}
}

type wantKey struct{ service, model, adapter string }

// Want notes demand, for the controller.
func (p *Peers) Want(service string, w pick.Work, cost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addWant(steer.Want{Service: service, Model: w.Model, Adapter: w.Adapter, Requests: 1, Time: cost})
}

// Doubt notes a server that could not be reached or did not hold what it was
// thought to, for the controller.
func (p *Peers) Doubt(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addDoubt(server)
}

func (p *Peers) takeDoubts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Collect(maps.Keys(p.doubts))
	p.doubts = nil
	return list
}

func (p *Peers) takeWants() []steer.Want {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []steer.Want
	for _, w := range p.wants {
		list = append(list, *w)
	}
	p.wants = nil
	return list
}

// VMs returns how many VMs there are, as far as known: by the hub's word, or else
// by the lease's record.
func (p *Peers) VMs() int {
	p.mu.Lock()
	vms := p.vms
	p.mu.Unlock()
	if vms == 0 {
		vms = p.Lease.VMs()
	}
	if vms == 0 {
		return vmsUnknown
	}
	return vms
}

var errNoController = errors.New("no controller can be asked")

// Find asks the controller for a server that holds a model and adapter.
func (p *Peers) Find(ctx context.Context, service, model, adapter string) (string, error) {
	if p.Lease.Held(p.Now()) {
		id, err := p.Controller.Find(ctx, service, model, adapter)
		if err == nil {
			p.Servers.Hold(p.Now(), id, p.Controller.HeldBy(p.Now(), id))
		}
		return id, err
	}
	return p.asking.ask(ctx, wanted{service, model, adapter}, func(ctx context.Context) (string, error) {
		p.mu.Lock()
		up := p.up
		p.mu.Unlock()
		if up == nil {
			return "", errNoController
		}
		id, err := up.find(ctx, service, model, adapter)
		if err == nil {
			p.Servers.Learn(p.Now(), id, model, adapter)
		}
		return id, err
	})
}

const (
	// easyVMs is how many VMs may call the store at the full pace when none of
	// them has a controller, easyWeakness the weakness from which a VM calls less
	// often, and slowest by how much at most: a change must still be in force
	// within two seconds of the store's return.
	easyVMs      = 16
	easyWeakness = 500 * time.Millisecond
	slowest      = 3.0
)

// Slow returns by how much this VM stretches its pauses between calls to the
// store while it has no controller. With many VMs the weak ones leave the search
// to the strong ones: all of them together would use the store's rate up.
func (p *Peers) Slow() float64 {
	vms, weakness := float64(p.VMs())/easyVMs, float64(p.Lease.Weakness)/float64(easyWeakness)
	return min(max(vms*weakness, 1), slowest)
}

func (p *Peers) searchPause() time.Duration { return time.Duration(p.Slow() * float64(searchEvery)) }

// Run keeps the lease and the link until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	look := true
	for ctx.Err() == nil {
		if look {
			p.Lease.Step(ctx)
		}
		// The hub has told the record while the link lasted: unless it has run
		// out by that, the store need not be asked again.
		look = true
		if p.Lease.Held(p.Now()) {
			p.lead(ctx)
			continue
		}
		if p.Lease.Free(p.Now()) {
			// Its holder need not be looked for; this VM takes it soon, unless a
			// stronger one does.
			pause.For(ctx, time.Duration(p.Slow()*float64(leaseEvery)))
			continue
		}
		if address, controller, key := p.hub(p.Now()); address != "" {
			look = !p.follow(ctx, address, controller, key) || p.Lease.Free(p.Now())
			// Its lease may have run out by now.
			pause.For(ctx, time.Duration(p.Slow()*float64(leaseEvery)))
			continue
		}
		pause.For(ctx, p.searchPause())
	}
}

// lead is the controller's side until another VM holds the lease. While the
// store is away the lease runs out and no orders are given, but nobody else can
// take it either: the links stay, and load and servers are told as before.
func (p *Peers) lead(ctx context.Context) {
	p.Log.Info().Msg("steering begins")
	p.endRelaying()
	p.beginTerm(p.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed := make(chan struct{}, 1)
	go p.shareOwn(ctx)
	go p.broadcast(ctx, renewed)
	for ctx.Err() == nil && !p.succeeded() {
		pause.For(ctx, leaseEvery)
		p.renew(ctx, renewed)
	}
	p.closeLinks()
	p.Log.Info().Msg("steering ends")
}

func (p *Peers) beginTerm(now time.Time) {
	vms := p.VMs()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.began, p.inherited = now, vms
}

// renew does what is due for the lease, and signals when it was renewed. The
// other VMs are told at once: one that finds a renewal in the store that it was
// not told of must count the whole lease from when it reads it, and takes over
// a second later.
func (p *Peers) renew(ctx context.Context, renewed chan<- struct{}) {
	before, _ := p.Lease.Renewed()
	p.Lease.Step(ctx)
	if after, _ := p.Lease.Renewed(); after == before {
		return
	}
	select {
	case renewed <- struct{}{}:
	default:
	}
}

// succeeded reports whether another VM is known to hold the lease.
func (p *Peers) succeeded() bool {
	if p.Lease.Held(p.Now()) {
		return false
	}
	address, _ := p.Lease.Holder()
	return address != ""
}

// shareOwn joins this VM's load and demand with those that the links bring.
func (p *Peers) shareOwn(ctx context.Context) {
	since := time.Time{}
	for ctx.Err() == nil {
		changed := p.Controller.Changed()
		now := p.Now()
		own := p.Book.Own()
		p.Controller.Report(now, p.Name, own, p.takeWants())
		p.Controller.Doubt(p.takeDoubts())
		// The controller's tracker already merges the reports of all VMs, so its own report is
		// discarded.
		p.Poison.TakeReport()
		p.Limits.TakeReport()
		p.Book.Others(now, pick.Minus(p.Controller.Loads(), own))
		for _, s := range p.Controller.ShownSince(now, since) {
			p.Servers.Hold(now, s.Server, s.Models)
		}
		since = now
		p.countVMs(now)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(shareEvery):
		}
	}
}

func (p *Peers) closeLinks() {
	p.mu.Lock()
	links := p.links
	p.links = nil
	p.mu.Unlock()
	for d := range links {
		d.conn.Close()
	}
}

// Leading reports whether this VM holds the lease: it then watches the store
// for all others.
func (p *Peers) Leading() bool { return p.Lease.Held(p.Now()) }

// Covered reports whether another VM that watches the store has told this one
// lately what changes, so that it need not watch by itself.
func (p *Peers) Covered(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.fresh.IsZero() && now.Sub(p.fresh) < freshFor+p.lent
}

// Handler takes links from other VMs while this one holds the lease or relays, and
// knows the servers. A link begins with all servers there are: told by a process
// that has just started and has none yet, the others took all of them for gone, and
// gave those that rose again no work for seconds.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) {
		key := p.linkKey(p.Now())
		if key == "" || !p.Servers.Caught() {
			http.Error(w, "this VM neither holds the controllers' lease nor relays, or has just begun to", http.StatusServiceUnavailable)
			return
		}
		a := &link.Acceptor{Hello: p.hello, Keys: link.Keys{Peer: key}, Count: p.count, Serve: p.serveLink}
		a.ServeHTTP(w, r)
	})
	return mux
}

// linkKey returns what VMs that link to this one must present, "" when it takes
// no links.
func (p *Peers) linkKey(now time.Time) string {
	if key := p.Lease.Key(now); key != "" || !p.isRelaying() {
		return key
	}
	_, key := p.Lease.Holder()
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
		Address: p.Address, Millicores: int(1000 * p.Cores), Relaying: p.isRelaying(),
	}
}

func (p *Peers) count(sent, received int) {
	p.Meter.AddCounter("peers.bytes_sent", int64(sent))
	p.Meter.AddCounter("peers.bytes_received", int64(received))
}

// interval returns the pause between frames that tell load, by the number of
// links.
func interval(links int) time.Duration {
	return min(max(shareEvery, time.Duration(links)*sharePerLink), shareMost)
}
