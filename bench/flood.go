package bench

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

type floodFigures struct {
	Common
	latencies
	naiveLatencies
	QuietAttainment      float64 `json:"quiet_attainment"`
	NaiveQuietAttainment float64 `json:"naive_quiet_attainment"`
	FloodAttainment      float64 `json:"flood_attainment"`
	NaiveFloodAttainment float64 `json:"naive_flood_attainment"`
	FloodShare           float64 `json:"flood_share_of_whole_answers"`
	QuietShare           float64 `json:"quiet_share_of_whole_answers"`
}

const (
	floodEngines = 4
	floodSlots   = 16
	quietKey     = "quiet-caller-key"
	floodKey     = "flood-caller-key"
	steadyKey    = "steady-caller-key"
)

// flood: one caller sends as many requests in half a second as the servers can
// answer in some twelve, while another sends few and a third half of what the
// servers can take. All use one profile.
func flood(ctx context.Context, o Options) (Figures, error) {
	profile := engineProfile("label", 2, 3)
	profile.FirstTokenMs, profile.WholeAnswerMs = 1000, 8000
	profile.ConcurrencyLimit, profile.QueueLimit = floodEngines*floodSlots, 8192
	length := o.length(16 * time.Second)
	class := func(name, key string, rate float64) load.Class {
		return load.Class{Name: name, Profile: profile, CallerKey: key, Rate: rate, MaxTokens: 40}
	}
	floodClass := class("flood", floodKey, 10)
	floodClass.BurstFactor, floodClass.BurstStart, floodClass.BurstEnd = 800, 2*time.Second, 2500*time.Millisecond
	t := trial{
		shape:    shape{domains: 2, vmsPerDomain: 1, engines: floodEngines, slots: floodSlots, first: 20 * time.Millisecond, between: 5 * time.Millisecond},
		profiles: []wire.Profile{profile},
		classes:  []load.Class{class("quiet", quietKey, 20), class("steady", steadyKey, 150), floodClass},
		length:   length,
		adjust: func(c *entry.Config) {
			c.CallersByKey = map[string]string{quietKey: "quiet", floodKey: "flood", steadyKey: "steady"}
		},
	}
	ours, baseline, err := t.pair(ctx, o)
	if err != nil {
		return nil, err
	}
	f := floodFigures{Common: t.common("flood", o, ours)}
	f.FaultsInjected = 1 // the flood
	f.latencies = newLatencies(ours.summary.Total, floodEngines)
	f.naiveLatencies = naiveLatencies(newLatencies(baseline.summary.Total, floodEngines))
	f.QuietAttainment, f.NaiveQuietAttainment = ours.summary.Classes[0].Attainment, baseline.summary.Classes[0].Attainment
	f.FloodAttainment, f.NaiveFloodAttainment = ours.summary.Classes[2].Attainment, baseline.summary.Classes[2].Attainment
	whole := float64(max(ours.summary.Total.Complete, 1))
	f.QuietShare = float64(ours.summary.Classes[0].Complete) / whole
	f.FloodShare = float64(ours.summary.Classes[2].Complete) / whole
	return f, f.broken()
}
