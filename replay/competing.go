package replay

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/batch"
)

// Competing returns the pattern of 30 servers at 1.1 times their capacity. Urgent requests with short
// prompts compete with less urgent ones with long prompts, which are nearly all of the prefill.
func Competing() Pattern {
	return Pattern{
		Fleet: Fleet{
			VMs: 66, Domains: 3, Servers: 30,
			ServerSpec: batch.Spec{
				Slots: 64, MaxWaiting: 130,
				StepTime: 5230 * time.Microsecond, StepTimePerRequest: 4 * time.Microsecond,
				PrefillTokensPerMs: 22, PrefillChunkTokens: 1024,
				TokensPerEvent: 4, KVCacheTokens: 480_000,
			},
			Models:         []Model{{SizeMB: 72_700, LoadTime: 4200 * time.Millisecond, DiskLoadTime: 840 * time.Millisecond, MemoryLoadTime: 630 * time.Millisecond, TokenTimeFactor: 1}},
			WeightMemoryMB: 200_000, HostCacheMB: 140_000, DiskCacheMB: 410_000,
			AdapterSlots: 8, AdapterSizeMB: 60, AdapterLoadTime: 9 * time.Millisecond,
			StoreLoadsPerSecond: 22, FullSpeedLoads: 82,
			CrossDomainLatency: crossDomainLatency, IntraDomainLatency: intraDomainLatency, RetriesPerRequest: 0.2, ExtraRetries: 182,
		},
		Classes: []RequestClass{
			{
				Name: "short", RequestsPerSecond: 180,
				SharedPrompts: []SharedPrompt{{TokenDistribution{120, 0.4, 300}, 3}, {TokenDistribution{80, 0.7, 240}, 18}},
				UniqueTokens:  TokenDistribution{630, 1, 3310}, OutputTokens: TokenDistribution{290, 0.7, 904},
				Priority: 1, Objective: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Worth: 2.3, LateWorth: 0.68,
				CallerTimeout: 2400 * time.Millisecond, EndModel: 1, ActiveModels: 1,
			},
			{
				Name: "long", RequestsPerSecond: 150,
				SharedPrompts: []SharedPrompt{{TokenDistribution{2520, 0.4, 6290}, 3}, {TokenDistribution{3780, 0.7, 11300}, 26}},
				UniqueTokens:  TokenDistribution{2890, 1, 39600}, OutputTokens: TokenDistribution{52, 1.4, 208},
				Priority: 3, Objective: 800 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Worth: 1.9, LateWorth: 0.56,
				CallerTimeout: 3200 * time.Millisecond, EndModel: 1, ActiveModels: 1,
			},
		},
		ZipfExponent: 0.43,
		Warmup:       2 * time.Second, Length: 20 * time.Second,
	}
}
