package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// modelsOf returns a configuration of service "s" with models of the given sizes.
func modelsOf(version int, memoryMB float64, sizesMB map[string]float64) *routes.Table {
	e := &routes.Engine{WeightMemoryMB: memoryMB, StoreLoadsPerSecond: 10, Models: make(map[string]routes.Model)}
	for name, size := range sizesMB {
		e.Models[name] = routes.Model{Name: name, SizeMB: size, LoadTime: time.Second}
	}
	return routes.NewTable(version, nil, []routes.Service{{Name: "s", Engine: e}}, routes.Limits{})
}

// Guards against a model that the configuration no longer has, and that a server still holds, counting as free memory:
// the server crashes when it is ordered to load more than fits, with all requests that run there.
func TestRemovedModelKeepsItsMemory(t *testing.T) {
	const idle = time.Minute
	for name, tc := range map[string]struct {
		memoryMB float64
		// knewSize is set if this VM has had a configuration with the model.
		knewSize bool
		// sinceRequested is how long ago the removed model was last requested.
		sinceRequested time.Duration
		want           []Order
	}{
		"no room, in use":         {20, true, 0, nil},
		"no room, idle":           {20, true, idle, []Order{{Unload: true, Model: "gone"}}},
		"room beside it":          {30, true, 0, []Order{{Model: "new"}}},
		"size not known":          {30, false, 0, nil},
		"size not known, idle":    {30, false, idle, []Order{{Unload: true, Model: "gone"}}},
		"half a megabyte missing": {29.5, true, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			leads := false
			c, orders := testController(func(time.Time) (int, bool) { return 5, leads })
			var calls []func()
			c.Spawn = func(call func()) { calls = append(calls, call) }
			start := c.Now()
			holds := []backs.LoadedModel{{Model: "gone"}, {Model: "kept"}}
			c.Servers.Replace(start, []backs.Entry{{ID: "a", Service: "s", Models: holds}})
			before := modelsOf(1, tc.memoryMB, map[string]float64{"gone": 10, "kept": 10})
			after := modelsOf(2, tc.memoryMB, map[string]float64{"kept": 10, "new": 10})
			table := after
			if tc.knewSize {
				table = before
			}
			c.Table = func() *routes.Table { return table }
			c.Step(t.Context(), start)
			leads = true
			c.Step(t.Context(), start.Add(idle))
			later := start.Add(2 * idle)
			c.servers["a"].ApplyReport(later, later, Report{Models: holds, Sequence: 7})
			table = after
			c.RecordVMReport(later.Add(-tc.sinceRequested), "vm", nil, []ModelDemand{{Service: "s", Model: "gone", Requests: 1, ServerTime: time.Millisecond}})
			c.RecordVMReport(later, "vm", nil, []ModelDemand{
				{Service: "s", Model: "new", Requests: 1, ServerTime: time.Millisecond}, {Service: "s", Model: "kept", Requests: 1, ServerTime: time.Millisecond},
			})
			calls = nil
			c.Step(t.Context(), later)
			for _, call := range calls {
				call()
			}
			var got []Order
			for len(orders) > 0 {
				o := <-orders
				got = append(got, Order{Unload: o.Unload, Model: o.Model, Adapter: o.Adapter})
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// Guards against a configuration that drops a service, or its engine, making the controller unload or load models at
// servers whose requests run on.
func TestRemovedServiceGetsNoOrders(t *testing.T) {
	for name, tc := range map[string]struct {
		next    *routes.Table
		ordered bool
	}{
		"service removed": {routes.NewTable(2, nil, nil, routes.Limits{}), false},
		"engine removed":  {routes.NewTable(2, nil, []routes.Service{{Name: "s"}}, routes.Limits{}), false},
		"no models":       {modelsOf(2, 20, nil), false},
		"unchanged":       {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := testController(func(time.Time) (int, bool) { return 5, true })
			c.Spawn = func(func()) {}
			start := c.Now()
			c.Step(t.Context(), start)
			reportedAt := start.Add(time.Minute)
			c.servers["a"].ApplyReport(reportedAt, reportedAt, Report{Models: []backs.LoadedModel{{Model: "m1"}}, Sequence: 7})
			if tc.next != nil {
				c.Table = func() *routes.Table { return tc.next }
			}
			for second := range 20 {
				now := reportedAt.Add(time.Duration(second) * time.Second)
				c.RecordVMReport(now, "vm", nil, []ModelDemand{{Service: "s", Model: "m2", Requests: 100, ServerTime: time.Second}})
				c.Step(t.Context(), now)
			}
			require.Equal(t, tc.ordered, len(c.orderInFlight) > 0)
			if !tc.ordered {
				_, err := c.Find(t.Context(), backs.Need{Service: "s", Model: "m1"})
				require.ErrorIs(t, err, errUnknownModel)
			}
		})
	}
}
