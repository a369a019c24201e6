package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Guards against a stream that waits in vain: a server of its software version crashed, and the others of the version
// do not have its model. The plan sees replicas enough at servers of another version.
func TestModelLoadsAtServerOfNeededVersion(t *testing.T) {
	both := []backs.LoadedModel{{Model: "m1"}, {Model: "m2"}}
	tests := map[string]struct {
		models  []backs.LoadedModel
		version string
		want    []Order
	}{
		"free memory":              {nil, "v2", []Order{{Model: "m1"}}},
		"another model yields":     {[]backs.LoadedModel{{Model: "m2"}}, "v2", []Order{{Unload: true, Model: "m2"}}},
		"it is there":              {both, "v2", nil},
		"no server of the version": {nil, "v3", nil},
		"one version serves":       {nil, "v1", nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c, orders := testController(func(time.Time) (int, bool) { return 1, true })
			var calls []func()
			c.Spawn = func(call func()) { calls = append(calls, call) }
			first := backs.Entry{ID: "a", Service: "s", SoftwareVersion: "v1", Models: both}
			if name == "one version serves" {
				first.Models = []backs.LoadedModel{{Model: "m2"}}
			}
			second := backs.Entry{ID: "b", Service: "s", SoftwareVersion: "v2", Models: tc.models}
			if name == "one version serves" {
				second.SoftwareVersion = "v1"
			}
			c.Servers.Replace(now, []backs.Entry{first, second})
			c.syncServers(now, "s")
			for _, s := range c.serversOf("s") {
				s.ApplyReport(now, now, Report{Models: s.Entry().Models})
			}
			service, _ := c.Table().Service("s")
			if name == "another model yields" {
				service.Engine.WeightMemoryMB = service.Engine.Models["m1"].SizeMB
			}
			id, err := c.TryFind(t.Context(), now, service, backs.Need{Service: "s", Model: "m1", Version: tc.version})
			require.NoError(t, err)
			require.Equal(t, name == "it is there", id == "b")
			for _, call := range calls {
				call()
			}
			close(orders)
			var got []Order
			for o := range orders {
				got = append(got, Order{Unload: o.Unload, Model: o.Model})
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// Guards against the plan that replaces the only replica which begun streams can go on at, as other servers have the
// model too.
func TestNeededReplicaStays(t *testing.T) {
	now := time.Unix(1000, 0)
	c, _ := testController(func(time.Time) (int, bool) { return 1, true })
	models := []backs.LoadedModel{{Model: "m1"}}
	c.Servers.Replace(now, []backs.Entry{
		{ID: "a", Service: "s", SoftwareVersion: "v1", Models: models}, {ID: "b", Service: "s", SoftwareVersion: "v2", Models: models},
	})
	c.syncServers(now, "s")
	service, _ := c.Table().Service("s")
	b := c.serversOf("s")[1]
	require.False(t, c.neededAt(now, b, "s", "m1"))
	c.loadModelForVersion(t.Context(), now, service, backs.Need{Service: "s", Model: "m1", Version: "v2"})
	require.True(t, c.neededAt(now, b, "s", "m1"))
	require.False(t, c.neededAt(now, c.serversOf("s")[0], "s", "m1"))
	require.False(t, c.neededAt(now.Add(versionNeedTime), b, "s", "m1"))
}
