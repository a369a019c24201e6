package entry

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// sendMessage sends a frame to the VM at an address, over the open link or a
// new one.
func (p *peers) sendMessage(ctx context.Context, address string, m *wire.Message) {
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
		p.closeLink(address, conn)
		return
	}
	p.d.meter.AddCounter("peers.frames_sent", 1)
}

// connect returns the link to an address and opens it when there is none. It
// returns nil while another call opens the link.
func (p *peers) connect(ctx context.Context, address string) (*link.Conn, error) {
	p.mu.Lock()
	if l := p.links[address]; l != nil {
		l.lastUsedAt = p.d.now()
		conn := l.conn
		p.mu.Unlock()
		return conn, nil
	}
	l := &peerLink{lastUsedAt: p.d.now()}
	p.links[address] = l
	p.mu.Unlock()
	conn, err := p.dialer.Dial(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		delete(p.links, address)
		return nil, err
	}
	receiving, cancel := context.WithCancel(ctx)
	l.conn, l.cancel = conn, cancel
	go func() {
		p.receive(receiving, conn)
		p.closeLink(address, conn)
	}()
	return conn, nil
}

// closeLink closes a link and fails the calls over it.
func (p *peers) closeLink(address string, conn *link.Conn) {
	p.mu.Lock()
	if l := p.links[address]; l != nil && l.conn == conn {
		l.cancel()
		delete(p.links, address)
	}
	p.mu.Unlock()
	conn.Close()
	p.claimCalls.linkClosed(conn)
}

// closeIdle closes the links that were unused for linkIdleTimeout. The caller
// holds p.mu.
func (p *peers) closeIdle(now time.Time) {
	for address, l := range p.links {
		if l.conn != nil && now.Sub(l.lastUsedAt) > linkIdleTimeout {
			l.cancel()
			l.conn.Close()
			delete(p.links, address)
		}
	}
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.conn != nil {
			l.cancel()
			l.conn.Close()
		}
	}
}

// linkTo returns the link to a VM by name and opens it when there is none. It
// returns nil when no link is available.
func (p *peers) linkTo(ctx context.Context, node string) *link.Conn {
	address := ""
	p.mu.Lock()
	for _, h := range p.list.Heartbeats() {
		if h.Node == node {
			address = h.PeerAddress
		}
	}
	p.mu.Unlock()
	if address == "" {
		return nil
	}
	// A network partition is detected late; a claim must not wait for a dial to
	// time out.
	ctx, cancel := context.WithTimeout(ctx, linkDialTimeout)
	defer cancel()
	conn, err := p.connect(ctx, address)
	if err != nil {
		return nil
	}
	return conn
}
