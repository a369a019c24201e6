package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const restoreTimeout = time.Minute

// configureStore writes a version of the configuration.
func configureStore(t *testing.T, o *stand.ObjectStore, version int) {
	t.Helper()
	value, err := platform.EncodeTable(version, nil, nil, routes.Limits{})
	require.NoError(t, err)
	_, err = o.Put(platform.ConfigKind, platform.ConfigName, -1, value)
	require.NoError(t, err)
}

func writeFillers(t *testing.T, o *stand.ObjectStore, changes int) {
	t.Helper()
	before := o.Era()
	for i := range changes {
		_, err := o.Put("fillers", "f", -1, fmt.Appendf(nil, `"%d-%d"`, before, i))
		require.NoError(t, err)
	}
}

// Guards against a VM without a hub that misses configurations once the store has come back from a copy, or goes
// back to the older one that it shows first.
func TestOwnReadsOfRestoredStore(t *testing.T) {
	cases := map[string]struct {
		// lost is how many changes are lost before the configuration that is lost, and again how many are made
		// before the VM calls the store.
		lost, again int
		// away is set if the store rejects calls meanwhile, so that no watch waits when it comes back.
		away bool
	}{
		"few changes lost":                    {lost: 20, away: true},
		"many changes lost":                   {lost: 3000, away: true},
		"position of the watch exists again":  {lost: 20, again: 100, away: true},
		"few changes lost, watch cut off":     {lost: 20},
		"position exists again, watch waits":  {lost: 20, again: 100},
		"nothing else lost, position is kept": {away: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := &stand.ObjectStore{}
			s := httptest.NewServer(platform.NewStoreHandler(o))
			t.Cleanup(s.Close)
			settings, err := conf.ParseNode([]byte(testSettings))
			require.NoError(t, err)
			client := &http.Client{Transport: &http.Transport{}}
			n := New(Config{
				Settings: settings, Objects: platform.NewStoreClient(client, strings.TrimPrefix(s.URL, "http://")),
				ConfigKind: platform.ConfigKind, ConfigName: platform.ConfigName, ServerKind: platform.ServerKind,
				DecodeTable: platform.DecodeTable, DecodeEntry: platform.DecodeEntry, CloseIdleStoreConns: client.CloseIdleConnections, Now: clock.Now, Log: zerolog.Nop(),
			})
			ctx, cancel := context.WithCancel(t.Context())
			stopped := make(chan struct{})
			t.Cleanup(func() { cancel(); <-stopped })
			configureStore(t, o, 3)
			go func() {
				defer close(stopped)
				n.followConfig(ctx)
			}()
			inForce := func() int {
				if table := n.table.Load(); table != nil {
					return table.Version()
				}
				return 0
			}
			await := func(version int) {
				require.Eventually(t, func() bool { return inForce() == version }, restoreTimeout, time.Millisecond, "version %d", version)
			}
			await(3)
			saved := o.Copy()
			writeFillers(t, o, c.lost)
			configureStore(t, o, 5)
			await(5)

			if c.away {
				o.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
				require.Eventually(t, func() bool { return n.kindUnreachable(platform.ConfigKind) }, restoreTimeout, time.Millisecond)
			}
			o.Restore(saved)
			if c.again > 0 {
				configureStore(t, o, 7)
				writeFillers(t, o, c.again)
			}
			calls := o.Calls()
			o.SetFaults(stand.ObjectStoreFaults{})
			require.Eventually(t, func() bool { return o.Calls() >= calls+3 }, restoreTimeout, time.Millisecond, "the store is read again")
			require.NotEqual(t, 3, inForce(), "no VM goes back")
			if c.again == 0 {
				configureStore(t, o, 7)
			}
			await(7)
			configureStore(t, o, 9)
			await(9)
		})
	}
}
