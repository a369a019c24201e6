package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rejectingServer is a server that crashes if it rejects more than limit requests in a second.
type rejectingServer struct {
	slots, limit int
	busyUntil    []time.Time
	rejectedAt   []time.Time
	served       int
}

// receive serves a request if a slot is free, and otherwise rejects it.
func (s *rejectingServer) receive(now time.Time, took time.Duration) (served bool) {
	if s.running(now) >= s.slots {
		s.rejectedAt = append(s.rejectedAt, now)
		return false
	}
	s.busyUntil = append(s.busyUntil, now.Add(took))
	s.served++
	return true
}

func (s *rejectingServer) running(now time.Time) int {
	still := s.busyUntil[:0]
	for _, until := range s.busyUntil {
		if until.After(now) {
			still = append(still, until)
		}
	}
	s.busyUntil = still
	return len(still)
}

// mostRejectedInSecond returns the largest number of rejections in any second.
func (s *rejectingServer) mostRejectedInSecond() int {
	most := 0
	for i, from := range s.rejectedAt {
		n := 0
		for _, at := range s.rejectedAt[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// crashes returns how often the server has crashed, if each rejection beyond the limit in a second is a crash, which
// ends the second.
func (s *rejectingServer) crashes() int {
	crashes := 0
	var second []time.Time
	for _, at := range s.rejectedAt {
		second = append(second, at)
		for at.Sub(second[0]) >= time.Second {
			second = second[1:]
		}
		if len(second) > s.limit {
			crashes++
			second = nil
		}
	}
	return crashes
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// slotFleet replays the requests of many VMs to one server. They ask for each, through grant.
type slotFleet struct {
	server *rejectingServer
	grants *Slots
	grant  func(now time.Time, vm int) time.Duration
	queue  events
	rng    *rand.Rand
	vms    int
	// reported is the load that the controller knows, running what each VM runs.
	reported int
	running  map[int]int
	// processingTime returns how long a request takes that begins at a time, and averageTime what the controller
	// takes that for.
	processingTime func(now time.Time) time.Duration
	averageTime    time.Duration
	arrived        int
}

const (
	// tellDelay is how long it takes until the controller knows of a rejection, askDelay how long a
	// question and its answer take, and reportDelay how old the known load is. oneWay is the network latency.
	tellDelay   = 40 * time.Millisecond
	askDelay    = 3 * time.Millisecond
	reportDelay = 250 * time.Millisecond
	oneWay      = time.Millisecond
)

func newSlotFleet(vms int, seed uint64) *slotFleet {
	f := &slotFleet{
		server: &rejectingServer{slots: 12, limit: 3}, grants: &Slots{}, vms: vms, running: make(map[int]int), rng: rand.New(rand.NewPCG(seed, 1)),
	}
	f.processingTime = func(time.Time) time.Duration {
		return 200*time.Millisecond + time.Duration(f.rng.IntN(400))*time.Millisecond
	}
	f.averageTime = 400 * time.Millisecond
	f.grant = func(now time.Time, _ int) time.Duration {
		return f.grants.Grant(now, Room{Server: "s", Slots: f.server.slots, Running: f.reported, RejectsPerSecond: float64(f.server.limit), ProcessingTime: f.averageTime})
	}
	return f
}

// quicken makes requests take some 15 ms, and one in a hundred five times as long, and the server slower by a
// factor from a time on.
func (f *slotFleet) quicken(slowAt time.Time, factor int) {
	f.averageTime = 16 * time.Millisecond
	f.processingTime = func(now time.Time) time.Duration {
		took := 8*time.Millisecond + time.Duration(f.rng.IntN(15))*time.Millisecond
		if f.rng.IntN(100) == 0 {
			took *= 5
		}
		if !slowAt.IsZero() && !now.Before(slowAt) {
			took *= time.Duration(factor)
		}
		return took
	}
}

func (f *slotFleet) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&f.queue, event{at, do})
}

// arrive handles a request at a VM, which asks and sends, or waits up to a second for room.
func (f *slotFleet) arrive(now, deadline time.Time, vm int) {
	if wait := f.grant(now, vm); wait > 0 {
		if next := now.Add(wait + askDelay); next.Before(deadline) {
			f.schedule(next, func(now time.Time) { f.arrive(now, deadline, vm) })
		}
		return
	}
	f.running[vm]++
	f.schedule(now.Add(askDelay+oneWay), func(now time.Time) {
		took := f.processingTime(now)
		if f.server.receive(now, took) {
			f.schedule(now.Add(took+oneWay), func(time.Time) { f.running[vm]-- })
			return
		}
		f.running[vm]--
		f.schedule(now.Add(tellDelay), func(now time.Time) { f.grants.RecordReject(now, "s") })
	})
}

// replayStart is when each replay begins.
var replayStart = time.Unix(1000, 0)

// run replays a time at a rate of requests a second.
func (f *slotFleet) run(length time.Duration, rate float64) {
	start := replayStart
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))) {
		vm := f.rng.IntN(f.vms)
		f.arrived++
		f.schedule(at, func(now time.Time) { f.arrive(now, now.Add(time.Second), vm) })
	}
	for at := start; at.Before(start.Add(length)); at = at.Add(100 * time.Millisecond) {
		f.schedule(at, func(now time.Time) {
			total := 0
			for _, n := range f.running {
				total += n
			}
			f.schedule(now.Add(reportDelay), func(time.Time) { f.reported = total })
		})
	}
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		e.do(e.at)
	}
}

