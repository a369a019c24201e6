package pick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// Guards against a VM that stops and takes streams which end after its exit, as the expected duration is that of an average
// one, or refuses nearly all, as it is that of the longest possible.
func TestExpectedDuration(t *testing.T) {
	const predicted, tokenTime = 40 * time.Millisecond, 8 * time.Millisecond
	server := backs.Entry{ID: "a", Service: "s", Slots: 8}
	choice := pick.Choice{Server: server, PredictedTime: predicted}
	work := pick.Work{Route: "r", Model: "m", Slots: 8, TokensPerEvent: 2, PromptTokens: 100, MaxOutputTokens: 200}
	longest := predicted + 200*tokenTime
	for name, tc := range map[string]struct {
		// share returns the output of the i-th of the measured streams as a share of the maximum.
		share    func(rng *rand.Rand) float64
		measured int
		change   func(*pick.Work)
		min, max time.Duration
		unknown  bool
	}{
		"no model":              {change: func(w *pick.Work) { *w = pick.Work{} }, min: predicted, max: predicted},
		"nothing known":         {change: func(w *pick.Work) { w.MaxOutputTokens = 0 }, unknown: true, min: predicted, max: predicted},
		"measured, not known":   {share: func(*rand.Rand) float64 { return 1 }, measured: 1, change: func(w *pick.Work) { w.MaxOutputTokens = 0 }, min: predicted + 198*tokenTime, max: predicted + 2*(predicted+200*tokenTime)},
		"varies, not known":     {share: func(r *rand.Rand) float64 { return 0.2 + 0.4*r.Float64() }, measured: 200, change: func(w *pick.Work) { w.MaxOutputTokens = 0 }, min: predicted + 100*tokenTime, max: predicted + 150*tokenTime},
		"nothing measured":      {min: predicted + 200*5*time.Millisecond, max: predicted + 2*200*5*time.Millisecond},
		"same output each time": {share: func(*rand.Rand) float64 { return 0.25 }, measured: 200, min: predicted + 50*tokenTime, max: predicted + 60*tokenTime},
		"all that is allowed":   {share: func(*rand.Rand) float64 { return 1 }, measured: 200, min: longest, max: longest + longest/10},
		"output varies":         {share: func(r *rand.Rand) float64 { return 0.2 + 0.4*r.Float64() }, measured: 200, min: predicted + 2*50*tokenTime, max: predicted + 2*75*tokenTime},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			b := &pick.Balancer{}
			now := time.Unix(1000, 0)
			w := work
			if tc.change != nil {
				tc.change(&w)
			}
			for range tc.measured {
				events := int(tc.share(rng) * float64(work.MaxOutputTokens) / float64(work.TokensPerEvent))
				a := b.Begin(now, choice, w, 0)
				a.FirstEvent(now.Add(predicted))
				took := time.Duration((events-1)*work.TokensPerEvent) * tokenTime
				a.StreamCompleted(events, took)
				a.End(now.Add(predicted+took), pick.Succeeded)
			}
			got, known := b.ExpectedDuration(now, choice, w)
			require.Equal(t, !tc.unknown, known)
			require.GreaterOrEqual(t, got, tc.min)
			require.LessOrEqual(t, got, tc.max)
		})
	}
}

// Guards against a VM that stops and takes streams which end after its exit, because all that it has seen complete came
// before its servers became slower.
func TestRunningStreamsLengthenExpectedDuration(t *testing.T) {
	const fast, slow = 20 * time.Millisecond, 3 * time.Second
	b := &pick.Balancer{}
	choice := pick.Choice{Server: backs.Entry{ID: "a", Service: "s", Slots: 8}}
	work := pick.Work{Route: "r", Model: "m", Slots: 8, PromptTokens: 100}
	now := time.Unix(1000, 0)
	for range 20 {
		b.Begin(now, choice, work, 0).End(now.Add(fast), pick.Succeeded)
	}
	expected := func() time.Duration {
		d, known := b.ExpectedDuration(now, choice, work)
		require.True(t, known)
		return d
	}
	require.Less(t, expected(), 2*fast)
	var running []*pick.Attempt
	for range 6 {
		running = append(running, b.Begin(now, choice, work, 0))
	}
	other := work
	other.Route = "other"
	b.Begin(now, choice, other, 0)
	now = now.Add(slow)
	require.Greater(t, expected(), slow)
	for _, a := range running {
		a.End(now, pick.Neutral)
	}
	require.Less(t, expected(), 2*fast)
}

