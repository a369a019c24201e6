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

// worstFigures set the system at its worst load beside its simplest form, and beside what
// it would do if it knew or could do more than it can.
type worstFigures struct {
	Common
	// Worth is the part earned of what the requests are worth, WorstSpan the least of any
	// two seconds.
	Worth     float64 `json:"worth"`
	WorstSpan float64 `json:"worst_span_worth"`
	// Naive sends to any server with the model and moves none.
	NaiveWorth float64 `json:"naive_worth"`
	// With exact load each VM knows at once what all have sent; foreseen is the demand of
	// four seconds later told to the controller; instant loads take 50 ms; the bound has
	// all three.
	ExactWorth    float64 `json:"exact_load_worth"`
	ForeseenWorth float64 `json:"foreseen_worth"`
	InstantWorth  float64 `json:"instant_loads_worth"`
	BoundWorth    float64 `json:"bound_worth"`
	Arrivals      int     `json:"arrivals"`
	Refused       int     `json:"arrivals_refused"`
	Loads         int     `json:"loads"`
	StoreLoads    int     `json:"loads_from_the_weight_store"`
}

// foreseen is how far ahead the demand is told where it is: about as long as a load takes.
const foreseen = 4 * time.Second

// worstVariants are the forms that a load pattern is replayed with.
var worstVariants = []struct {
	name    string
	variant replay.Variant
	color   color.Color
}{
	{"as it is", replay.Variant{}, color.RGBA{R: 200, G: 30, B: 30, A: 255}},
	{"naive", replay.Variant{RandomServer: true, FixedPlacement: true}, color.Gray{Y: 140}},
	{"exact load", replay.Variant{ExactLoad: true}, color.RGBA{R: 30, G: 80, B: 190, A: 255}},
	{"foreseen demand", replay.Variant{ForecastHorizon: foreseen}, color.RGBA{R: 220, G: 150, A: 255}},
	{"instant loads", replay.Variant{InstantLoads: true}, color.RGBA{R: 120, B: 120, A: 255}},
	{"all three", replay.Variant{ExactLoad: true, ForecastHorizon: foreseen, InstantLoads: true}, color.RGBA{G: 140, B: 60, A: 255}},
}

// worst returns the experiment of a load pattern.
func worst(pattern string) func(context.Context, Options) (Figures, error) {
	return func(_ context.Context, o Options) (Figures, error) {
		p, err := replay.PatternByName(pattern)
		if err != nil {
			return nil, fmt.Errorf("find load pattern: %w", err)
		}
		p.Length = o.length(p.Length)
		tallies := make([]*replay.Tally, len(worstVariants))
		var group sync.WaitGroup
		for i, v := range worstVariants {
			group.Go(func() { tallies[i] = replay.Run(p, v.variant, o.Seed) })
		}
		group.Wait()
		for i, v := range worstVariants {
			fmt.Fprintf(o.Out, "%s:\n%s\n", v.name, tallies[i])
		}
		if o.Plot != "" {
			if err := plotWorst(o.Plot, pattern, tallies); err != nil {
				return nil, err
			}
		}
		return worstOf(pattern, o, p, tallies), nil
	}
}

func worstOf(pattern string, o Options, p replay.Pattern, tallies []*replay.Tally) worstFigures {
	ours := tallies[0]
	f := worstFigures{
		Common: Common{Experiment: "worst_" + pattern, Seed: o.Seed, FaultsInjected: len(p.Faults), Requests: ours.Total().Requests},
		Worth:  ours.Worth(), WorstSpan: ours.WorstSpanWorth(),
		NaiveWorth: tallies[1].Worth(), ExactWorth: tallies[2].Worth(), ForeseenWorth: tallies[3].Worth(),
		InstantWorth: tallies[4].Worth(), BoundWorth: tallies[5].Worth(),
	}
	f.Refused, f.Arrivals = ours.Refusals()
	f.Loads, f.StoreLoads = ours.Loads()
	return f
}

// plotWorst draws the part earned by time.
func plotWorst(path, pattern string, tallies []*replay.Tally) error {
	p := plot.New()
	p.Title.Text = "Part earned of what is asked, pattern " + pattern
	p.X.Label.Text, p.Y.Label.Text = "seconds", "part earned"
	p.Y.Min, p.Y.Max = 0, 1
	for i, v := range worstVariants {
		var points plotter.XYs
		for at, worth := range tallies[i].WorthOverTime() {
			points = append(points, plotter.XY{X: at.Seconds(), Y: worth})
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", v.name, err)
		}
		drawn.Color, drawn.Width = v.color, vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(v.name, drawn)
	}
	if err := p.Save(pictureWidth, pictureHeight, path); err != nil {
		return fmt.Errorf("write picture: %w", err)
	}
	return nil
}

// Size of a picture.
const (
	pictureWidth  = 24 * vg.Centimeter
	pictureHeight = 12 * vg.Centimeter
)
