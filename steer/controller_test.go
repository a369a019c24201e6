package steer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// testController returns a controller of one service "s" with a model "m1" at server "a". The
// orders it sends arrive in the channel.
func testController(fencingToken func(time.Time) (int, bool)) (*Controller, chan Order) {
	now := time.Unix(1000, 0)
	view := &backs.View{}
	view.Replace(now, []backs.Entry{{ID: "a", Service: "s", Models: []backs.LoadedModel{{Model: "m1"}}}})
	engine := &routes.Engine{WeightMemoryMB: 20, AdapterSlots: 2, StoreLoadsPerSecond: 1, Models: map[string]routes.Model{
		"m1": {Name: "m1", SizeMB: 10, AdapterCount: 3}, "m2": {Name: "m2", SizeMB: 10},
	}}
	table := routes.NewTable(1, nil, []routes.Service{{Name: "s", Engine: engine}}, routes.Limits{})
	orders := make(chan Order, 16)
	return &Controller{
		Name: "vm", Servers: view, Table: func() *routes.Table { return table }, FencingToken: fencingToken,
		Now: func() time.Time { return now }, Log: zerolog.Nop(), Meter: meter.New(),
		ServerCalls: ServerCalls{
			Send: func(_ context.Context, _ backs.Entry, o Order) (OrderResult, backs.Notice, error) {
				orders <- o
				return Accepted, backs.Notice{}, nil
			},
			Report: func(context.Context, backs.Entry) (Report, error) {
				return Report{Models: []backs.LoadedModel{{Model: "m1"}}, Sequence: 7}, nil
			},
		},
	}, orders
}

// The controller decides to load a model into free memory. Before the order is sent, a report
// shows that an older order was executed late: the memory is taken and the sequence is one higher.
// The server would accept an order with the new sequence and crash. The order must carry the
// sequence at the time of the decision, which the server refuses.
func TestOrderExpectsDecisionSequence(t *testing.T) {
	var c *Controller
	leaseReady := make(chan struct{})
	c, orders := testController(func(time.Time) (int, bool) {
		<-leaseReady
		return 5, true
	})
	now := c.Now()
	c.syncServers(now, "s")
	s := c.servers["a"]
	s.ApplyReport(now, now, Report{Models: []backs.LoadedModel{{Model: "m1"}}, Sequence: 7})
	c.mu.Lock()
	c.sendAsync(context.Background(), s, Order{Model: "m2"}, time.Second)
	s.ApplyReport(now, now, Report{Models: []backs.LoadedModel{{Model: "m1"}, {Model: "m3"}}, Sequence: 8})
	c.mu.Unlock()
	close(leaseReady)
	require.Equal(t, 7, (<-orders).ExpectedSequence)
}

// If an adapter in use were evicted, the server would accept no further order until its requests
// end, and requests for all other adapters would wait.
func TestAdapterInUseIsNotEvicted(t *testing.T) {
	c, _ := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	c.syncServers(now, "s")
	s := c.servers["a"]
	s.ApplyReport(now, now, Report{Models: []backs.LoadedModel{{Model: "m1", Adapters: []string{"a1", "a2"}}}, Sequence: 0})
	c.RecordVMReport(now, "vm", loadUsing("a", "m1/a1"), nil)
	later := now.Add(time.Minute)
	model, adapter := c.leastRecentlyUsed(later, s, "s", time.Second)
	require.Equal(t, "m1/a2", model+"/"+adapter)
	c.RecordVMReport(now, "vm", loadUsing("a", "m1/a1", "m1/a2"), nil)
	_, adapter = c.leastRecentlyUsed(later, s, "s", time.Second)
	require.Empty(t, adapter)
}

func loadUsing(server string, adapters ...string) map[string]pick.Load {
	return map[string]pick.Load{server: {Running: len(adapters), Adapters: adapters}}
}

// After a change of demand one plan contains loads for several servers. Each must count against
// the load limit before the next one is planned. If the limit is only read, all of them begin at
// once, one for each server.
func TestPlanRespectsLoadLimit(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	engine := &routes.Engine{WeightMemoryMB: 10, AdapterSlots: 2, StoreLoadsPerSecond: 0.4, Models: make(map[string]routes.Model)}
	var entries []backs.Entry
	for _, name := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		engine.Models[name] = routes.Model{Name: name, SizeMB: 10, LoadTime: time.Second}
		entries = append(entries, backs.Entry{ID: "at-" + name, Service: "s"})
	}
	c.Servers.Replace(now, entries)
	c.syncServers(now, "s")
	for _, s := range c.servers {
		s.ApplyReport(now, now, Report{})
	}
	c.placeModels(context.Background(), now.Add(startupListingTime), routes.Service{Name: "s", Engine: engine})
	for range 2 {
		<-orders
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Len(t, c.loadLimiters["s"].starts, 2)
}