// Requests of one route of a service without models take long, those of another are short. Guards against a VM that stops
// and takes one that ends after its exit, because the average of the service is short, and against refusing short ones.
func TestExpectedDurationByRouteWithoutModel(t *testing.T) {
	const short, long = 20 * time.Millisecond, 3 * time.Second
	b := &pick.Balancer{}
	choice := pick.Choice{Server: backs.Entry{ID: "a", Service: "s"}, PredictedTime: short}
	now := time.Unix(1000, 0)
	b.Begin(now, choice, pick.Work{Route: "slow"}, 0).End(now.Add(long), pick.Succeeded)
	for range 40 {
		b.Begin(now, choice, pick.Work{Route: "fast"}, 0).End(now.Add(short), pick.Succeeded)
	}
	for route, tc := range map[string]struct{ min, max time.Duration }{
		"slow":        {long, 3 * long},
		"fast":        {short, 2 * short},
		"not yet met": {short, short},
	} {
		t.Run(route, func(t *testing.T) {
			got, known := b.ExpectedDuration(now, choice, pick.Work{Route: route})
			require.True(t, known)
			require.GreaterOrEqual(t, got, tc.min)
			require.LessOrEqual(t, got, tc.max)
		})
	}
}

// Guards against a VM that stops and cuts off a stream of low priority: more urgent requests that arrived after it was sent
// have made it take twice the expected time.
func TestOvertakenStreamsExpectedToTakeLonger(t *testing.T) {
	// longest is how long streams take at most that nothing overtakes.
	const longest = 1200 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	b := &pick.Balancer{}
	choice := pick.Choice{Server: backs.Entry{ID: "a", Service: "s", Slots: 8}}
	now := time.Unix(1000, 0)
	expected := func(priority int) time.Duration {
		d, known := b.ExpectedDuration(now, choice, pick.Work{Route: "r", Model: "m", Priority: priority})
		require.True(t, known)
		return d
	}
	for range 200 {
		took := longest/3 + time.Duration(rng.Int64N(int64(longest-longest/3)))
		b.Begin(now, choice, pick.Work{Route: "r", Model: "m"}, 0).End(now.Add(took), pick.Succeeded)
	}
	for name, tc := range map[string]struct {
		priority int
		min, max time.Duration
	}{
		"one priority":  {0, longest / 2, longest},
		"most urgent":   {1, longest / 2, longest},
		"less urgent":   {2, longest, 2 * time.Second},
		"lowest":        {9, longest, 2 * time.Second},
		"out of bounds": {12, longest, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			require.GreaterOrEqual(t, expected(tc.priority), tc.min)
			require.LessOrEqual(t, expected(tc.priority), tc.max)
		})
	}
}

// Guards against a duration that overflows because of what a caller says it wants: a stream would count as about to end.
func TestExpectedDurationOfHugeOutput(t *testing.T) {
	b := &pick.Balancer{}
	work := pick.Work{Route: "r", Model: "m", Slots: 8, PromptTokens: 100, MaxOutputTokens: 1}
	choice := pick.Choice{Server: backs.Entry{ID: "a", Service: "s", Slots: 8}, PredictedTime: time.Millisecond}
	now := time.Unix(1000, 0)
	b.Begin(now, choice, work, 0).End(now.Add(time.Minute), pick.Succeeded)
	work.MaxOutputTokens = 1 << 30
	expected, known := b.ExpectedDuration(now, choice, work)
	require.True(t, known)
	require.Greater(t, expected, 24*time.Hour)
}
