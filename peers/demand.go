package peers

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

type demandKey struct{ service, model, adapter string }

// RecordDemand records the demand of one request, to be reported to the controller.
func (p *Peers) RecordDemand(service string, w pick.Work, cost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addDemand(steer.ModelDemand{Service: service, Model: w.Model, Adapter: w.Adapter, Requests: 1, ServerTime: cost})
}

// addDemand adds to the demand of the next report to the controller. p.mu must be held.
func (p *Peers) addDemand(d steer.ModelDemand) {
	if p.demand == nil {
		p.demand = make(map[demandKey]*steer.ModelDemand)
	}
	key := demandKey{d.Service, d.Model, d.Adapter}
	if sum := p.demand[key]; sum != nil {
		sum.Requests += d.Requests
		sum.ServerTime += d.ServerTime
		return
	}
	p.demand[key] = &d
}

func (p *Peers) takeDemand() []steer.ModelDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []steer.ModelDemand
	for _, d := range p.demand {
		list = append(list, *d)
	}
	p.demand = nil
	return list
}

// RequestVerification asks the controller to verify the state of a server that could not be reached or
// did not have the expected model or adapter loaded.
func (p *Peers) RequestVerification(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addUnverified(server)
}

// addUnverified adds a server to those that the next report asks the controller to verify. p.mu must
// be held.
func (p *Peers) addUnverified(server string) {
	if p.unverified == nil {
		p.unverified = make(map[string]bool)
	}
	p.unverified[server] = true
}

func (p *Peers) takeUnverified() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Collect(maps.Keys(p.unverified))
	p.unverified = nil
	return list
}

var errNoController = errors.New("no link to a controller")

var errNoServerOfVersion = errors.New("the controller found no server of the software version that began the stream")

// Find returns the ID of a server that meets a need, as found by the controller.
func (p *Peers) Find(ctx context.Context, need backs.Need) (string, error) {
	if p.Lease.Held(p.Now()) {
		id, err := p.Controller.Find(ctx, need)
		if err == nil {
			p.Servers.SetModels(p.Now(), id, p.Controller.ServableModels(p.Now(), id))
		}
		return id, err
	}
	return p.finds.find(ctx, need, func(ctx context.Context) (string, error) {
		p.mu.Lock()
		up := p.uplink
		p.mu.Unlock()
		if up == nil {
			return "", errNoController
		}
		id, err := up.find(ctx, need)
		if err == nil && need.Version != "" {
			if e, known := p.Servers.Entry(id); known && !need.AllowsVersion(e) {
				// A controller of an older build does not know versions.
				return "", errNoServerOfVersion
			}
		}
		if err == nil {
			p.Servers.AddModel(p.Now(), id, need.Model, need.Adapter)
		}
		return id, err
	})
}
