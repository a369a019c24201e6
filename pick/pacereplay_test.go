package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/batch"
	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// paceSource is what the VMs of a replay know of the paces.
type paceSource int

const (
	noPaces paceSource = iota
	ownReadings
	allReadings
)

// unevenServer is a server with a steady pace, in spells 2.5 times as slow, and what it reports and got.
type unevenServer struct {
	batch    batch.Server
	entry    backs.Entry
	steady   float64
	slow     bool
	changeAt time.Time
	reported func(pace float64) float64
	sends    map[*batch.Request]*unevenSend
	// requests counts the measured requests, late those with a late first event.
	requests, late int
}

type unevenSend struct {
	vm      int
	attempt *pick.Attempt
	arrived time.Time
	work    pick.Work
	events  int
	first   time.Time
	counted bool
}

// unevenFleet replays VMs that send long and short prompts to servers of unequal speed. The loads of other VMs are 300 ms old.
type unevenFleet struct {
	rng       *rand.Rand
	source    paceSource
	balancers []*pick.Balancer
	gauges    []*gauge.Gauge
	servers   []*unevenServer
	// measureFrom is when the counts begin.
	measureFrom time.Time
}

const (
	unevenVMs      = 60
	unevenPrefill  = 32.0
	unevenStepTime = 5 * time.Millisecond
)

func newUnevenFleet(seed uint64, source paceSource, count int) *unevenFleet {
	f := &unevenFleet{rng: rand.New(rand.NewPCG(seed, 7)), source: source, measureFrom: at(15)}
	for vm := range unevenVMs {
		b, g := &pick.Balancer{Domain: "d", Seed: uint64(vm)}, &gauge.Gauge{}
		if source != noPaces {
			b.Pace, b.Observed = g.Pace, g.Observed
		}
		f.balancers, f.gauges = append(f.balancers, b), append(f.gauges, g)
	}
	for i := range count {
		s := &unevenServer{steady: 1.2, entry: backs.Entry{ID: fmt.Sprint("s", i), Service: "m", Domain: "d", Slots: 64}, sends: map[*batch.Request]*unevenSend{}}
		if i%4 == 0 {
			s.steady = 0.55
		}
		s.reported = func(pace float64) float64 { return pace }
		f.servers = append(f.servers, s)
	}
	return f
}

// pace returns the present pace of a server and applies it to its next step.
func (f *unevenFleet) pace(now time.Time, s *unevenServer) float64 {
	if s.changeAt.IsZero() {
		s.changeAt = now
		s.slow = f.rng.Float64() < 0.85
	}
	for !s.changeAt.After(now) {
		s.slow = !s.slow
		mean := 3400 * time.Millisecond
		if s.slow {
			mean = 600 * time.Millisecond
		}
		s.changeAt = s.changeAt.Add(time.Duration(f.rng.ExpFloat64() * float64(mean)))
	}
	pace := s.steady
	if s.slow {
		pace *= 2.5
	}
	s.batch.Spec = batch.Spec{
		Slots: 64, StepTime: time.Duration(pace * float64(unevenStepTime)), StepTimePerRequest: time.Duration(pace * 20000),
		PrefillTokensPerMs: unevenPrefill / pace, PrefillChunkTokens: 1024, TokensPerEvent: 1,
	}
	return pace
}

// run sends requests at a rate until the end.
func (f *unevenFleet) run(end time.Time, perSecond float64) {
	arrival, exchange := at(0), at(0)
	for {
		next, server := arrival, (*unevenServer)(nil)
		for _, s := range f.servers {
			if stepEnd, busy := s.batch.StepEnd(); busy && stepEnd.Before(next) {
				next, server = stepEnd, s
			}
		}
		for !exchange.After(next) {
			f.exchange(exchange)
			exchange = exchange.Add(300 * time.Millisecond)
		}
		switch {
		case !next.Before(end):
			return
		case server != nil:
			f.step(next, server)
		default:
			f.send(next)
			arrival = arrival.Add(time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)))
		}
	}
}

