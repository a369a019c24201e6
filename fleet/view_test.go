package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

var start = time.Unix(1_000_000, 0)

func view(t *testing.T) *fleet.View {
	t.Helper()
	v := &fleet.View{MaxReportAge: 200 * time.Millisecond}
	v.SetServers([]wire.Server{
		{Name: "a", Pool: "llm", Address: "1", FailureDomain: "one"},
		{Name: "b", Pool: "llm", Address: "2", FailureDomain: "two"},
	})
	for _, name := range []string{"a", "b"} {
		v.SetReport(start, name, report(0))
	}
	return v
}

func report(running int) wire.LoadReport {
	return wire.LoadReport{Running: running, Slots: 10, Residents: []wire.Resident{
		{Model: "m", Version: 1, State: wire.ResidentStateLoaded},
		{Model: "m", Adapter: "x", Version: 1, State: wire.ResidentStateLoaded},
		{Model: "n", Version: 1, State: wire.ResidentStateLoading},
	}}
}

func names(candidates []fleet.Candidate) []string {
	var all []string
	for _, c := range candidates {
		all = append(all, c.Name)
	}
	return all
}

func TestCandidates(t *testing.T) {
	cases := map[string]struct {
		need   fleet.Requirements
		change func(*fleet.View)
		want   []string
	}{
		"model":                {need: fleet.Requirements{Pool: "llm", Model: "m"}, want: []string{"a", "b"}},
		"adapter":              {need: fleet.Requirements{Pool: "llm", Model: "m", Adapter: "x"}, want: []string{"a", "b"}},
		"missing adapter":      {need: fleet.Requirements{Pool: "llm", Model: "m", Adapter: "y"}},
		"still loading":        {need: fleet.Requirements{Pool: "llm", Model: "n"}},
		"other pool":           {need: fleet.Requirements{Pool: "desk", NoModel: true}},
		"leaving":              {need: fleet.Requirements{Pool: "llm", Model: "m"}, change: func(v *fleet.View) { v.MarkLeaving(start, "a") }, want: []string{"b"}},
		"draining report":      {need: fleet.Requirements{Pool: "llm", Model: "m"}, change: func(v *fleet.View) { v.SetReport(start, "b", wire.LoadReport{Draining: true}) }, want: []string{"a"}},
		"refused the model":    {need: fleet.Requirements{Pool: "llm", Model: "m"}, change: func(v *fleet.View) { v.MarkNotLoaded(start, "a", "m", "") }, want: []string{"b"}},
		"refused, at capacity": {need: fleet.Requirements{Pool: "llm", Model: "m"}, change: func(v *fleet.View) { v.MarkFull(start, "a") }, want: []string{"a", "b"}},
		"ejected":              {need: fleet.Requirements{Pool: "llm", Model: "m"}, change: func(v *fleet.View) { eject(v, "a") }, want: []string{"b"}},
		"prefill role":         {need: fleet.Requirements{Pool: "llm", Model: "m"}, change: func(v *fleet.View) { prefill(v, "a") }, want: []string{"b"}},
		"all in prefill role":  {need: fleet.Requirements{Pool: "llm", Model: "m"}, change: func(v *fleet.View) { prefill(v, "a"); prefill(v, "b") }, want: []string{"a", "b"}},
		"last replica stays":   {need: fleet.Requirements{Pool: "llm", Model: "m"}, change: func(v *fleet.View) { eject(v, "a"); eject(v, "b") }, want: []string{"a", "b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := view(t)
			if c.change != nil {
				c.change(v)
			}
			require.Equal(t, c.want, names(v.Candidates(start, c.need)))
		})
	}
}

func prefill(v *fleet.View, name string) {
	r := report(0)
	r.Role = string(wire.OrderRolePrefill)
	v.SetReport(start, name, r)
}

func eject(v *fleet.View, name string) {
	for range 3 {
		v.BeginRequest(start, name)
		v.EndRequest(start, name, false)
	}
}

func TestProbeAfterEjection(t *testing.T) {
	v := view(t)
	need := fleet.Requirements{Pool: "llm", Model: "m"}
	eject(v, "a")
	require.Equal(t, []string{"b"}, names(v.Candidates(start.Add(500*time.Millisecond), need)))
	later := start.Add(1100 * time.Millisecond)
	require.Equal(t, []string{"a", "b"}, names(v.Candidates(later, need)))
	v.BeginRequest(later, "a")
	require.Equal(t, []string{"b"}, names(v.Candidates(later, need)), "one probe at a time")
	v.EndRequest(later, "a", false)
	require.Equal(t, []string{"b"}, names(v.Candidates(later.Add(1500*time.Millisecond), need)), "the second ejection is longer")
	later = later.Add(2100 * time.Millisecond)
	v.SetReport(later, "a", report(0))
	v.SetReport(later, "b", report(0))
	v.BeginRequest(later, "a")
	v.EndRequest(later, "a", true)
	require.Equal(t, []string{"a", "b"}, names(v.Candidates(later, need)))
}

