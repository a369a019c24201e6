package replay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/batch"
)

// There are patterns for three fleets of equal servers: a dozen servers with many slots and nine VMs; about a
// hundred servers with few slots and 71 VMs; and 156 servers and 195 VMs with long prompts. In
// each, demand shifts to other models three times and there are bursts, a quarter of the servers
// is down for two seconds, and a sixth is slow for a few seconds.

const crossDomainLatency = 1400 * time.Microsecond

// intraDomainLatency is the one-way latency within a failure domain.
const intraDomainLatency = 300 * time.Microsecond

// mixModels returns n models, interleaved in proportion to the given shares: large models, and
// smaller or faster ones. Every second model has adapters.
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
			m.AdapterCount = max(8, 28*4/(4+i))
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
	p.Warmup, p.Length = 12*time.Second, 40*time.Second
	for _, at := range []time.Duration{time.Second, 14 * time.Second, 24 * time.Second} {
		p.Shifts = append(p.Shifts, DemandShift{At: at, Duration: 8 * time.Second, ModelOffset: modelOffset})
	}
	for i, class := range classes {
		p.Bursts = append(p.Bursts, Burst{At: time.Duration(3+2*i) * time.Second, Duration: 4 * time.Second, Class: class, RateFactor: 2.2})
	}
	p.Bursts = append(p.Bursts, Burst{At: 25 * time.Second, Duration: 4 * time.Second, RateFactor: 1.4})
	p.Faults = []Fault{
		{At: 6 * time.Second, Duration: 2 * time.Second, ServerShare: 0.25},
		{At: 10 * time.Second, Duration: 6 * time.Second, ServerShare: 0.14, Slowdown: 2.7},
		{At: 17 * time.Second, Duration: 4 * time.Second, ServerShare: 0.15},
	}
	return p
}

var shortPromptModels = []modelShare{
	{0.41, Model{SizeMB: 72_700, LoadTime: 5800 * time.Millisecond, DiskLoadTime: 840 * time.Millisecond, MemoryLoadTime: 630 * time.Millisecond, TokenTimeFactor: 1}},
	{0.38, Model{SizeMB: 65_100, LoadTime: 5000 * time.Millisecond, DiskLoadTime: 780 * time.Millisecond, MemoryLoadTime: 600 * time.Millisecond, TokenTimeFactor: 0.35}},
	{0.21, Model{SizeMB: 65_100, LoadTime: 5000 * time.Millisecond, DiskLoadTime: 780 * time.Millisecond, MemoryLoadTime: 600 * time.Millisecond, TokenTimeFactor: 0.23}},
}

var longPromptModels = []modelShare{
	{0.54, Model{SizeMB: 72_700, LoadTime: 4200 * time.Millisecond, DiskLoadTime: 840 * time.Millisecond, MemoryLoadTime: 630 * time.Millisecond, TokenTimeFactor: 1}},
	{0.23, Model{SizeMB: 42_700, LoadTime: 2600 * time.Millisecond, DiskLoadTime: 570 * time.Millisecond, MemoryLoadTime: 440 * time.Millisecond, TokenTimeFactor: 0.6}},
	{0.23, Model{SizeMB: 65_100, LoadTime: 3800 * time.Millisecond, DiskLoadTime: 780 * time.Millisecond, MemoryLoadTime: 600 * time.Millisecond, TokenTimeFactor: 0.11}},
}

