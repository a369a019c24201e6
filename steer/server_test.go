package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func entry(id string, models ...string) backs.Entry {
	e := backs.Entry{ID: id, Service: "s", Domain: "d"}
	for _, m := range models {
		e.Models = append(e.Models, backs.LoadedModel{Model: m})
	}
	return e
}

// reportedServer returns a server whose report shows models and a sequence.
func reportedServer(now time.Time, id string, sequence int, models ...string) *steer.Server {
	e := entry(id, models...)
	s := steer.NewServer(now, e)
	s.ApplyReport(now, now, steer.Report{Models: e.Models, Sequence: sequence})
	return s
}

// During a store outage a server loads a model, and its entry keeps listing the models from before.
// If the model counted as unloaded, its memory would be given to another one, and the server would
// exceed its memory and crash with all its requests. Only a report may free memory.
func TestStaleEntryFreesNoMemory(t *testing.T) {
	s := reportedServer(at(0), "a", 0, "m1")
	load := steer.Order{Model: "m2"}
	s.ApplyResult(at(1), at(1), &routes.Engine{}, load, steer.Accepted, time.Second)
	s.ApplyReport(at(3), at(3), steer.Report{Models: entry("", "m1", "m2").Models, Sequence: 1})
	require.True(t, s.Serves(at(3), "m2", ""))
	s.ApplyEntry(at(9), at(9), entry("a", "m1"))
	require.True(t, s.Serves(at(9), "m2", ""), "an entry removed a model that a report showed")
	s.ApplyReport(at(10), at(10), steer.Report{Models: entry("", "m1").Models, Sequence: 1})
	require.False(t, s.Serves(at(10), "m2", ""))
}

// An order gets no response and is executed seconds later. If the next order were sent with the old
// sequence and assumed contents, both could load and exceed the server's memory. No order may be
// sent until a report requested after the lost response shows the sequence; the next accepted order
// then invalidates the delayed one.
func TestUnansweredOrderBlocksOrders(t *testing.T) {
	s := reportedServer(at(0), "a", 3, "m1")
	require.True(t, s.AcceptsOrders(at(0)))
	s.ApplyResult(at(1), at(0.6), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Unknown, time.Second)
	require.False(t, s.AcceptsOrders(at(1)))
	s.ApplyReport(at(1.2), at(1.1), steer.Report{Models: entry("", "m1").Models, Sequence: 3})
	require.False(t, s.AcceptsOrders(at(1.2)), "the report may be older than the order")
	s.ApplyReport(at(1.8), at(1.7), steer.Report{Models: entry("", "m1").Models, Sequence: 4})
	require.True(t, s.AcceptsOrders(at(1.8)))
	require.Equal(t, 4, s.Sequence())
}

// A new controller requests a report from a server that is executing a load of the previous
// controller. The report does not list the loading model, and the sequence stays the same when the
// load ends. The server would accept an order based on that report and crash. No order may be sent
// while a report shows one in progress.
func TestBusyServerGetsNoOrders(t *testing.T) {
	s := steer.NewServer(at(0), entry("a", "m1"))
	s.ApplyReport(at(1), at(1), steer.Report{Models: entry("", "m1").Models, Sequence: 6, Busy: true})
	require.False(t, s.AcceptsOrders(at(1)))
	s.ApplyReport(at(3), at(3), steer.Report{Models: entry("", "m1", "m2").Models, Sequence: 6})
	require.True(t, s.AcceptsOrders(at(3)))
	require.True(t, s.Serves(at(3), "m2", ""))
}

// A report has the current sequence but older models: it counts an order whose model is missing,
// and the server seems idle. If it were applied, the memory of the loading model would be given to
// another one.
func TestReportWithStaleModels(t *testing.T) {
	s := reportedServer(at(0), "a", 0, "m1")
	s.ApplyResult(at(1), at(1), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Accepted, 300*time.Millisecond)
	s.ApplyReport(at(1.2), at(1.15), steer.Report{Models: entry("", "m1").Models, Sequence: 1})
	require.False(t, s.AcceptsOrders(at(1.2)))
	// A delayed order of another VM was executed, so one more report is needed.
	s = reportedServer(at(0), "a", 0, "m1")
	s.ApplyReport(at(2), at(2), steer.Report{Models: entry("", "m1").Models, Sequence: 1})
	require.False(t, s.AcceptsOrders(at(2)))
	s.ApplyReport(at(2.6), at(2.6), steer.Report{Models: entry("", "m1", "m2").Models, Sequence: 1})
	require.True(t, s.AcceptsOrders(at(2.6)))
	require.True(t, s.Serves(at(2.6), "m2", ""))
}

