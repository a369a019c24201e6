package steer

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// testController returns a controller of one service "s" with a model "m1" at
// server "a", which sends its orders to the channel.
func testController(fence func(time.Time) (int, bool)) (*Controller, chan Order) {
	now := time.Unix(1000, 0)
	view := &backs.View{}
	view.Replace(now, []backs.Entry{{ID: "a", Service: "s", Models: []backs.Held{{Model: "m1"}}}})
	engine := &routes.Engine{WeightMemoryMB: 20, AdapterSlots: 2, StoreLoadsPerSecond: 1, Models: map[string]routes.Model{
		"m1": {Name: "m1", SizeMB: 10, AdapterCount: 3}, "m2": {Name: "m2", SizeMB: 10},
	}}
	table := routes.NewTable(1, nil, []routes.Service{{Name: "s", Engine: engine}}, routes.Limits{})
	orders := make(chan Order, 16)
	return &Controller{
		Name: "vm", Servers: view, Table: func() *routes.Table { return table }, Fence: fence,
		Now: func() time.Time { return now }, Log: zerolog.Nop(), Meter: meter.New(),
		Commands: Commands{
			Send: func(_ context.Context, _ backs.Entry, o Order) (Verdict, error) {
				orders <- o
				return Accepted, nil
			},
			Report: func(context.Context, backs.Entry) (Report, error) {
				return Report{Models: []backs.Held{{Model: "m1"}}, Sequence: 7}, nil
			},
		},
	}, orders
}

// The controller decides to load a model, as there is room. Before the order
// goes out, a report comes in: an older order was carried out late, the room is
// taken, the sequence is one higher. An order with the new sequence would be
// taken and crash the server. It must carry the sequence that the decision was
// made on, which the server refuses.
func TestOrderCarriesTheSequenceOfItsDecision(t *testing.T) {
	var c *Controller
	begun := make(chan struct{})
	c, orders := testController(func(time.Time) (int, bool) {
		<-begun
		return 5, true
	})
	now := c.Now()
	c.sync(now, "s")
	s := c.servers["a"]
	s.Reported(now, now, Report{Models: []backs.Held{{Model: "m1"}}, Sequence: 7})
	c.mu.Lock()
	c.start(context.Background(), s, Order{Model: "m2"}, time.Second)
	s.Reported(now, now, Report{Models: []backs.Held{{Model: "m1"}, {Model: "m3"}}, Sequence: 8})
	c.mu.Unlock()
	close(begun)
	require.Equal(t, 7, (<-orders).Expect)
}

// An adapter that requests use is chosen to make way: the server takes no
// further order until they end, and every adapter asked for meanwhile waits.
func TestAdaptersInUseDoNotMakeWay(t *testing.T) {
	c, _ := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	c.sync(now, "s")
	s := c.servers["a"]
	s.Reported(now, now, Report{Models: []backs.Held{{Model: "m1", Adapters: []string{"a1", "a2"}}}, Sequence: 0})
	c.Report(now, "vm", loadUsing("a", "m1/a1"), nil)
	later := now.Add(time.Minute)
	model, adapter := c.idlest(later, s, "s", time.Second)
	require.Equal(t, "m1/a2", model+"/"+adapter)
	c.Report(now, "vm", loadUsing("a", "m1/a1", "m1/a2"), nil)
	_, adapter = c.idlest(later, s, "s", time.Second)
	require.Empty(t, adapter)
}

func loadUsing(server string, adapters ...string) map[string]pick.Load {
	return map[string]pick.Load{server: {Running: len(adapters), Adapters: adapters}}
}

// After a change of demand one look at the placement decides on several loads
// for as many servers. Each of them must count against the weight store's bound
// before the next is decided: if the bound is only looked at, all of them begin
// at once, as many as there are servers.
func TestOnePlanKeepsTheBoundOnLoads(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	engine := &routes.Engine{WeightMemoryMB: 10, AdapterSlots: 2, StoreLoadsPerSecond: 0.4, Models: make(map[string]routes.Model)}
	var entries []backs.Entry
	for _, name := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		engine.Models[name] = routes.Model{Name: name, SizeMB: 10, LoadTime: time.Second}
		entries = append(entries, backs.Entry{ID: "at-" + name, Service: "s"})
	}
	c.Servers.Replace(now, entries)
	c.sync(now, "s")
	for _, s := range c.servers {
		s.Reported(now, now, Report{})
	}
	c.placeModels(context.Background(), now.Add(listFills), routes.Service{Name: "s", Engine: engine})
	for range 2 {
		<-orders
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Len(t, c.ceilings["s"].begun, 2)
}

