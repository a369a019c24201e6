package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

func classes() []load.Class {
	models := []wire.Model{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	return []load.Class{
		{Name: "draft", Rate: 50, Skew: 1, Profile: wire.Profile{Name: "draft", RunsAllowed: 2, WholeAnswerMs: 1000, FirstTokenMs: 100, BetweenTokensMs: 10, Models: models}},
		{Name: "desk", Kind: load.KindService, Rate: 20, Burst: 10, BurstFrom: 2 * time.Second, BurstTo: 3 * time.Second, Repeat: 0.2, Profile: wire.Profile{Name: "desk", RunsAllowed: 1, WholeAnswerMs: 1000}},
	}
}

func TestScheduleSeed(t *testing.T) {
	a := load.Schedule(7, 10*time.Second, classes())
	require.Equal(t, a, load.Schedule(7, 10*time.Second, classes()))
	require.NotEqual(t, a, load.Schedule(8, 10*time.Second, classes()))
	counts := make(map[int]int)
	burst := 0
	for i, x := range a {
		if i > 0 {
			require.GreaterOrEqual(t, x.At, a[i-1].At)
		}
		counts[x.Class]++
		if x.Class == 1 && x.At >= 2*time.Second && x.At < 3*time.Second {
			burst++
		}
	}
	require.InDelta(t, 500, counts[0], 100)
	require.InDelta(t, 240, burst, 70, "requests during the burst")
}

// Each kind of violation must be counted, and results that only resemble a
// violation must not be.
func TestSummaryViolations(t *testing.T) {
	arrival := func(class int) load.Arrival { return load.Arrival{ID: "r", Class: class} }
	failed := func(class int, o hibiscuscart.Outcome) load.Result {
		return load.Result{Arrival: arrival(class), End: load.EndFailed, Outcome: o, Code: "c"}
	}
	cases := map[string]struct {
		results []load.Result
		runs    int
		want    load.Promises
	}{
		"complete":               {[]load.Result{{Arrival: arrival(0), End: load.EndWhole}}, 1, load.Promises{}},
		"two runs allowed":       {[]load.Result{{Arrival: arrival(0), End: load.EndWhole}}, 2, load.Promises{}},
		"too many runs":          {[]load.Result{{Arrival: arrival(0), End: load.EndWhole}}, 3, load.Promises{DoubleRuns: 1}},
		"at-most-once run twice": {[]load.Result{{Arrival: arrival(1), End: load.EndWhole}}, 2, load.Promises{DoubleRuns: 1}},
		"wrong":                  {[]load.Result{{Arrival: arrival(0), End: load.EndWrong}}, 1, load.Promises{WrongAnswers: 1}},
		"lost":                   {[]load.Result{{Arrival: arrival(0), End: load.EndLost}}, 1, load.Promises{LostAnswers: 1}},
		"not run":                {[]load.Result{failed(1, hibiscuscart.OutcomeNotRun)}, 0, load.Promises{}},
		"false not run":          {[]load.Result{failed(1, hibiscuscart.OutcomeNotRun)}, 1, load.Promises{FalseNotRun: 1}},
		"unknown":                {[]load.Result{failed(1, hibiscuscart.OutcomeUnknown)}, 1, load.Promises{}},
		"repeated, one ran":      {[]load.Result{failed(1, hibiscuscart.OutcomeNotRun), {Arrival: arrival(1), End: load.EndWhole}}, 1, load.Promises{}},
		"repeated, both ran":     {[]load.Result{{Arrival: arrival(1), End: load.EndWhole}, {Arrival: arrival(1), End: load.EndWhole}}, 2, load.Promises{DoubleRuns: 1}},
		"no VM reachable":        {[]load.Result{{Arrival: arrival(0), End: load.EndNotReached}}, 0, load.Promises{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := load.Summarise(classes(), c.results, map[string]int{"r": c.runs})
			require.Equal(t, c.want, s.Promises)
		})
	}
}

func TestAttainment(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	cases := map[string]struct {
		result load.Result
		want   float64
	}{
		"in time":          {load.Result{End: load.EndWhole, Took: ms(500), Tokens: 3, FirstToken: ms(50), Gaps: []time.Duration{ms(5), ms(9)}}, 1},
		"late first token": {load.Result{End: load.EndWhole, Took: ms(500), Tokens: 3, FirstToken: ms(150)}, 0},
		"slow tokens":      {load.Result{End: load.EndWhole, Took: ms(500), Tokens: 3, FirstToken: ms(50), Gaps: []time.Duration{ms(20), ms(20)}}, 0},
		"late response":    {load.Result{End: load.EndWhole, Took: ms(1500)}, 0},
		"failed":           {load.Result{End: load.EndFailed}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := load.Summarise(classes(), []load.Result{c.result}, nil)
			require.Equal(t, c.want, s.Total.Attained)
		})
	}
}
