package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Path is where a VM takes links.
const Path = "/link"

const (
	greetTimeout     = 3 * time.Second
	defaultMaxFrame  = 1 << 20
	maxRefusalReason = 100
	// sendLimit bounds the write of one frame. Links carry some hundred kilobytes
	// a second at most; a peer that takes no bytes for so long is stuck.
	sendLimit = 2 * time.Second
)

// Conn is one link after its greeting. Send may be called from one goroutine
// while another calls Receive.
type Conn struct {
	ws    *websocket.Conn
	peer  wire.Hello
	role  Role
	count func(sent, received int)
}

func (c *Conn) counted(sent, received int) {
	if c.count != nil {
		c.count(sent, received)
	}
}

// Peer returns the greeting of the other side.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Role returns what the other side's key entitles it to.
func (c *Conn) Role() Role { return c.role }

// Close ends the link.
func (c *Conn) Close() { _ = c.ws.CloseNow() }

// Send writes one frame.
func (c *Conn) Send(ctx context.Context, m *wire.Message) error {
	data, err := Encode(m)
	if err != nil {
		return err
	}
	return c.SendEncoded(ctx, data)
}

// SendEncoded writes a frame that Encode returned, so that one that goes to
// many VMs is encoded once. ctx counts until the write begins. Half a frame can
// not be taken back, so ending it with ctx would end the link: one request whose
// caller left, or that waited no longer, cut its VM off from all others.
func (c *Conn) SendEncoded(ctx context.Context, data []byte) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendLimit)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	c.counted(len(data), 0)
	return nil
}

// Receive reads one frame. After an error the link is of no more use. A frame
// that is refused is a trace.BadParameter error; the other side is told.
func (c *Conn) Receive(ctx context.Context) (*wire.Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	c.counted(0, len(data))
	m, err := Decode(data)
	if err != nil {
		c.refuse(ctx, err)
		return nil, fmt.Errorf("refused frame: %w", err)
	}
	return m, nil
}

func (c *Conn) refuse(ctx context.Context, err error) {
	reason := err.Error()
	if len(reason) > maxRefusalReason {
		reason = reason[:maxRefusalReason]
	}
	_ = c.Send(ctx, &wire.Message{Refusal: &wire.Refusal{Reason: reason}})
	c.Close()
}

// Dialer opens links. Hello and Key are what it presents.
type Dialer struct {
	Hello func() wire.Hello
	Key   string
	// TLS, when set, is used instead of plain TCP.
	TLS *tls.Config
	// MaxFrame bounds a frame in bytes; 0 takes a megabyte.
	MaxFrame int64
	// Count, when set, is called with the bytes of each frame.
	Count func(sent, received int)
	// DialContext opens the connection; nil uses TCP. Tests cut links here.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dial opens a link to the VM at an address.
func (d *Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	scheme := "ws"
	if d.TLS != nil {
		scheme = "wss"
	}
	client := &http.Client{Transport: &http.Transport{DialContext: d.DialContext, TLSClientConfig: d.TLS}}
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+address+Path, &websocket.DialOptions{
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
	return greet(ctx, &Conn{ws: ws, role: RolePeer, count: d.Count}, d.Hello(), d.MaxFrame)
}

// Acceptor takes links.
type Acceptor struct {
	Hello    func() wire.Hello
	Keys     Keys
	MaxFrame int64
	// Count, when set, is called with the bytes of each frame.
	Count func(sent, received int)
	// Serve handles a link until it returns.
	Serve func(ctx context.Context, c *Conn)
	// Refused, when set, is called for each wrong key or failed greeting.
	Refused func(err error)
}

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	role := a.Keys.Role(r)
	if role == RoleNone {
		a.refused(trace.AccessDenied("wrong key from %s", r.RemoteAddr))
		http.Error(w, "wrong key", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		a.refused(fmt.Errorf("accept link: %w", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), greetTimeout)
	conn, err := greet(ctx, &Conn{ws: ws, role: role, count: a.Count}, a.Hello(), a.MaxFrame)
	cancel()
	if err != nil {
		a.refused(err)
		return
	}
	defer conn.Close()
	a.Serve(r.Context(), conn)
}

func (a *Acceptor) refused(err error) {
	if a.Refused != nil {
		a.Refused(err)
	}
}

// greet exchanges the greetings.
func greet(ctx context.Context, c *Conn, hello wire.Hello, maxFrame int64) (*Conn, error) {
	if maxFrame == 0 {
		maxFrame = defaultMaxFrame
	}
	c.ws.SetReadLimit(maxFrame)
	if err := c.Send(ctx, &wire.Message{Hello: &hello}); err != nil {
		c.Close()
		return nil, fmt.Errorf("greet: %w", err)
	}
	m, err := c.Receive(ctx)
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("greet: %w", err)
	}
	if m.Hello == nil || m.Hello.Protocol != Protocol {
		err := trace.BadParameter("the first frame is not a greeting in protocol %d", Protocol)
		c.refuse(ctx, err)
		return nil, fmt.Errorf("greet: %w", err)
	}
	c.peer = *m.Hello
	return c, nil
}
