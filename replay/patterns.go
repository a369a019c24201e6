package replay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/batch"
)

// There are patterns for three fleets: a dozen servers with many slots and nine VMs; about a
// hundred servers with few slots and 71 VMs; and 156 servers and 195 VMs with long prompts. In
// each, demand shifts to other models three times and there are bursts, a quarter of the servers
// is down for two seconds, and a sixth is slow for a few seconds.

const crossDomainLatency = 1400 * time.Microsecond

// intraDomainLatency is the one-way latency within a failure domain.
const intraDomainLatency = 300 * time.Microsecond

// mixModels returns n models, interleaved in proportion to the given shares.
func mixModels(n int, shares ...modelShare) []Model {
	list := make([]Model, 0, n)
	credits := make([]float64, len(shares))
	for len(list) < n {
		best := 0
		for i, s := range shares {
			credits[i] += s.share
			if credits[i] > credits[best] {
				best = i
			}
		}
		credits[best]--
		m := shares[best].model
		if i := len(list); i%2 == 0 {
			m.Adapters = max(8, 28*4/(4+i))
		}
		list = append(list, m)
	}
	return list
}

type modelShare struct {
	share float64
	model Model
}

// withFaults sets the length of a pattern and adds demand shifts, bursts and server faults.
func withFaults(p Pattern, modelOffset int, classes ...string) Pattern {
	p.Lead, p.Length = 12*time.Second, 40*time.Second
	for _, at := range []time.Duration{time.Second, 14 * time.Second, 24 * time.Second} {
		p.Shifts = append(p.Shifts, Shift{At: at, For: 8 * time.Second, Places: modelOffset})
	}
	for i, class := range classes {
		p.Bursts = append(p.Bursts, Burst{At: time.Duration(3+2*i) * time.Second, For: 4 * time.Second, Kind: class, Times: 2.2})
	}
	p.Bursts = append(p.Bursts, Burst{At: 25 * time.Second, For: 4 * time.Second, Times: 1.4})
	p.Troubles = []Trouble{
		{At: 6 * time.Second, For: 2 * time.Second, Share: 0.25},
		{At: 10 * time.Second, For: 6 * time.Second, Share: 0.14, Times: 2.7},
		{At: 17 * time.Second, For: 4 * time.Second, Share: 0.15},
	}
	return p
}

var shortPromptModels = []modelShare{
	{0.41, Model{MB: 72_700, Load: 5800 * time.Millisecond, Disk: 840 * time.Millisecond, Warm: 630 * time.Millisecond, Pace: 1}},
	{0.38, Model{MB: 65_100, Load: 5000 * time.Millisecond, Disk: 780 * time.Millisecond, Warm: 600 * time.Millisecond, Pace: 0.35}},
	{0.21, Model{MB: 65_100, Load: 5000 * time.Millisecond, Disk: 780 * time.Millisecond, Warm: 600 * time.Millisecond, Pace: 0.23}},
}

var longPromptModels = []modelShare{
	{0.54, Model{MB: 72_700, Load: 4200 * time.Millisecond, Disk: 840 * time.Millisecond, Warm: 630 * time.Millisecond, Pace: 1}},
	{0.23, Model{MB: 42_700, Load: 2600 * time.Millisecond, Disk: 570 * time.Millisecond, Warm: 440 * time.Millisecond, Pace: 0.6}},
	{0.23, Model{MB: 65_100, Load: 3800 * time.Millisecond, Disk: 780 * time.Millisecond, Warm: 600 * time.Millisecond, Pace: 0.11}},
}

// Small returns the pattern of a dozen servers with 48 slots each.
func Small() Pattern {
	p := Pattern{
		Fleet: Fleet{
			VMs: 9, Domains: 3, Servers: 12,
			Server:   batch.Spec{Slots: 48, MaxWaiting: 100, StepTime: 4430 * time.Microsecond, StepTimePerRequest: 19 * time.Microsecond, PrefillTokensPerMs: 38, PrefillChunkTokens: 2048, TokensPerEvent: 6, KVCacheTokens: 129_000},
			Models:   mixModels(21, shortPromptModels...),
			MemoryMB: 220_000, HostMB: 150_000, DiskMB: 440_000, AdapterSlots: 8, AdapterMB: 60, AdapterLoad: 9 * time.Millisecond, LoadsPerSecond: 1.8, AtOnce: 9,
			Way: 900 * time.Microsecond, Near: intraDomainLatency, RetryShare: 0.2, RetryExtra: 58,
		},
		Kinds: []Kind{
			{
				Name: "letter", PerSecond: 130, Shared: []Shared{{Size{100, 0.4, 250}, 3}, {Size{72, 0.6, 250}, 18}}, Own: Size{543, 1, 3000}, Output: Size{280, 0.7, 954},
				Rank: 3, Objective: 300 * time.Millisecond, Gap: 150 * time.Millisecond, Worth: 2.2, Late: 0.65, Leaves: 2 * time.Second, Last: 5, Active: 2, Adapted: 0.1,
			},
			{
				Name: "query", PerSecond: 115, Shared: []Shared{{Size{60, 0.4, 150}, 3}, {Size{32, 0.6, 100}, 18}}, Own: Size{291, 1, 1500}, Output: Size{48, 1, 180},
				Rank: 1, Objective: 300 * time.Millisecond, Gap: 150 * time.Millisecond, Worth: 1.1, Late: 0.33, Leaves: 2 * time.Second, Last: 5, Active: 2, Adapted: 0.5,
			},
		},
		Skew: 0.43, Head: 1.37,
	}
	return withFaults(p, 1, "letter", "query")
}