// The controller's VM is slow, and its orders reach the servers half a second after the decision.
// If the loads counted from the decision, more of them would begin in a window than the weight
// store has capacity for.
func TestSlowVMRespectsLoadLimit(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	c.Now = func() time.Time { return now }
	var calls []func()
	c.Spawn = func(call func()) { calls = append(calls, call) }
	send := c.ServerCalls.Send
	c.ServerCalls.Send = func(ctx context.Context, e backs.Entry, o Order) (OrderResult, backs.Notice, error) {
		now = now.Add(500 * time.Millisecond)
		return send(ctx, e, o)
	}
	engine := &routes.Engine{WeightMemoryMB: 10, AdapterSlots: 2, StoreLoadsPerSecond: 0.2, Models: make(map[string]routes.Model)}
	var entries []backs.Entry
	for _, name := range []string{"m1", "m2", "m3"} {
		engine.Models[name] = routes.Model{Name: name, SizeMB: 10, LoadTime: time.Second}
		entries = append(entries, backs.Entry{ID: "at-" + name, Service: "s"})
	}
	c.Servers.Replace(now, entries)
	c.syncServers(now, "s")
	for _, s := range c.servers {
		s.ApplyReport(now, now, Report{})
	}
	placeAt := func(at time.Time) int {
		now = at
		c.placeModels(t.Context(), at, routes.Service{Name: "s", Engine: engine})
		for _, call := range calls {
			call()
		}
		calls = nil
		return len(orders)
	}
	first := now.Add(startupListingTime)
	require.Equal(t, 1, placeAt(first))
	require.Equal(t, 1, placeAt(first.Add(defaultWindow)), "the server accepted the first order half a second later")
	require.Equal(t, 2, placeAt(first.Add(defaultWindow+500*time.Millisecond)))
}

// At the start of a deployment the controller receives the entry of one server, which holds two
// replicas' worth of a busy model; the others follow within two seconds. Treating this server as
// the whole fleet, the controller unloaded the busy model to load the models of the unlisted
// servers. It must wait for their entries, except for models that callers request.
func TestPlacementWaitsForUnlistedServers(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	table := c.Table()
	service, _ := table.Service("s")
	placeAt := func(now time.Time) {
		c.syncServers(now, "s")
		c.servers["a"].ApplyReport(now, now, Report{Models: []backs.LoadedModel{{Model: "m1"}}})
		c.placeModels(t.Context(), now, service)
	}
	now := c.Now()
	placeAt(now)
	placeAt(now.Add(startupListingTime - time.Millisecond))
	require.Empty(t, c.orderInFlight)
	c.RecordVMReport(now, "vm", nil, []ModelDemand{{Service: "s", Model: "m2", Requests: 1, ServerTime: time.Millisecond}})
	placeAt(now.Add(time.Second))
	require.Equal(t, "m2", (<-orders).Model)

	c, orders = testController(func(time.Time) (int, bool) { return 5, true })
	placeAt(now)
	placeAt(now.Add(startupListingTime))
	require.Equal(t, "m2", (<-orders).Model, "no listed server has the model")
}

// A restarted server has loaded one model and is about to load a second one, during which it
// accepts no other order for six seconds. Requests for adapters of the first model that no server
// has were refused until the load had ended. The adapters must be loaded first, one after the other
// in the same step, as many as there are slots for.
func TestRequestedAdaptersLoadBeforeNextModel(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	var calls []func()
	c.Spawn = func(call func()) { calls = append(calls, call) }
	c.Step(t.Context(), c.Now())
	now := c.Now().Add(time.Second)
	c.servers["a"].ApplyReport(now, now, Report{Models: []backs.LoadedModel{{Model: "m1"}}, Sequence: 7})
	var demands []ModelDemand
	for _, adapter := range []string{"a1", "a2", "a3"} {
		demands = append(demands, ModelDemand{Service: "s", Model: "m1", Adapter: adapter, Requests: 1, ServerTime: time.Millisecond})
	}
	c.RecordVMReport(now, "vm", nil, append(demands, ModelDemand{Service: "s", Model: "m2", Requests: 1, ServerTime: time.Millisecond}))
	var got []string
	for range 2 {
		calls = nil
		c.Step(t.Context(), now)
		for _, call := range calls {
			call()
		}
		for len(orders) > 0 {
			o := <-orders
			got = append(got, o.Model+"/"+o.Adapter)
		}
	}
	require.Equal(t, []string{"m1/a1", "m1/a2", "m2/"}, got)
}

