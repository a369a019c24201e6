package pick_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

const ms = time.Millisecond

// dividedLoad is 100 ms of prefill of priority 1, 300 ms of priority 3 and 600 ms of priority 7.
func dividedLoad() pick.Load {
	return pick.Load{PrefillTime: time.Second}.WithPrefill([]time.Duration{0, 100 * ms, 0, 300 * ms, 0, 0, 0, 600 * ms})
}

func shortPrompt(priority int) pick.Work {
	return pick.Work{Route: "short", Model: "m", Priority: priority, PromptTokens: 64, Objective: 400 * ms}
}

// Guards against urgent requests that are predicted to wait for work which the server runs after
// them, and against less urgent ones that are predicted to run first.
func TestQueueByPriority(t *testing.T) {
	const inProgress = 30 * ms
	tests := map[string]struct {
		load             pick.Load
		age              float64
		priority         int
		queue, overtaken time.Duration
	}{
		"first":                 {load: dividedLoad(), priority: 1, queue: 100*ms + inProgress, overtaken: 900*ms - inProgress},
		"second":                {load: dividedLoad(), priority: 3, queue: 400*ms + inProgress, overtaken: 600*ms - inProgress},
		"no work of its level":  {load: dividedLoad(), priority: 5, queue: 400*ms + inProgress, overtaken: 600*ms - inProgress},
		"last":                  {load: dividedLoad(), priority: 7, queue: time.Second},
		"lowest":                {load: dividedLoad(), priority: 9, queue: time.Second},
		"out of range":          {load: dividedLoad(), priority: 12, queue: time.Second},
		"little in progress":    {load: pick.Load{PrefillTime: 10 * ms}.WithPrefill([]time.Duration{0, 0, 10 * ms}), priority: 1, queue: 10 * ms},
		"older build":           {load: pick.Load{PrefillTime: time.Second}, priority: 1, queue: time.Second},
		"older build, lowest":   {load: pick.Load{PrefillTime: time.Second}, priority: 9, queue: time.Second},
		"older and newer build": {load: pick.Load{PrefillTime: time.Second}.Add(dividedLoad()), priority: 1, queue: 1100*ms + inProgress, overtaken: 900*ms - inProgress},
		// A server works on the most urgent requests first: an older report has none of them left.
		"aged within the first":   {load: dividedLoad(), age: 0.05, priority: 1, queue: 50*ms + inProgress, overtaken: 900*ms - inProgress},
		"aged beyond the first":   {load: dividedLoad(), age: 0.25, priority: 1, queue: inProgress, overtaken: 750*ms - inProgress},
		"aged, second":            {load: dividedLoad(), age: 0.25, priority: 3, queue: 150*ms + inProgress, overtaken: 600*ms - inProgress},
		"aged beyond all":         {load: dividedLoad(), age: 5, priority: 1},
		"aged, of an older build": {load: pick.Load{PrefillTime: time.Second}, age: 0.25, priority: 1, queue: 750 * ms},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			balancer := &pick.Balancer{Domain: "d"}
			balancer.SetRemoteLoads(at(0), map[string]pick.Load{"s0": tc.load})
			c, ok := balancer.Choose(at(tc.age), servers(1), shortPrompt(tc.priority), kvTokens, nil)
			require.True(t, ok)
			require.Equal(t, tc.queue, c.QueueTime)
			require.Equal(t, tc.overtaken, c.OvertakenTime)
			require.Equal(t, tc.queue+c.PrefillTime, c.PredictedTime)
		})
	}
}

// Guards against a changed prediction where no routes differ in priority: all requests are of
// priority 0 then, and each waits for all of them.
func TestOnePriorityWaitsForAll(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	long := draftRequest("x", 1)
	c, _ := balancer.Choose(at(0), servers(1), long, kvTokens, nil)
	balancer.Begin(at(0), c, long, kvTokens)
	balancer.SetRemoteLoads(at(0), map[string]pick.Load{"s0": {PrefillTime: 200 * ms}})
	next, _ := balancer.Choose(at(0.05), servers(1), shortPrompt(0), kvTokens, nil)
	const running = 300 * time.Microsecond
	require.Equal(t, c.PrefillTime+150*ms+running, next.QueueTime)
	require.Zero(t, next.OvertakenTime)
}

