package steer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// stepFor runs placement steps and the calls that they make, one after the other.
func stepFor(t *testing.T, c *Controller, now *time.Time, duration time.Duration) {
	t.Helper()
	c.Now = func() time.Time { return *now }
	for end := now.Add(duration); now.Before(end); *now = now.Add(stepInterval) {
		var calls []func()
		c.Spawn = func(call func()) { calls = append(calls, call) }
		c.Step(context.Background(), *now)
		for _, call := range calls {
			call()
		}
	}
}

// Guards against asking a server that wants rest for a report every 200 ms, sending it orders, and taking it
// for failed, which loads its models elsewhere.
func TestControllerLeavesRestingServerAlone(t *testing.T) {
	const rest = 3 * time.Second
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	restAsked, reports := false, 0
	c.ServerCalls.Report = func(context.Context, backs.Entry) (Report, error) {
		if reports++; restAsked {
			return Report{Notice: backs.Notice{Rest: rest}}, errors.New("status 503")
		}
		return Report{Models: []backs.LoadedModel{{Model: "m1"}}, Sequence: 7}, nil
	}
	stepFor(t, c, &now, 5*time.Second)
	for len(orders) > 0 {
		<-orders
	}
	restAsked, reports = true, 0
	c.RequireReports([]string{"a"})
	stepFor(t, c, &now, rest)
	require.Equal(t, 1, reports)
	require.False(t, c.servers["a"].Unreachable())
	require.Zero(t, c.servers["a"].failedReports)
	require.Empty(t, orders)
	c.servers["a"].reportRequired = false
	require.False(t, c.servers["a"].AcceptsOrders(now.Add(-stepInterval)))
	restAsked, reports = false, 0
	stepFor(t, c, &now, time.Second)
	require.Positive(t, reports, "asked again after the rest")
	require.False(t, c.servers["a"].Resting(now))
}

// Guards against sending an order that was decided on before the server asked for rest.
func TestOrderNotSentToRestingServer(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	c.syncServers(now, "s")
	c.Servers.ApplyNotice(now, "a", backs.Notice{Rest: time.Second})
	require.Equal(t, Refused, c.send(t.Context(), c.servers["a"], Order{Model: "m2"}, time.Second))
	require.Empty(t, orders)
}

// Guards against a placement that goes on with a server which has said in the response to an order or in a
// report that it leaves, and against taking the word of the next process for its own.
func TestControllerHeedsLeavingServer(t *testing.T) {
	leaving := backs.Notice{Leaving: true}
	tests := map[string]struct {
		report  Report
		order   backs.Notice
		leaving bool
	}{
		"report":                     {Report{Sequence: 7, Notice: leaving}, backs.Notice{}, true},
		"order":                      {Report{Sequence: 7}, leaving, true},
		"report of the next process": {Report{Sequence: 7, StartedAt: time.Unix(900, 0), Notice: leaving}, backs.Notice{}, false},
		"neither":                    {Report{Sequence: 7}, backs.Notice{}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, _ := testController(func(time.Time) (int, bool) { return 5, true })
			now := c.Now()
			c.ServerCalls.Report = func(context.Context, backs.Entry) (Report, error) { return tc.report, nil }
			c.ServerCalls.Send = func(context.Context, backs.Entry, Order) (OrderResult, backs.Notice, error) {
				return Accepted, tc.order, nil
			}
			stepFor(t, c, &now, time.Second)
			if s := c.servers["a"]; s != nil {
				c.send(t.Context(), s, Order{Model: "m2"}, time.Second)
			}
			require.Equal(t, tc.leaving, len(c.Servers.TakeLeaving()) == 1)
		})
	}
}

// Guards against a model that stays unreachable for as long as its only server wants rest, and against a load
// elsewhere for a rest that is over sooner.
func TestModelOfRestingServerLoadedElsewhere(t *testing.T) {
	for name, tc := range map[string]struct {
		rest  time.Duration
		loads int
	}{
		"a day": {24 * time.Hour, 1}, "three seconds": {3 * time.Second, 0}, "none": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c, orders := testController(func(time.Time) (int, bool) { return 5, true })
			now := c.Now()
			c.Servers.Replace(now, []backs.Entry{{ID: "a", Service: "s", Models: []backs.LoadedModel{{Model: "m1"}}}, {ID: "b", Service: "s", Models: []backs.LoadedModel{{Model: "m2"}}}})
			c.ServerCalls.Report = func(_ context.Context, e backs.Entry) (Report, error) {
				return Report{Models: e.Models, Sequence: 7}, nil
			}
			stepFor(t, c, &now, 6*time.Second)
			for len(orders) > 0 {
				<-orders
			}
			c.Servers.ApplyNotice(now, "a", backs.Notice{Rest: tc.rest})
			stepFor(t, c, &now, 3*time.Second)
			loads := 0
			for len(orders) > 0 {
				if o := <-orders; o.Model == "m1" && o.Adapter == "" && !o.Unload {
					loads++
				}
			}
			require.Equal(t, tc.loads, min(loads, 1))
		})
	}
}

// Guards against an adapter that no other server gets for as long as the one that has it wants rest.
func TestAdapterOfRestingServerLoadedElsewhere(t *testing.T) {
	c, orders := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	withAdapter, without := []backs.LoadedModel{{Model: "m1", Adapters: []string{"a1"}}}, []backs.LoadedModel{{Model: "m1"}, {Model: "m2"}}
	c.Servers.Replace(now, []backs.Entry{{ID: "a", Service: "s", Models: withAdapter}, {ID: "b", Service: "s", Models: without}})
	c.ServerCalls.Report = func(_ context.Context, e backs.Entry) (Report, error) {
		return Report{Models: e.Models, Sequence: 7}, nil
	}
	stepFor(t, c, &now, 6*time.Second)
	for len(orders) > 0 {
		<-orders
	}
	service, _ := c.Table().Service("s")
	id, err := c.TryFind(t.Context(), now, service, backs.Need{Service: service.Name, Model: "m1", Adapter: "a1"})
	require.NoError(t, err)
	require.Equal(t, "a", id)
	c.Servers.ApplyNotice(now, "a", backs.Notice{Rest: time.Hour})
	stepFor(t, c, &now, stepInterval)
	var calls []func()
	c.Spawn = func(call func()) { calls = append(calls, call) }
	id, err = c.TryFind(t.Context(), now, service, backs.Need{Service: service.Name, Model: "m1", Adapter: "a1"})
	require.NoError(t, err)
	require.Empty(t, id)
	for _, call := range calls {
		call()
	}
	require.NotEmpty(t, orders)
	require.Equal(t, "a1", (<-orders).Adapter)
}
