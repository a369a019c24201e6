package steer

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// restartRun is a fleet with one backend server, without network, in simulated time.
type restartRun struct {
	now, start time.Time
	table      *routes.Table
	// running is the instance that answers, nil while the server is down. sequence is its number of orders.
	running  *backs.Entry
	sequence int
	models   []backs.LoadedModel
	// loseNext makes the next order get no response.
	loseNext bool
	// vms are the controllers, each with its own view; leader may send orders, since previousEnd.
	vms         []*Controller
	leader      *Controller
	token       int
	previousEnd time.Time
	firstTerm   bool
	// calls are the calls to servers that a step has begun.
	calls []func()
	// orders are the times of the answered orders by instance.
	orders map[string][]time.Time
}

func newRestartRun() *restartRun {
	engine := &routes.Engine{WeightMemoryMB: 20, AdapterSlots: 2, StoreLoadsPerSecond: 1, Models: map[string]routes.Model{
		"m1": {Name: "m1", SizeMB: 10, AdapterCount: 3}, "m2": {Name: "m2", SizeMB: 10},
	}}
	start := time.Unix(1000, 0)
	return &restartRun{
		now: start, start: start, orders: make(map[string][]time.Time), firstTerm: true,
		table: routes.NewTable(1, nil, []routes.Service{{Name: "s", Engine: engine}}, routes.Limits{}),
	}
}

func (r *restartRun) at(s float64) time.Time {
	return r.start.Add(time.Duration(s * float64(time.Second)))
}

// addVM adds a VM that has just started, whose view has the server that runs.
func (r *restartRun) addVM() *Controller {
	view := &backs.View{}
	c := &Controller{
		Name: "vm", Servers: view, Table: func() *routes.Table { return r.table }, Now: func() time.Time { return r.now }, Log: zerolog.Nop(),
		Meter: meter.New(), Spawn: func(call func()) { r.calls = append(r.calls, call) }, ServerCalls: ServerCalls{Send: r.send, Report: r.report},
		PredecessorEnd: func() time.Time { return r.previousEnd }, FirstTerm: func() bool { return r.firstTerm },
	}
	c.FencingToken = func(time.Time) (int, bool) { return r.token, r.leader == c }
	var entries []backs.Entry
	if r.running != nil {
		entries = append(entries, *r.running)
	}
	view.Replace(r.now, entries)
	r.vms = append(r.vms, c)
	return c
}

func (r *restartRun) lead(c *Controller) { r.leader, r.token = c, r.token+1 }

// takeOver makes a VM the controller a second after the orders of the one before have ended.
func (r *restartRun) takeOver(c *Controller) {
	r.previousEnd, r.firstTerm = r.now.Add(-time.Second), false
	r.lead(c)
}

// boot starts an instance of the server, which registers if listed is set.
func (r *restartRun) boot(name string, listed bool, models ...backs.LoadedModel) {
	r.running = &backs.Entry{ID: backs.InstanceID(name, r.now), Name: name, StartedAt: r.now, Service: "s", Models: models}
	r.sequence, r.models = 0, models
	if listed {
		r.list()
	}
}

func (r *restartRun) list() {
	for _, c := range r.vms {
		c.Servers.Put(r.now, *r.running)
	}
}

func (r *restartRun) remove(name string) {
	for _, c := range r.vms {
		c.Servers.Remove(r.now, name)
	}
}

func (r *restartRun) send(_ context.Context, e backs.Entry, o Order) (OrderResult, backs.Notice, error) {
	if r.loseNext {
		r.loseNext = false
		return Unknown, backs.Notice{}, errors.New("no response")
	}
	if r.running == nil {
		return Unknown, backs.Notice{}, errors.New("no connection")
	}
	if r.running.PlatformName() != e.PlatformName() {
		return Refused, backs.Notice{}, errors.New("another server")
	}
	if o.ExpectedSequence != r.sequence {
		return Conflict, backs.Notice{}, errors.New("another sequence")
	}
	r.sequence++
	r.orders[r.running.ID] = append(r.orders[r.running.ID], r.now)
	if o.Adapter == "" {
		r.models = append(r.models, backs.LoadedModel{Model: o.Model})
	}
	return Accepted, backs.Notice{}, nil
}

