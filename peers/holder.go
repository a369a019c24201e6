package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A VM learns from the store who is the controller. One that the store does not answer, and that has no hub, asks other
// VMs for the lease record, over a link that carries nothing else. Without that, a controller that is cut off from the
// store alone stays by itself once another VM has taken over: it knows neither the key of the new term nor the servers
// that have joined since, and refuses streams that the VMs beside it could go on with.

const (
	// holderPath is where VMs tell the lease record.
	holderPath = "/holder"
	// holderAskInterval is the least time between two questions, and askedVMs how many VMs each goes to.
	holderAskInterval = 500 * time.Millisecond
	askedVMs          = 2
	// aloneAfter is how long a VM has been by itself before requests no longer wait for a server that it does not know.
	// Others tell who is the controller within some tenths of a second.
	aloneAfter = time.Second
)

var errNoLease = errors.New("the answer has no lease")

// askForHolder asks other VMs for the lease record if this VM has no hub and can't read the record.
func (p *Peers) askForHolder(ctx context.Context) {
	now := p.Now()
	key := p.Lease.currentKey()
	if _, unreadable := p.Lease.unreadableFor(now); key == "" || p.Lease.Held(now) || !unreadable {
		return
	}
	interval := time.Duration(p.PollIntervalFactor() * float64(holderAskInterval))
	p.mu.Lock()
	if !p.holderAskedAt.IsZero() && now.Sub(p.holderAskedAt) < interval {
		p.mu.Unlock()
		return
	}
	p.holderAskedAt = now
	others := p.otherVMs()
	p.mu.Unlock()
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	ctx, cancel := context.WithTimeout(ctx, linkDialTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, address := range others[:min(len(others), askedVMs)] {
		wait.Go(func() {
			state, err := p.readHolder(ctx, address, key)
			if err != nil {
				p.Log.Info().Str("address", address).Err(err).Msg("asking another VM for the controller lease failed")
				return
			}
			before, _ := p.Lease.LatestRecord()
			version := p.Lease.announcedVersion(state)
			if version <= before {
				return
			}
			p.Log.Info().Str("address", address).Str("holder", state.Lease.Holder).Int("version", version).Msg("controller lease learned from another VM")
			p.applyLease(version, state.Lease)
			cancel()
		})
	}
	wait.Wait()
}

// Alone reports whether this VM has had neither an answer of the store nor a hub or other linked VMs for a while. Nobody
// loads models for it then, and no server joins its list.
func (p *Peers) Alone() bool {
	now := p.Now()
	p.mu.Lock()
	linked := p.uplink != nil || len(p.links) > 0
	p.mu.Unlock()
	since, unreadable := p.Lease.unreadableFor(now)
	return !linked && !p.Lease.Held(now) && unreadable && since >= aloneAfter
}

// otherVMs returns the addresses of the VMs that this VM knows or has known until a while ago. p.mu must be held.
func (p *Peers) otherVMs() []string {
	var others []string
	for _, k := range p.fleetKeepers() {
		others = append(others, k.Address)
	}
	for k := range p.keepers.lostAt {
		others = append(others, k.Address)
	}
	slices.Sort(others)
	return slices.DeleteFunc(slices.Compact(others), func(address string) bool { return address == p.Address })
}

// readHolder reads the lease record that another VM knows.
func (p *Peers) readHolder(ctx context.Context, address, key string) (*wire.FleetState, error) {
	dialer := &link.Dialer{Hello: p.hello, Path: holderPath, Key: key, CountBytes: p.countBytes, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return p.dial(ctx, address)
	}}
	conn, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("ask for the lease: %w", err)
	}
	defer conn.Close()
	m, err := conn.Receive(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the lease: %w", err)
	}
	if m.FleetState == nil {
		return nil, fmt.Errorf("read the lease: %w", errNoLease)
	}
	return m.FleetState, nil
}

// serveHolder tells the lease record to a VM that has the key of the current term or of the one before.
func (p *Peers) serveHolder(w http.ResponseWriter, r *http.Request) {
	var keys link.Keys
	for _, key := range p.Lease.AcceptedKeys() {
		if k := (link.Keys{Peer: key}); k.Role(r) != link.RoleNone {
			keys = k
		}
	}
	a := &link.Acceptor{Hello: p.hello, Keys: keys, CountBytes: p.countBytes, Serve: p.tellHolder}
	a.ServeHTTP(w, r)
}

func (p *Peers) tellHolder(ctx context.Context, c *link.Conn) {
	ctx, cancel := context.WithTimeout(ctx, linkDialTimeout)
	defer cancel()
	if err := c.Send(ctx, &wire.Message{FleetState: p.newFleetState(nil)}); err != nil {
		p.Log.Info().Str("peer", c.PeerHello().Node).Err(err).Msg("telling the controller lease failed")
		return
	}
	p.Meter.AddCounter("peers.holder_told", 1)
	// The other VM closes the link once it has the record.
	_, _ = c.Receive(ctx)
}
