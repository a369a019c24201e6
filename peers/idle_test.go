package peers

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const idleTestKey = "key-0123456789"

// linkToSilentHub opens a link to a hub that sends nothing for a time, then a frame each half second for two seconds, and
// closes the link.
func linkToSilentHub(t *testing.T, silent time.Duration) *uplink {
	network, nic := &simNetwork{}, &simInterface{bytesPerSecond: 1e9}
	hello := func() wire.Hello { return wire.Hello{Protocol: link.Protocol, Node: "n", Boot: "b"} }
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: &link.Acceptor{
		Hello: hello, Keys: link.Keys{Peer: idleTestKey}, Serve: func(ctx context.Context, c *link.Conn) {
			time.Sleep(silent)
			for range 4 {
				_ = c.Send(ctx, &wire.Message{FindReply: &wire.FindReply{}})
				time.Sleep(500 * time.Millisecond)
			}
		},
	}}
	listener := network.listen("hub", nic)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		time.Sleep(2 * time.Minute)
	})
	d := &link.Dialer{Hello: hello, Key: idleTestKey, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return network.dial(ctx, nic, "hub")
	}}
	conn, err := d.Dial(t.Context(), "hub")
	require.NoError(t, err)
	return &uplink{conn: conn}
}

// A VM stands still for longer than its hub is usually silent. Its timer then fires before it has read the frames that
// lie in its socket. Guards against a link that is given up for that: the VM links anew and is sent everything once more,
// which keeps it from its requests even longer.
func TestLinkOutlastsStandstillOfVM(t *testing.T) {
	tests := map[string]struct {
		// stoodStill is for how long the VM stands still half a second after the last frame, each time if always is set.
		silent, stoodStill time.Duration
		always             bool
		lasts              time.Duration
	}{
		"hub sends":                {silent: 500 * time.Millisecond, lasts: 2500 * time.Millisecond},
		"hub is silent":            {silent: time.Minute, lasts: linkIdleTimeout},
		"VM stood still":           {silent: 1900 * time.Millisecond, stoodStill: time.Second, lasts: 3900 * time.Millisecond},
		"VM stood still, hub gone": {silent: time.Minute, stoodStill: time.Second, lasts: 2 * linkIdleTimeout},
		"VM stands still always":   {silent: time.Minute, stoodStill: time.Second, always: true, lasts: 2 * linkIdleTimeout},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := linkToSilentHub(t, tc.silent)
				began := time.Now()
				p := &Peers{Now: func() time.Time {
					now := time.Now()
					waits := now.Sub(began) / (linkIdleTimeout / 2)
					if !tc.always {
						waits = min(waits, 1)
					}
					return now.Add(waits * tc.stoodStill)
				}}
				require.Error(t, p.receiveFrames(t.Context(), t.Context(), up))
				lasted := time.Since(began)
				up.close()
				require.InDelta(t, tc.lasts.Seconds(), lasted.Seconds(), 0.05)
			})
		})
	}
}
