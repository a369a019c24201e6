package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcomes returns the outcomes of each class of a pattern, summed over some seeds.
func outcomes(t *testing.T, p Pattern, v Variant, seeds int) map[string]OutcomeCounts {
	t.Helper()
	sums := make(map[string]OutcomeCounts)
	for seed := range seeds {
		tally := Run(p, v, uint64(seed+1))
		t.Log("\n" + tally.String())
		for _, class := range p.Classes {
			c, sum := tally.Class(class.Name), sums[class.Name]
			sum.add(c)
			sums[class.Name] = sum
		}
	}
	return sums
}

func share(n int, of OutcomeCounts) float64 { return float64(n) / float64(of.Requests) }

// Guards against urgent requests that wait and are refused because of work that servers run after
// them: with undivided loads a third of the short prompts were refused at 1.1 times the capacity, and
// with divided ones hardly any. The long prompts, which are nearly all of the work, come later.
func TestCompeting(t *testing.T) {
	const seeds = 2
	before := outcomes(t, Competing(), Variant{UndividedLoad: true}, seeds)
	after := outcomes(t, Competing(), Variant{}, seeds)
	require.Greater(t, share(before["short"].Refused, before["short"]), 0.25, "the pattern shows the fault")
	require.Less(t, share(after["short"].Refused, after["short"]), 0.01)
	require.Greater(t, share(after["short"].InTime, after["short"]), 0.98)
	require.Less(t, share(after["long"].Lost, after["long"]), 0.15)
	earned := func(c map[string]OutcomeCounts) float64 { return c["short"].EarnedWorth + c["long"].EarnedWorth }
	require.Greater(t, earned(after), 1.04*earned(before))
}

// Guards against less urgent requests that starve: urgent ones alone exceed the capacity, by the
// prefill of their prompts or by the slots that their responses occupy. Each class is served at least
// a quarter as often as all. Without yielding, the long prompts were served 0.09 to 0.12 times as often
// as all at twice the capacity.
func TestNoClassStarves(t *testing.T) {
	const bound = 0.25
	tests := map[string]struct {
		change  func(p *Pattern)
		variant Variant
		starves bool
	}{
		"twice the capacity":           {change: func(p *Pattern) { p.Classes[0].RequestsPerSecond = 1000 }},
		"four times the capacity":      {change: func(p *Pattern) { p.Classes[0].RequestsPerSecond = 2000 }},
		"no yielding":                  {change: func(p *Pattern) { p.Classes[0].RequestsPerSecond = 1000 }, variant: Variant{NoYield: true}, starves: true},
		"urgent with a long objective": {change: urgentWithLongObjective},
		"few slots": {change: func(p *Pattern) {
			// The queues of the first seconds take some seconds to drain: with responses of 1.5 s, a
			// server has three times as many urgent requests as slots by then.
			p.Length = 20 * time.Second
			p.Classes[0].RequestsPerSecond = 600
			p.Fleet.ServerSpec.Slots, p.Fleet.ServerSpec.MaxWaiting = 8, 16
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := Competing()
			p.Length = 8 * time.Second
			tc.change(&p)
			var all OutcomeCounts
			classes := outcomes(t, p, tc.variant, 1)
			for _, c := range classes {
				all.add(c)
			}
			worst := 1.0
			for _, c := range classes {
				worst = min(worst, share(c.InTime+c.Late, c)/share(all.InTime+all.Late, all))
			}
			t.Logf("the class served most rarely is served %.2f times as often as all", worst)
			require.Equal(t, tc.starves, worst < bound)
		})
	}
}

// urgentWithLongObjective makes the long prompts the urgent ones, with an objective that lets them
// queue up to the limit.
func urgentWithLongObjective(p *Pattern) {
	p.Classes[0].Priority, p.Classes[1].Priority = 3, 1
	p.Classes[0].Objective = 500 * time.Millisecond
	p.Classes[1].Objective, p.Classes[1].CallerTimeout = 4*time.Second, 16*time.Second
	p.Classes[1].RequestsPerSecond = 450
}

// Guards against changed decisions where all routes have the same priority.
func TestOnePriorityIsServedAsBefore(t *testing.T) {
	p := Competing()
	p.Length = 5 * time.Second
	for i := range p.Classes {
		p.Classes[i].Priority = 1
	}
	require.Equal(t, Run(p, Variant{UndividedLoad: true}, 1).String(), Run(p, Variant{}, 1).String())
}
