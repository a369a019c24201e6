package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/stand"
)

// ProxyMode selects how a Proxy handles the bytes that it receives.
type ProxyMode int

// Modes of a Proxy.
const (
	// Forward forwards all bytes.
	Forward ProxyMode = iota
	// Delay forwards all bytes after a delay.
	Delay
	// Stall keeps connections open but forwards no bytes in either direction.
	Stall
	// StallResponses forwards bytes to the target but no bytes from it.
	StallResponses
	// StallRequests forwards bytes from the target but none to it.
	StallRequests
)

const (
	addedDelay       = 60 * time.Millisecond
	modePollInterval = 10 * time.Millisecond
	copyBufferSize   = 16 << 10
)

// Proxy forwards TCP connections to a target and injects network faults.
type Proxy struct {
	listener *stand.SilentListener

	mu     sync.Mutex
	target string
	mode   ProxyMode
	// cut holds the clients, by IP address, whose new connections are reset.
	cut map[string]bool
	// conns holds the open connections. Those from clients have the client's IP address.
	conns map[net.Conn]string
	// repeats is set while refusals are repeated, and repeated is how many were.
	repeats  bool
	repeated int
	// aliases replaces texts in what the target sends, frameAliases in the frames of WebSockets that clients send.
	aliases, frameAliases *aliases
	// delay is how long all bytes take, of a proxy that is delayable: SetDelay makes it so.
	delayable bool
	delay     time.Duration
}

// NewProxy starts a proxy on a free loopback port. The caller must call Close.
func NewProxy(target string) (*Proxy, error) {
	l, err := stand.ListenSilent(context.Background(), "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start proxy: %w", err)
	}
	p := &Proxy{target: target, listener: l, conns: make(map[net.Conn]string), cut: make(map[string]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded. Open connections keep
// their target.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// SetMode changes the mode for all connections.
func (p *Proxy) SetMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// SetSilent makes the host of the target silent for clients: it acknowledges, receives and accepts nothing, or goes on
// as if nothing had been. In mode Stall only its process is silent.
func (p *Proxy) SetSilent(silent bool) error { return p.listener.SetSilent(silent) }

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
		delete(p.conns, c)
	}
}

// Cut cuts a client, by its IP address, off from the target until Heal: its new connections are reset, and
// its open ones too unless they are kept.
func (p *Proxy) Cut(client string, keepOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[client] = true
	for c, from := range p.conns {
		if from == client && !keepOpen {
			reset(c)
		}
	}
}

// Heal ends the cut of a client.
func (p *Proxy) Heal(client string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cut, client)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	from, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	p.mu.Lock()
	target, cut := p.target, p.cut[from]
	p.mu.Unlock()
	if cut {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = from, ""
	p.mu.Unlock()
	last := new(lastRefusal)
	go p.copy(server, client, last, false)
	p.copy(client, server, last, true)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards the bytes of one direction until either connection is closed. A reset is forwarded as one:
// only a close may end a response without a length.
func (p *Proxy) copy(to, from net.Conn, last *lastRefusal, response bool) {
	defer to.Close()
	defer from.Close()
	buffer, rewrite := make([]byte, copyBufferSize), p.rewriter(response)
	read := from.Read
	if p.isDelayable() {
		read = p.delayed(from)
	}
	for {
		n, err := read(buffer)
		if !p.waitUntilForwarded(response) {
			return
		}
		if data := rewrite(buffer[:n], err != nil); len(data) > 0 {
			p.repeat(from, last, data, response)
			if _, err := to.Write(data); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, syscall.ECONNRESET) {
			reset(to)
		}
		return
	}
}

// waitUntilForwarded waits until the mode allows forwarding. It reports false if all connections
// were reset while it waited.
func (p *Proxy) waitUntilForwarded(response bool) bool {
	for waited := time.Duration(0); ; waited += modePollInterval {
		p.mu.Lock()
		mode, open := p.mode, len(p.conns) > 0
		p.mu.Unlock()
		blocked := mode == Stall || mode == StallResponses && response || mode == StallRequests && !response || mode == Delay && waited < addedDelay
		if !blocked {
			return true
		}
		if !open {
			return false
		}
		time.Sleep(modePollInterval)
	}
}

// SetDelay sets how long all bytes take, on connections that are opened after its first call.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delayable, p.delay = true, delay
}

func (p *Proxy) isDelayable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delayable
}

// chunk is the result of one read.
type chunk struct {
	data   []byte
	err    error
	readAt time.Time
}

// maxChunks bounds the reads that wait for their delay.
const maxChunks = 1024

// delayed returns a function that reads from a connection as Read does, each result after the delay.
func (p *Proxy) delayed(from net.Conn) func(buffer []byte) (int, error) {
	chunks := make(chan chunk, maxChunks)
	go func() {
		for {
			buffer := make([]byte, copyBufferSize)
			n, err := from.Read(buffer)
			chunks <- chunk{buffer[:n], err, time.Now()}
			if err != nil {
				return
			}
		}
	}()
	return func(buffer []byte) (int, error) {
		c := <-chunks
		for {
			p.mu.Lock()
			rest := time.Until(c.readAt.Add(p.delay))
			p.mu.Unlock()
			if rest <= 0 {
				return copy(buffer, c.data), c.err
			}
			time.Sleep(min(rest, modePollInterval))
		}
	}
}
