package link_test

import (
	"context"
	"crypto/tls"
	"flag"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"github.com/ugorji/go/codec"
	"pgregory.net/rapid"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A fixed seed makes every run test the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

const peerKey, operatorKey = "peer-key-0123456789", "operator-key-0123456789"

func hello(protocol int) func() wire.Hello {
	return func() wire.Hello { return wire.Hello{Protocol: protocol, Node: "n", Boot: "b"} }
}

// accept serves links that echo each frame. Failed handshakes are sent to refused, receive
// errors to frames.
func accept(t *testing.T) (address string, refused, frames chan error) {
	t.Helper()
	refused, frames = make(chan error, 8), make(chan error, 8)
	s := httptest.NewServer(&link.Acceptor{
		Hello: hello(link.Protocol), Keys: link.Keys{Peer: peerKey, Operator: operatorKey}, MaxFrameBytes: 4096,
		OnRefused: func(err error) { refused <- err },
		Serve: func(ctx context.Context, c *link.Conn) {
			for {
				m, err := c.Receive(ctx)
				if err != nil {
					frames <- err
					return
				}
				_ = c.Send(ctx, m)
			}
		},
	})
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), refused, frames
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestEcho(t *testing.T) {
	address, _, _ := accept(t)
	for name, key := range map[string]string{"peer": peerKey, "operator": operatorKey} {
		t.Run(name, func(t *testing.T) {
			d := &link.Dialer{Hello: hello(link.Protocol), Key: key}
			c, err := d.Dial(testContext(t), address)
			require.NoError(t, err)
			defer c.Close()
			require.Equal(t, "n", c.PeerHello().Node)
			sent := &wire.Message{Pull: &wire.Pull{Names: []string{"a", "b"}}}
			require.NoError(t, c.Send(testContext(t), sent))
			got, err := c.Receive(testContext(t))
			require.NoError(t, err)
			require.Equal(t, sent, got)
		})
	}
}

func TestTLS(t *testing.T) {
	s := httptest.NewTLSServer(&link.Acceptor{
		Hello: hello(link.Protocol), Keys: link.Keys{Peer: peerKey},
		Serve: func(ctx context.Context, c *link.Conn) { _, _ = c.Receive(ctx) },
	})
	defer s.Close()
	trusted := s.Client().Transport.(*http.Transport).TLSClientConfig
	d := &link.Dialer{Hello: hello(link.Protocol), Key: peerKey, TLS: &tls.Config{RootCAs: trusted.RootCAs}}
	c, err := d.Dial(testContext(t), s.Listener.Addr().String())
	require.NoError(t, err)
	c.Close()
	d.TLS = &tls.Config{}
	_, err = d.Dial(testContext(t), s.Listener.Addr().String())
	require.ErrorContains(t, err, "certificate")
	d.TLS = nil
	_, err = d.Dial(testContext(t), s.Listener.Addr().String())
	require.Error(t, err, "plain TCP against TLS")
}

func TestRefusedLinks(t *testing.T) {
	address, refused, _ := accept(t)
	cases := map[string]*link.Dialer{
		"wrong key":      {Hello: hello(link.Protocol), Key: "guess"},
		"no key":         {Hello: hello(link.Protocol)},
		"other protocol": {Hello: hello(link.Protocol + 1), Key: peerKey},
	}
	for name, d := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := d.Dial(testContext(t), address)
			if err == nil {
				m, err := c.Receive(testContext(t))
				require.True(t, err != nil || m.Refusal != nil)
			}
			require.Error(t, <-refused)
		})
	}
	_, err := cases["wrong key"].Dial(testContext(t), address)
	require.True(t, trace.IsAccessDenied(err), "%v", err)
}

