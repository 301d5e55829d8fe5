// Package plots draws the results of measurements as charts.
package plots

import (
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Point is an estimated wait and the actual wait that followed, in seconds.
type Point struct{ Estimated, Actual float64 }

// WaitEstimates plots estimated against actual waits on logarithmic axes, with the band within which an estimate counts as
// accurate. The extension of the file selects the format: .svg or .png.
func WaitEstimates(file, title string, points []Point) error {
	const minWait = 0.005 // seconds; shorter waits are drawn at this value
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "estimated wait, s", "actual wait, s"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	xy := make(plotter.XYs, 0, len(points))
	maxWait := 1.0
	for _, point := range points {
		x, y := max(point.Estimated, minWait), max(point.Actual, minWait)
		xy = append(xy, plotter.XY{X: x, Y: y})
		maxWait = max(maxWait, x, y)
	}
	dots, err := plotter.NewScatter(xy)
	if err != nil {
		return err
	}
	dots.Radius, dots.Color = vg.Points(0.8), color.NRGBA{B: 180, A: 90}
	p.Add(dots)
	for _, bound := range []func(actual float64) float64{
		func(actual float64) float64 { return max(actual-max(0.2*actual, 0.05), minWait) },
		func(actual float64) float64 { return actual + max(0.2*actual, 0.05) }} {
		var edge plotter.XYs
		for actual := minWait; actual <= maxWait; actual *= 1.05 {
			edge = append(edge, plotter.XY{X: bound(actual), Y: actual})
		}
		line, err := plotter.NewLine(edge)
		if err != nil {
			return err
		}
		line.Color = color.RGBA{R: 200, A: 255}
		p.Add(line)
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = minWait, maxWait, minWait, maxWait
	return p.Save(14*vg.Centimeter, 14*vg.Centimeter, file)
}

// Shares plots each team's share of the completed work over time. work holds the work of each team in each second.
func Shares(file, title string, names []string, work [][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "time, s", "share of completed work"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	for i, name := range names {
		var xy plotter.XYs
		for second := range work[i] {
			sum := 0.0
			for k := range work {
				sum += work[k][second]
			}
			if sum > 0 {
				xy = append(xy, plotter.XY{X: float64(second), Y: work[i][second] / sum})
			}
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		hue := 2 * math.Pi * float64(i) / float64(len(names))
		channel := func(phase float64) uint8 { return uint8(110 + 100*math.Cos(hue+phase)) }
		line.Color = color.RGBA{channel(0), channel(2), channel(4), 255}
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, file)
}

// Utilization plots the share of busy cores of each engine over time, in steps of a second. The line of an engine that joins
// later starts later. All lines have the same colour, because the plot shows how far they spread, not which engine is which.
func Utilization(file, title string, engines [][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "time, s", "share of busy cores"
	p.Y.Min, p.Y.Max = 0, 1
	for _, busy := range engines {
		xy := make(plotter.XYs, 0, len(busy))
		for second, share := range busy {
			if len(xy) > 0 || share > 0 {
				xy = append(xy, plotter.XY{X: float64(second) + 0.5, Y: share})
			}
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Width = color.NRGBA{B: 160, A: 110}, vg.Points(0.7)
		p.Add(line)
	}
	return p.Save(14*vg.Centimeter, 7*vg.Centimeter, file)
}