// If a report from before the last order were applied, it would remove the order's model or
// adapter, and its memory would be used twice.
func TestReportOlderThanOrder(t *testing.T) {
	s := reportedServer(at(0), "a", 0, "m1")
	s.ApplyResult(at(1), at(1), &routes.Engine{}, steer.Order{Model: "m1", Adapter: "a1"}, steer.Accepted, 10*time.Millisecond)
	s.ApplyReport(at(1.1), at(1.05), steer.Report{Models: entry("", "m1").Models, Sequence: 0})
	require.True(t, s.Serves(at(1.1), "m1", "a1"))
	require.Equal(t, 1, s.Sequence())
}

// A server accepts the unloading of an adapter that a stream still uses. If its slot were reused at
// once, the orders would exceed the server's slots, and it would crash with all its streams. The
// slot is free when a report shows that the adapter is unloaded.
func TestUnloadingAdapterKeepsSlot(t *testing.T) {
	s := reportedServer(at(0), "a", 0, "m1")
	s.ApplyResult(at(1), at(1), &routes.Engine{}, steer.Order{Model: "m1", Adapter: "a1"}, steer.Accepted, time.Millisecond)
	require.Equal(t, 1, s.UsedAdapterSlots())
	s.ApplyResult(at(4), at(4), &routes.Engine{}, steer.Order{Unload: true, Model: "m1", Adapter: "a1"}, steer.Accepted, 0)
	require.Equal(t, 1, s.UsedAdapterSlots())
	require.False(t, s.Serves(at(4), "m1", "a1"))
	s.ApplyReport(at(5), at(5), steer.Report{Models: entry("", "m1").Models, Sequence: 2})
	require.Zero(t, s.UsedAdapterSlots())
}

func TestUnloadingModelIsNotServable(t *testing.T) {
	s := reportedServer(at(0), "a", 0, "m1", "m2")
	s.ApplyResult(at(1), at(1), &routes.Engine{}, steer.Order{Unload: true, Model: "m1"}, steer.Accepted, 0)
	require.Equal(t, []backs.LoadedModel{{Model: "m2"}}, s.ServableModels(at(1)))
	require.False(t, s.AcceptsOrders(at(1)))
	s.ApplyReport(at(2), at(2), steer.Report{Models: entry("", "m2").Models, Sequence: 1})
	require.True(t, s.AcceptsOrders(at(2)))
}

func TestOrderResults(t *testing.T) {
	tests := map[string]struct {
		order         steer.Order
		result        steer.OrderResult
		sequence      int
		acceptsOrders bool
	}{
		"adapter accepted": {steer.Order{Model: "m1", Adapter: "a1"}, steer.Accepted, 1, true},
		"adapter unloaded": {steer.Order{Unload: true, Model: "m1", Adapter: "a1"}, steer.Done, 1, true},
		"model accepted":   {steer.Order{Model: "m2"}, steer.Accepted, 1, false},
		"model loaded":     {steer.Order{Model: "m1"}, steer.Done, 0, true},
		"conflict":         {steer.Order{Model: "m2"}, steer.Conflict, 0, false},
		"refused":          {steer.Order{Model: "m2"}, steer.Refused, 0, false},
		"no response":      {steer.Order{Model: "m2"}, steer.Unknown, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := reportedServer(at(0), "a", 0, "m1")
			s.ApplyResult(at(1), at(1), &routes.Engine{}, tc.order, tc.result, time.Second)
			require.Equal(t, tc.sequence, s.Sequence())
			require.Equal(t, tc.acceptsOrders, s.AcceptsOrders(at(1)))
		})
	}
}

func TestLoadLimiterBoundsEveryWindow(t *testing.T) {
	limiter := steer.LoadLimiter{Window: 5 * time.Second, PerSecond: 1.1}
	started := 0
	for ms := range 20_000 {
		now := at(float64(ms) / 1000)
		if limiter.Allow(now) {
			limiter.Start(now)
			started++
		}
	}
	require.LessOrEqual(t, started, 20)
	require.GreaterOrEqual(t, started, 15)
}

