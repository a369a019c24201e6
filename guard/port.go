package guard

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// Port is one of the ports of a process.
type Port struct {
	// Name is for counters and logs.
	Name string
	// MaxConns is how many connections may be open at the same time, 0 for no bound.
	MaxConns int
	// HeadLimit returns how long the head of a request may be in bytes, 0 for no bound. Optional.
	HeadLimit func() int
	// CountedBodyBytes is up to what length bodies count, where longer ones have a bound of their own; 0 if all count.
	CountedBodyBytes int
	// UnreadBytes is how much the kernel may keep of a connection that has not been read, 0 for its default.
	UnreadBytes int
	// GivesWay is the response on a connection that gives way to others before its request has arrived, and Refusal that on
	// a connection that there is no room for. Neither request has run. Empty for none, as on encrypted connections.
	GivesWay, Refusal string

	guard *Guard
	conns map[*Conn]struct{}
	// pending are the connections without a whole request, in the order in which they began to have none.
	pending list.List
}

// headTooLong is the response to a head over the limit.
const headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// oldestPending returns the connection that has been without a whole request for the longest time, nil for none. The
// guard's mu is held.
func (p *Port) oldestPending() *Conn {
	if e := p.pending.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// settle removes a connection from those without a whole request. The guard's mu is held.
func (p *Port) settle(c *Conn) {
	if c.element != nil {
		p.pending.Remove(c.element)
		c.element = nil
	}
}

// Listen returns a listener at an address whose connections keep to UnreadBytes.
func (p *Port) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	if p.UnreadBytes > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			// Accepted connections inherit the size, and their peers learn it as they connect. An error leaves the default.
			return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, p.UnreadBytes) })
		}
	}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return l, nil
}

// Listener returns a listener that accepts the connections of another one within the bounds.
func (p *Port) Listener(l net.Listener) net.Listener { return &listener{Listener: l, port: p} }

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.port.guard.awaitRelease(nil)
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: accepted, port: l.port, wanted: connBytes}
		refused := false
		for _, other := range l.port.guard.add(c) {
			if other == c {
				refused = true
				continue
			}
			other.giveWay()
		}
		if !refused {
			return c, nil
		}
		l.port.refuse(c)
	}
}

// refuse closes a connection for which there is no room.
func (p *Port) refuse(c *Conn) {
	p.guard.mu.Lock()
	if !c.removed {
		p.guard.count(p, reasonRefused)
	}
	p.guard.mu.Unlock()
	if p.Refusal != "" {
		conns.WriteAtOnce(c.Conn, p.Refusal)
	}
	_ = c.Close()
}

// Attach has an HTTP server tell which of its connections have a whole request. The server is one for HTTP/1 only, and
// serves a Listener of the port, also inside TLS.
func (p *Port) Attach(s *http.Server) {
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	recordState, connContext, handler := s.ConnState, s.ConnContext, s.Handler
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded := unwrap(c); guarded != nil {
			guarded.record(state)
		}
		if recordState != nil {
			recordState(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &body{ReadCloser: r.Body, conn: c}
		} else if !c.arrived() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

type connKey struct{}

// unwrap returns the guarded connection inside another one, nil if there is none.
func unwrap(c net.Conn) *Conn {
	for c != nil {
		if guarded, ok := c.(*Conn); ok {
			return guarded
		}
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = outer.NetConn()
	}
	return nil
}

// body is the body of a request, after whose end the request has arrived.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. Once the connection has given way, the body has no end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.conn.readAhead.Store(0)
	if !b.conn.arrived() {
		return 0, errGaveWay
	}
	return n, err
}
