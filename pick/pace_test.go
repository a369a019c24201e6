package pick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// pacedBalancer returns a balancer with constant paces, 1 for servers without one, and the ratios that it reports.
func pacedBalancer(paces map[string]float64) (*pick.Balancer, map[string][]float64) {
	observed := map[string][]float64{}
	return &pick.Balancer{
		Domain: "d",
		Pace: func(_ time.Time, server string) float64 {
			if pace, ok := paces[server]; ok {
				return pace
			}
			return 1
		},
		Observed: func(_ time.Time, server string, ratio float64) { observed[server] = append(observed[server], ratio) },
	}, observed
}

func prompt(id, tokens int) pick.Work {
	return pick.Work{Model: "m", Route: "r", Slots: 64, TokensPerEvent: 1, PromptTokens: tokens, MaxOutputTokens: 100, PromptParts: []pick.PromptPart{{ID: fmt.Sprint(id), Tokens: tokens}}}
}

// Guards against a change for deployments whose servers report no pace: a pace of 1 for all decides as no pace does.
func TestPaceOfOneChangesNothing(t *testing.T) {
	paced, _ := pacedBalancer(nil)
	plain := &pick.Balancer{Domain: "d"}
	list := servers(6)
	for i := range 300 {
		now := at(float64(i) * 0.02)
		w := draftRequest(fmt.Sprint("subject", i%17), i)
		w.Slots, w.TokensPerEvent = 64, 1
		if i%3 == 0 {
			w = pick.Work{Route: "plain"}
		}
		one, _ := paced.Choose(now, list, w, kvTokens, nil)
		other, _ := plain.Choose(now, list, w, kvTokens, nil)
		require.Equal(t, other, one)
		for b, c := range map[*pick.Balancer]pick.Choice{paced: one, plain: other} {
			a := b.Begin(now, c, w, kvTokens)
			if i%4 == 0 {
				a.FirstEvent(now.Add(c.PredictedTime * 5 / 4))
				a.StreamCompleted(20, 150*time.Millisecond)
				a.End(now.Add(c.PredictedTime*5/4+150*time.Millisecond), pick.Succeeded)
			}
			got, _ := b.ExpectedDuration(now, c, w)
			require.NotZero(t, got)
		}
		require.Equal(t, plain.Cost(w), paced.Cost(w))
	}
}

// Guards against rates that are those of whichever servers were measured: measured on slow servers only, the prediction for a fast
// one has to be right, and the ratios have to show how slow the others are.
func TestRatesAtPaceOfOne(t *testing.T) {
	balancer, observed := pacedBalancer(map[string]float64{"slow": 2, "fast": 0.5})
	slow, fast := backs.Entry{ID: "slow", Service: "s", Domain: "d", Slots: 64}, backs.Entry{ID: "fast", Service: "s", Domain: "d", Slots: 64}
	const overhead = 7 * time.Millisecond
	for i := range 200 {
		now, w := at(float64(i)*2), prompt(i, 3200)
		c, _ := balancer.Choose(now, []backs.Entry{slow}, w, kvTokens, nil)
		a := balancer.Begin(now, c, w, kvTokens)
		first := now.Add(200*time.Millisecond + overhead)
		a.FirstEvent(first)
		a.StreamCompleted(51, 50*12*time.Millisecond)
		a.End(first.Add(50*12*time.Millisecond), pick.Succeeded)
	}
	c, _ := balancer.Choose(at(1000), []backs.Entry{fast}, prompt(1000, 3200), kvTokens, nil)
	require.Equal(t, 0.5, c.Pace)
	require.InDelta(t, 50, c.PrefillTime.Seconds()*1000, 1)
	c, _ = balancer.Choose(at(1000), []backs.Entry{slow}, prompt(1001, 3200), kvTokens, nil)
	require.InDelta(t, 200, c.PrefillTime.Seconds()*1000, 3)
	last := observed["slow"][len(observed["slow"])-2:]
	require.InDelta(t, 2, last[0], 0.05, "prefill")
	require.InDelta(t, 2, last[1], 0.05, "token time")
	slowTime, _ := balancer.ExpectedDuration(at(1000), pick.Choice{Server: slow, Pace: 2}, prompt(1002, 3200))
	fastTime, _ := balancer.ExpectedDuration(at(1000), pick.Choice{Server: fast, Pace: 0.5}, prompt(1002, 3200))
	require.InDelta(t, 4, slowTime.Seconds()/fastTime.Seconds(), 0.05)
}

// Guards against ratios that show the work of others on a server: they would make a server with more requests look slow.
func TestObservedOnlyWithoutOtherWork(t *testing.T) {
	for name, tc := range map[string]struct {
		load    pick.Load
		ratios  int
		noModel bool
	}{
		"idle":                   {pick.Load{}, 2, false},
		"some streams":           {pick.Load{Running: 12}, 1, false},
		"many streams":           {pick.Load{Running: 30}, 0, false},
		"pending prefill":        {pick.Load{Running: 1, PrefillTime: 300 * time.Millisecond}, 0, false},
		"plain, free slots":      {pick.Load{Running: 5}, 1, true},
		"plain, no slot is free": {pick.Load{Running: 64}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			balancer, observed := pacedBalancer(nil)
			trained, list := servers(1), []backs.Entry{{ID: "x", Domain: "d", Slots: 64}}
			respond := func(now time.Time, list []backs.Entry, id int) {
				w := prompt(id, 3200)
				if tc.noModel {
					w = pick.Work{}
				}
				c, _ := balancer.Choose(now, list, w, kvTokens, nil)
				a := balancer.Begin(now, c, w, kvTokens)
				if !tc.noModel {
					a.FirstEvent(now.Add(107 * time.Millisecond))
					a.StreamCompleted(51, 250*time.Millisecond)
				}
				a.End(now.Add(357*time.Millisecond), pick.Succeeded)
			}
			for i := range 5 {
				respond(at(float64(i)), trained, i)
			}
			balancer.SetRemoteLoads(at(10), map[string]pick.Load{"x": tc.load})
			respond(at(10), list, 10)
			require.Len(t, observed["x"], tc.ratios)
		})
	}
}

// Guards against a plain server that is taken for an average one until this VM has measured it, and against a pace on top of what
// was measured there.
func TestPaceOfPlainServers(t *testing.T) {
	balancer, _ := pacedBalancer(map[string]float64{"slow": 3, "fast": 0.5})
	entry := func(id string) backs.Entry { return backs.Entry{ID: id, Service: "p", Domain: "d", Slots: 6} }
	respond := func(now time.Time, id string, took time.Duration) {
		c, _ := balancer.Choose(now, []backs.Entry{entry(id)}, pick.Work{}, 0, nil)
		balancer.Begin(now, c, pick.Work{}, 0).End(now.Add(took), pick.Succeeded)
	}
	predicted := func(id string) float64 {
		c, _ := balancer.Choose(at(100), []backs.Entry{entry(id)}, pick.Work{}, 0, nil)
		return c.PredictedTime.Seconds()
	}
	for i := range 30 {
		respond(at(float64(i)), "usual", 30*time.Millisecond)
	}
	require.InDelta(t, 3, predicted("slow")/predicted("usual"), 0.01)
	require.InDelta(t, 0.5, predicted("fast")/predicted("usual"), 0.01)
	for i := range 30 {
		respond(at(40+float64(i)), "slow", 60*time.Millisecond)
	}
	require.InDelta(t, 2, predicted("slow")/predicted("usual"), 0.01, "measured")
	require.InDelta(t, 20.0/30, predicted("new")/predicted("usual"), 0.02, "the average of the service is that at a pace of 1")
}
