package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with the bytes that pass it.
type Mode int

// The modes.
const (
	// Pass hands them on.
	Pass Mode = iota
	// Delay hands them on later.
	Delay
	// Silence holds them up in both directions.
	Silence
	// OneWay holds up what comes back.
	OneWay
)

const (
	delayBy  = 60 * time.Millisecond
	heldLook = 10 * time.Millisecond
	copyRoom = 16 << 10
)

// Proxy hands TCP connections on to a target and can be made to misbehave.
type Proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   Mode
	conns  map[net.Conn]bool
}

// NewProxy starts a proxy on loopback.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &Proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns where the proxy takes connections.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded. Open connections keep
// their target.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// Set changes what the proxy does.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Reset closes all connections with a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	go p.copy(out, in, false)
	p.copy(in, out, true)
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy hands bytes on until either side ends.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, copyRoom)
	for {
		n, err := from.Read(buffer)
		if !p.hold(back) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits while the mode holds bytes up. It reports false when the
// connection has been reset meanwhile.
func (p *Proxy) hold(back bool) bool {
	for waited := time.Duration(0); ; waited += heldLook {
		p.mu.Lock()
		mode, open := p.mode, len(p.conns) > 0
		p.mu.Unlock()
		held := mode == Silence || mode == OneWay && back || mode == Delay && waited < delayBy
		if !held {
			return true
		}
		if !open {
			return false
		}
		time.Sleep(heldLook)
	}
}
