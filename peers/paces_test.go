package peers

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// reading returns samples of a server with a number of equal readings.
func reading(server string, count int, pace float64) gauge.Sample {
	return gauge.Sample{Server: server, Readings: count, PaceSum: float64(count) * pace}
}

// Guards against reports that repeat an unchanged pace each second, and against a change that waits.
func TestSamplesWaitUnlessTheySayNews(t *testing.T) {
	observed := func(ratio float64) gauge.Sample { return gauge.Sample{Server: "a", Responses: 1, RatioSum: ratio} }
	first := gauge.Sample{Server: "a", Readings: 1, PaceSum: 1, Responses: 1, RatioSum: 1}
	tests := map[string]struct {
		next  gauge.Sample
		after time.Duration
		taken bool
	}{
		"same reading":                   {reading("a", 3, 1), 0, false},
		"same reading after the wait":    {reading("a", 3, 1), maxSampleWait, true},
		"slightly slower":                {reading("a", 3, 1.09), 0, false},
		"slower by a tenth":              {reading("a", 3, 1.11), 0, true},
		"faster by a tenth":              {reading("a", 3, 0.89), 0, true},
		"response of a usual difference": {observed(1.4), 0, false},
		"response of twice the time":     {observed(2), 0, true},
		"other server":                   {reading("b", 1, 1), 0, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var s sampleSums
			s.add(now, []gauge.Sample{first})
			require.Equal(t, []gauge.Sample{first}, s.take(now))
			require.Empty(t, s.take(now), "taken once")
			s.add(now, []gauge.Sample{tc.next})
			got := s.take(now.Add(tc.after))
			if !tc.taken {
				require.Empty(t, got)
				got = s.take(now.Add(maxSampleWait))
			}
			require.Equal(t, []gauge.Sample{tc.next}, got, "nothing is lost by the wait")
		})
	}
}

// Guards against reports that grow with the servers, and against samples that are never reported or twice.
func TestSamplesOfManyServers(t *testing.T) {
	now := time.Unix(1000, 0)
	var s sampleSums
	for i := range 2*maxPaceSamples + 1 {
		s.add(now, []gauge.Sample{reading(fmt.Sprint("s", i), 1, 2)})
		s.add(now, []gauge.Sample{reading(fmt.Sprint("s", i), 2, 1)})
	}
	readings := make(map[string]int)
	for _, want := range []int{maxPaceSamples, maxPaceSamples, 1, 0} {
		list := s.take(now)
		require.Len(t, list, want)
		for _, sample := range list {
			readings[sample.Server] += sample.Readings
			require.InDelta(t, 4, sample.PaceSum, 1e-9)
		}
	}
	require.Len(t, readings, 2*maxPaceSamples+1)
	for server, count := range readings {
		require.Equal(t, 3, count, server)
	}
}

// Guards against samples of long ago that a VM without a hub has kept, and against servers that are gone.
func TestSamplesAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var s sampleSums
	s.add(now, []gauge.Sample{reading("a", 1, 2), reading("b", 1, 2)})
	s.add(now.Add(sampleLifetime), []gauge.Sample{reading("b", 1, 3)})
	require.Equal(t, []gauge.Sample{reading("b", 1, 3)}, s.take(now.Add(sampleLifetime)))
	s.add(now, []gauge.Sample{reading("a", 1, 2), reading("b", 1, 2)})
	s.retain(func(server string) bool { return server == "a" })
	require.Equal(t, []gauge.Sample{reading("a", 1, 2)}, s.take(now))
	require.Empty(t, s.reported["b"])
}

// Guards against frames that grow with the servers, and against an estimate that is not sent, sent twice or overtaken
// by an older one.
func TestEstimatesOfManyServers(t *testing.T) {
	var q paceQueue
	for i := range 2*maxToldPaces + 1 {
		q.add(wire.ServerPace{Server: fmt.Sprint("s", i), PacePct: 200})
	}
	told := make(map[string]int)
	for _, want := range []int{maxToldPaces, maxToldPaces, 1, 0} {
		list := q.take()
		require.Len(t, list, want)
		for _, s := range list {
			told[s.Server] = s.PacePct
		}
	}
	require.Len(t, told, 2*maxToldPaces+1)
	q.add(wire.ServerPace{Server: "s1", PacePct: 210})
	q.add(wire.ServerPace{Server: "s1", PacePct: 230})
	require.Equal(t, []wire.ServerPace{{Server: "s1", PacePct: 230}}, q.take())
}

