package peers

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// shareEvery is the pause between two frames that tell load. Reports of
	// servers are older; with more VMs the pause grows, so that the frames that
	// the controller handles a second stay the same.
	shareEvery = 100 * time.Millisecond
	// sharesPerSecond is how many such frames the controller takes and sends.
	sharesPerSecond = 100
	// linkSilence is how long a link may be silent before it counts as dead;
	// the controller sends at least every linkPulse.
	linkSilence = 1500 * time.Millisecond
	linkPulse   = 500 * time.Millisecond
	// leaseEvery is how often the lease is looked at. A third of its duration
	// lies between renewals.
	leaseEvery = 150 * time.Millisecond
	// searchEvery is the pause between reads of the lease while there is no
	// link to a controller.
	searchEvery = 400 * time.Millisecond
	// vmsUnknown is how many VMs are assumed before a controller has told.
	vmsUnknown = 8
)

// Peers connects a VM with the controller, or is the controller's side of the
// links while this VM holds the lease. All fields must be set.
type Peers struct {
	Name, Domain string
	Boot         string
	Lease        *Lease
	Controller   *steer.Controller
	Servers      *backs.View
	Book         *pick.Book
	Now          func() time.Time
	Log          zerolog.Logger
	Meter        *meter.Set

	mu    sync.Mutex
	wants map[wantKey]*steer.Want
	vms   int
	links map[*link.Conn]string
	up    *uplink
}

type wantKey struct{ service, model, adapter string }

// Want notes demand, for the controller.
func (p *Peers) Want(service string, w pick.Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wants == nil {
		p.wants = make(map[wantKey]*steer.Want)
	}
	one := steer.WantOf(service, w)
	key := wantKey{service, w.Model, w.Adapter}
	if sum := p.wants[key]; sum != nil {
		sum.Requests += one.Requests
		sum.Tokens += one.Tokens
		return
	}
	p.wants[key] = &one
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

// VMs returns how many VMs there are, as far as known.
func (p *Peers) VMs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms == 0 {
		return vmsUnknown
	}
	return p.vms
}

func (p *Peers) setVMs(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = n
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
}

// Run keeps the lease and the link until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Lease.Step(ctx)
		if p.Lease.Held(p.Now()) {
			p.lead(ctx)
			continue
		}
		if address, key := p.Lease.Holder(); address != "" {
			p.follow(ctx, address, key)
		}
		pause.For(ctx, searchEvery)
	}
}

// lead is the controller's own loop while the lease is held.
func (p *Peers) lead(ctx context.Context) {
	p.Log.Info().Msg("steering begins")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.shareOwn(ctx)
	for ctx.Err() == nil && p.Lease.Held(p.Now()) {
		pause.For(ctx, leaseEvery)
		p.Lease.Step(ctx)
	}
	p.closeLinks()
	p.Log.Info().Msg("steering ends")
}

// shareOwn joins this VM's load and demand with those that the links bring.
func (p *Peers) shareOwn(ctx context.Context) {
	since := time.Time{}
	for ctx.Err() == nil {
		now := p.Now()
		p.Controller.Report(now, p.Name, p.Book.Own(), p.takeWants())
		p.Book.Others(p.Controller.Others(p.Name))
		for _, s := range p.Controller.ShownSince(now, since) {
			p.Servers.Hold(now, s.Server, s.Models)
		}
		since = now
		p.setVMs(p.linkCount() + 1)
		select {
		case <-ctx.Done():
		case <-p.Controller.Changed():
		case <-time.After(shareEvery):
		}
	}
}

func (p *Peers) linkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

func (p *Peers) closeLinks() {
	p.mu.Lock()
	links := p.links
	p.links = nil
	p.mu.Unlock()
	for c := range links {
		c.Close()
	}
}

// Handler takes links from other VMs while this one holds the lease.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) {
		key := p.Lease.Key(p.Now())
		if key == "" {
			http.Error(w, "this VM does not hold the controllers' lease", http.StatusServiceUnavailable)
			return
		}
		a := &link.Acceptor{Hello: p.hello, Keys: link.Keys{Peer: key}, Count: p.count, Serve: p.serveLink}
		a.ServeHTTP(w, r)
	})
	return mux
}

func (p *Peers) hello() wire.Hello {
	return wire.Hello{Protocol: link.Protocol, Node: p.Name, FailureDomain: p.Domain, Boot: p.Boot}
}

func (p *Peers) count(sent, received int) {
	p.Meter.Count("peers.bytes_sent", int64(sent))
	p.Meter.Count("peers.bytes_received", int64(received))
}

// interval returns the pause between frames that tell load.
func interval(vms int) time.Duration {
	return max(shareEvery, time.Duration(vms)*time.Second/sharesPerSecond)
}
