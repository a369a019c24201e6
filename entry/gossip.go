package entry

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// gossipRound sends one round of heartbeats.
func (p *peers) gossipRound(ctx context.Context) {
	demand, models, hash := p.d.admission.demand(), p.d.offeredLoads.snapshot(p.d.now()), p.d.activeConfig.Hash()
	now := p.d.now()
	state := wire.HeartbeatStateAlive
	if p.d.stopping.Load() {
		state = wire.HeartbeatStateLeaving
	}
	p.mu.Lock()
	p.list.BeginRound(now, wire.Heartbeat{
		Node: p.d.config.Name, FailureDomain: p.d.config.FailureDomain, PeerAddress: p.d.peerAddr,
		Incarnation: p.incarnation, State: state, ConfigHash: hash, Demand: demand, Models: models,
	})
	targets := p.list.GossipTargets(now, p.rng)
	message := &wire.Message{Gossip: &wire.Gossip{Heartbeats: p.list.Batch(p.gossipBytes(), heartbeatBytes)}}
	p.remoteDemand.Store(p.sumRemoteDemand(now))
	p.closeIdle(now)
	p.mu.Unlock()
	for _, address := range targets {
		go p.sendMessage(ctx, address, message)
	}
}

// defaultGossipBytes bounds the heartbeats in one frame.
const defaultGossipBytes = 700

func (p *peers) gossipBytes() int {
	if n := p.d.config.GossipBytes; n > 0 {
		return n
	}
	return defaultGossipBytes
}

// heartbeatBytes estimates the encoded size of a heartbeat to within a few
// bytes.
func heartbeatBytes(h wire.Heartbeat) int {
	const fixedFieldBytes = 40
	n := fixedFieldBytes + len(h.Node) + len(h.FailureDomain) + len(h.PeerAddress)
	for _, d := range h.Demand {
		n += 6 + len(d.Name)
	}
	for _, m := range h.Models {
		n += 8 + len(m.Model)
	}
	return n
}

// announceLeaving notifies other VMs at once that this VM is leaving.
func (p *peers) announceLeaving(ctx context.Context) { p.gossipRound(ctx) }

// urgentTargets returns the addresses of the peers that receive an urgent
// update.
func (p *peers) urgentTargets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.UrgentTargets(p.d.now(), p.rng)
}

// offerInterval is the minimum time between two offers to one VM.
const offerInterval = time.Second

// mergeHeartbeats merges received heartbeats. When the sender has another
// configuration than this VM, the VM offers its versions for comparison.
func (p *peers) mergeHeartbeats(ctx context.Context, conn *link.Conn, g *wire.Gossip) error {
	now := p.d.now()
	p.mu.Lock()
	p.list.Merge(now, g.Heartbeats)
	offer := false
	if len(g.Heartbeats) > 0 && g.Heartbeats[0].ConfigHash != p.d.activeConfig.Hash() {
		from := g.Heartbeats[0].Node
		offer = now.Sub(p.lastOfferAt[from]) >= offerInterval
		if offer {
			p.lastOfferAt[from] = now
		}
	}
	p.mu.Unlock()
	if !offer {
		p.d.markSynced(len(g.Heartbeats) > 0)
		return nil
	}
	return conn.Send(ctx, &wire.Message{Offer: &wire.Offer{Versions: p.d.activeConfig.Versions()}})
}

// compareVersions pushes the documents whose local version is higher than the
// offered one, and pulls those whose offered version is higher.
func (p *peers) compareVersions(ctx context.Context, conn *link.Conn, offer *wire.Offer) error {
	newer, older := p.d.activeConfig.Compare(offer.Versions)
	if err := p.pushDocuments(ctx, conn, newer); err != nil {
		return err
	}
	if len(older) == 0 {
		return nil
	}
	return conn.Send(ctx, &wire.Message{Pull: &wire.Pull{Names: older}})
}

func (p *peers) pushDocuments(ctx context.Context, conn *link.Conn, names []string) error {
	for _, name := range names {
		push, ok := p.d.activeConfig.Document(name)
		if !ok {
			continue
		}
		if err := conn.Send(ctx, &wire.Message{Push: push}); err != nil {
			return err
		}
	}
	return nil
}

// broadcast sends a document to peers at once, so that a change need not wait
// for the next gossip rounds.
func (p *peers) broadcast(ctx context.Context, name string) {
	push, ok := p.d.activeConfig.Document(name)
	if !ok {
		return
	}
	for _, address := range p.urgentTargets() {
		go p.sendMessage(ctx, address, &wire.Message{Push: push})
	}
}
