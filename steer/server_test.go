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

// reported returns a server that holds models and has accepted orders.
func reported(now time.Time, id string, sequence int, models ...string) *steer.Server {
	e := entry(id, models...)
	s := steer.NewServer(now, e)
	s.Reported(now, now, steer.Report{Models: e.Models, Sequence: sequence})
	return s
}

// The store is away while a model is loaded, so the server's entry keeps
// listing the models from before. If the model were taken for gone, its memory
// would be given to another one and the server ordered beyond its memory: it
// crashes with all that runs on it. Only a report frees memory.
func TestOldEntryFreesNoMemory(t *testing.T) {
	s := reported(at(0), "a", 0, "m1")
	load := steer.Order{Model: "m2"}
	s.Answered(at(1), at(1), &routes.Engine{}, load, steer.Accepted, time.Second)
	s.Reported(at(3), at(3), steer.Report{Models: entry("", "m1", "m2").Models, Sequence: 1})
	require.True(t, s.Has(at(3), "m2", ""))
	s.Listed(at(9), at(9), entry("a", "m1"))
	require.True(t, s.Has(at(9), "m2", ""), "an entry took away what a report had shown")
	s.Reported(at(10), at(10), steer.Report{Models: entry("", "m1").Models, Sequence: 1})
	require.False(t, s.Has(at(10), "m2", ""))
}

// An order gets no answer and is carried out seconds later. If the next order
// were given with the old sequence and a guess of what the server holds, both
// could load and exceed its memory. Until a report from after the lost answer
// shows the sequence, nothing is ordered; with the next accepted order the late
// one is dead.
func TestLostAnswerStopsOrders(t *testing.T) {
	s := reported(at(0), "a", 3, "m1")
	require.True(t, s.Free(at(0)))
	s.Answered(at(1), at(0.6), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Unknown, time.Second)
	require.False(t, s.Free(at(1)))
	s.Reported(at(1.2), at(1.1), steer.Report{Models: entry("", "m1").Models, Sequence: 3})
	require.False(t, s.Free(at(1.2)), "a report can be from before the order")
	s.Reported(at(1.8), at(1.7), steer.Report{Models: entry("", "m1").Models, Sequence: 4})
	require.True(t, s.Free(at(1.8)))
	require.Equal(t, 4, s.Sequence())
}

// A new controller asks a server that is loading a model for the one before. The
// report names the models that are there and not the one on its way; when it is
// there the sequence is the same. An order given on that report would be taken
// and crash the server. While a report says that an order is under way, nothing
// is ordered.
func TestBusyServerGetsNoOrders(t *testing.T) {
	s := steer.NewServer(at(0), entry("a", "m1"))
	s.Reported(at(1), at(1), steer.Report{Models: entry("", "m1").Models, Sequence: 6, Busy: true})
	require.False(t, s.Free(at(1)))
	s.Reported(at(3), at(3), steer.Report{Models: entry("", "m1", "m2").Models, Sequence: 6})
	require.True(t, s.Free(at(3)))
	require.True(t, s.Has(at(3), "m2", ""))
}

// A report shows the sequence of now and the models of some time ago: the order
// is counted, its model is not there and the server seems idle. Taken at its
// word, the memory of a model that is being loaded would be given out again.
func TestReportWithNewSequenceAndOldModels(t *testing.T) {
	s := reported(at(0), "a", 0, "m1")
	s.Answered(at(1), at(1), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Accepted, 300*time.Millisecond)
	s.Reported(at(1.2), at(1.15), steer.Report{Models: entry("", "m1").Models, Sequence: 1})
	require.False(t, s.Free(at(1.2)))
	// An order of another VM that came late: one more report is needed.
	s = reported(at(0), "a", 0, "m1")
	s.Reported(at(2), at(2), steer.Report{Models: entry("", "m1").Models, Sequence: 1})
	require.False(t, s.Free(at(2)))
	s.Reported(at(2.6), at(2.6), steer.Report{Models: entry("", "m1", "m2").Models, Sequence: 1})
	require.True(t, s.Free(at(2.6)))
	require.True(t, s.Has(at(2.6), "m2", ""))
}

