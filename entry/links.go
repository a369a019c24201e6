package entry

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// sendTo sends a frame to the VM at an address, over the link that is open or
// over a new one.
func (p *peers) sendTo(ctx context.Context, address string, m *wire.Message) {
	conn, err := p.connect(ctx, address)
	if err != nil {
		p.d.meter.AddCounter("peers.dial_failed", 1)
		return
	}
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := conn.Send(ctx, m); err != nil {
		p.drop(address, conn)
		return
	}
	p.d.meter.AddCounter("peers.frames_sent", 1)
}

// connect returns the link to an address, opened when there is none. It
// returns nil while another call is opening it.
func (p *peers) connect(ctx context.Context, address string) (*link.Conn, error) {
	p.mu.Lock()
	if k := p.links[address]; k != nil {
		k.used = p.d.now()
		conn := k.conn
		p.mu.Unlock()
		return conn, nil
	}
	k := &peerLink{used: p.d.now()}
	p.links[address] = k
	p.mu.Unlock()
	conn, err := p.dialer.Dial(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		delete(p.links, address)
		return nil, err
	}
	receiving, cancel := context.WithCancel(ctx)
	k.conn, k.cancel = conn, cancel
	go func() {
		p.receive(receiving, conn)
		p.drop(address, conn)
	}()
	return conn, nil
}

// drop closes a link and ends the calls over it.
func (p *peers) drop(address string, conn *link.Conn) {
	p.mu.Lock()
	if k := p.links[address]; k != nil && k.conn == conn {
		k.cancel()
		delete(p.links, address)
	}
	p.mu.Unlock()
	conn.Close()
	p.calls.broke(conn)
}

// closeIdle closes links that are not used any more. The caller holds p.mu.
func (p *peers) closeIdle(now time.Time) {
	for address, k := range p.links {
		if k.conn != nil && now.Sub(k.used) > idleLimit {
			k.cancel()
			k.conn.Close()
			delete(p.links, address)
		}
	}
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.links {
		if k.conn != nil {
			k.cancel()
			k.conn.Close()
		}
	}
}

// linkTo returns the link to a VM by name, opened when there is none; nil when
// it can not be had now.
func (p *peers) linkTo(ctx context.Context, node string) *link.Conn {
	address := ""
	p.mu.Lock()
	for _, b := range p.list.Heartbeats() {
		if b.Node == node {
			address = b.PeerAddress
		}
	}
	p.mu.Unlock()
	if address == "" {
		return nil
	}
	// A link that is cut is noticed late; a claim must not wait for its dial.
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	conn, err := p.connect(ctx, address)
	if err != nil {
		return nil
	}
	return conn
}