// exchange carries loads and paces between the VMs; the first one is the controller.
func (f *unevenFleet) exchange(now time.Time) {
	sums := map[string]pick.Load{}
	local := make([]map[string]pick.Load, len(f.balancers))
	for i, b := range f.balancers {
		local[i] = b.LocalLoads()
		for id, l := range local[i] {
			sums[id] = sums[id].Add(l)
		}
	}
	for i, b := range f.balancers {
		b.SetRemoteLoads(now, pick.SubtractLoads(sums, local[i]))
	}
	if f.source != allReadings {
		return
	}
	for _, g := range f.gauges[1:] {
		f.gauges[0].AddSamples(now, g.TakeSamples(now))
	}
	changes := f.gauges[0].TakeChanges(now)
	for _, g := range f.gauges[1:] {
		g.Merge(now, changes)
	}
}

func (f *unevenFleet) send(now time.Time) {
	w := pick.Work{Model: "m", Slots: 64, TokensPerEvent: 1, PromptTokens: 830, MaxOutputTokens: 80, Objective: 400 * time.Millisecond}
	if f.rng.Float64() < 0.4 {
		w.PromptTokens, w.Objective = 9190, 800*time.Millisecond
	}
	w.PromptParts = []pick.PromptPart{{ID: fmt.Sprint(f.rng.Uint64()), Tokens: w.PromptTokens}}
	vm := f.rng.IntN(len(f.balancers))
	var entries []backs.Entry
	for _, s := range f.servers {
		entries = append(entries, s.entry)
	}
	c, _ := f.balancers[vm].Choose(now, entries, w, 0, nil)
	for _, s := range f.servers {
		if s.entry.ID != c.Server.ID {
			continue
		}
		r := &batch.Request{PromptTokens: w.PromptTokens, OutputTokens: 20 + f.rng.IntN(60)}
		s.sends[r] = &unevenSend{vm: vm, attempt: f.balancers[vm].Begin(now, c, w, 0), arrived: now, work: w, counted: !now.Before(f.measureFrom)}
		f.pace(now, s)
		s.batch.Submit(now, r)
	}
}

// step ends the current step of a server and carries its events to the VMs.
func (f *unevenFleet) step(now time.Time, s *unevenServer) {
	pace := f.pace(now, s)
	for _, e := range s.batch.FinishStep() {
		send := s.sends[e.Request]
		send.events++
		if e.First {
			if send.first.IsZero() {
				f.firstEvent(now, s, send, pace)
			}
		}
		if e.Done {
			delete(s.sends, e.Request)
			send.attempt.StreamCompleted(e.Request.OutputTokens, now.Sub(send.first))
			send.attempt.End(now, pick.Succeeded)
		}
	}
}

func (f *unevenFleet) firstEvent(now time.Time, s *unevenServer, send *unevenSend, pace float64) {
	send.first = now
	if f.source != noPaces {
		f.gauges[send.vm].Heard(now, s.entry.ID, gauge.Reading{Pace: s.reported(pace)})
	}
	send.attempt.FirstEvent(now)
	if send.counted {
		s.requests++
		if now.Sub(send.arrived) > send.work.Objective {
			s.late++
		}
	}
}

// group returns the requests for each server of a kind and the share of their first events that were late.
func (f *unevenFleet) group(of func(*unevenServer) bool) (perServer, late float64) {
	servers, requests, lateRequests := 0, 0, 0
	for _, s := range f.servers {
		if of(s) {
			servers++
			requests += s.requests
			lateRequests += s.late
		}
	}
	return float64(requests) / float64(servers), float64(lateRequests) / float64(max(requests, 1))
}

func fast(s *unevenServer) bool        { return s.steady < 1 }
func slow(s *unevenServer) bool        { return s.steady >= 1 }
func everyServer(_ *unevenServer) bool { return true }