func (r *restartRun) report(context.Context, backs.Entry) (Report, error) {
	if r.running == nil {
		return Report{}, errors.New("no connection")
	}
	return Report{StartedAt: r.running.StartedAt, Models: r.models, Sequence: r.sequence}, nil
}

// order has the controller order an adapter of the server that runs.
func (r *restartRun) order(lost bool) {
	r.loseNext = lost
	c := r.leader
	c.mu.Lock()
	s := c.servers[r.running.ID]
	c.mu.Unlock()
	c.send(context.Background(), s, Order{Model: "m1", Adapter: "a1", ExpectedSequence: r.sequence}, adapterLoadTime)
}

// run plays the events at their times, in seconds, and steps all VMs until the end. Callers ask for both models.
func (r *restartRun) run(ctx context.Context, until float64, events map[float64]func(r *restartRun)) {
	for tenth := 0; float64(tenth)/10 <= until; tenth++ {
		r.now = r.at(float64(tenth) / 10)
		if event := events[float64(tenth)/10]; event != nil {
			event(r)
		}
		for _, c := range r.vms {
			c.RecordVMReport(r.now, "vm", map[string]pick.Load{}, []ModelDemand{
				{Service: "s", Model: "m1", Requests: 1, ServerTime: time.Millisecond}, {Service: "s", Model: "m2", Requests: 1, ServerTime: time.Millisecond},
			})
			c.Step(ctx, r.now)
			for len(r.calls) > 0 {
				call := r.calls[0]
				r.calls = r.calls[1:]
				call()
			}
		}
	}
}

// Guards against an unanswered order that is carried out in addition to others by a server that has started again
// under its name, which then holds more than it can and crashes. An order is carried out up to 12 s late.
func TestNoOrdersAfterRestartWhileOneMayBeLate(t *testing.T) {
	type events = map[float64]func(r *restartRun)
	// The orders of the first VM go to the server "a", which has both models.
	lose := func(r *restartRun) { r.order(true) }
	accept := func(r *restartRun) { r.order(false) }
	crash := func(r *restartRun) { r.running = nil }
	removed := func(r *restartRun) { r.remove("a") }
	back := func(r *restartRun) { r.boot("a", true) }
	unled := func(r *restartRun) {
		r.boot("a", true)
		r.leader = nil
	}
	other := func(r *restartRun) { r.takeOver(r.vms[1]) }
	started := func(r *restartRun) { r.takeOver(r.addVM()) }
	lost := func(more events) events {
		more[31] = lose
		return more
	}
	tests := map[string]struct {
		events events
		// first and last bound the time of the first order to the server that runs last.
		first, last float64
	}{
		"listed again before its entry is removed": {lost(events{31.3: crash, 33.3: back}), 46, 48},
		"entry removed before":                     {lost(events{31.3: crash, 34.5: removed, 35.8: back}), 46, 48},
		"down for 9 s":                             {lost(events{31.3: crash, 34.5: removed, 40.3: back}), 46, 48},
		"down for 20 s":                            {lost(events{31.3: crash, 34.5: removed, 51.3: back}), 51.3, 53},
		"a report shows the end first": {lost(events{
			31.3: crash, 33.3: func(r *restartRun) { r.boot("a", false) }, 34.5: (*restartRun).list,
		}), 46, 48},
		"marked as ended before the crash is seen": {lost(events{
			31.3: crash, 31.5: func(r *restartRun) { r.leader.Servers.MarkEnded(r.now, backs.InstanceID("a", r.start)) }, 32.5: back,
		}), 46, 48},
		"an order was accepted after it":                {lost(events{32: accept, 32.3: crash, 35.5: removed, 36.8: back}), 46, 48},
		"comes back twice":                              {lost(events{31.3: crash, 34.5: removed, 35.8: back, 37: crash, 40: removed, 41: back}), 46, 48},
		"comes back twice, listed all along":            {lost(events{31.3: crash, 33.3: back, 35: crash, 37: back}), 46, 48},
		"another name":                                  {lost(events{31.3: crash, 34.5: removed, 35.8: func(r *restartRun) { r.boot("b", true) }}), 35.8, 38},
		"no order was lost":                             {events{31.3: crash, 34.5: removed, 35.8: back}, 35.8, 38},
		"all answered, listed before its entry removed": {events{31.3: crash, 33.3: back}, 33.3, 35},

		"another controller before the crash":     {lost(events{32: other, 33: crash, 36: removed, 37.5: back}), 46, 48},
		"another controller before it is removed": {lost(events{31.3: crash, 33: other, 34.5: removed, 35.8: back}), 46, 50},
		"another controller after it is removed":  {lost(events{31.3: crash, 34.5: removed, 35: other, 35.8: back}), 46, 51},
		"another controller after it is back":     {lost(events{31.3: crash, 34.5: removed, 35.8: back, 37: other}), 46, 54},
		"another controller, under another name": {lost(events{
			31.3: crash, 33: other, 34.5: removed, 35.8: func(r *restartRun) { r.boot("b", true) },
		}), 35.8, 38},
		"another controller long after it is back": {events{31.3: crash, 34.5: removed, 35.8: unled, 60: other}, 60, 62},

		"a VM that has just started, before the crash":          {lost(events{32: started, 33: crash, 36: removed, 37.5: back}), 46, 48},
		"a VM that has just started, after the entry's removal": {lost(events{31.3: crash, 34.5: removed, 35: started, 35.8: back}), 46, 51},
		"a VM that has just started, after it is back":          {lost(events{31.3: crash, 34.5: removed, 35.8: back, 36.5: started}), 46, 52},
		"a VM that has just started, long after it is back":     {events{31.3: crash, 34.5: removed, 35.8: unled, 60: started}, 60, 62},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRestartRun()
			r.boot("a", false, backs.LoadedModel{Model: "m1"}, backs.LoadedModel{Model: "m2"})
			first := r.addVM()
			r.addVM()
			r.lead(first)
			r.run(t.Context(), 70, tc.events)
			require.Greater(t, r.running.StartedAt, r.start)
			orders := r.orders[r.running.ID]
			require.NotEmpty(t, orders)
			got := orders[0].Sub(r.start).Seconds()
			require.GreaterOrEqual(t, got, tc.first, "an order that is carried out late adds to this one")
			require.LessOrEqual(t, got, tc.last, "the server stays without models")
		})
	}
}