// A VM acquires the lease from one that began as many loads as allowed right before it crashed. If
// the new controller also began as many at once, a window that spans both terms would contain
// twice the limit. It may begin two in the first window: even after two short terms in a row these
// stay within the three that the weight store has capacity for above the allowed rate.
func TestLoadLimiterAfterTakeover(t *testing.T) {
	limiter := steer.LoadLimiter{Window: 5 * time.Second, PerSecond: 1.4, Inherited: 9}
	limiter.BeginTerm(at(0))
	started := 0
	for ms := range 5000 {
		if now := at(float64(ms) / 1000); limiter.Allow(now) {
			limiter.Start(now)
			started++
		}
	}
	require.Equal(t, 2, started)
	require.True(t, limiter.Allow(at(5)))
}

// A VM acquires the lease and sends its first order only after the handover. The previous
// controller began its loads before that, so three of the window's five seconds have passed.
// Counted from the first order, a model with new demand right after the takeover waited five
// seconds more for its replicas.
func TestInheritedWindowStartsAtLastOrder(t *testing.T) {
	limiter := steer.LoadLimiter{Window: 5 * time.Second, PerSecond: 1.4, Inherited: 9}
	limiter.BeginTerm(at(0))
	for range 2 {
		require.True(t, limiter.Allow(at(3)))
		limiter.Start(at(3))
	}
	require.False(t, limiter.Allow(at(3)))
	require.True(t, limiter.Allow(at(5)))
}

// The servers show which loads the previous controller began: a server without a report counts, as
// does one with a load in progress and each recently added model. If all servers counted, no load
// could begin for seconds after each takeover although the weight store is idle.
func TestInheritedLoads(t *testing.T) {
	tests := map[string]struct {
		report *steer.Report
		want   int
	}{
		"no report":  {nil, 1},
		"unchanged":  {&steer.Report{Models: entry("", "m1").Models}, 0},
		"loading":    {&steer.Report{Models: entry("", "m1").Models, Busy: true}, 1},
		"new model":  {&steer.Report{Models: entry("", "m1", "m2").Models}, 1},
		"both":       {&steer.Report{Models: entry("", "m1", "m2").Models, Busy: true}, 2},
		"model gone": {&steer.Report{}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := steer.NewServer(at(0), entry("a", "m1"))
			s.BeginTerm(at(20))
			if tc.report != nil {
				s.ApplyReport(at(21), at(21), *tc.report)
			}
			require.Equal(t, tc.want, s.InheritedLoads(at(15)))
		})
	}
}

// A report requested right after the previous controller's last order can be older than that
// order. If it were applied, it would free the memory of a loading model.
func TestReportOlderThanTermEnd(t *testing.T) {
	s := steer.NewServer(at(0), entry("a", "m1"))
	s.BeginTerm(at(20))
	s.ApplyReport(at(20.2), at(20.2), steer.Report{Models: entry("", "m1").Models})
	require.True(t, s.NeedsReport())
	s.ApplyReport(at(20.6), at(20.6), steer.Report{Models: entry("", "m1").Models})
	require.False(t, s.NeedsReport())
}

// A server crashes and a new instance responds at its address, while its old entry stays listed for
// some seconds. The new instance refuses each order for the old one. Orders repeated at once would
// use up the load limit, and models in demand would wait for their replicas.
func TestRefusedOrders(t *testing.T) {
	s := reportedServer(at(0), "a", 0, "m1")
	s.ApplyResult(at(1), at(1), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Refused, time.Second)
	require.False(t, s.AcceptsOrders(at(1)))
	require.True(t, s.NeedsReport())
	limiter := steer.LoadLimiter{Window: 5 * time.Second, PerSecond: 0.2}
	require.True(t, limiter.Allow(at(0)))
	load := limiter.Start(at(0))
	require.False(t, limiter.Allow(at(1)))
	limiter.Release(load)
	require.True(t, limiter.Allow(at(1)))
}