// Small returns the pattern of a dozen servers with 48 slots each.
func Small() Pattern {
	p := Pattern{
		Fleet: Fleet{
			VMs: 9, Domains: 3, Servers: 12,
			ServerSpec: batch.Spec{
				Slots: 48, MaxWaiting: 100,
				StepTime: 4430 * time.Microsecond, StepTimePerRequest: 19 * time.Microsecond,
				PrefillTokensPerMs: 38, PrefillChunkTokens: 2048,
				TokensPerEvent: 6, KVCacheTokens: 129_000,
			},
			Models:         mixModels(21, shortPromptModels...),
			WeightMemoryMB: 220_000, HostCacheMB: 150_000, DiskCacheMB: 440_000,
			AdapterSlots: 8, AdapterSizeMB: 60, AdapterLoadTime: 9 * time.Millisecond,
			StoreLoadsPerSecond: 1.8, FullSpeedLoads: 9,
			CrossDomainLatency: 900 * time.Microsecond, IntraDomainLatency: intraDomainLatency, RetriesPerRequest: 0.2, ExtraRetries: 58,
		},
		Classes: []RequestClass{
			{
				Name: "letter", RequestsPerSecond: 130,
				SharedPrompts: []SharedPrompt{{TokenDistribution{100, 0.4, 250}, 3}, {TokenDistribution{72, 0.6, 250}, 18}},
				UniqueTokens:  TokenDistribution{543, 1, 3000}, OutputTokens: TokenDistribution{280, 0.7, 954},
				Priority: 3, Objective: 300 * time.Millisecond, MaxEventGap: 150 * time.Millisecond, Worth: 2.2, LateWorth: 0.65,
				CallerTimeout: 2 * time.Second, EndModel: 5, ActiveModels: 2, AdapterShare: 0.1,
			},
			{
				Name: "query", RequestsPerSecond: 115,
				SharedPrompts: []SharedPrompt{{TokenDistribution{60, 0.4, 150}, 3}, {TokenDistribution{32, 0.6, 100}, 18}},
				UniqueTokens:  TokenDistribution{291, 1, 1500}, OutputTokens: TokenDistribution{48, 1, 180},
				Priority: 1, Objective: 300 * time.Millisecond, MaxEventGap: 150 * time.Millisecond, Worth: 1.1, LateWorth: 0.33,
				CallerTimeout: 2 * time.Second, EndModel: 5, ActiveModels: 2, AdapterShare: 0.5,
			},
		},
		ZipfExponent: 0.43, TopModelFactor: 1.37,
	}
	return withFaults(p, 1, "letter", "query")
}

// Medium returns the pattern of 112 servers with 12 slots each.
func Medium() Pattern {
	p := Pattern{
		Fleet: Fleet{
			VMs: 71, Domains: 3, Servers: 112,
			ServerSpec: batch.Spec{
				Slots: 12, MaxWaiting: 25,
				StepTime: 4430 * time.Microsecond, StepTimePerRequest: 19 * time.Microsecond,
				PrefillTokensPerMs: 38, PrefillChunkTokens: 2048,
				TokensPerEvent: 10, KVCacheTokens: 38_000,
			},
			Models:         mixModels(186, shortPromptModels...),
			WeightMemoryMB: 220_000, HostCacheMB: 150_000, DiskCacheMB: 440_000,
			AdapterSlots: 8, AdapterSizeMB: 60, AdapterLoadTime: 9 * time.Millisecond,
			StoreLoadsPerSecond: 18, FullSpeedLoads: 92,
			CrossDomainLatency: crossDomainLatency, IntraDomainLatency: intraDomainLatency, RetriesPerRequest: 0.2, ExtraRetries: 182,
		},
		Classes: []RequestClass{
			{
				Name: "letter", RequestsPerSecond: 480,
				SharedPrompts: []SharedPrompt{{TokenDistribution{100, 0.4, 250}, 3}, {TokenDistribution{72, 0.6, 250}, 18}},
				UniqueTokens:  TokenDistribution{543, 1, 3000}, OutputTokens: TokenDistribution{280, 0.7, 1000},
				Priority: 3, Objective: 400 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Worth: 2.3, LateWorth: 0.7,
				CallerTimeout: 2 * time.Second, EndModel: 35, ActiveModels: 14, AdapterShare: 0.1,
			},
			{
				Name: "query", RequestsPerSecond: 560,
				SharedPrompts: []SharedPrompt{{TokenDistribution{60, 0.4, 150}, 3}, {TokenDistribution{32, 0.6, 100}, 18}},
				UniqueTokens:  TokenDistribution{291, 1, 1500}, OutputTokens: TokenDistribution{50, 1, 200},
				Priority: 1, Objective: 300 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Worth: 0.93, LateWorth: 0.28,
				CallerTimeout: 2 * time.Second, EndModel: 35, ActiveModels: 14, AdapterShare: 0.5,
			},
			{
				Name: "batch", RequestsPerSecond: 60,
				SharedPrompts: []SharedPrompt{{TokenDistribution{172, 0.4, 400}, 2}},
				UniqueTokens:  TokenDistribution{543, 1, 3000}, OutputTokens: TokenDistribution{280, 0.7, 1000},
				Priority: 5, Objective: 4 * time.Second, MaxEventGap: 200 * time.Millisecond, Worth: 1.2, LateWorth: 0.35,
				CallerTimeout: 16 * time.Second, FirstModel: 35, EndModel: 186,
			},
		},
		ZipfExponent: 0.43, TopModelFactor: 1.37,
	}
	return withFaults(p, 2, "letter", "query", "batch")
}

