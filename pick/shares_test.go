package pick_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// Guards against less urgent requests that are not served at all while urgent ones alone exceed the
// capacity, and against urgent requests that yield without need: for chance, for classes of other
// services, for more urgent ones, or for a shortage that has passed.
func TestYields(t *testing.T) {
	type class struct {
		service, route  string
		priority        int
		served, refused int
	}
	urgent := class{"s", "short", 1, 40, 10}
	tests := map[string]struct {
		classes  []class
		priority int
		after    float64
		want     bool
	}{
		"nothing known":             {priority: 1},
		"less urgent ones starve":   {classes: []class{urgent, {"s", "long", 3, 1, 19}}, priority: 1, want: true},
		"served half as often":      {classes: []class{urgent, {"s", "long", 3, 8, 12}}, priority: 1},
		"all are refused alike":     {classes: []class{{"s", "short", 1, 4, 46}, {"s", "long", 3, 2, 18}}, priority: 1},
		"nothing is served":         {classes: []class{{"s", "short", 1, 0, 50}, {"s", "long", 3, 0, 18}}, priority: 1},
		"two refusals":              {classes: []class{urgent, {"s", "long", 3, 0, 2}}, priority: 1},
		"same priority":             {classes: []class{urgent, {"s", "long", 1, 0, 20}}, priority: 1},
		"less urgent do not yield":  {classes: []class{{"s", "short", 1, 0, 20}, {"s", "long", 3, 40, 0}}, priority: 3},
		"another service":           {classes: []class{urgent, {"t", "long", 3, 0, 20}}, priority: 1},
		"one of two routes starves": {classes: []class{urgent, {"s", "long", 3, 100, 0}, {"s", "later", 3, 0, 20}}, priority: 1, want: true},
		"one priority":              {classes: []class{{"s", "short", 0, 40, 0}, {"s", "long", 0, 0, 20}}},
		"long ago":                  {classes: []class{urgent, {"s", "long", 3, 1, 19}}, priority: 1, after: 60},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			balancer := &pick.Balancer{Domain: "d"}
			for _, c := range tc.classes {
				w := pick.Work{Route: c.route, Model: "m", Priority: c.priority, PromptTokens: 64}
				server := servers(1)
				server[0].Service = c.service
				for range c.served {
					choice, _ := balancer.Choose(at(0), server, w, kvTokens, nil)
					attempt := balancer.Begin(at(0), choice, w, kvTokens)
					attempt.FirstEvent(at(0))
					attempt.End(at(0), pick.Succeeded)
				}
				for range c.refused {
					balancer.Unserved(at(0), c.service, w)
				}
			}
			require.Equal(t, tc.want, balancer.Yields(at(tc.after), "s", pick.Work{Route: "short", Model: "m", Priority: tc.priority}))
		})
	}
}

// Guards against requests that wait behind urgent ones until their callers disconnect and count as
// served, or are not counted.
func TestDisconnectedCallersAreUnserved(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	server := servers(1)
	server[0].Service = "s"
	run := func(w pick.Work, finish func(a *pick.Attempt)) {
		choice, _ := balancer.Choose(at(0), server, w, kvTokens, nil)
		finish(balancer.Begin(at(0), choice, w, kvTokens))
	}
	for range 20 {
		run(shortPrompt(1), func(a *pick.Attempt) { a.End(at(0), pick.Succeeded) })
		run(draftRequest("x", 1), func(a *pick.Attempt) { a.End(at(0), pick.Refused) })
	}
	require.False(t, balancer.Yields(at(0), "s", shortPrompt(1)), "refusals of servers are tried elsewhere")
	long := draftRequest("x", 1)
	long.Priority = 3
	for range 20 {
		run(long, func(a *pick.Attempt) { a.End(at(0), pick.Neutral) })
	}
	require.True(t, balancer.Yields(at(0), "s", shortPrompt(1)))
}
