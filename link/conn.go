package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Path is the HTTP path on which a VM accepts links.
const Path = "/link"

const (
	handshakeTimeout      = 3 * time.Second
	defaultMaxFrameBytes  = 1 << 20
	maxRefusalReasonBytes = 100
	// frameWriteTimeout bounds the write of one frame. Links carry at most some hundred
	// kilobytes a second, so a peer that reads nothing for this long is stuck.
	frameWriteTimeout = 2 * time.Second
)

// CountBytes is called with the kind of each frame (see KindOf) and its size in bytes, as sent or
// received.
type CountBytes func(kind string, sent, received int)

// Conn is a link after its handshake. Send may be called from one goroutine while another
// calls Receive.
type Conn struct {
	ws        *websocket.Conn
	peerHello wire.Hello
	role      Role
	onBytes   CountBytes
}

func (c *Conn) countBytes(data []byte, sent, received int) {
	if c.onBytes != nil {
		c.onBytes(KindOf(data), sent, received)
	}
}

// PeerHello returns the greeting that the other side sent.
func (c *Conn) PeerHello() wire.Hello { return c.peerHello }

// Role returns the role granted by the other side's key.
func (c *Conn) Role() Role { return c.role }

// Close closes the link.
func (c *Conn) Close() { _ = c.ws.CloseNow() }

// Send writes one frame.
func (c *Conn) Send(ctx context.Context, m *wire.Message) error {
	data, err := Encode(m)
	if err != nil {
		return err
	}
	return c.SendEncoded(ctx, data)
}

// SendEncoded writes a frame returned by Encode, so that a frame for many VMs is encoded
// once. It ignores the end of ctx once the write has begun: a partly written frame cannot be
// undone, so canceling it would close the link. One request whose caller left or whose
// timeout ended would then disconnect its VM from all others.
func (c *Conn) SendEncoded(ctx context.Context, data []byte) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), frameWriteTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	c.countBytes(data, len(data), 0)
	return nil
}

// Receive reads one frame. After an error the link cannot be used any more. For a refused
// frame it sends a refusal to the other side and returns a trace.BadParameter error.
func (c *Conn) Receive(ctx context.Context) (*wire.Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	c.countBytes(data, 0, len(data))
	m, err := Decode(data)
	if err != nil {
		c.sendRefusal(ctx, err)
		return nil, fmt.Errorf("refused frame: %w", err)
	}
	return m, nil
}

func (c *Conn) sendRefusal(ctx context.Context, err error) {
	reason := err.Error()
	if len(reason) > maxRefusalReasonBytes {
		reason = reason[:maxRefusalReasonBytes]
	}
	_ = c.Send(ctx, &wire.Message{Refusal: &wire.Refusal{Reason: reason}})
	c.Close()
}

// Dialer opens links, presenting Hello and Key.
type Dialer struct {
	Hello func() wire.Hello
	Key   string
	// Path is the path of the link at the other VM; empty selects Path.
	Path string
	// TLS, when set, is used instead of plain TCP.
	TLS *tls.Config
	// MaxFrameBytes bounds a frame in bytes; 0 selects one megabyte.
	MaxFrameBytes int64
	// CountBytes, when set, is called for each frame.
	CountBytes CountBytes
	// DialContext opens the connection; nil selects TCP. Tests use it to break links.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dial opens a link to the VM at the given address.
func (d *Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws"
	if d.TLS != nil {
		scheme = "wss"
	}
	client := &http.Client{Transport: httpx.NewTransport(&http.Transport{DialContext: d.DialContext, TLSClientConfig: d.TLS})}
	// A VM that refuses the link keeps the connection open for a next request, which never comes.
	defer client.CloseIdleConnections()
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+address+cmp.Or(d.Path, Path), &websocket.DialOptions{
		HTTPClient: client,
		HTTPHeader: http.Header{"Authorization": {"Bearer " + d.Key}},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if resp != nil && resp.StatusCode == http.StatusUnauthorized {
		return nil, trace.AccessDenied("%s refused the key", address)
	}
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return handshake(ctx, &Conn{ws: ws, role: RolePeer, onBytes: d.CountBytes}, d.Hello(), d.MaxFrameBytes)
}

// Acceptor accepts links.
type Acceptor struct {
	Hello         func() wire.Hello
	Keys          Keys
	MaxFrameBytes int64
	// CountBytes, when set, is called for each frame.
	CountBytes CountBytes
	// Serve handles a link, which is closed when Serve returns.
	Serve func(ctx context.Context, c *Conn)
	// OnRefused, when set, is called for each wrong key or failed handshake.
	OnRefused func(err error)
}

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	role := a.Keys.Role(r)
	if role == RoleNone {
		a.reportRefused(trace.AccessDenied("wrong key from %s", r.RemoteAddr))
		http.Error(w, "wrong key", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		a.reportRefused(fmt.Errorf("accept link: %w", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	conn, err := handshake(ctx, &Conn{ws: ws, role: role, onBytes: a.CountBytes}, a.Hello(), a.MaxFrameBytes)
	cancel()
	if err != nil {
		a.reportRefused(err)
		return
	}
	defer conn.Close()
	a.Serve(r.Context(), conn)
}

func (a *Acceptor) reportRefused(err error) {
	if a.OnRefused != nil {
		a.OnRefused(err)
	}
}

// handshake exchanges the greetings.
func handshake(ctx context.Context, c *Conn, hello wire.Hello, maxFrameBytes int64) (*Conn, error) {
	if maxFrameBytes == 0 {
		maxFrameBytes = defaultMaxFrameBytes
	}
	c.ws.SetReadLimit(maxFrameBytes)
	if err := c.Send(ctx, &wire.Message{Hello: &hello}); err != nil {
		c.Close()
		return nil, fmt.Errorf("exchange greetings: %w", err)
	}
	m, err := c.Receive(ctx)
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("exchange greetings: %w", err)
	}
	if m.Hello == nil || m.Hello.Protocol != Protocol {
		err := trace.BadParameter("the first frame is not a greeting in protocol %d", Protocol)
		c.sendRefusal(ctx, err)
		return nil, fmt.Errorf("exchange greetings: %w", err)
	}
	c.peerHello = *m.Hello
	return c, nil
}