// A report that was made before the last order would take the order's model
// away again, and its memory would be given out twice.
func TestReportFromBeforeAnOrder(t *testing.T) {
	s := reported(at(0), "a", 0, "m1")
	s.Answered(at(1), at(1), &routes.Engine{}, steer.Order{Model: "m1", Adapter: "a1"}, steer.Accepted, 10*time.Millisecond)
	s.Reported(at(1.1), at(1.05), steer.Report{Models: entry("", "m1").Models, Sequence: 0})
	require.True(t, s.Has(at(1.1), "m1", "a1"))
	require.Equal(t, 1, s.Sequence())
}

// An adapter is unloaded while a stream still uses it, so the server takes the
// order and goes on. If its place were given out at once, the server would be
// ordered beyond its places and crash with all its streams. The place is free
// when a report shows the adapter gone.
func TestUnloadOfAnAdapterInUseKeepsItsPlace(t *testing.T) {
	s := reported(at(0), "a", 0, "m1")
	s.Answered(at(1), at(1), &routes.Engine{}, steer.Order{Model: "m1", Adapter: "a1"}, steer.Accepted, time.Millisecond)
	require.Equal(t, 1, s.Places())
	s.Answered(at(4), at(4), &routes.Engine{}, steer.Order{Unload: true, Model: "m1", Adapter: "a1"}, steer.Accepted, 0)
	require.Equal(t, 1, s.Places())
	require.False(t, s.Has(at(4), "m1", "a1"))
	s.Reported(at(5), at(5), steer.Report{Models: entry("", "m1").Models, Sequence: 2})
	require.Zero(t, s.Places())
}

func TestUnloadedModelIsShownNoMore(t *testing.T) {
	s := reported(at(0), "a", 0, "m1", "m2")
	s.Answered(at(1), at(1), &routes.Engine{}, steer.Order{Unload: true, Model: "m1"}, steer.Accepted, 0)
	require.Equal(t, []backs.LoadedModel{{Model: "m2"}}, s.Shown(at(1)))
	require.False(t, s.Free(at(1)))
	s.Reported(at(2), at(2), steer.Report{Models: entry("", "m2").Models, Sequence: 1})
	require.True(t, s.Free(at(2)))
}

func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		order    steer.Order
		verdict  steer.Verdict
		sequence int
		free     bool
	}{
		"adapter accepted":   {steer.Order{Model: "m1", Adapter: "a1"}, steer.Accepted, 1, true},
		"adapter dropped":    {steer.Order{Unload: true, Model: "m1", Adapter: "a1"}, steer.Done, 1, true},
		"model accepted":     {steer.Order{Model: "m2"}, steer.Accepted, 1, false},
		"model held already": {steer.Order{Model: "m1"}, steer.Done, 0, true},
		"conflict":           {steer.Order{Model: "m2"}, steer.Conflict, 0, false},
		"refused":            {steer.Order{Model: "m2"}, steer.Refused, 0, false},
		"no answer":          {steer.Order{Model: "m2"}, steer.Unknown, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := reported(at(0), "a", 0, "m1")
			s.Answered(at(1), at(1), &routes.Engine{}, tc.order, tc.verdict, time.Second)
			require.Equal(t, tc.sequence, s.Sequence())
			require.Equal(t, tc.free, s.Free(at(1)))
		})
	}
}

func TestCeilingBoundsEveryWindow(t *testing.T) {
	c := steer.Ceiling{Window: 5 * time.Second, PerSecond: 1.1}
	begun := 0
	for ms := range 20_000 {
		now := at(float64(ms) / 1000)
		if c.Allow(now) {
			c.Begin(now)
			begun++
		}
	}
	require.LessOrEqual(t, begun, 20)
	require.GreaterOrEqual(t, begun, 15)
}