// A report that arrives now was taken before the VM's latest requests began. The view must
// add these requests to the load until a report can include them.
func TestStaleReportIsCorrected(t *testing.T) {
	v := view(t)
	load := func(now time.Time) int { return v.Candidates(now, fleet.Requirements{Pool: "llm", Model: "m"})[0].Load }
	v.BeginRequest(start, "a")
	v.BeginRequest(start, "a")
	require.Equal(t, 2, load(start))
	soon := start.Add(100 * time.Millisecond)
	v.SetReport(soon, "a", report(0))
	require.Equal(t, 2, load(soon), "the report was taken before the requests began")
	later := start.Add(400 * time.Millisecond)
	v.SetReport(later, "a", report(5))
	require.Equal(t, 5, load(later), "the report includes the requests")
	v.EndRequest(later, "a", true)
	require.Equal(t, 4, load(later))
}

func TestSilentServer(t *testing.T) {
	v := view(t)
	now := start.Add(10 * time.Second)
	v.SetReport(now, "b", report(0))
	require.Equal(t, []string{"b"}, names(v.Candidates(now, fleet.Requirements{Pool: "llm", Model: "m"})))
	require.Equal(t, wire.ServerStatusStateSilent, v.Status(now)[0].State)
}

func TestSetServersKeepsState(t *testing.T) {
	v := view(t)
	v.SetServers([]wire.Server{
		{Name: "a", Pool: "llm", Address: "1"},
		{Name: "b", Pool: "llm", Address: "9"},
	})
	require.Equal(t, []string{"a"}, names(v.Candidates(start, fleet.Requirements{Pool: "llm", Model: "m"})),
		"a server at another address is another server")
}

// A server that said that it leaves gets no requests again because of a load report or a list of servers from
// before it said so.
func TestLeavingIsKept(t *testing.T) {
	servers := []wire.Server{{Name: "a", Pool: "llm", Address: "1"}, {Name: "b", Pool: "llm", Address: "2"}}
	restarted := []wire.Server{{Name: "a", Pool: "llm", Address: "3"}, servers[1]}
	draining := report(0)
	draining.Draining = true
	refused := start.Add(time.Second)
	tests := map[string]struct {
		change func(v *fleet.View)
		want   []string
	}{
		"refusal, then a report from before it": {func(v *fleet.View) {
			v.MarkLeaving(refused, "a")
			v.SetReport(refused.Add(100*time.Millisecond), "a", report(0))
		}, []string{"b"}},
		"refusal, then a list of servers": {func(v *fleet.View) {
			v.MarkLeaving(refused, "a")
			v.SetServers(servers)
		}, []string{"b"}},
		"report, then a list of servers": {func(v *fleet.View) {
			v.SetReport(refused, "a", draining)
			v.SetServers(servers)
		}, []string{"b"}},
		"drain taken back": {func(v *fleet.View) {
			v.MarkLeaving(refused, "a")
			v.SetReport(refused.Add(300*time.Millisecond), "a", report(0))
		}, []string{"a", "b"}},
		"started again elsewhere": {func(v *fleet.View) {
			v.MarkLeaving(refused, "a")
			v.SetServers(restarted)
			v.SetReport(refused.Add(time.Millisecond), "a", report(0))
		}, []string{"a", "b"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := view(t)
			tc.change(v)
			now := refused.Add(300 * time.Millisecond)
			require.Equal(t, tc.want, names(v.Candidates(now, fleet.Requirements{Pool: "llm", Model: "m"})))
		})
	}
}

// A server at rest gets no requests, and a request that only servers at rest can take learns when the first
// of them takes it.
func TestRest(t *testing.T) {
	need := fleet.Requirements{Pool: "llm", Model: "m"}
	tests := map[string]struct {
		rests  map[string]time.Duration
		change func(v *fleet.View)
		want   []string
		rest   time.Duration
	}{
		"none":                    {nil, nil, []string{"a", "b"}, 0},
		"one":                     {map[string]time.Duration{"1": time.Hour}, nil, []string{"b"}, 0},
		"both":                    {map[string]time.Duration{"1": time.Hour, "2": time.Minute}, nil, nil, time.Minute},
		"one, the other leaves":   {map[string]time.Duration{"1": time.Hour}, func(v *fleet.View) { v.MarkLeaving(start, "b") }, nil, time.Hour},
		"one, the other may load": {map[string]time.Duration{"1": time.Hour}, func(v *fleet.View) { v.MarkNotLoaded(start, "b", "m", "") }, nil, 0},
		"briefly, other may load": {map[string]time.Duration{"1": time.Second}, func(v *fleet.View) { v.MarkNotLoaded(start, "b", "m", "") }, nil, time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := view(t)
			v.RestRemaining = func(_ time.Time, address string) time.Duration { return tc.rests[address] }
			if tc.change != nil {
				tc.change(v)
			}
			require.Equal(t, tc.want, names(v.Candidates(start, need)))
			require.Equal(t, tc.rest, v.Rest(start, need))
		})
	}
}
