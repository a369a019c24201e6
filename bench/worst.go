package bench

import (
	"context"
	"fmt"
	"image/color"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/hibiscuscart/hibiscuscart/replay"
)

// worstReport compares the system under its worst-case load with a naive variant and
// with idealized variants that have more information or faster loads.
type worstReport struct {
	CommonReport
	// EarnedShare is the earned share of the total value of the requests.
	// WorstSpanShare is the lowest share in any two seconds.
	EarnedShare    float64 `json:"worth"`
	WorstSpanShare float64 `json:"worst_span_worth"`
	// The naive variant sends to a random server that has loaded the model, and
	// keeps the initial placement.
	NaiveShare float64 `json:"naive_worth"`
	// With exact load, each VM immediately has the load sent by all VMs. With foreseen
	// demand, the controller gets the demand of four seconds later. Instant loads take
	// 50 ms. The bound combines all three.
	ExactLoadShare      float64 `json:"exact_load_worth"`
	ForeseenDemandShare float64 `json:"foreseen_worth"`
	InstantLoadsShare   float64 `json:"instant_loads_worth"`
	BoundShare          float64 `json:"bound_worth"`
	Arrivals            int     `json:"arrivals"`
	Refused             int     `json:"arrivals_refused"`
	Loads               int     `json:"loads"`
	StoreLoads          int     `json:"loads_from_the_weight_store"`
}

// demandLookahead is how far ahead the controller gets the demand in the foreseen
// variant. It is about the duration of a model load.
const demandLookahead = 4 * time.Second

// replayVariants are the variants under which a load pattern is replayed.
var replayVariants = []struct {
	name    string
	variant replay.Variant
	color   color.Color
}{
	{"actual system", replay.Variant{}, color.RGBA{R: 200, G: 30, B: 30, A: 255}},
	{"naive", replay.Variant{RandomServer: true, FixedPlacement: true}, color.Gray{Y: 140}},
	{"exact load", replay.Variant{ExactLoad: true}, color.RGBA{R: 30, G: 80, B: 190, A: 255}},
	{"foreseen demand", replay.Variant{ForecastHorizon: demandLookahead}, color.RGBA{R: 220, G: 150, A: 255}},
	{"instant loads", replay.Variant{InstantLoads: true}, color.RGBA{R: 120, B: 120, A: 255}},
	{"all three", replay.Variant{ExactLoad: true, ForecastHorizon: demandLookahead, InstantLoads: true}, color.RGBA{G: 140, B: 60, A: 255}},
}

// worst returns the experiment that replays a load pattern.
func worst(pattern string) func(context.Context, Options) (Report, error) {
	return func(_ context.Context, o Options) (Report, error) {
		p, err := replay.PatternByName(pattern)
		if err != nil {
			return nil, fmt.Errorf("find load pattern: %w", err)
		}
		p.Length = o.duration(p.Length)
		tallies := make([]*replay.Tally, len(replayVariants))
		var group sync.WaitGroup
		for i, v := range replayVariants {
			group.Go(func() { tallies[i] = replay.Run(p, v.variant, o.Seed) })
		}
		group.Wait()
		for i, v := range replayVariants {
			fmt.Fprintf(o.Out, "%s:\n%s\n", v.name, tallies[i])
		}
		if o.PlotPath != "" {
			if err := plotWorst(o.PlotPath, pattern, tallies); err != nil {
				return nil, err
			}
		}
		return newWorstReport(pattern, o, p, tallies), nil
	}
}

func newWorstReport(pattern string, o Options, p replay.Pattern, tallies []*replay.Tally) worstReport {
	system := tallies[0]
	report := worstReport{
		CommonReport: CommonReport{Experiment: "worst_" + pattern, Seed: o.Seed, FaultsInjected: len(p.Faults), Requests: system.Total().Requests},
		EarnedShare:  system.Worth(), WorstSpanShare: system.WorstSpanWorth(),
		NaiveShare: tallies[1].Worth(), ExactLoadShare: tallies[2].Worth(), ForeseenDemandShare: tallies[3].Worth(),
		InstantLoadsShare: tallies[4].Worth(), BoundShare: tallies[5].Worth(),
	}
	report.Refused, report.Arrivals = system.Refusals()
	report.Loads, report.StoreLoads = system.Loads()
	return report
}

// plotWorst plots the earned share over time.
func plotWorst(path, pattern string, tallies []*replay.Tally) error {
	p := plot.New()
	p.Title.Text = "Earned share of requested value, pattern " + pattern
	p.X.Label.Text, p.Y.Label.Text = "seconds", "earned share"
	p.Y.Min, p.Y.Max = 0, 1
	for i, v := range replayVariants {
		var points plotter.XYs
		for at, share := range tallies[i].WorthOverTime() {
			points = append(points, plotter.XY{X: at.Seconds(), Y: share})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", v.name, err)
		}
		line.Color, line.Width = v.color, vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(v.name, line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)