// A VM takes the lease from another that began as many loads as allowed right
// before it died. If it began its own at once, the window that spans both would
// hold twice the bound. It begins two in the first window, which two short terms
// in a row may do and stay within the three that the bound leaves above the
// allowed rate.
func TestCeilingAfterAChangeOfController(t *testing.T) {
	c := steer.Ceiling{Window: 5 * time.Second, PerSecond: 1.4, Inherited: 9}
	c.Succeed(at(0))
	begun := 0
	for ms := range 5000 {
		if now := at(float64(ms) / 1000); c.Allow(now) {
			c.Begin(now)
			begun++
		}
	}
	require.Equal(t, 2, begun)
	require.True(t, c.Allow(at(5)))
}

// A VM takes the lease and gives its first order a handover later. The loads of
// the VM before began before that: three of the window's five seconds have
// passed. Counted from the first order, a model that comes into demand right
// after a change of controller waited five seconds more for its copies.
func TestWindowRunsFromTheLastOrderBefore(t *testing.T) {
	c := steer.Ceiling{Window: 5 * time.Second, PerSecond: 1.4, Inherited: 9}
	c.Succeed(at(0))
	for range 2 {
		require.True(t, c.Allow(at(3)))
		c.Begin(at(3))
	}
	require.False(t, c.Allow(at(3)))
	require.True(t, c.Allow(at(5)))
}

// Which loads the VM before began is seen at the servers: one that has given no
// report yet, one with a load under way, and each model that has come lately
// count; the rest do not, or nothing may be loaded for seconds after each change
// of controller though the weight store is idle.
func TestInheritedLoads(t *testing.T) {
	tests := map[string]struct {
		report *steer.Report
		want   int
	}{
		"no report":  {nil, 1},
		"unchanged":  {&steer.Report{Models: entry("", "m1").Models}, 0},
		"under way":  {&steer.Report{Models: entry("", "m1").Models, Busy: true}, 1},
		"new model":  {&steer.Report{Models: entry("", "m1", "m2").Models}, 1},
		"both":       {&steer.Report{Models: entry("", "m1", "m2").Models, Busy: true}, 2},
		"model gone": {&steer.Report{}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := steer.NewServer(at(0), entry("a", "m1"))
			s.Forget(at(20))
			if tc.report != nil {
				s.Reported(at(21), at(21), *tc.report)
			}
			require.Equal(t, tc.want, s.Inherited(at(15)))
		})
	}
}

// A report from right after the last order of the VM before can be older than
// that order: taken at its word, it frees the memory of a model that is being
// loaded.
func TestReportsFromBeforeTheEndOfATerm(t *testing.T) {
	s := steer.NewServer(at(0), entry("a", "m1"))
	s.Forget(at(20))
	s.Reported(at(20.2), at(20.2), steer.Report{Models: entry("", "m1").Models})
	require.True(t, s.NeedsReport())
	s.Reported(at(20.6), at(20.6), steer.Report{Models: entry("", "m1").Models})
	require.False(t, s.NeedsReport())
}

// A server crashes and another start of it answers at its address; its old entry
// stands for some seconds. Each order there is refused. If it were given again
// at once, the refusals would use up the loads that the weight store allows, and
// a model in demand would wait for its copies.
func TestRefusedOrders(t *testing.T) {
	s := reported(at(0), "a", 0, "m1")
	s.Answered(at(1), at(1), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Refused, time.Second)
	require.False(t, s.Free(at(1)))
	require.True(t, s.NeedsReport())
	c := steer.Ceiling{Window: 5 * time.Second, PerSecond: 0.2}
	require.True(t, c.Allow(at(0)))
	b := c.Begin(at(0))
	require.False(t, c.Allow(at(1)))
	c.Return(b)
	require.True(t, c.Allow(at(1)))
}

