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
		{Name: "draft", Rate: 50, ZipfExponent: 1, Profile: wire.Profile{Name: "draft", RunsAllowed: 2, WholeAnswerMs: 1000, FirstTokenMs: 100, BetweenTokensMs: 10, Models: models}},
		{Name: "desk", Kind: load.KindService, Rate: 20, BurstFactor: 10, BurstStart: 2 * time.Second, BurstEnd: 3 * time.Second, RepeatShare: 0.2, Profile: wire.Profile{Name: "desk", RunsAllowed: 1, WholeAnswerMs: 1000}},
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
			require.GreaterOrEqual(t, x.Offset, a[i-1].Offset)
		}
		counts[x.Class]++
		if x.Class == 1 && x.Offset >= 2*time.Second && x.Offset < 3*time.Second {
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
		return load.Result{Arrival: arrival(class), Verdict: load.VerdictFailed, Outcome: o, Code: "c"}
	}
	cases := map[string]struct {
		results []load.Result
		runs    int
		want    load.Violations
	}{
		"complete":               {[]load.Result{{Arrival: arrival(0), Verdict: load.VerdictCorrect}}, 1, load.Violations{}},
		"two runs allowed":       {[]load.Result{{Arrival: arrival(0), Verdict: load.VerdictCorrect}}, 2, load.Violations{}},
		"too many runs":          {[]load.Result{{Arrival: arrival(0), Verdict: load.VerdictCorrect}}, 3, load.Violations{DoubleRuns: 1}},
		"at-most-once run twice": {[]load.Result{{Arrival: arrival(1), Verdict: load.VerdictCorrect}}, 2, load.Violations{DoubleRuns: 1}},
		"wrong":                  {[]load.Result{{Arrival: arrival(0), Verdict: load.VerdictWrong}}, 1, load.Violations{WrongAnswers: 1}},
		"lost":                   {[]load.Result{{Arrival: arrival(0), Verdict: load.VerdictIncomplete}}, 1, load.Violations{LostAnswers: 1}},
		"not run":                {[]load.Result{failed(1, hibiscuscart.OutcomeNotRun)}, 0, load.Violations{}},
		"false not run":          {[]load.Result{failed(1, hibiscuscart.OutcomeNotRun)}, 1, load.Violations{FalseNotRun: 1}},
		"unknown":                {[]load.Result{failed(1, hibiscuscart.OutcomeUnknown)}, 1, load.Violations{}},
		"repeated, one ran":      {[]load.Result{failed(1, hibiscuscart.OutcomeNotRun), {Arrival: arrival(1), Verdict: load.VerdictCorrect}}, 1, load.Violations{}},
		"repeated, both ran":     {[]load.Result{{Arrival: arrival(1), Verdict: load.VerdictCorrect}, {Arrival: arrival(1), Verdict: load.VerdictCorrect}}, 2, load.Violations{DoubleRuns: 1}},
		"no VM reachable":        {[]load.Result{{Arrival: arrival(0), Verdict: load.VerdictUnreachable}}, 0, load.Violations{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := load.Summarize(classes(), c.results, map[string]int{"r": c.runs})
			require.Equal(t, c.want, s.Violations)
		})
	}
}

func TestAttainment(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	cases := map[string]struct {
		result load.Result
		want   float64
	}{
		"in time":          {load.Result{Verdict: load.VerdictCorrect, Duration: ms(500), Tokens: 3, TimeToFirstToken: ms(50), TokenIntervals: []time.Duration{ms(5), ms(9)}}, 1},
		"late first token": {load.Result{Verdict: load.VerdictCorrect, Duration: ms(500), Tokens: 3, TimeToFirstToken: ms(150)}, 0},
		"slow tokens":      {load.Result{Verdict: load.VerdictCorrect, Duration: ms(500), Tokens: 3, TimeToFirstToken: ms(50), TokenIntervals: []time.Duration{ms(20), ms(20)}}, 0},
		"late response":    {load.Result{Verdict: load.VerdictCorrect, Duration: ms(1500)}, 0},
		"failed":           {load.Result{Verdict: load.VerdictFailed}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := load.Summarize(classes(), []load.Result{c.result}, nil)
			require.Equal(t, c.want, s.Total.Attainment)
		})
	}
}