// Load pattern: a quarter of the servers is 2.2 times as fast as the others, all have spells in which they are 2.5 times slower, and
// a VM hears from a server once in ten seconds or less. Guards against queues at the slow servers, which got as many requests as the
// fast ones, and against estimates by the few readings of one VM.
func TestServersOfUnequalSpeed(t *testing.T) {
	type result struct{ fast, slow, lateFast, lateSlow, late float64 }
	results := map[paceSource]result{}
	for _, source := range []paceSource{noPaces, ownReadings, allReadings} {
		var sum result
		const seeds = 2
		for seed := range uint64(seeds) {
			f := newUnevenFleet(seed, source, 16)
			f.run(at(45), 55)
			var r result
			r.fast, r.lateFast = f.group(fast)
			r.slow, r.lateSlow = f.group(slow)
			_, r.late = f.group(everyServer)
			sum = result{sum.fast + r.fast/seeds, sum.slow + r.slow/seeds, sum.lateFast + r.lateFast/seeds, sum.lateSlow + r.lateSlow/seeds, sum.late + r.late/seeds}
		}
		results[source] = sum
		t.Logf("source %d: %.0f requests for each fast server, %.0f for each slow one; late first events %.3f and %.3f, all %.3f",
			source, sum.fast, sum.slow, sum.lateFast, sum.lateSlow, sum.late)
	}
	without, own, all := results[noPaces], results[ownReadings], results[allReadings]
	require.Less(t, without.fast, 1.5*without.slow)
	require.Greater(t, all.fast, 1.5*all.slow)
	require.Less(t, all.late, 0.8*without.late)
	require.Less(t, all.late, own.late)
	require.Less(t, own.late, without.late, "without links to builds that know paces")
}

// Guards against servers that attract all requests, or lose all, by what they report, and against a service that is served worse
// because all of its servers report the same long time. Each replay is compared with the one in which all report the truth.
func TestServersThatReportNonsense(t *testing.T) {
	const honestFast, honestSlow = 0, 1
	honest := newUnevenFleet(1, allReadings, 16)
	honest.run(at(35), 55)
	_, honestLate := honest.group(everyServer)
	honestAt := [2]float64{honestFast: float64(honest.servers[0].requests), honestSlow: float64(honest.servers[1].requests)}
	for name, tc := range map[string]struct {
		server   int
		reported func(rng *rand.Rand, pace float64) float64
		// min and max bound the requests of the server relative to the honest replay.
		min, max float64
	}{
		"slow one reports a quarter": {1, func(*rand.Rand, float64) float64 { return 0.25 }, 0.5, 1.5},
		"slow one reports 1":         {1, func(*rand.Rand, float64) float64 { return 1 }, 0.5, 1.5},
		"fast one reports 100":       {0, func(*rand.Rand, float64) float64 { return 100 }, 0.25, 1.2},
		"fast one reports 4":         {0, func(*rand.Rand, float64) float64 { return 4 }, 0.25, 1.2},
		"fast one reports nothing":   {0, func(*rand.Rand, float64) float64 { return 0 }, 0.4, 1.5},
		"slow one reports at random": {1, func(r *rand.Rand, _ float64) float64 { return 0.1 + 5*r.Float64() }, 0.4, 1.7},
		"all report twice the truth": {-1, func(_ *rand.Rand, pace float64) float64 { return 2 * pace }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newUnevenFleet(1, allReadings, 16)
			rng := rand.New(rand.NewPCG(2, 2))
			for i, s := range f.servers {
				if i == tc.server || tc.server < 0 {
					s.reported = func(pace float64) float64 { return tc.reported(rng, pace) }
				}
			}
			f.run(at(35), 55)
			_, late := f.group(everyServer)
			if tc.server < 0 {
				t.Logf("late first events %.3f, honest %.3f", late, honestLate)
				require.Less(t, late, honestLate+0.05)
				return
			}
			s := f.servers[tc.server]
			t.Logf("%d requests, honest %.0f; late first events %.3f, honest %.3f", s.requests, honestAt[min(tc.server, 1)], late, honestLate)
			require.GreaterOrEqual(t, float64(s.requests), tc.min*honestAt[min(tc.server, 1)])
			require.LessOrEqual(t, float64(s.requests), tc.max*honestAt[min(tc.server, 1)])
			require.Less(t, late, honestLate+0.06)
		})
	}
}

// Guards against a server that has become four times slower than it reports, which would get as many requests as the others.
func TestSlowServerReportsUsualPace(t *testing.T) {
	for _, source := range []paceSource{noPaces, allReadings} {
		f := newUnevenFleet(1, source, 16)
		for _, s := range f.servers {
			s.steady = 1
		}
		f.servers[3].steady, f.servers[3].reported = 4, func(float64) float64 { return 1 }
		f.run(at(35), 45)
		perServer, late := f.group(everyServer)
		t.Logf("source %d: %d requests, mean %.0f; late %.3f", source, f.servers[3].requests, perServer, late)
		require.Less(t, float64(f.servers[3].requests), 0.9*perServer)
	}
}