// Guards against a relay that keeps what its VMs need, and against one that repeats to them all that a new controller
// tells.
func TestRelayPassesEstimatesOn(t *testing.T) {
	slow, usual := wire.ServerPace{Server: "slow", PacePct: 220}, wire.ServerPace{Server: "usual", PacePct: 100}
	withdrawn := wire.ServerPace{Server: "usual"}
	tests := map[string]struct {
		list, below []wire.ServerPace
		full        bool
	}{
		"nothing":                          {},
		"change":                           {list: []wire.ServerPace{{Server: "slow", PacePct: 110}}, below: []wire.ServerPace{{Server: "slow", PacePct: 110}}},
		"repeated, so that others hold":    {list: []wire.ServerPace{slow}, below: []wire.ServerPace{slow}},
		"withdrawal":                       {list: []wire.ServerPace{withdrawn}, below: []wire.ServerPace{withdrawn}},
		"full state with the same":         {list: []wire.ServerPace{slow, usual}, full: true},
		"full state with nearly the same":  {list: []wire.ServerPace{{Server: "slow", PacePct: 239}, {Server: "usual", PacePct: 91}}, full: true},
		"full state with a change":         {list: []wire.ServerPace{{Server: "slow", PacePct: 250}, usual}, full: true, below: []wire.ServerPace{{Server: "slow", PacePct: 250}}},
		"full state with another server":   {list: []wire.ServerPace{slow, {Server: "new", PacePct: 100}}, full: true, below: []wire.ServerPace{{Server: "new", PacePct: 100}}},
		"full state of an older build":     {full: true},
		"full state with the slow as fast": {list: []wire.ServerPace{{Server: "slow", PacePct: 100}}, full: true, below: []wire.ServerPace{{Server: "slow", PacePct: 100}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var q paceQueue
			q.addReceived([]wire.ServerPace{slow, usual}, true)
			require.Equal(t, []wire.ServerPace{slow, usual}, q.take())
			q.addReceived(tc.list, tc.full)
			require.Equal(t, tc.below, q.take())
		})
	}
}

// Guards against entries that no controller sends, which would put all load on a server or take it from all.
func TestInvalidEstimatesIgnored(t *testing.T) {
	valid := []wire.ServerPace{{Server: "a"}, {Server: "b", PacePct: 1}, {Server: "c", PacePct: maxPacePct}}
	invalid := []wire.ServerPace{{PacePct: 100}, {Server: "d", PacePct: -1}, {Server: "e", PacePct: maxPacePct + 1}}
	require.Equal(t, valid, validPaces(append(invalid, valid...)))
}

// pacedController returns a controller that knows the paces of a number of servers.
func pacedController(t *testing.T, now *time.Time, paces map[string]float64) *Peers {
	t.Helper()
	p := newControllerOf(t, now, 1)
	p.Gauge, p.Meter = &gauge.Gauge{}, meter.New()
	for server, pace := range paces {
		p.Gauge.Merge(*now, []gauge.Estimate{{Server: server, Pace: pace}})
	}
	return p
}

// receivedPaces returns the entries in the queue of a link, and whether a full state was among the frames.
func receivedPaces(t *testing.T, d *downlink) (list []wire.ServerPace, full bool) {
	t.Helper()
	for len(d.frames) > 0 {
		m, err := link.Decode(<-d.frames)
		require.NoError(t, err)
		if s := m.FleetState; s != nil {
			list, full = append(list, s.ZzzzzServerPaces...), full || s.Full
		}
	}
	return list, full
}

// Guards against a VM that links and learns the paces of some servers only, more than fit in other frames.
func TestFullStateHasAllEstimates(t *testing.T) {
	now := time.Unix(1000, 0)
	paces := make(map[string]float64)
	for i := range 3 * maxToldPaces {
		paces[fmt.Sprint("s", i)] = 2.2
	}
	p := pacedController(t, &now, paces)
	list, full := receivedPaces(t, p.link(t, "v", "1", 200))
	require.True(t, full)
	require.Len(t, list, len(paces))

	relay := newUnlinkedVM(&now)
	relay.Gauge, relay.Meter, relay.Balancer, relay.relaying = &gauge.Gauge{}, meter.New(), &pick.Balancer{}, true
	relay.applyPaces(now, list, true)
	behind, _ := receivedPaces(t, relay.link(t, "w", "1", 200))
	require.ElementsMatch(t, list, behind)
}