// A peer of a later version sends an unknown member, a frame that is too large, or data
// that is no frame. Each must close the link with an error that differs from that of a
// broken connection.
func TestRefusedFrames(t *testing.T) {
	encode := func(v any) []byte {
		var data []byte
		require.NoError(t, codec.NewEncoderBytes(&data, &codec.CborHandle{}).Encode(v))
		return data
	}
	cases := map[string]struct {
		data       []byte
		badMessage bool
	}{
		"unknown member": {encode(map[string]any{"election": map[string]any{"x": 1}}), true},
		"two members":    {encode(map[string]any{"pull": map[string]any{}, "push": map[string]any{}}), true},
		"empty":          {encode(map[string]any{}), true},
		"not CBOR":       {[]byte{0xff, 0x00}, true},
		"too large":      {make([]byte, 8192), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, _, frames := accept(t)
			ws, resp, err := websocket.Dial(testContext(t), "ws://"+address+link.Path, &websocket.DialOptions{
				HTTPHeader: http.Header{"Authorization": {"Bearer " + peerKey}},
			})
			require.NoError(t, err)
			if resp.Body != nil {
				defer resp.Body.Close()
			}
			defer func() { _ = ws.CloseNow() }()
			greeting, err := link.Encode(&wire.Message{Hello: &wire.Hello{Protocol: link.Protocol}})
			require.NoError(t, err)
			require.NoError(t, ws.Write(testContext(t), websocket.MessageBinary, greeting))
			require.NoError(t, ws.Write(testContext(t), websocket.MessageBinary, c.data))
			err = <-frames
			require.Error(t, err)
			require.Equal(t, c.badMessage, trace.IsBadParameter(err), "%v", err)
		})
	}
}

func TestCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gossip := &wire.Gossip{Heartbeats: []wire.Heartbeat{}}
		for range rapid.IntRange(0, 5).Draw(t, "heartbeats") {
			gossip.Heartbeats = append(gossip.Heartbeats, wire.Heartbeat{
				Node: rapid.String().Draw(t, "node"), Sequence: rapid.Int().Draw(t, "sequence"), ConfigHash: rapid.Int().Draw(t, "hash"),
				State: wire.HeartbeatStateLeaving, Demand: []wire.ProfileDemand{{Name: rapid.String().Draw(t, "name"), Requests: 3}},
			})
		}
		data, err := link.Encode(&wire.Message{Gossip: gossip})
		require.NoError(t, err)
		got, err := link.Decode(data)
		require.NoError(t, err)
		require.Equal(t, gossip, got.Gossip)
	})
}

func FuzzDecode(f *testing.F) {
	data, err := link.Encode(&wire.Message{Pull: &wire.Pull{Names: []string{"a"}}})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = link.Decode(data) })
}

// blockedConn is a connection whose writes block while mu is locked.
type blockedConn struct {
	net.Conn
	mu      sync.Mutex
	writing chan struct{}
}

func (c *blockedConn) Write(p []byte) (int, error) {
	select {
	case c.writing <- struct{}{}:
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Conn.Write(p)
}

// The caller of a request leaves while the request's frame to another VM is being written.
// The link must stay open, because all requests of the VM share it.
func TestCanceledSendKeepsLink(t *testing.T) {
	address, _, _ := accept(t)
	var blocked *blockedConn
	d := &link.Dialer{Hello: hello(link.Protocol), Key: peerKey, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		blocked = &blockedConn{Conn: c, writing: make(chan struct{}, 1)}
		return blocked, err
	}}
	c, err := d.Dial(testContext(t), address)
	require.NoError(t, err)
	defer c.Close()
	select {
	case <-blocked.writing:
	default:
	}
	blocked.mu.Lock()
	ctx, cancel := context.WithCancel(testContext(t))
	sent := make(chan error, 1)
	go func() { sent <- c.Send(ctx, &wire.Message{Pull: &wire.Pull{Names: []string{"first"}}}) }()
	<-blocked.writing
	cancel()
	blocked.mu.Unlock()
	require.NoError(t, <-sent)
	require.Error(t, c.Send(ctx, &wire.Message{Pull: &wire.Pull{Names: []string{"never"}}}))
	require.NoError(t, c.Send(testContext(t), &wire.Message{Pull: &wire.Pull{Names: []string{"second"}}}))
	for _, name := range []string{"first", "second"} {
		got, err := c.Receive(testContext(t))
		require.NoError(t, err)
		require.Equal(t, []string{name}, got.Pull.Names)
	}
}

// Guards against a frame kind that Decode rejects, which would close the link.
func TestEncodeDecodeEveryFrameKind(t *testing.T) {
	kinds := reflect.TypeFor[wire.Message]()
	for i := range kinds.NumField() {
		field := kinds.Field(i)
		if field.Type.Kind() != reflect.Pointer {
			continue
		}
		t.Run(field.Name, func(t *testing.T) {
			var m wire.Message
			reflect.ValueOf(&m).Elem().Field(i).Set(reflect.New(field.Type.Elem()))
			data, err := link.Encode(&m)
			require.NoError(t, err)
			_, err = link.Decode(data)
			require.NoError(t, err)
		})
	}
}