// Guards against servers that wait for orders of a controller that there never was: all servers have just started, and
// the VMs too, as a deployment starts for the first time.
func TestFirstTermDoesNotWaitForLateOrders(t *testing.T) {
	r := newRestartRun()
	r.boot("a", false)
	// The lease gives the time of its acquisition if there was no holder before.
	r.previousEnd = r.now
	r.lead(r.addVM())
	r.run(t.Context(), 5, nil)
	require.NotEmpty(t, r.orders[r.running.ID])
	require.LessOrEqual(t, r.orders[r.running.ID][0].Sub(r.start), startupListingTime+time.Second)
}

// Guards against an entry that was removed for a while, as the store was down, hiding an unanswered order, and against a
// server that is the same as before waiting for it. Only its sequence tells where no start time is reported.
func TestListedAgainUnderSameID(t *testing.T) {
	both := []backs.LoadedModel{{Model: "m1"}, {Model: "m2"}}
	tests := map[string]struct {
		back func(r *restartRun)
		// first and last bound the time of the first order after the entry is back.
		first, last float64
	}{
		"the same process": {func(r *restartRun) { r.models = both[:1] }, 36, 38},
		"started again":    {func(r *restartRun) { r.sequence, r.models = 0, nil }, 46, 48},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRestartRun()
			r.running, r.models = &backs.Entry{ID: "a", Service: "s", Models: both}, both
			r.lead(r.addVM())
			r.run(t.Context(), 60, map[float64]func(r *restartRun){
				30: func(r *restartRun) { r.order(false) }, 31: func(r *restartRun) { r.order(true) }, 34.5: func(r *restartRun) { r.remove("a") },
				36: func(r *restartRun) {
					tc.back(r)
					r.running.Models = r.models
					r.list()
				},
			})
			orders := slices.DeleteFunc(r.orders["a"], func(at time.Time) bool { return at.Before(r.at(34.5)) })
			require.NotEmpty(t, orders)
			got := orders[0].Sub(r.start).Seconds()
			require.GreaterOrEqual(t, got, tc.first)
			require.LessOrEqual(t, got, tc.last)
		})
	}
}