// Several loads get no response for some seconds and are executed up to twelve seconds later,
// together and in addition to newer ones. Unless they count, more loads begin in a window than the
// weight store has capacity for. The next order that a server accepts invalidates its unanswered
// one.
func TestUnansweredLoadsCountAgainstLimit(t *testing.T) {
	s := reportedServer(at(0), "a", 0, "m1")
	s.ApplyResult(at(1), at(0.7), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Unknown, time.Second)
	require.True(t, s.HasUnansweredLoad(at(12)))
	require.False(t, s.HasUnansweredLoad(at(20)))
	s.ApplyReport(at(2), at(2), steer.Report{Models: entry("", "m1").Models})
	s.ApplyResult(at(3), at(3), &routes.Engine{}, steer.Order{Model: "m3"}, steer.Accepted, time.Second)
	require.False(t, s.HasUnansweredLoad(at(4)))
	limiter := steer.LoadLimiter{Window: 5 * time.Second, PerSecond: 1.4, Unanswered: 6}
	started := 0
	for limiter.Allow(at(1)) {
		limiter.Start(at(1))
		started++
	}
	require.Equal(t, 3, started)
}

// An order gets no response, and the server restarts with the same name. The order may still
// arrive, and the server counts orders from zero again: when it reaches the order's sequence, it
// executes the order in addition to those decided on without it and exceeds its memory. The new
// instance must get no order until the unanswered one has expired.
func TestRestartedServerWaitsForUnansweredOrder(t *testing.T) {
	previous, now := reportedServer(at(0), "a", 0, "m1"), at(4)
	previous.ApplyResult(at(1), at(0.7), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Unknown, time.Second)
	restarted := reportedServer(now, "b", 0)
	require.True(t, restarted.AcceptsOrders(now))
	restarted.BlockAfterRestart(now, previous)
	require.False(t, restarted.AcceptsOrders(now))
	require.False(t, restarted.AcceptsOrders(at(15.9)))
	require.True(t, restarted.AcceptsOrders(at(16)))

	answered := reportedServer(at(0), "c", 0)
	answered.ApplyResult(at(1), at(0.7), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Accepted, time.Second)
	restarted = reportedServer(now, "d", 0)
	restarted.BlockAfterRestart(now, answered)
	require.True(t, restarted.AcceptsOrders(now), "the previous instance has no unanswered order")
}

// During a store outage a server's entry expires, and the entry written next dates from before a
// load. The first report of the next term shows the load in progress. Then the lease expires, and
// no report is requested for some seconds. The load counted as ended after its expected time; with
// the lease regained, its memory was given to another model, and the server exceeded its memory.
// No order may be sent until a report shows the end of the load.
func TestUnknownLoadEndsWithReport(t *testing.T) {
	s := steer.NewServer(at(0), entry("a", "m1", "m2"))
	s.BeginTerm(at(0))
	s.ApplyReport(at(1), at(1), steer.Report{Models: entry("", "m1", "m2").Models, Busy: true, Sequence: 3})
	require.False(t, s.AcceptsOrders(at(60)))
	require.True(t, s.OrderDue(at(1.2)), "an order of unknown duration needs frequent reports")
	s.ApplyReport(at(61), at(61), steer.Report{Models: entry("", "m1", "m2", "m3").Models, Sequence: 3})
	require.True(t, s.AcceptsOrders(at(61)))
	require.True(t, s.Serves(at(61), "m3", ""))
}

// A server responds with 200 to the unloading of an adapter that it had already unloaded and does
// not count the order, but the controller does. The next order, with a sequence that is one too
// high, gets no response. A report corrects the sequence, and a further order makes the unanswered
// one valid. It was executed late in addition to the other, exceeded the adapter slots, and the
// server crashed. No order may be sent until the unanswered one has expired.
func TestUnansweredOrderWithSequenceTooHigh(t *testing.T) {
	s := reportedServer(at(0), "a", 15, "m1")
	s.ApplyResult(at(1), at(1), &routes.Engine{}, steer.Order{Unload: true, Model: "m1", Adapter: "a17", ExpectedSequence: 15}, steer.Done, 0)
	require.Equal(t, 16, s.Sequence())
	s.ApplyResult(at(2), at(1.7), &routes.Engine{}, steer.Order{Model: "m1", Adapter: "a4", ExpectedSequence: 16}, steer.Unknown, 0)
	s.ApplyReport(at(2.6), at(2.6), steer.Report{Models: entry("", "m1").Models, Sequence: 15})
	require.Equal(t, 15, s.Sequence())
	require.False(t, s.AcceptsOrders(at(3)))
	require.False(t, s.AcceptsOrders(at(16.9)))
	require.True(t, s.AcceptsOrders(at(17)))
}
