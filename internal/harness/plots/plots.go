// Package plots draws what measurements found.
package plots

import (
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Point is a wait as it was told and as it was had, in seconds.
type Point struct{ Estimated, Actual float64 }

// WaitEstimates draws told against had, both by their logarithm, with the band within which a wait counts as true. The
// file's ending says how it is written: .svg or .png.
func WaitEstimates(file, title string, points []Point) error {
	const least = 0.005 // shorter ones are drawn there
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "told, s", "had, s"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	xy := make(plotter.XYs, 0, len(points))
	most := 1.0
	for _, at := range points {
		x, y := max(at.Estimated, least), max(at.Actual, least)
		xy = append(xy, plotter.XY{X: x, Y: y})
		most = max(most, x, y)
	}
	dots, err := plotter.NewScatter(xy)
	if err != nil {
		return err
	}
	dots.Radius, dots.Color = vg.Points(0.8), color.NRGBA{B: 180, A: 90}
	p.Add(dots)
	for _, bound := range []func(had float64) float64{
		func(had float64) float64 { return max(had-max(0.2*had, 0.05), least) },
		func(had float64) float64 { return had + max(0.2*had, 0.05) }} {
		var edge plotter.XYs
		for had := least; had <= most; had *= 1.05 {
			edge = append(edge, plotter.XY{X: bound(had), Y: had})
		}
		line, err := plotter.NewLine(edge)
		if err != nil {
			return err
		}
		line.Color = color.RGBA{R: 200, A: 255}
		p.Add(line)
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = least, most, least, most
	return p.Save(14*vg.Centimeter, 14*vg.Centimeter, file)
}

// Shares draws the work done by each team over time, in buckets of a second, as parts of the whole.
func Shares(file, title string, names []string, work [][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "time, s", "part of the work done"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	for i, name := range names {
		var xy plotter.XYs
		for at := range work[i] {
			sum := 0.0
			for k := range work {
				sum += work[k][at]
			}
			if sum > 0 {
				xy = append(xy, plotter.XY{X: float64(at), Y: work[i][at] / sum})
			}
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		hue := 2 * math.Pi * float64(i) / float64(len(names))
		shade := func(turn float64) uint8 { return uint8(110 + 100*math.Cos(hue+turn)) }
		line.Color = color.RGBA{shade(0), shade(2), shade(4), 255}
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, file)
}

// Utilization draws how busy each engine was over time, in buckets of a second; what joined later begins later. One shade for
// all: what is to be seen is how far they lie apart.
func Utilization(file, title string, engines [][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "time, s", "part of the cores busy"
	p.Y.Min, p.Y.Max = 0, 1
	for _, busy := range engines {
		xy := make(plotter.XYs, 0, len(busy))
		for at, part := range busy {
			if len(xy) > 0 || part > 0 {
				xy = append(xy, plotter.XY{X: float64(at) + 0.5, Y: part})
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
