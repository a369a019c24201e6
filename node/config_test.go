package node

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// The hub and the store tell a VM of the same configurations at once, each in an order of its own. Guards against an
// older one that takes the place of a newer one for a moment, and against two that are each in force in part.
func TestConfigFromHubAndStoreAtOnce(t *testing.T) {
	const revisions, readers = 200, 4
	n, _ := newControllerNode(t)
	n.config.ConfigKind, n.config.ConfigName = "config", "main"
	n.config.DecodeTable = func(o store.Object) (*routes.Table, error) {
		return routes.NewTable(o.Version, nil, nil, routes.Limits{}), nil
	}
	object := func(revision int) store.Object {
		return store.Object{Kind: n.config.ConfigKind, Name: n.config.ConfigName, Version: revision, Value: []byte{byte(revision)}}
	}
	var sources, watching sync.WaitGroup
	done := make(chan struct{})
	for range readers {
		watching.Go(func() {
			last := 0
			for {
				if table := n.table.Load(); table != nil {
					if table.Version() < last {
						t.Errorf("version %d after %d", table.Version(), last)
						return
					}
					last = table.Version()
				}
				if revision, value := n.currentConfig(); revision > 0 && value[0] != byte(revision) {
					t.Errorf("value of revision %d is that of %d", revision, value[0])
					return
				}
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	for source, apply := range []func(revision int){
		func(revision int) { n.applyHubConfig(revision, object(revision).Value) },
		func(revision int) { n.applyConfigObject(object(revision)) },
	} {
		order := rand.New(rand.NewPCG(53, uint64(source))).Perm(revisions)
		sources.Go(func() {
			for _, i := range order {
				apply(i + 1)
			}
		})
	}
	sources.Wait()
	close(done)
	watching.Wait()
	revision, _ := n.currentConfig()
	require.Equal(t, revisions, revision)
	require.Equal(t, revisions, n.table.Load().Version())
}
