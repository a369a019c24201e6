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

const testSettings = `
[vm]
name = a
failure_domain = d
listen = 127.0.0.1:1
ready_listen = 127.0.0.1:2
peer_listen = 127.0.0.1:3
[store]
address = 127.0.0.1:4
[steering]
lease = 1m
`

// newControllerNode returns a node that is the lease holder but is not started, and the address of its
// links.
func newControllerNode(t *testing.T) (*Node, string) {
	t.Helper()
	settings, err := conf.ParseNode([]byte(testSettings))
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

// Links to the controller are opened while its requests and its cleanup divide the retry budget. If
// Node and Peers each call the other with their own lock held, they deadlock: the lease holder serves
// no requests while all other VMs stay linked to it.
func TestLinksAndBudgetsDeadlock(t *testing.T) {
	n, address := newControllerNode(t)
	n.serverView.Replace(n.now(), nil)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				n.retryBudget(fmt.Sprint(i % 5000))
			}
		}
	}()
	result := make(chan error, 1)
	go func() { result <- openLinks(t.Context(), n, address) }()
	select {
	case err := <-result:
		require.NoError(t, err)
	case <-time.After(time.Minute):
		require.Fail(t, "links were not opened")
	}
	close(stop)
	<-stopped
}

// The controller's process restarts and continues its lease before it has listed the servers. If it
// accepts a link then, it reports an empty list of servers. The linked VM rejects all requests, and
// sends the servers none for four seconds after they reappear. Links must be refused until the servers
// are listed.
func TestNoLinksBeforeServerList(t *testing.T) {
	n, address := newControllerNode(t)
	require.Error(t, openLinks(t.Context(), n, address))
	n.serverView.Replace(n.now(), nil)
	require.NoError(t, openLinks(t.Context(), n, address))
}

// openLinks opens links one after the other, as starting VMs do.
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
