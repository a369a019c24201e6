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

// The store goes away for half a minute. Each of hundreds of VMs asked it every second
// for the configuration, the servers and the lease, and it came back under more calls than
// it takes in peace. One question in three says as much. When it is answered, the servers
// are asked for at once.
func TestOneQuestionToAStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := conf.ParseNode([]byte(lockSettings))
		require.NoError(t, err)
		var mu sync.Mutex
		away := false
		asked := make(map[string]int)
		take := func() map[string]int {
			mu.Lock()
			defer mu.Unlock()
			taken := asked
			asked = make(map[string]int)
			return taken
		}
		turn := func(off bool) {
			mu.Lock()
			defer mu.Unlock()
			away = off
		}
		answer := func(kind string) error {
			mu.Lock()
			defer mu.Unlock()
			asked[kind]++
			if away {
				return &store.UnavailableError{Err: errors.New("no answer")}
			}
			return nil
		}
		n := New(Config{
			Settings: settings, ConfigKind: "config", ServerKind: "servers", CloseIdle: func() {}, Now: time.Now, Log: zerolog.Nop(),
			Objects: store.Objects{
				List: func(_ context.Context, kind string) (store.Listing, error) { return store.Listing{}, answer(kind) },
				Watch: func(ctx context.Context, kind string, from int, wait time.Duration) ([]store.Change, int, error) {
					if err := answer(kind); err != nil {
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
		require.False(t, n.storeAway())

		turn(true)
		time.Sleep(10 * time.Second)
		take()
		time.Sleep(30 * time.Second)
		require.True(t, n.storeAway())
		calls := take()
		require.Greater(t, calls["config"], 30)
		require.LessOrEqual(t, calls["servers"], 6)

		// Within two seconds all is known again, so that a change is in force in time.
		turn(false)
		time.Sleep(2 * time.Second)
		require.False(t, n.storeAway())
		require.Positive(t, take()["servers"])
		cancel()
	})
}

// The store is away and comes back for the servers' kind only: the configuration's can not be
// read on. The follower of the servers waited for that of the configuration for good, and the
// VM sent requests to servers of long ago. It asks by itself every five seconds.
func TestServersAreFollowedWhereTheConfigurationCanNotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := conf.ParseNode([]byte(lockSettings))
		require.NoError(t, err)
		var away, told atomic.Bool
		answer := func(kind string) error {
			if away.Load() || kind == "config" {
				return &store.UnavailableError{Err: errors.New("no answer")}
			}
			told.Store(true)
			return nil
		}
		n := New(Config{
			Settings: settings, ConfigKind: "config", ServerKind: "servers", CloseIdle: func() {}, Now: time.Now, Log: zerolog.Nop(),
			Objects: store.Objects{
				List: func(_ context.Context, kind string) (store.Listing, error) { return store.Listing{}, answer(kind) },
				Watch: func(ctx context.Context, kind string, from int, wait time.Duration) ([]store.Change, int, error) {
					pause.For(ctx, wait)
					return nil, from, answer(kind)
				},
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		away.Store(true)
		go n.followConfig(ctx)
		go n.followServers(ctx)
		time.Sleep(20 * time.Second)
		require.False(t, told.Load())
		away.Store(false)
		time.Sleep(askAnyway + 2*time.Second)
		require.True(t, told.Load())
		cancel()
	})
}

// A VM's connection to the store falls silent, and a server leaves meanwhile; the VM took one
// call without an answer for an outage, in which entries lapse, and sent to that server for
// two seconds more.
func TestServerThatLeftIsUsedAfterOneLostCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := conf.ParseNode([]byte(lockSettings))
		require.NoError(t, err)
		var silent, left atomic.Bool
		n := New(Config{
			Settings: settings, ConfigKind: "config", ServerKind: "servers", CloseIdle: func() { silent.Store(false) }, Now: time.Now, Log: zerolog.Nop(),
			Entry: func(o store.Object) (backs.Entry, error) { return backs.Entry{ID: o.Name, Service: "s"}, nil },
			Objects: store.Objects{
				List: func(_ context.Context, kind string) (store.Listing, error) {
					if kind == "config" {
						return store.Listing{}, nil
					}
					return store.Listing{Items: []store.Object{{Name: "a"}, {Name: "b"}}}, nil
				},
				Watch: func(ctx context.Context, kind string, from int, wait time.Duration) ([]store.Change, int, error) {
					if kind == "servers" && !silent.Load() && left.Swap(false) {
						return []store.Change{{Object: store.Object{Name: "b"}, Deleted: true}}, from + 1, nil
					}
					if silent.Load() {
						pause.For(ctx, wait+400*time.Millisecond)
						return nil, from, &store.UnavailableError{Err: errors.New("no answer")}
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
		require.True(t, n.servers.Usable(n.now(), "b"))

		silent.Store(true)
		left.Store(true)
		time.Sleep(2 * time.Second)
		require.False(t, n.servers.Usable(n.now(), "b"))
		require.True(t, n.servers.Usable(n.now(), "a"))
		cancel()
	})
}

// The VM that steers is slow, and its calls for the servers get no answer in time for four
// seconds while others do, so the store was there; servers that left meanwhile were used by
// all VMs for two seconds more.
func TestServerThatLeftIsUsedThoughTheStoreWasThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings, err := conf.ParseNode([]byte(lockSettings))
		require.NoError(t, err)
		var slow, left atomic.Bool
		n := New(Config{
			Settings: settings, ConfigKind: "config", ServerKind: "servers", CloseIdle: func() {}, Now: time.Now, Log: zerolog.Nop(),
			Entry: func(o store.Object) (backs.Entry, error) { return backs.Entry{ID: o.Name, Service: "s"}, nil },
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
					case kind == "servers" && slow.Load():
						return nil, from, &store.UnavailableError{Err: errors.New("no answer")}
					case kind == "servers" && left.Swap(false):
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
		slow.Store(true)
		time.Sleep(4 * time.Second)
		left.Store(true)
		slow.Store(false)
		time.Sleep(time.Second)
		require.False(t, left.Load())
		require.False(t, n.servers.Usable(n.now(), "b"))
		require.True(t, n.servers.Usable(n.now(), "a"))
		cancel()
	})
}