// The VM that steers is slow, and its orders reach the servers half a second after it
// decided on them; counted from the decision, more loads begin in a window than the weight
// store bears.
func TestOrdersOfASlowVMExceedTheBoundOnLoads(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	c.Now = func() time.Time { return now }
	var calls []func()
	c.Spawn = func(call func()) { calls = append(calls, call) }
	send := c.Commands.Send
	c.Commands.Send = func(ctx context.Context, e backs.Entry, o Order) (Verdict, error) {
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
	c.sync(now, "s")
	for _, s := range c.servers {
		s.Reported(now, now, Report{})
	}
	look := func(at time.Time) int {
		now = at
		c.placeModels(t.Context(), at, routes.Service{Name: "s", Engine: engine})
		for _, call := range calls {
			call()
		}
		calls = nil
		return len(orders)
	}
	first := now.Add(listFills)
	require.Equal(t, 1, look(first))
	require.Equal(t, 1, look(first.Add(defaultWindow)), "the first began half a second later")
	require.Equal(t, 2, look(first.Add(defaultWindow+500*time.Millisecond)))
}

// A deployment starts: the VM that steers sees one server's entry, with two copies'
// worth of a busy model, and the others follow within two seconds. Taken for the whole
// fleet, it had its busy model unloaded to make room for the models of the servers
// that were not listed yet. They are waited for; what callers ask for is loaded at once.
func TestModelsOfServersNotListedYetAreWaitedFor(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	table := c.Table()
	service, _ := table.Service("s")
	look := func(now time.Time) {
		c.sync(now, "s")
		c.servers["a"].Reported(now, now, Report{Models: []backs.Held{{Model: "m1"}}})
		c.placeModels(t.Context(), now, service)
	}
	now := c.Now()
	look(now)
	look(now.Add(listFills - time.Millisecond))
	require.Empty(t, c.busy)
	c.Report(now, "vm", nil, []Want{{Service: "s", Model: "m2", Requests: 1, Time: time.Millisecond}})
	look(now.Add(time.Second))
	require.Equal(t, "m2", (<-orders).Model)

	c, orders = testController(func(time.Time) (int, bool) { return 5, true })
	look(now)
	look(now.Add(listFills))
	require.Equal(t, "m2", (<-orders).Model, "a model that no server has turned out to hold")
}

// A server has come back with one model and is about to load a second one, for six seconds
// in which it takes no other order. Callers ask for adapters of the first model that are
// nowhere: they were refused until the load had ended. The adapters go first, one after the
// other in the same look, as many as there are places for.
func TestAdaptersThatAreAskedForGoBeforeTheNextModel(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	var calls []func()
	c.Spawn = func(call func()) { calls = append(calls, call) }
	c.Step(t.Context(), c.Now())
	now := c.Now().Add(time.Second)
	c.servers["a"].Reported(now, now, Report{Models: []backs.Held{{Model: "m1"}}, Sequence: 7})
	var wants []Want
	for _, adapter := range []string{"a1", "a2", "a3"} {
		wants = append(wants, Want{Service: "s", Model: "m1", Adapter: adapter, Requests: 1, Time: time.Millisecond})
	}
	c.Report(now, "vm", nil, append(wants, Want{Service: "s", Model: "m2", Requests: 1, Time: time.Millisecond}))
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

// Three adapters are to be loaded one after the other, and something happens at the second: the
// server refuses it or its answer is lost, a report shows a late order that has taken the last
// place, or this VM stood still and its lease has ended. What was decided on before does not
// hold any more: sent all the same, the third order exceeds the server's places and it
// crashes, or it is the order of a VM that another one has succeeded. No further one is sent.
func TestOrdersInTurnEndWithTheFirstThatIsNotTaken(t *testing.T) {
	tests := map[string]struct {
		verdict Verdict
		between func(c *Controller, leads *bool)
		want    []int
	}{
		"all taken":     {Accepted, nil, []int{3, 4, 5}},
		"conflict":      {Conflict, nil, []int{3, 4}},
		"answer lost":   {Unknown, nil, []int{3, 4}},
		"refused":       {Refused, nil, []int{3, 4}},
		"lease ended":   {Accepted, func(_ *Controller, leads *bool) { *leads = false }, []int{3, 4}},
		"a late order":  {Accepted, takePlaces, []int{3, 4}},
		"model dropped": {Accepted, func(c *Controller, _ *bool) { c.servers["a"].drop(c.Now(), "m1") }, []int{3, 4}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			leads := true
			c, orders := testController(func(time.Time) (int, bool) { return 5, leads })
			sent := 0
			c.Commands.Send = func(_ context.Context, _ backs.Entry, o Order) (Verdict, error) {
				orders <- o
				if sent++; sent != 2 {
					return Accepted, nil
				}
				if tc.between != nil {
					tc.between(c, &leads)
				}
				return tc.verdict, nil
			}
			var turn func()
			c.Spawn = func(call func()) { turn = call }
			now := c.Now()
			c.sync(now, "s")
			s := c.servers["a"]
			s.Reported(now, now, Report{Models: []backs.Held{{Model: "m1"}}, Sequence: 3})
			service, _ := c.Table().Service("s")
			service.Engine.AdapterSlots = 4
			c.mu.Lock()
			c.startInTurn(t.Context(), s, service, []Order{{Model: "m1", Adapter: "a1"}, {Model: "m1", Adapter: "a2"}, {Model: "m1", Adapter: "a3"}})
			c.mu.Unlock()
			turn()
			var expects []int
			for len(orders) > 0 {
				expects = append(expects, (<-orders).Expect)
			}
			require.Equal(t, tc.want, expects)
			require.False(t, c.busy["a"])
		})
	}
}

// takePlaces shows two adapters more at the server, which another order has loaded.
func takePlaces(c *Controller, _ *bool) {
	c.servers["a"].add(c.Now(), backs.Held{Model: "m1", Adapters: []string{"a8", "a9"}})
}

// A server that alone holds an adapter crashes; its entry stands for some seconds more. Callers
// ask for the adapter, and another server with the model has a place: they were refused until
// the entry had lapsed, as the adapter counted as present. It is loaded at the other one, ahead
// of requests and for a request that waits.
func TestAdaptersOfCrashedServersAreLoadedElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]func(c *Controller, s routes.Service) error{
		"ahead of requests": func(c *Controller, s routes.Service) error {
			c.placeWanted(t.Context(), now, s)
			return nil
		},
		"for a request": func(c *Controller, s routes.Service) error {
			_, err := c.Look(t.Context(), now, s, "m1", "a1")
			return err
		},
	}
	for name, look := range tests {
		t.Run(name, func(t *testing.T) {
			c, orders := testController(func(time.Time) (int, bool) { return 5, true })
			c.Servers.Replace(now, []backs.Entry{
				{ID: "a", Service: "s", Models: []backs.Held{{Model: "m1", Adapters: []string{"a1"}}}},
				{ID: "b", Service: "s", Models: []backs.Held{{Model: "m1"}}},
			})
			c.sync(now, "s")
			c.servers["a"].Reported(now, now, Report{Models: []backs.Held{{Model: "m1", Adapters: []string{"a1"}}}})
			c.servers["b"].Reported(now, now, Report{Models: []backs.Held{{Model: "m1"}}})
			for range downAfter {
				c.servers["a"].Missed()
			}
			c.Report(now, "vm", nil, []Want{{Service: "s", Model: "m1", Adapter: "a1", Requests: 1, Time: time.Millisecond}})
			service, _ := c.Table().Service("s")
			require.NoError(t, look(c, service))
			select {
			case o := <-orders:
				require.Equal(t, "m1/a1", o.Model+"/"+o.Adapter)
			case <-time.After(10 * time.Second):
				require.Fail(t, "the adapter is not ordered")
			}
		})
	}
}