// Three adapter orders are sent one after the other, and the second one fails: the server refuses
// it or its response is lost, a report shows a delayed order that has taken the last slot, or this
// VM paused and its lease expired. The third order is then based on an outdated state. It would
// exceed the server's adapter slots and crash it, or come from a VM that has lost the lease, so it
// must not be sent.
func TestSerialOrdersStopAtFirstFailure(t *testing.T) {
	tests := map[string]struct {
		result  OrderResult
		between func(c *Controller, leading *bool)
		want    []int
	}{
		"all accepted":  {Accepted, nil, []int{3, 4, 5}},
		"conflict":      {Conflict, nil, []int{3, 4}},
		"no response":   {Unknown, nil, []int{3, 4}},
		"refused":       {Refused, nil, []int{3, 4}},
		"lease ended":   {Accepted, func(_ *Controller, leading *bool) { *leading = false }, []int{3, 4}},
		"late order":    {Accepted, fillAdapterSlots, []int{3, 4}},
		"model removed": {Accepted, func(c *Controller, _ *bool) { c.servers["a"].removeModel(c.Now(), "m1") }, []int{3, 4}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			leading := true
			c, orders := testController(func(time.Time) (int, bool) { return 5, leading })
			sent := 0
			c.ServerCalls.Send = func(_ context.Context, _ backs.Entry, o Order) (OrderResult, backs.Notice, error) {
				orders <- o
				if sent++; sent != 2 {
					return Accepted, backs.Notice{}, nil
				}
				if tc.between != nil {
					tc.between(c, &leading)
				}
				return tc.result, backs.Notice{}, nil
			}
			var sendAll func()
			c.Spawn = func(call func()) { sendAll = call }
			now := c.Now()
			c.syncServers(now, "s")
			s := c.servers["a"]
			s.ApplyReport(now, now, Report{Models: []backs.LoadedModel{{Model: "m1"}}, Sequence: 3})
			service, _ := c.Table().Service("s")
			service.Engine.AdapterSlots = 4
			c.mu.Lock()
			c.sendSerially(t.Context(), s, service, []Order{{Model: "m1", Adapter: "a1"}, {Model: "m1", Adapter: "a2"}, {Model: "m1", Adapter: "a3"}})
			c.mu.Unlock()
			sendAll()
			var sequences []int
			for len(orders) > 0 {
				sequences = append(sequences, (<-orders).ExpectedSequence)
			}
			require.Equal(t, tc.want, sequences)
			require.False(t, c.orderInFlight["a"])
		})
	}
}

// fillAdapterSlots adds two adapters that another order has loaded at the server.
func fillAdapterSlots(c *Controller, _ *bool) {
	c.servers["a"].addModel(c.Now(), backs.LoadedModel{Model: "m1", Adapters: []string{"a8", "a9"}})
}

// The only server with an adapter crashes, and its entry stays listed for some seconds. Requests
// for the adapter were refused until the entry expired, although another server with the model had
// a free slot, as the adapter counted as present. The other server must load it, ahead of requests
// and for a waiting request.
func TestCrashedServersAdaptersLoadElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]func(c *Controller, s routes.Service) error{
		"before a request": func(c *Controller, s routes.Service) error {
			c.placeRequestedAdapters(t.Context(), now, s)
			return nil
		},
		"for a request": func(c *Controller, s routes.Service) error {
			_, err := c.TryFind(t.Context(), now, s, backs.Need{Service: s.Name, Model: "m1", Adapter: "a1"})
			return err
		},
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			c, orders := testController(func(time.Time) (int, bool) { return 5, true })
			c.Servers.Replace(now, []backs.Entry{
				{ID: "a", Service: "s", Models: []backs.LoadedModel{{Model: "m1", Adapters: []string{"a1"}}}},
				{ID: "b", Service: "s", Models: []backs.LoadedModel{{Model: "m1"}}},
			})
			c.syncServers(now, "s")
			c.servers["a"].ApplyReport(now, now, Report{Models: []backs.LoadedModel{{Model: "m1", Adapters: []string{"a1"}}}})
			c.servers["b"].ApplyReport(now, now, Report{Models: []backs.LoadedModel{{Model: "m1"}}})
			for range unreachableThreshold {
				c.servers["a"].ReportFailed()
			}
			c.RecordVMReport(now, "vm", nil, []ModelDemand{{Service: "s", Model: "m1", Adapter: "a1", Requests: 1, ServerTime: time.Millisecond}})
			service, _ := c.Table().Service("s")
			require.NoError(t, request(c, service))
			select {
			case o := <-orders:
				require.Equal(t, "m1/a1", o.Model+"/"+o.Adapter)
			case <-time.After(10 * time.Second):
				require.Fail(t, "no order for the adapter")
			}
		})
	}
}

// Each VM of a large fleet made a placement step ten times a second, although only the holder of the lease
// places models, and copied the list of all servers each time. A VM without the lease steps rarely, and at
// once when it acquires the lease.
func TestVMWithoutLeaseStepsRarely(t *testing.T) {
	// The metrics library starts a goroutine with the first timer, which never ends. It must not belong
	// to the bubble.
	meter.New().RecordDuration("first", 0)
	synctest.Test(t, func(t *testing.T) {
		var held atomic.Bool
		c, _ := testController(func(time.Time) (int, bool) { return 5, held.Load() })
		c.Now = time.Now
		var steps atomic.Int64
		c.Table = func() *routes.Table {
			steps.Add(1)
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		time.Sleep(3*idleStepInterval + time.Millisecond)
		require.LessOrEqual(t, steps.Load(), int64(4))
		steps.Store(0)
		held.Store(true)
		c.Wake()
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, steps.Load(), int64(5))
		cancel()
	})
}
