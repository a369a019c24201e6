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

// A fixed seed generates the same cases in every run.
func init() { _ = flag.Set("rapid.seed", "1") }

func candidates(loads ...int) []fleet.Candidate {
	all := make([]fleet.Candidate, len(loads))
	for i, l := range loads {
		all[i] = fleet.Candidate{Name: fmt.Sprint("s", i), Domain: "local", Load: l, Slots: 10, Healthy: true}
	}
	return all
}

func TestChoose(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	remote := func(c fleet.Candidate) fleet.Candidate { c.Domain = "remote"; return c }
	cases := map[string]struct {
		candidates []fleet.Candidate
		tried      []string
		want       []string
	}{
		"none":                     {nil, nil, nil},
		"only one":                 {candidates(50), nil, []string{"s0"}},
		"tried server last":        {candidates(1, 9), []string{"s0"}, []string{"s1"}},
		"all tried":                {candidates(1), []string{"s0"}, []string{"s0"}},
		"local domain first":       {[]fleet.Candidate{candidates(8)[0], remote(candidates(0, 0)[1])}, nil, []string{"s0"}},
		"local domain overloaded":  {[]fleet.Candidate{candidates(30)[0], remote(candidates(0, 0)[1])}, nil, []string{"s0", "s1"}},
		"remote domain only":       {[]fleet.Candidate{remote(candidates(5)[0])}, nil, []string{"s0"}},
		"all domains overloaded":   {[]fleet.Candidate{candidates(30)[0], remote(candidates(0, 40)[1])}, nil, []string{"s0"}},
		"local domain above spill": {[]fleet.Candidate{candidates(30)[0], remote(candidates(0, 2)[1])}, nil, []string{"s1", "s0"}},
		"least loaded of two":      {candidates(9, 1), nil, []string{"s0", "s1"}},
		"two samples of four":      {candidates(9, 9, 9, 1), nil, []string{"s0", "s1", "s2", "s3"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				got, ok := route.Policy{Domain: "local"}.Choose(rng, c.candidates, 0, c.tried)
				require.Equal(t, len(c.want) > 0, ok)
				if ok {
					require.Contains(t, c.want, got.Name)
				}
			}
		})
	}
}

// Requests with the same prefix go to the same server from every VM, until its load is far above
// that of the others.
func TestPrefixOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.Uint64Min(1).Draw(t, "prefix")
		n := rapid.IntRange(2, 8).Draw(t, "servers")
		all := candidates(make([]int, n)...)
		seed := rapid.Uint64().Draw(t, "seed")
		first, ok := route.Policy{Domain: "local"}.Choose(rand.New(rand.NewPCG(seed, 1)), all, prefix, nil)
		require.True(t, ok)
		again, _ := route.Policy{Domain: "local"}.Choose(rand.New(rand.NewPCG(seed+1, 9)), all, prefix, nil)
		require.Equal(t, first.Name, again.Name)
		for i := range all {
			if all[i].Name == first.Name {
				all[i].Load = 9
			}
		}
		sentToOwner := 0
		rng := rand.New(rand.NewPCG(seed, 3))
		for range 40 {
			c, _ := route.Policy{Domain: "local"}.Choose(rng, all, prefix, nil)
			if c.Name == first.Name {
				sentToOwner++
			}
		}
		require.Less(t, sentToOwner, 40, "an overloaded owner must not get all requests")
	})
}

func TestCachedPrefix(t *testing.T) {
	all := candidates(0, 0, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range all {
		candidatesWithCache := candidates(0, 0, 0)
		candidatesWithCache[i].PrefixCached = true
		for prefix := uint64(1); prefix < 20; prefix++ {
			got, _ := route.Policy{Domain: "local"}.Choose(rng, candidatesWithCache, prefix, nil)
			require.Equal(t, all[i].Name, got.Name)
		}
	}
}

// With one failure domain, current reports, no prefix and all candidates sampled, the selected
// server must have the lowest load, like that of the naive policy.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 10).Draw(t, "loads")
		all := candidates(loads...)
		for i := range all {
			all[i].ReportedLoad = all[i].Load
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		want, _ := naive.LeastLoaded(all)
		// With 400 samples, no candidate is missed.
		got, ok := route.Policy{Domain: "local", Samples: 400}.Choose(rng, all, 0, nil)
		require.True(t, ok)
		require.Equal(t, want.Load, got.Load)
	})
}
