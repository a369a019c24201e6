package node

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/store"
)

const testServerKind = "servers"

// heldStore is a store whose answers about servers are made at once and may be held up on their way.
type heldStore struct {
	stand.ObjectStore
	mu     sync.Mutex
	delays map[string]time.Duration
	calls  int
}

// hold makes the answers to lists or watches of the servers arrive late by a time.
func (s *heldStore) hold(call string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delays == nil {
		s.delays = make(map[string]time.Duration)
	}
	s.delays[call] = d
}

func (s *heldStore) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = 0
	return calls
}

func (s *heldStore) onTheWay(ctx context.Context, call, kind string) {
	if kind != testServerKind {
		return
	}
	s.mu.Lock()
	s.calls++
	d := s.delays[call]
	s.mu.Unlock()
	pause.For(ctx, d)
}

func (s *heldStore) client() store.Objects {
	client := s.Client()
	client.List = func(ctx context.Context, kind string) (store.Listing, error) {
		l := s.List(kind)
		s.onTheWay(ctx, "list", kind)
		return l, nil
	}
	client.Watch = func(ctx context.Context, kind string, from int, wait time.Duration) ([]store.Change, int, error) {
		changes, next, err := s.Watch(ctx, kind, from, wait)
		s.onTheWay(ctx, "watch", kind)
		return changes, next, err
	}
	return client
}

// addServer stores the entry of a server.
func (s *heldStore) addServer(t *testing.T, name, version string) {
	t.Helper()
	value, err := json.Marshal(version)
	require.NoError(t, err)
	_, err = s.Put(testServerKind, name, 0, value)
	require.NoError(t, err)
}

// newStoreFollower returns a VM that follows the servers in a store.
func newStoreFollower(t *testing.T, s *heldStore) *Node {
	t.Helper()
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	n := New(Config{
		Settings: settings, ConfigKind: "config", ServerKind: testServerKind, CloseIdleStoreConns: func() {}, Now: time.Now, Log: zerolog.Nop(),
		Objects: s.client(),
		DecodeEntry: func(o store.Object) (backs.Entry, error) {
			e := backs.Entry{ID: o.Name, Service: "s"}
			return e, json.Unmarshal(o.Value, &e.SoftwareVersion)
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	go n.followServers(ctx)
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second) // All that the test has begun ends.
	})
	return n
}

// Guards against a proof by an answer of the store that was made before the request arrived and is read after that.
func TestAnswerReadLateIsNoNewerThanItsCall(t *testing.T) {
	tests := map[string]struct {
		calls []string
		// follows is how long the VM has followed the store before the answers are held up.
		follows time.Duration
	}{
		"list":  {[]string{"list", "watch"}, 0},
		"watch": {[]string{"watch"}, 20 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &heldStore{}
				s.addServer(t, "a", "v1")
				n := newStoreFollower(t, s)
				time.Sleep(tc.follows)
				for _, call := range tc.calls {
					s.hold(call, 5*time.Second)
				}
				time.Sleep(4 * time.Second)
				s.addServer(t, "b", "v2")
				arrived := time.Now()
				for range 1000 {
					time.Sleep(10 * time.Millisecond)
					_, known := n.serverView.Entry("b")
					require.False(t, n.serverView.CurrentAt().After(arrived) && !known, "%v after the request", time.Since(arrived))
				}
			})
		})
	}
}