// Many VMs ask for one and a half times what a server can serve for a minute, and the server crashes if it
// rejects more than three requests in a second. Guards against seconds with more rejections, and against a
// server that is hardly used any more.
func TestRejectLimitOfFleet(t *testing.T) {
	const length, rate = time.Minute, 45.0
	for _, vms := range []int{9, 87, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			unlimited := newSlotFleet(vms, 1)
			unlimited.grant = func(time.Time, int) time.Duration { return 0 }
			unlimited.run(length, rate)
			require.Greater(t, unlimited.server.mostRejectedInSecond(), 2*unlimited.server.limit, "the load is too low to show anything")
			for seed := range uint64(5) {
				f := newSlotFleet(vms, seed+1)
				f.run(length, rate)
				t.Logf("seed %d: most rejections in a second %d, served %d, without grants %d", seed, f.server.mostRejectedInSecond(), f.server.served, unlimited.server.served)
				require.LessOrEqual(t, f.server.mostRejectedInSecond(), f.server.limit)
				require.Greater(t, f.server.served, unlimited.server.served/3)
			}
		})
	}
}

// Many VMs send a server with six slots short requests, of which one runs at a time. Guards against refusing what
// the server has room for, as if each request ran until the next report.
func TestShortRequestsGranted(t *testing.T) {
	const rate = 60
	for _, vms := range []int{9, 87} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d VMs, seed %d", vms, seed), func(t *testing.T) {
				f := newSlotFleet(vms, seed+1)
				f.server.slots = 6
				f.quicken(time.Time{}, 1)
				f.run(time.Minute, rate)
				t.Logf("most rejections in a second %d, served %d of %d", f.server.mostRejectedInSecond(), f.server.served, f.arrived)
				require.LessOrEqual(t, f.server.mostRejectedInSecond(), f.server.limit)
				require.Greater(t, float64(f.server.served), 0.9*float64(f.arrived))
			})
		}
	}
}

// The server of short requests becomes twenty times slower. Guards against a controller that goes on granting as
// before: the server may crash once, as nothing tells of it before the first rejection.
func TestSlowerServerCrashesOnce(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newSlotFleet(9, seed+1)
			f.server.slots = 6
			f.quicken(replayStart.Add(20*time.Second), 20)
			f.run(time.Minute, 60)
			t.Logf("most rejections in a second %d, crashes %d, all rejections %d, served %d", f.server.mostRejectedInSecond(), f.server.crashes(), len(f.server.rejectedAt), f.server.served)
			require.LessOrEqual(t, f.server.crashes(), 1)
		})
	}
}

// The server has fewer slots than it says. Guards against rejections that go on, as the grants are right by what
// the controller knows.
func TestRejectionsLowerGrants(t *testing.T) {
	f := newSlotFleet(9, 1)
	f.grant = func(now time.Time, _ int) time.Duration {
		return f.grants.Grant(now, Room{Server: "s", Slots: 24, Running: f.reported, RejectsPerSecond: float64(f.server.limit), ProcessingTime: f.averageTime})
	}
	f.run(time.Minute, 45)
	t.Logf("most rejections in a second %d, all %d, served %d", f.server.mostRejectedInSecond(), len(f.server.rejectedAt), f.server.served)
	require.LessOrEqual(t, f.server.mostRejectedInSecond(), f.server.limit)
}

// VMs can not reach the controller. Guards against VMs whose parts are together more than the server has.
func TestGrantsWithoutController(t *testing.T) {
	for _, vms := range []int{3, 9, 87} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			f := newSlotFleet(vms, 1)
			parts := make([]*Slots, vms)
			for i := range parts {
				parts[i] = &Slots{Seed: uint64(i)}
			}
			f.grant = func(now time.Time, vm int) time.Duration {
				return parts[vm].GrantShare(now, Room{Server: "s", Slots: f.server.slots, Running: f.running[vm], RejectsPerSecond: float64(f.server.limit), ProcessingTime: f.averageTime}, vms)
			}
			f.run(time.Minute, 45)
			t.Logf("most rejections in a second %d, served %d", f.server.mostRejectedInSecond(), f.server.served)
			require.LessOrEqual(t, f.server.mostRejectedInSecond(), f.server.limit)
			require.Positive(t, f.server.served)
		})
	}
}