// Loads get no answer for some seconds and are carried out up to twelve seconds
// later, several of them together and beside those ordered by then. Unless they
// count, more loads begin in a window than the weight store bears. An order that
// a server accepts later makes its late one dead.
func TestLateLoadsCountAgainstTheBound(t *testing.T) {
	s := reported(at(0), "a", 0, "m1")
	s.Answered(at(1), at(0.7), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Unknown, time.Second)
	require.True(t, s.Late(at(12)))
	require.False(t, s.Late(at(20)))
	s.Reported(at(2), at(2), steer.Report{Models: entry("", "m1").Models})
	s.Answered(at(3), at(3), &routes.Engine{}, steer.Order{Model: "m3"}, steer.Accepted, time.Second)
	require.False(t, s.Late(at(4)))
	c := steer.Ceiling{Window: 5 * time.Second, PerSecond: 1.4, Late: 6}
	begun := 0
	for c.Allow(at(1)) {
		c.Begin(at(1))
		begun++
	}
	require.Equal(t, 3, begun)
}

// An order gets no answer; the server crashes and starts again under its name. The
// order may still be on its way, and the server counts orders from none again: when
// its count has come to the order's number the lost one is carried out too, on top of
// what was decided without it, and the memory is exceeded. The new start waits until
// the order must be dead.
func TestTheNextStartWaitsForALostOrder(t *testing.T) {
	before, now := reported(at(0), "a", 0, "m1"), at(4)
	before.Answered(at(1), at(0.7), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Unknown, time.Second)
	after := reported(now, "b", 0)
	require.True(t, after.Free(now))
	after.Succeeds(now, before)
	require.False(t, after.Free(now))
	require.False(t, after.Free(at(15.9)))
	require.True(t, after.Free(at(16)))

	settled := reported(at(0), "c", 0)
	settled.Answered(at(1), at(0.7), &routes.Engine{}, steer.Order{Model: "m2"}, steer.Accepted, time.Second)
	after = reported(now, "d", 0)
	after.Succeeds(now, settled)
	require.True(t, after.Free(now), "no order of the start before is lost")
}

// While the store is away the server's entry lapses, and the one that stands again is
// from before a load; the next term's first report says that a load goes on. Then the
// lease runs out and no report is asked for some seconds. Taken as over by time, the
// load's memory was given to another model when the lease came back, and the server
// was ordered beyond its memory. Until a report shows the load's end, the server gets
// no order.
func TestALoadThatIsNotKnownEndsByAReport(t *testing.T) {
	s := steer.NewServer(at(0), entry("a", "m1", "m2"))
	s.Forget(at(0))
	s.Reported(at(1), at(1), steer.Report{Models: entry("", "m1", "m2").Models, Busy: true, Sequence: 3})
	require.False(t, s.Free(at(60)))
	require.True(t, s.Finishing(at(1.2)), "asked again soon: how long it takes is not known")
	s.Reported(at(61), at(61), steer.Report{Models: entry("", "m1", "m2", "m3").Models, Sequence: 3})
	require.True(t, s.Free(at(61)))
	require.True(t, s.Has(at(61), "m3", ""))
}

// A server answers 200 to the unloading of an adapter that it had dropped before, and
// does not count it; this VM does. The next order, with a count that is one too high,
// gets no answer. A report corrects the count, and the next order brings the server to
// where the lost one fits: carried out late, on top of the other, it took one place more
// than there are, and the server crashed. Until the lost order must be dead, there is no
// other.
func TestALostOrderWithACountTooHigh(t *testing.T) {
	s := reported(at(0), "a", 15, "m1")
	s.Answered(at(1), at(1), &routes.Engine{}, steer.Order{Unload: true, Model: "m1", Adapter: "a17", Expect: 15}, steer.Done, 0)
	require.Equal(t, 16, s.Sequence())
	s.Answered(at(2), at(1.7), &routes.Engine{}, steer.Order{Model: "m1", Adapter: "a4", Expect: 16}, steer.Unknown, 0)
	s.Reported(at(2.6), at(2.6), steer.Report{Models: entry("", "m1").Models, Sequence: 15})
	require.Equal(t, 15, s.Sequence())
	require.False(t, s.Free(at(3)))
	require.False(t, s.Free(at(16.9)))
	require.True(t, s.Free(at(17)))
}
