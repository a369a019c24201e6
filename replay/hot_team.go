package replay

import (
	"math"
	"time"

	"github.com/hibiscuscart/hibiscuscart/limit"
)

// HotTeam returns a pattern without faults: a team's demand is half of its quota for eight seconds, and
// then a multiple of it.
func HotTeam(vms int, perSecond, factor float64) QuotaPattern {
	return QuotaPattern{
		VMs: vms, Domains: 4, Quota: limit.Quota{PerSecond: perSecond, Burst: perSecond},
		Rules:      limit.QuotaRules{Window: 8 * time.Second, Overshoot: 0.1, Slack: 110_000},
		MeanTokens: 9_200, Length: 34 * time.Second,
		Demand: []QuotaDemand{{0, 0.5}, {8 * time.Second, factor}},
	}
}

// QuotaFaults are the faults under which quotas are compared, by name.
var QuotaFaults = map[string]func(*QuotaPattern){
	"none":            func(*QuotaPattern) {},
	"domain cut":      func(p *QuotaPattern) { p.CutAt, p.CutUntil = 12*time.Second, 22*time.Second },
	"controller lost": func(p *QuotaPattern) { p.ControllerLostAt = 14 * time.Second },
	"all restarted":   func(p *QuotaPattern) { p.RestartAt = 16 * time.Second },
}

// windowStep is the step at which windows are compared.
const windowStep = 50 * time.Millisecond

// UsedIn returns the largest and the smallest use in any window that lies between from and until.
// Admissions may be out of order.
func (r QuotaResult) UsedIn(window, from, until time.Duration) (most, least int) {
	used := make([]int, until/windowStep+1)
	for _, a := range r.Admitted {
		if a.At < until {
			used[a.At/windowStep] += a.Tokens
		}
	}
	first, steps := int(from/windowStep), int(window/windowStep)
	sum := 0
	least = math.MaxInt
	for i := first; i < int(until/windowStep); i++ {
		sum += used[i]
		if left := i - steps; left >= first {
			sum -= used[left]
		}
		if i-first+1 >= steps {
			most, least = max(most, sum), min(least, sum)
		}
	}
	return most, least
}