// Medium returns the pattern of 112 servers with 12 slots each.
func Medium() Pattern {
	p := Pattern{
		Fleet: Fleet{
			VMs: 71, Domains: 3, Servers: 112,
			Server:   batch.Spec{Slots: 12, MaxWaiting: 25, StepTime: 4430 * time.Microsecond, StepTimePerRequest: 19 * time.Microsecond, PrefillTokensPerMs: 38, PrefillChunkTokens: 2048, TokensPerEvent: 10, KVCacheTokens: 38_000},
			Models:   mixModels(186, shortPromptModels...),
			MemoryMB: 220_000, HostMB: 150_000, DiskMB: 440_000, AdapterSlots: 8, AdapterMB: 60, AdapterLoad: 9 * time.Millisecond, LoadsPerSecond: 18, AtOnce: 92,
			Way: crossDomainLatency, Near: intraDomainLatency, RetryShare: 0.2, RetryExtra: 182,
		},
		Kinds: []Kind{
			{
				Name: "letter", PerSecond: 480, Shared: []Shared{{Size{100, 0.4, 250}, 3}, {Size{72, 0.6, 250}, 18}}, Own: Size{543, 1, 3000}, Output: Size{280, 0.7, 1000},
				Rank: 3, Objective: 400 * time.Millisecond, Gap: 200 * time.Millisecond, Worth: 2.3, Late: 0.7, Leaves: 2 * time.Second, Last: 35, Active: 14, Adapted: 0.1,
			},
			{
				Name: "query", PerSecond: 560, Shared: []Shared{{Size{60, 0.4, 150}, 3}, {Size{32, 0.6, 100}, 18}}, Own: Size{291, 1, 1500}, Output: Size{50, 1, 200},
				Rank: 1, Objective: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Worth: 0.93, Late: 0.28, Leaves: 2 * time.Second, Last: 35, Active: 14, Adapted: 0.5,
			},
			{
				Name: "batch", PerSecond: 60, Shared: []Shared{{Size{172, 0.4, 400}, 2}}, Own: Size{543, 1, 3000}, Output: Size{280, 0.7, 1000},
				Rank: 5, Objective: 4 * time.Second, Gap: 200 * time.Millisecond, Worth: 1.2, Late: 0.35, Leaves: 16 * time.Second, First: 35, Last: 186,
			},
		},
		Skew: 0.43, Head: 1.37,
	}
	return withFaults(p, 2, "letter", "query", "batch")
}

// Large returns the pattern of 156 servers with 24 slots each and long prompts.
func Large() Pattern {
	p := Pattern{
		Fleet: Fleet{
			VMs: 195, Domains: 6, Servers: 156,
			Server:   batch.Spec{Slots: 24, MaxWaiting: 50, StepTime: 5230 * time.Microsecond, StepTimePerRequest: 4 * time.Microsecond, PrefillTokensPerMs: 38.4, PrefillChunkTokens: 1024, TokensPerEvent: 4, KVCacheTokens: 180_000},
			Models:   mixModels(270, longPromptModels...),
			MemoryMB: 200_000, HostMB: 140_000, DiskMB: 410_000, AdapterSlots: 8, AdapterMB: 60, AdapterLoad: 9 * time.Millisecond, LoadsPerSecond: 22, AtOnce: 82,
			Way: crossDomainLatency, Near: intraDomainLatency, RetryShare: 0.2, RetryExtra: 430,
		},
		Kinds: []Kind{
			{
				Name: "draft", PerSecond: 450, Shared: []Shared{{Size{2520, 0.4, 6290}, 3}, {Size{3780, 0.7, 11300}, 26}}, Own: Size{2890, 1, 39600}, Output: Size{52, 1.4, 208},
				Rank: 5, Objective: 600 * time.Millisecond, Gap: 250 * time.Millisecond, Worth: 1.9, Late: 0.56, Leaves: 2400 * time.Millisecond, Last: 130, Active: 52, Adapted: 0.1,
			},
			{
				Name: "batch", PerSecond: 60, Shared: []Shared{{Size{2520, 0.4, 6290}, 1}, {Size{3780, 0.7, 11300}, 2}}, Own: Size{2890, 1, 39600}, Output: Size{52, 1.4, 208},
				Rank: 3, Objective: 4 * time.Second, Gap: 250 * time.Millisecond, Worth: 3.7, Late: 1.1, Leaves: 10 * time.Second, First: 130, Last: 270,
			},
			{
				Name: "check", PerSecond: 320, Shared: []Shared{{Size{119, 0.4, 298}, 3}, {Size{79, 0.7, 238}, 18}}, Own: Size{628, 1, 3310}, Output: Size{290, 0.7, 904},
				Rank: 1, Objective: 1200 * time.Millisecond, Gap: 250 * time.Millisecond, Worth: 2.3, Late: 0.68, Leaves: 4800 * time.Millisecond, Last: 130, Active: 52, Adapted: 0.5,
			},
		},
		Skew: 0.43, Head: 1.37,
	}
	return withFaults(p, 9, "batch", "check")
}

var patterns = map[string]func() Pattern{"small": Small, "medium": Medium, "large": Large}

// Names returns the names of the patterns.
func Names() []string { return slices.Sorted(maps.Keys(patterns)) }

// Named returns the pattern with the given name.
func Named(name string) (Pattern, error) {
	if p, ok := patterns[name]; ok {
		return p(), nil
	}
	return Pattern{}, fmt.Errorf("unknown load pattern %q; the patterns are %v", name, Names())
}