// Large returns the pattern of 156 servers with 24 slots each and long prompts.
func Large() Pattern {
	p := Pattern{
		Fleet: Fleet{
			VMs: 195, Domains: 6, Servers: 156,
			ServerSpec: batch.Spec{
				Slots: 24, MaxWaiting: 50,
				StepTime: 5230 * time.Microsecond, StepTimePerRequest: 4 * time.Microsecond,
				PrefillTokensPerMs: 38.4, PrefillChunkTokens: 1024,
				TokensPerEvent: 4, KVCacheTokens: 180_000,
			},
			Models:         mixModels(270, longPromptModels...),
			WeightMemoryMB: 200_000, HostCacheMB: 140_000, DiskCacheMB: 410_000,
			AdapterSlots: 8, AdapterSizeMB: 60, AdapterLoadTime: 9 * time.Millisecond,
			StoreLoadsPerSecond: 22, FullSpeedLoads: 82,
			CrossDomainLatency: crossDomainLatency, IntraDomainLatency: intraDomainLatency, RetriesPerRequest: 0.2, ExtraRetries: 430,
		},
		Classes: []RequestClass{
			{
				Name: "draft", RequestsPerSecond: 450,
				SharedPrompts: []SharedPrompt{{TokenDistribution{2520, 0.4, 6290}, 3}, {TokenDistribution{3780, 0.7, 11300}, 26}},
				UniqueTokens:  TokenDistribution{2890, 1, 39600}, OutputTokens: TokenDistribution{52, 1.4, 208},
				Priority: 5, Objective: 600 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Worth: 1.9, LateWorth: 0.56,
				CallerTimeout: 2400 * time.Millisecond, EndModel: 130, ActiveModels: 52, AdapterShare: 0.1,
			},
			{
				Name: "batch", RequestsPerSecond: 60,
				SharedPrompts: []SharedPrompt{{TokenDistribution{2520, 0.4, 6290}, 1}, {TokenDistribution{3780, 0.7, 11300}, 2}},
				UniqueTokens:  TokenDistribution{2890, 1, 39600}, OutputTokens: TokenDistribution{52, 1.4, 208},
				Priority: 3, Objective: 4 * time.Second, MaxEventGap: 250 * time.Millisecond, Worth: 3.7, LateWorth: 1.1,
				CallerTimeout: 10 * time.Second, FirstModel: 130, EndModel: 270,
			},
			{
				Name: "check", RequestsPerSecond: 320,
				SharedPrompts: []SharedPrompt{{TokenDistribution{119, 0.4, 298}, 3}, {TokenDistribution{79, 0.7, 238}, 18}},
				UniqueTokens:  TokenDistribution{628, 1, 3310}, OutputTokens: TokenDistribution{290, 0.7, 904},
				Priority: 1, Objective: 1200 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Worth: 2.3, LateWorth: 0.68,
				CallerTimeout: 4800 * time.Millisecond, EndModel: 130, ActiveModels: 52, AdapterShare: 0.5,
			},
		},
		ZipfExponent: 0.43, TopModelFactor: 1.37,
	}
	return withFaults(p, 9, "batch", "check")
}

var patterns = map[string]func() Pattern{"small": Small, "medium": Medium, "large": Large, "unequal": Unequal, "competing": Competing}

// PatternNames returns the names of the patterns.
func PatternNames() []string { return slices.Sorted(maps.Keys(patterns)) }

// PatternByName returns the pattern with the given name.
func PatternByName(name string) (Pattern, error) {
	if p, ok := patterns[name]; ok {
		return p(), nil
	}
	return Pattern{}, fmt.Errorf("unknown load pattern %q; the patterns are %v", name, PatternNames())
}
