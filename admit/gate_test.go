package admit_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuscart/hibiscuscart/admit"
	"github.com/hibiscuscart/hibiscuscart/naive"
)

// A fixed seed makes every run test the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_000_000, 0)

// TestGateAgainstNaive compares the gate with a reference implementation under
// the same arrivals, ends and abandoned requests. Every verdict, every
// eviction and the order of service must agree.
func TestGateAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admit.Limits{Concurrency: rapid.IntRange(1, 4).Draw(t, "concurrency"), Queue: rapid.IntRange(0, 8).Draw(t, "queue")}
		var g admit.Gate
		g.SetLimits(limits)
		n := naive.Gate{Limits: limits}
		now := start
		var id uint64
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id++
				caller := rapid.IntRange(0, 3).Draw(t, "caller")
				ticket := admit.Ticket{
					ID: id, Caller: fmt.Sprint(caller), Weight: caller, Priority: rapid.IntRange(4, 6).Draw(t, "priority"),
				}
				ticket.Target = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "target")) * time.Second)
				ticket.Deadline = ticket.Target.Add(20 * time.Second)
				v, evicted := g.Arrive(now, ticket)
				naiveVerdict, naiveEvicted := n.Arrive(now, ticket)
				require.Equal(t, naiveVerdict, v)
				require.Equal(t, naiveEvicted, evicted)
			},
			"finish": func(t *rapid.T) {
				if n.Running() == 0 {
					t.Skip("no request is running")
				}
				serviceTime := time.Duration(rapid.IntRange(1, 5000).Draw(t, "took")) * time.Millisecond
				now = now.Add(serviceTime / 4)
				require.Equal(t, n.Finish(serviceTime), g.Finish(serviceTime))
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
				require.Equal(t, ids(n.Expire(now)), ids(g.Expire(now)))
			},
			"abandon": func(t *rapid.T) {
				which := uint64(rapid.IntRange(1, int(id)+1).Draw(t, "id"))
				require.Equal(t, n.Abandon(which), g.Abandon(which))
			},
			"": func(t *rapid.T) {
				require.Equal(t, n.Running(), g.Running())
				require.Equal(t, n.Waiting(), g.Waiting())
				require.LessOrEqual(t, g.Running(), limits.Concurrency)
				require.LessOrEqual(t, g.Waiting(), limits.Queue)
			},
		})
	})
}

func ids(tickets []admit.Ticket) []uint64 {
	all := []uint64{}
	for _, t := range tickets {
		all = append(all, t.ID)
	}
	slices.Sort(all)
	return all
}

// One caller sends 50,000 requests at once and fills the queue. A request of
// another caller must be queued, be served next and not be evicted.
func TestFloodDoesNotStarveOtherCaller(t *testing.T) {
	var g admit.Gate
	g.SetLimits(admit.Limits{Concurrency: 2, Queue: 100})
	deadline := start.Add(time.Hour)
	var id uint64
	arrive := func(caller string) admit.Verdict {
		id++
		v, evicted := g.Arrive(start, admit.Ticket{ID: id, Caller: caller, Target: deadline, Deadline: deadline})
		if evicted != nil {
			require.Equal(t, "flood", evicted.Caller)
		}
		return v
	}
	for range 50_000 {
		arrive("flood")
	}
	require.Equal(t, admit.Queued, arrive("quiet"))
	require.Equal(t, admit.QueueFull, arrive("flood"))
	next := g.Finish(time.Second)
	require.Len(t, next, 1)
	require.Equal(t, "quiet", next[0].Caller)
}

func TestCallerWeights(t *testing.T) {
	var g admit.Gate
	g.SetLimits(admit.Limits{Concurrency: 1, Queue: 100})
	for i := range 60 {
		caller, weight := "heavy", 3
		if i%2 == 1 {
			caller, weight = "light", 1
		}
		g.Arrive(start, admit.Ticket{ID: uint64(i), Caller: caller, Weight: weight, Target: start.Add(time.Hour), Deadline: start.Add(time.Hour)})
	}
	served := make(map[string]int)
	for range 20 {
		served[g.Finish(time.Millisecond)[0].Caller]++
	}
	require.Equal(t, 15, served["heavy"])
}

func TestUnreachableDeadlineRefused(t *testing.T) {
	var g admit.Gate
	g.SetLimits(admit.Limits{Concurrency: 1, Queue: 100})
	g.Arrive(start, admit.Ticket{ID: 1, Target: start.Add(time.Hour), Deadline: start.Add(time.Hour)})
	g.Finish(10 * time.Second)
	g.Arrive(start, admit.Ticket{ID: 2, Target: start.Add(time.Hour), Deadline: start.Add(time.Hour)})
	v, _ := g.Arrive(start, admit.Ticket{ID: 3, Target: start.Add(15 * time.Second), Deadline: start.Add(15 * time.Second)})
	require.Equal(t, admit.DeadlineUnreachable, v)
	v, _ = g.Arrive(start, admit.Ticket{ID: 4, Target: start.Add(25 * time.Second), Deadline: start.Add(25 * time.Second)})
	require.Equal(t, admit.Queued, v)
}

func BenchmarkArriveInFlood(b *testing.B) {
	var g admit.Gate
	g.SetLimits(admit.Limits{Concurrency: 1, Queue: 50_000})
	for i := range 50_000 {
		g.Arrive(start, admit.Ticket{ID: uint64(i), Caller: "flood", Target: start.Add(time.Duration(i) * time.Second), Deadline: start.Add(time.Duration(i) * time.Second)})
	}
	b.ReportAllocs()
	for i := range b.N {
		g.Arrive(start, admit.Ticket{ID: uint64(50_000 + i), Caller: "quiet", Target: start.Add(time.Hour), Deadline: start.Add(time.Hour)})
		g.Finish(time.Microsecond)
	}
}