// Guards against a hub or VM of an older build whose frames without these members change anything, and against a VM
// that keeps the estimates of an earlier hub for good.
func TestPacesBesideOlderBuilds(t *testing.T) {
	now := time.Unix(1000, 0)
	vm := newUnlinkedVM(&now)
	vm.Gauge, vm.Meter = &gauge.Gauge{}, meter.New()
	vm.applyPaces(now, []wire.ServerPace{{Server: "a", PacePct: 220}}, true)
	for range 29 {
		now = now.Add(time.Second)
		vm.applyPaces(now, nil, false)
		vm.applyPaces(now, nil, true)
		require.InDelta(t, 2.2, vm.Gauge.Pace(now, "a"), 0.01, "its last estimates hold until they expire")
	}
	now = now.Add(time.Second)
	require.InDelta(t, 1, vm.Gauge.Pace(now, "a"), 0.01)

	controller := pacedController(t, &now, nil)
	d := controller.link(t, "v", "1", 200)
	controller.handleMessage(t.Context(), d, &wire.Message{VMReport: &wire.VMReport{Vms: 1}})
	require.Zero(t, controller.Meter.CounterValue("gauge.collected"))
}

// A relay has received an estimate that it has not passed on, when its links end or it stops as a relay. Guards against one
// that sends it much later, as a relay or the controller, to VMs that have been told a newer one.
func TestOldEstimatesNotPassedOn(t *testing.T) {
	old, newer := wire.ServerPace{Server: "a", PacePct: 300}, wire.ServerPace{Server: "a", PacePct: 100}
	for name, end := range map[string]func(p *Peers){
		"links end": func(p *Peers) {
			p.links = nil
			p.mu.Lock()
			require.Empty(t, p.takePacesDown(p.Now()))
			p.mu.Unlock()
		},
		"stops as a relay": func(p *Peers) {
			p.stopRelaying = func() {}
			p.endRelaying()
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := newUnlinkedVM(&now)
			p.Gauge, p.Meter, p.Balancer, p.relaying = &gauge.Gauge{}, meter.New(), &pick.Balancer{}, true
			p.link(t, "v", "1", 200)
			p.applyPaces(now, []wire.ServerPace{old}, false)
			end(p)
			relaying := p.relaying
			p.relaying = false
			now = now.Add(time.Minute)
			p.applyPaces(now, []wire.ServerPace{newer}, false)
			p.relaying = true
			require.Equal(t, name == "links end", relaying)
			d := p.link(t, "w", "1", 200)
			receivedPaces(t, d)
			p.broadcastFleetState(now, nil, 0, true)
			list, _ := receivedPaces(t, d)
			require.Empty(t, list)
		})
	}
}

// Guards against samples that no VM reports, such as negative or huge counts, which would shift estimates.
func TestInvalidSamplesIgnored(t *testing.T) {
	valid := wire.PaceSamples{Server: "a", Readings: 2, ReadingPct: 440, Responses: 1, ResponsePct: 210}
	list := samplesOf([]wire.PaceSamples{
		{Server: "", Readings: 1, ReadingPct: 100}, {Server: "b", Readings: -1, ReadingPct: 100}, {Server: "b", Readings: 1, ReadingPct: -100},
		{Server: "b", Responses: -1}, {Server: "b", Responses: 1, ResponsePct: -1},
		{Server: "b", Readings: math.MaxInt, ReadingPct: 100}, {Server: "b", Responses: maxSampleCount + 1, ResponsePct: 100},
		{Server: "b", Readings: 1, ReadingPct: math.MaxInt}, {Server: "b", Responses: 1, ResponsePct: math.MaxInt}, valid,
	})
	require.Equal(t, []gauge.Sample{{Server: "a", Readings: 2, PaceSum: 4.4, Responses: 1, RatioSum: 2.1}}, list)
	require.Equal(t, []wire.PaceSamples{valid}, sampleList(list))
}

// Guards against estimates of servers that are gone, which would be kept and passed on for good.
func TestPacesOfGoneServersForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newUnlinkedVM(&now)
	p.Gauge, p.Meter, p.relaying = &gauge.Gauge{}, meter.New(), true
	left := wire.ServerPace{Server: "a", PacePct: 220}
	p.applyPaces(now, []wire.ServerPace{left, {Server: "gone", PacePct: 220}}, true)
	p.RetainPaces(now, func(id string) bool { return id == "a" })
	require.InDelta(t, 2.2, p.Gauge.Pace(now, "a"), 0.01)
	require.InDelta(t, 1, p.Gauge.Pace(now, "gone"), 0.01)
	require.Equal(t, []wire.ServerPace{left}, p.paces.down.take())
	require.Len(t, p.paces.down.known, 1)
}
