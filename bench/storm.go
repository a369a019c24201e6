package bench

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

type stormFigures struct {
	Common
	latencies
	naiveLatencies
	Amplification      float64 `json:"amplification"`
	NaiveAmplification float64 `json:"naive_amplification"`
}

const stormEngines = 6

// storm: a third of the servers die under load, and what is left is overloaded
// and refuses.
func storm(ctx context.Context, o Options) (Figures, error) {
	profile := engineProfile("label", 1, 3)
	profile.FirstTokenMs, profile.WholeAnswerMs = 1000, 6000
	profile.ConcurrencyLimit, profile.QueueLimit = stormEngines*16, 4096
	length := o.length(12 * time.Second)
	t := trial{
		shape:    shape{domains: 2, vmsPerDomain: 1, engines: stormEngines, slots: 16, first: 20 * time.Millisecond, between: 5 * time.Millisecond},
		profiles: []wire.Profile{profile},
		classes:  []load.Class{{Name: "label", Profile: profile, Rate: 420, MaxTokens: 40}},
		length:   length,
		setUp: func(w *demo.Deployment) {
			for _, doc := range w.Servers() {
				w.Engine(doc.Name).SetResident("label-1", "", 1, 1<<30)
				w.Engine(doc.Name).QueueLimit = 4
			}
			time.Sleep(time.Second)
		},
		faults: func(ctx context.Context, w *demo.Deployment) int {
			pause.For(ctx, length/3)
			w.KillServer("llm-1")
			w.KillServer("llm-2")
			return 2
		},
	}
	ours, baseline, err := t.pair(ctx, o)
	if err != nil {
		return nil, err
	}
	f := stormFigures{Common: t.common("storm", o, ours)}
	f.latencies = newLatencies(ours.summary.Total, stormEngines)
	f.naiveLatencies = naiveLatencies(newLatencies(baseline.summary.Total, stormEngines))
	f.Amplification = float64(ours.attempts) / float64(ours.summary.Total.Sent)
	f.NaiveAmplification = float64(baseline.attempts) / float64(baseline.summary.Total.Sent)
	return f, f.broken()
}

type streamsFigures struct {
	Common
	latencies
	naiveLatencies
	Whole      float64 `json:"whole_share"`
	NaiveWhole float64 `json:"naive_whole_share"`
	Cut        int64   `json:"streams_cut"`
}

// streams: connections of streams break, frames come twice and with frames of
// other attempts, and one server dies; the baseline does not resume.
func streams(ctx context.Context, o Options) (Figures, error) {
	draft, issue := engineProfile("draft", 1, 3), engineProfile("issue", 1, 1)
	length := o.length(10 * time.Second)
	faults := stand.EngineFaults{CutShare: 0.01, CrossShare: 0.02, RepeatShare: 0.02}
	t := trial{
		shape:    shape{domains: 2, vmsPerDomain: 1, engines: 4, slots: 32, first: 20 * time.Millisecond, between: 5 * time.Millisecond},
		profiles: []wire.Profile{draft, issue},
		classes: []load.Class{
			{Name: "draft", Profile: draft, Rate: 100, MaxTokens: 60},
			{Name: "issue", Profile: issue, Rate: 50, MaxTokens: 60},
		},
		length: length,
		setUp: func(w *demo.Deployment) {
			for _, doc := range w.Servers() {
				w.Engine(doc.Name).SetFaults(faults)
			}
		},
		faults: func(ctx context.Context, w *demo.Deployment) int {
			pause.For(ctx, length/2)
			w.KillServer("llm-3")
			return 1
		},
	}
	ours, baseline, err := t.pair(ctx, o)
	if err != nil {
		return nil, err
	}
	f := streamsFigures{Common: t.common("streams", o, ours)}
	f.latencies = newLatencies(ours.summary.Total, 4)
	f.naiveLatencies = naiveLatencies(newLatencies(baseline.summary.Total, 4))
	f.Whole = wholeShare(ours.summary.Total)
	f.NaiveWhole = wholeShare(baseline.summary.Total)
	for _, doc := range ours.world.Servers() {
		f.Cut += ours.world.Engine(doc.Name).Counts().Cut
	}
	f.FaultsInjected += int(f.Cut)
	return f, f.broken()
}

func wholeShare(l load.Line) float64 { return float64(l.Whole) / float64(max(l.Sent, 1)) }