// Guards against prefill that stays in the load of a priority after its request has had its first
// event or has ended, and against prefill that is counted under another priority.
func TestAttemptPrefillByPriority(t *testing.T) {
	tests := map[string]func(a *pick.Attempt){
		"first event":       func(a *pick.Attempt) { a.FirstEvent(at(1)) },
		"no first event":    func(a *pick.Attempt) { a.End(at(1), pick.Neutral) },
		"both, end later":   func(a *pick.Attempt) { a.FirstEvent(at(1)); a.End(at(2), pick.Succeeded) },
		"both, event later": func(a *pick.Attempt) { a.End(at(1), pick.Refused); a.FirstEvent(at(2)) },
	}
	for name, finish := range tests {
		t.Run(name, func(t *testing.T) {
			balancer := &pick.Balancer{Domain: "d"}
			var attempts []*pick.Attempt
			for _, priority := range []int{0, 1, 7, 7} {
				w := shortPrompt(priority)
				c, _ := balancer.Choose(at(0), servers(1), w, kvTokens, nil)
				c.PrefillTime = 100 * ms
				attempts = append(attempts, balancer.Begin(at(0), c, w, kvTokens))
			}
			load := balancer.LocalLoads()["s0"]
			require.Equal(t, 400*ms, load.PrefillTime)
			require.Equal(t, []time.Duration{100 * ms, 100 * ms, 0, 200 * ms}, []time.Duration{load.Prefill(0), load.Prefill(1), load.Prefill(3), load.Prefill(7)})
			finish(attempts[2])
			load = balancer.LocalLoads()["s0"]
			require.Equal(t, 300*ms, load.PrefillTime)
			require.Equal(t, 100*ms, load.Prefill(7))
			for _, a := range attempts {
				a.FirstEvent(at(3))
			}
			require.Zero(t, balancer.LocalLoads()["s0"].PrefillTime)
		})
	}
}

// Guards against a division of invalid or older data that makes requests overtake work that is
// before them, and against a changed sum.
func TestWithPrefill(t *testing.T) {
	whole := pick.Load{PrefillTime: 100 * ms}
	tests := map[string]struct {
		parts []time.Duration
		first time.Duration
	}{
		"none":                {nil, 100 * ms},
		"all divided":         {[]time.Duration{40 * ms, 0, 60 * ms}, 40 * ms},
		"rest counts first":   {[]time.Duration{10 * ms, 0, 60 * ms}, 40 * ms},
		"negative":            {[]time.Duration{0, -10 * ms, 60 * ms}, 100 * ms},
		"more than the sum":   {[]time.Duration{50 * ms, 0, 60 * ms}, 100 * ms},
		"too many":            {[]time.Duration{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 60 * ms}, 100 * ms},
		"overflow of summing": {[]time.Duration{1 << 62, 1 << 62, 1 << 62}, 100 * ms},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := whole.WithPrefill(tc.parts)
			require.Equal(t, 100*ms, l.PrefillTime)
			require.Equal(t, tc.first, l.Prefill(0))
		})
	}
}

// Guards against a load of the other VMs that is too long, or divided wrongly, when an older build
// has summed up the loads, and against one that is negative when the two are of different age.
func TestSubtractDividedLoads(t *testing.T) {
	divided := func(total time.Duration, parts ...time.Duration) pick.Load {
		return pick.Load{PrefillTime: total}.WithPrefill(parts)
	}
	tests := map[string]struct{ sum, part, want pick.Load }{
		"by priority":              {divided(50*ms, 10*ms, 40*ms), divided(30*ms, 0, 30*ms), divided(20*ms, 10*ms, 10*ms)},
		"sum of an older build":    {divided(50 * ms), divided(30*ms, 0, 30*ms), divided(20 * ms)},
		"part of an older build":   {divided(50*ms, 0, 50*ms), divided(30 * ms), divided(20*ms, 0, 20*ms)},
		"newer part of other work": {divided(50*ms, 10*ms, 0, 40*ms), divided(30*ms, 0, 30*ms), divided(20*ms, 0, 0, 20*ms)},
		"part larger":              {divided(50*ms, 10*ms, 40*ms), divided(80*ms, 20*ms, 60*ms), pick.Load{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, tc.sum.Sub(tc.part)) })
	}
}

// Guards against urgent requests that are sent to delay others where a server without them is free,
// while the queue before them is the same.
func TestOvertakingCosts(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	balancer.SetRemoteLoads(at(0), map[string]pick.Load{"s0": pick.Load{PrefillTime: time.Second}.WithPrefill([]time.Duration{0, 0, 0, time.Second})})
	for range 50 {
		c, ok := balancer.Choose(at(0.01), servers(2), shortPrompt(1), kvTokens, nil)
		require.True(t, ok)
		require.Equal(t, "s1", c.Server.ID)
	}
}
