package lab

import (
	"math"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// chart draws which part of a variant's runs had a figure up to a value. Runs without the
// figure keep the line below 1.
func chart(e *Experiment, rows []Row, col int, path string) error {
	p := plot.New()
	p.Title.Text = e.Name + ": " + columns[col].what
	p.X.Label.Text, p.Y.Label.Text = columns[col].name, "part of runs"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = false, false
	for i, v := range e.Variants {
		all := of(rows, v.Name, col)
		list := slices.DeleteFunc(slices.Clone(all), math.IsNaN)
		slices.Sort(list)
		var points plotter.XYs
		for j, x := range list {
			points = append(points, plotter.XY{X: x, Y: float64(j) / float64(len(all))}, plotter.XY{X: x, Y: float64(j+1) / float64(len(all))})
		}
		if points == nil {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		p.Add(line)
		p.Legend.Add(v.Name, line)
	}
	canvas := vgsvg.New(18*vg.Centimeter, 11*vg.Centimeter)
	p.Draw(draw.New(canvas))
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := canvas.WriteTo(f); err != nil {
		return err
	}
	return f.Close()
}
