package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const lockSettings = `
[vm]
name = a
failure_domain = d
listen = 127.0.0.1:1
ready_listen = 127.0.0.1:2
peer_listen = 127.0.0.1:3
[store]
address = 127.0.0.1:4
`

// leading returns a node that holds the lease and has not started.
func leading(t *testing.T) (*Node, string) {
	t.Helper()
	settings, err := conf.ParseNode([]byte(lockSettings))
	require.NoError(t, err)
	o := &stand.ObjectStore{}
	n := New(Config{Settings: settings, Objects: o.Client(), Now: clock.Now, Log: zerolog.Nop()})
	require.Eventually(t, func() bool {
		n.lease.Step(t.Context())
		return n.lease.Held(n.now())
	}, time.Minute, time.Millisecond)
	s := httptest.NewServer(n.peers.Handler())
	t.Cleanup(s.Close)
	return n, strings.TrimPrefix(s.URL, "http://")
}

// Links open at the controller while requests and its clean-up divide the retry
// budget. Each side asked the other under its own lock: both waited for ever, and
// the VM that held the lease served nobody while it kept all others linked.
func TestLinksOpenWhileBudgetsAreDivided(t *testing.T) {
	n, address := leading(t)
	n.servers.Replace(n.now(), nil)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				n.budget(fmt.Sprint(i % 5000))
			}
		}
	}()
	opened := make(chan error, 1)
	go func() { opened <- openLinks(t.Context(), n, address) }()
	select {
	case err := <-opened:
		require.NoError(t, err)
	case <-time.After(time.Minute):
		require.Fail(t, "links do not open")
	}
	close(stop)
	<-stopped
}

// The controller's process is started anew and goes on with its lease at once,
// before it has listed the servers. A VM that linked to it was told that there are
// none: it refused all requests, and gave the servers no work for four seconds
// after they had risen again. Links wait until the servers are known.
func TestNoLinksBeforeTheServersAreKnown(t *testing.T) {
	n, address := leading(t)
	require.Error(t, openLinks(t.Context(), n, address))
	n.servers.Replace(n.now(), nil)
	require.NoError(t, openLinks(t.Context(), n, address))
}

// openLinks opens links one after the other, as VMs that start do.
func openLinks(ctx context.Context, n *Node, address string) error {
	for i := range 200 {
		n.lease.Step(ctx)
		d := &link.Dialer{
			Key:   n.lease.LinkKey(n.now()),
			Hello: func() wire.Hello { return wire.Hello{Protocol: link.Protocol, Node: fmt.Sprint("vm", i)} },
		}
		c, err := d.Dial(ctx, address)
		if err != nil {
			return err
		}
		if _, err := c.Receive(ctx); err != nil {
			return err
		}
		c.Close()
	}
	return nil
}
