package trail

import (
	"fmt"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of an image, which consists of two plots, one above the other.
const (
	pictureWidth  = 24 * vg.Centimeter
	pictureHeight = 20 * vg.Centimeter
)

// Format is an image format.
type Format int

// The formats.
const (
	SVG Format = iota
	PNG
)

var (
	green = color.RGBA{G: 140, B: 60, A: 255}
	amber = color.RGBA{R: 220, G: 150, A: 255}
	red   = color.RGBA{R: 200, G: 30, B: 30, A: 255}
	blue  = color.RGBA{R: 30, G: 80, B: 190, A: 255}
)

// Plot writes an image with two plots: request outcomes over time, and observed over predicted
// times to the first event.
func (l *Log) Plot(w io.Writer, f Format, o Options) error {
	requests := l.selectRequests(o.Model)
	byTime, err := l.plotOutcomes(requests, o)
	if err != nil {
		return fmt.Errorf("plot by time: %w", err)
	}
	predicted, err := l.plotPredictions(requests)
	if err != nil {
		return fmt.Errorf("plot predictions: %w", err)
	}
	var canvas interface {
		vg.CanvasSizer
		io.WriterTo
	}
	if f == PNG {
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(pictureWidth, pictureHeight)}
	} else {
		canvas = vgsvg.New(pictureWidth, pictureHeight)
	}
	area := draw.New(canvas)
	byTime.Draw(draw.Crop(area, 0, 0, pictureHeight/2, 0))
	predicted.Draw(draw.Crop(area, 0, 0, 0, -pictureHeight/2))
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write image: %w", err)
	}
	return nil
}

func (l *Log) plotOutcomes(requests []*Request, o Options) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Request outcomes"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests per second"
	list := l.windows(requests, o)
	seconds := o.window().Seconds()
	curves := []struct {
		title string
		color color.Color
		value func(window) int
	}{
		{"in time", green, func(w window) int { return w.count.inTime }},
		{"late", amber, func(w window) int { return w.count.late }},
		{"lost", red, func(w window) int { return w.count.lost }},
		{"loads", blue, func(w window) int { return w.loads }},
	}
	for _, curve := range curves {
		points := make(plotter.XYs, len(list))
		for i, w := range list {
			points[i] = plotter.XY{X: time.Duration(w.start - l.firstAt).Seconds(), Y: float64(curve.value(w)) / seconds}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("draw line for %s: %w", curve.title, err)
		}
		line.Color, line.Width = curve.color, vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(curve.title, line)
	}
	p.Legend.Top = true
	return p, nil
}

// maxPoints is the maximum number of points in a plot. More points would hide each other, and make
// a vector image large.
const maxPoints = 4000

func (l *Log) plotPredictions(requests []*Request) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Times to first event of streams sent without waiting or retry"
	p.X.Label.Text, p.Y.Label.Text = "predicted, ms", "observed, ms"
	var points plotter.XYs
	for _, r := range requests {
		if r.sentDirectly && r.streamed && r.outcome != Lost {
			points = append(points, plotter.XY{X: float64(r.predicted), Y: float64(r.firstEvent)})
		}
	}
	if len(points) == 0 {
		return p, nil
	}
	step := len(points)/maxPoints + 1
	var shown plotter.XYs
	maxPredicted := 0.0
	for i := 0; i < len(points); i += step {
		shown = append(shown, points[i])
		maxPredicted = max(maxPredicted, points[i].X)
	}
	scatter, err := plotter.NewScatter(shown)
	if err != nil {
		return nil, fmt.Errorf("draw points: %w", err)
	}
	scatter.GlyphStyle = draw.GlyphStyle{Color: blue, Radius: vg.Points(1), Shape: draw.CircleGlyph{}}
	diagonal, err := plotter.NewLine(plotter.XYs{{}, {X: maxPredicted, Y: maxPredicted}})
	if err != nil {
		return nil, fmt.Errorf("draw diagonal: %w", err)
	}
	diagonal.Color = green
	p.Add(scatter, diagonal)
	p.Legend.Add("as predicted", diagonal)
	return p, nil
}
