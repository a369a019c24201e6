package replay

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/batch"
)

// Unequal returns the pattern of 90 servers with 64 slots each, of which three quarters take 2.2
// times as long as the others. Urgent requests have short prompts, others long ones.
func Unequal() Pattern {
	p := Pattern{
		Fleet: Fleet{
			VMs: 66, Domains: 3, Servers: 90,
			ServerSpec: batch.Spec{
				Slots: 64, MaxWaiting: 130,
				StepTime: 4430 * time.Microsecond, StepTimePerRequest: 8 * time.Microsecond,
				PrefillTokensPerMs: 38, PrefillChunkTokens: 512,
				TokensPerEvent: 6, KVCacheTokens: 450_000,
			},
			Paces:          []float64{0.55, 1.2, 1.2, 1.2},
			Models:         mixModels(120, longPromptModels...),
			WeightMemoryMB: 200_000, HostCacheMB: 140_000, DiskCacheMB: 410_000,
			AdapterSlots: 8, AdapterSizeMB: 60, AdapterLoadTime: 9 * time.Millisecond,
			StoreLoadsPerSecond: 16, FullSpeedLoads: 60,
			CrossDomainLatency: crossDomainLatency, IntraDomainLatency: intraDomainLatency, RetriesPerRequest: 0.2, ExtraRetries: 180,
		},
		Classes: []RequestClass{
			{
				Name: "short", RequestsPerSecond: 1000,
				SharedPrompts: []SharedPrompt{{TokenDistribution{119, 0.4, 298}, 3}, {TokenDistribution{79, 0.7, 238}, 18}},
				UniqueTokens:  TokenDistribution{632, 1, 3300}, OutputTokens: TokenDistribution{160, 0.7, 600},
				Priority: 1, Objective: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Worth: 2.2, LateWorth: 0.65,
				CallerTimeout: 2 * time.Second, EndModel: 60, ActiveModels: 18, AdapterShare: 0.3,
			},
			{
				Name: "long", RequestsPerSecond: 240,
				SharedPrompts: []SharedPrompt{{TokenDistribution{2520, 0.4, 6290}, 3}, {TokenDistribution{3780, 0.7, 11300}, 26}},
				UniqueTokens:  TokenDistribution{2890, 1, 39600}, OutputTokens: TokenDistribution{60, 1.2, 240},
				Priority: 3, Objective: 800 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Worth: 1.9, LateWorth: 0.56,
				CallerTimeout: 3200 * time.Millisecond, EndModel: 60, ActiveModels: 18, AdapterShare: 0.1,
			},
			{
				Name: "batch", RequestsPerSecond: 64,
				SharedPrompts: []SharedPrompt{{TokenDistribution{2520, 0.4, 6290}, 1}, {TokenDistribution{3780, 0.7, 11300}, 2}},
				UniqueTokens:  TokenDistribution{2890, 1, 39600}, OutputTokens: TokenDistribution{60, 1.2, 240},
				Priority: 5, Objective: 1500 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Worth: 3, LateWorth: 0.9,
				CallerTimeout: 6 * time.Second, FirstModel: 60, EndModel: 120,
			},
		},
		ZipfExponent: 0.43, TopModelFactor: 1.37,
	}
	return withFaults(p, 4, "short", "long")
}
