package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// The store is unreachable for half a minute. If hundreds of VMs each call it every second for the
// configuration, the servers and the lease, the recovering store gets more calls than in normal
// operation. One call of the three is enough to detect the recovery. Once it succeeds, the servers
// must be read immediately.
func TestStoreOutageCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := conf.ParseNode([]byte(testSettings))
		require.NoError(t, err)
		var mu sync.Mutex
		down := false
		callCounts := make(map[string]int)
		takeCounts := func() map[string]int {
			mu.Lock()
			defer mu.Unlock()
			counts := callCounts
			callCounts = make(map[string]int)
			return counts
		}
		setDown := func(value bool) {
			mu.Lock()
			defer mu.Unlock()
			down = value
		}
		recordCall := func(kind string) error {
			mu.Lock()
			defer mu.Unlock()
			callCounts[kind]++
			if down {
				return &store.UnavailableError{Err: errors.New("no response")}
			}
			return nil
		}
		n := New(Config{
			Settings: settings, ConfigKind: "config", ServerKind: "servers", CloseIdleStoreConns: func() {}, Now: time.Now, Log: zerolog.Nop(),
			Objects: store.Objects{
				List: func(_ context.Context, kind string) (store.Listing, error) { return store.Listing{}, recordCall(kind) },
				Watch: func(ctx context.Context, kind string, from int, wait time.Duration) ([]store.Change, int, error) {
					if err := recordCall(kind); err != nil {
						return nil, from, err
					}
					pause.For(ctx, wait)
					return nil, from, nil
				},
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go n.followConfig(ctx)
		go n.followServers(ctx)
		time.Sleep(10 * time.Second)
		require.False(t, n.storeUnreachable())

		setDown(true)
		time.Sleep(10 * time.Second)
		takeCounts()
		time.Sleep(30 * time.Second)
		require.True(t, n.storeUnreachable())
		calls := takeCounts()
		require.Greater(t, calls["config"], 30)
		require.LessOrEqual(t, calls["servers"], 6)

		// All data must be current within two seconds, so that changes take effect in time.
		setDown(false)
		time.Sleep(2 * time.Second)
		require.False(t, n.storeUnreachable())
		require.Positive(t, takeCounts()["servers"])
		cancel()
	})
}

// The store recovers from an outage for the servers' kind only; the configuration stays unreadable.
// If the follower of the servers waits for that of the configuration, the VM sends requests to an
// outdated list of servers forever. It must call the store itself every five seconds.
func TestServersFollowedWithoutConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := conf.ParseNode([]byte(testSettings))
		require.NoError(t, err)
		var down, serversRead atomic.Bool
		recordCall := func(kind string) error {
			if down.Load() || kind == "config" {
				return &store.UnavailableError{Err: errors.New("no response")}
			}
			serversRead.Store(true)
			return nil
		}
		n := New(Config{
			Settings: settings, ConfigKind: "config", ServerKind: "servers", CloseIdleStoreConns: func() {}, Now: time.Now, Log: zerolog.Nop(),
			Objects: store.Objects{
				List: func(_ context.Context, kind string) (store.Listing, error) { return store.Listing{}, recordCall(kind) },
				Watch: func(ctx context.Context, kind string, from int, wait time.Duration) ([]store.Change, int, error) {
					pause.For(ctx, wait)
					return nil, from, recordCall(kind)
				},
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		down.Store(true)
		go n.followConfig(ctx)
		go n.followServers(ctx)
		time.Sleep(20 * time.Second)
		require.False(t, serversRead.Load())
		down.Store(false)
		time.Sleep(serverPollInterval + 2*time.Second)
		require.True(t, serversRead.Load())
		cancel()
	})
}

// A VM's connection to the store breaks, and a server's entry is removed in the meantime. If one
// failed call counts as an outage, in which entries can expire, the VM keeps the server in use for
// two more seconds.
func TestServerRemovedAfterOneFailedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := conf.ParseNode([]byte(testSettings))
		require.NoError(t, err)
		var silent, removalPending atomic.Bool
		n := New(Config{
			Settings: settings, ConfigKind: "config", ServerKind: "servers", CloseIdleStoreConns: func() { silent.Store(false) }, Now: time.Now, Log: zerolog.Nop(),
			DecodeEntry: func(o store.Object) (backs.Entry, error) { return backs.Entry{ID: o.Name, Service: "s"}, nil },
			Objects: store.Objects{
				List: func(_ context.Context, kind string) (store.Listing, error) {
					if kind == "config" {
						return store.Listing{}, nil
					}
					return store.Listing{Items: []store.Object{{Name: "a"}, {Name: "b"}}}, nil
				},
				Watch: func(ctx context.Context, kind string, from int, wait time.Duration) ([]store.Change, int, error) {
					if kind == "servers" && !silent.Load() && removalPending.Swap(false) {
						return []store.Change{{Object: store.Object{Name: "b"}, Deleted: true}}, from + 1, nil
					}
					if silent.Load() {
						pause.For(ctx, wait+400*time.Millisecond)
						return nil, from, &store.UnavailableError{Err: errors.New("no response")}
					}
					pause.For(ctx, wait)
					return nil, from, nil
				},
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go n.followConfig(ctx)
		go n.followServers(ctx)
		time.Sleep(10 * time.Second)
		require.True(t, n.serverView.Usable(n.now(), "b"))

		silent.Store(true)
		removalPending.Store(true)
		time.Sleep(2 * time.Second)
		require.False(t, n.serverView.Usable(n.now(), "b"))
		require.True(t, n.serverView.Usable(n.now(), "a"))
		cancel()
	})
}

// The controller VM is slow, and its watches of the servers time out for four seconds while its other
// calls succeed, so the store is reachable. If this counts as an outage, all VMs keep servers that were
// removed in the meantime in use for two more seconds.
func TestServerRemovedAfterFailedWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := conf.ParseNode([]byte(testSettings))
		require.NoError(t, err)
		var watchFails, removalPending atomic.Bool
		n := New(Config{
			Settings: settings, ConfigKind: "config", ServerKind: "servers", CloseIdleStoreConns: func() {}, Now: time.Now, Log: zerolog.Nop(),
			DecodeEntry: func(o store.Object) (backs.Entry, error) { return backs.Entry{ID: o.Name, Service: "s"}, nil },
			Objects: store.Objects{
				List: func(_ context.Context, kind string) (store.Listing, error) {
					if kind == "config" {
						return store.Listing{}, nil
					}
					return store.Listing{Items: []store.Object{{Name: "a"}, {Name: "b"}}}, nil
				},
				Watch: func(ctx context.Context, kind string, from int, wait time.Duration) ([]store.Change, int, error) {
					pause.For(ctx, wait)
					switch {
					case kind == "servers" && watchFails.Load():
						return nil, from, &store.UnavailableError{Err: errors.New("no response")}
					case kind == "servers" && removalPending.Swap(false):
						return []store.Change{{Object: store.Object{Name: "b"}, Deleted: true}}, from + 1, nil
					}
					return nil, from, nil
				},
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go n.followConfig(ctx)
		go n.followServers(ctx)
		time.Sleep(10 * time.Second)
		watchFails.Store(true)
		time.Sleep(4 * time.Second)
		removalPending.Store(true)
		watchFails.Store(false)
		time.Sleep(time.Second)
		require.False(t, removalPending.Load())
		require.False(t, n.serverView.Usable(n.now(), "b"))
		require.True(t, n.serverView.Usable(n.now(), "a"))
		cancel()
	})
}
