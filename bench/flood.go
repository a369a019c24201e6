package bench

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

type floodReport struct {
	CommonReport
	latencyReport
	naiveLatencyReport
	QuietAttainment      float64 `json:"quiet_attainment"`
	NaiveQuietAttainment float64 `json:"naive_quiet_attainment"`
	FloodAttainment      float64 `json:"flood_attainment"`
	NaiveFloodAttainment float64 `json:"naive_flood_attainment"`
	FloodWholeShare      float64 `json:"flood_share_of_whole_answers"`
	QuietWholeShare      float64 `json:"quiet_share_of_whole_answers"`
}

const (
	floodEngines = 4
	floodSlots   = 16
	quietKey     = "quiet-caller-key"
	floodKey     = "flood-caller-key"
	steadyKey    = "steady-caller-key"
)

// flood makes one caller send as many requests in half a second as the servers can
// serve in about twelve seconds. A second caller sends few requests and a third
// half of what the servers can handle. All use one profile.
func flood(ctx context.Context, o Options) (Report, error) {
	profile := engineProfile("label", 2, 3)
	profile.FirstTokenMs, profile.WholeAnswerMs = 1000, 8000
	profile.ConcurrencyLimit, profile.QueueLimit = floodEngines*floodSlots, 8192
	duration := o.duration(16 * time.Second)
	class := func(name, key string, rate float64) load.Class {
		return load.Class{Name: name, Profile: profile, CallerKey: key, Rate: rate, MaxTokens: 40}
	}
	floodClass := class("flood", floodKey, 10)
	floodClass.BurstFactor, floodClass.BurstStart, floodClass.BurstEnd = 800, 2*time.Second, 2500*time.Millisecond
	t := trial{
		spec: deploymentSpec{
			domains: 2, vmsPerDomain: 1, engines: floodEngines, slots: floodSlots,
			firstToken: 20 * time.Millisecond, betweenTokens: 5 * time.Millisecond,
		},
		profiles: []wire.Profile{profile},
		classes:  []load.Class{class("quiet", quietKey, 20), class("steady", steadyKey, 150), floodClass},
		duration: duration,
		adjustConfig: func(c *entry.Config) {
			c.CallersByKey = map[string]string{quietKey: "quiet", floodKey: "flood", steadyKey: "steady"}
		},
	}
	system, baseline, err := t.runPair(ctx, o)
	if err != nil {
		return nil, err
	}
	report := floodReport{CommonReport: t.commonReport("flood", o, system)}
	report.FaultsInjected = 1 // the flood
	report.latencyReport = newLatencyReport(system.summary.Total, floodEngines)
	report.naiveLatencyReport = naiveLatencyReport(newLatencyReport(baseline.summary.Total, floodEngines))
	report.QuietAttainment, report.NaiveQuietAttainment = system.summary.Classes[0].Attainment, baseline.summary.Classes[0].Attainment
	report.FloodAttainment, report.NaiveFloodAttainment = system.summary.Classes[2].Attainment, baseline.summary.Classes[2].Attainment
	whole := float64(max(system.summary.Total.Complete, 1))
	report.QuietWholeShare = float64(system.summary.Classes[0].Complete) / whole
	report.FloodWholeShare = float64(system.summary.Classes[2].Complete) / whole
	return report, report.violationError()
}
