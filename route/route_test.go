package route_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/naive"
	"github.com/hibiscuscart/hibiscuscart/route"
)

// The same cases in every run.
func init() { _ = flag.Set("rapid.seed", "1") }

func candidates(loads ...int) []fleet.Candidate {
	all := make([]fleet.Candidate, len(loads))
	for i, l := range loads {
		all[i] = fleet.Candidate{Name: fmt.Sprint("s", i), Domain: "here", Load: l, Slots: 10, Healthy: true}
	}
	return all
}

func TestChoose(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	away := func(c fleet.Candidate) fleet.Candidate { c.Domain = "there"; return c }
	cases := map[string]struct {
		candidates []fleet.Candidate
		tried      []string
		want       []string
	}{
		"none":                     {nil, nil, nil},
		"only one":                 {candidates(50), nil, []string{"s0"}},
		"tried ones last":          {candidates(1, 9), []string{"s0"}, []string{"s1"}},
		"all tried":                {candidates(1), []string{"s0"}, []string{"s0"}},
		"own domain first":         {[]fleet.Candidate{candidates(8)[0], away(candidates(0, 0)[1])}, nil, []string{"s0"}},
		"other domain when full":   {[]fleet.Candidate{candidates(30)[0], away(candidates(0, 0)[1])}, nil, []string{"s0", "s1"}},
		"other domain has a copy":  {[]fleet.Candidate{away(candidates(5)[0])}, nil, []string{"s0"}},
		"all full stays at home":   {[]fleet.Candidate{candidates(30)[0], away(candidates(0, 40)[1])}, nil, []string{"s0"}},
		"domain beyond its spill":  {[]fleet.Candidate{candidates(30)[0], away(candidates(0, 2)[1])}, nil, []string{"s1", "s0"}},
		"least loaded of the two":  {candidates(9, 1), nil, []string{"s0", "s1"}},
		"two samples beat the one": {candidates(9, 9, 9, 1), nil, []string{"s0", "s1", "s2", "s3"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				got, ok := route.Policy{Domain: "here"}.Choose(rng, c.candidates, 0, c.tried)
				require.Equal(t, len(c.want) > 0, ok)
				if ok {
					require.Contains(t, c.want, got.Name)
				}
			}
		})
	}
}

// TestPrefixOwner: requests with one prefix go to one server, on every VM,
// until it is much fuller than the others.
func TestPrefixOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.Uint64Min(1).Draw(t, "prefix")
		n := rapid.IntRange(2, 8).Draw(t, "servers")
		all := candidates(make([]int, n)...)
		seed := rapid.Uint64().Draw(t, "seed")
		first, ok := route.Policy{Domain: "here"}.Choose(rand.New(rand.NewPCG(seed, 1)), all, prefix, nil)
		require.True(t, ok)
		again, _ := route.Policy{Domain: "here"}.Choose(rand.New(rand.NewPCG(seed+1, 9)), all, prefix, nil)
		require.Equal(t, first.Name, again.Name)
		for i := range all {
			if all[i].Name == first.Name {
				all[i].Load = 9
			}
		}
		pinned := 0
		rng := rand.New(rand.NewPCG(seed, 3))
		for range 40 {
			c, _ := route.Policy{Domain: "here"}.Choose(rng, all, prefix, nil)
			if c.Name == first.Name {
				pinned++
			}
		}
		require.Less(t, pinned, 40, "an overfull owner must share")
	})
}

func TestCachedPrefixGoesFirst(t *testing.T) {
	all := candidates(0, 0, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range all {
		held := candidates(0, 0, 0)
		held[i].PrefixCached = true
		for prefix := uint64(1); prefix < 20; prefix++ {
			got, _ := route.Policy{Domain: "here"}.Choose(rng, held, prefix, nil)
			require.Equal(t, all[i].Name, got.Name)
		}
	}
}

// TestAgainstNaive: in one domain, with reports that are up to date, no prefix
// and every candidate looked at, the choice is that of the plain rule: a server
// with the lowest load.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 10).Draw(t, "loads")
		all := candidates(loads...)
		for i := range all {
			all[i].ReportedLoad = all[i].Load
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		want, _ := naive.Choose(all)
		// So many draws miss no candidate.
		got, ok := route.Policy{Domain: "here", Samples: 400}.Choose(rng, all, 0, nil)
		require.True(t, ok)
		require.Equal(t, want.Load, got.Load)
	})
}
