package main

import (
	"image/color"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var lineColors = map[string]color.Color{
	"bound":      color.Gray{150},
	"static":     color.RGBA{200, 60, 50, 255},
	"repack 30m": color.RGBA{230, 150, 30, 255},
	"ours":       color.RGBA{20, 90, 190, 255},
}

// plotAll writes the plots of one trace: skew over time, and the objective J split into
// its parts.
func plotAll(o options, u user, z size, results []result) error {
	stem := filepath.Join(o.Plots, "placement-"+o.Size+"-"+strings.ReplaceAll(u.name, " ", "-"))
	if err := plotSkew(stem+"-skew.png", u, results); err != nil {
		return err
	}
	return plotObjective(stem+"-objective.png", u, z, results)
}

func plotSkew(path string, u user, results []result) error {
	p := plot.New()
	p.Title.Text = u.name + ": skew (busiest over mean)"
	p.X.Label.Text = "hours"
	p.Y.Min = 1
	p.Legend.Top = true
	for _, name := range []string{"static", "repack 30m", "ours", "bound"} {
		r := resultOf(results, name)
		line, err := plotter.NewLine(downsample(r.skews))
		if err != nil {
			return err
		}
		line.Color = lineColors[name]
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p.Save(22*vg.Centimeter, 9*vg.Centimeter, path)
}

// plotPoints limits the points of a line, approximately.
const plotPoints = 1500

func downsample(skews []float64) plotter.XYs {
	every := max(len(skews)/plotPoints, 1)
	var out plotter.XYs
	for i := 0; i < len(skews); i += every {
		out = append(out, plotter.XY{X: float64(i) * window.Hours(), Y: skews[i]})
	}
	return out
}

func plotObjective(path string, u user, z size, results []result) error {
	names := []string{"bound", "offline", "ours", "time of day", "hysteresis", "matched repack", "repack", "static"}
	if len(results) < len(planners(true)) {
		names = []string{"bound", "offline", "ours", "repack", "static"}
	}
	var lost, moved plotter.Values
	for _, name := range names {
		r := resultOf(results, name)
		skewPart := z.cost(u).SkewWeight * r.obj.TimeLost.Seconds()
		lost = append(lost, skewPart)
		moved = append(moved, r.j-skewPart)
	}
	p := plot.New()
	p.Title.Text = u.name + ": objective J (weighted seconds)"
	p.Legend.Top = true
	p.Legend.Left = true
	width := vg.Points(30)
	low, err := plotter.NewBarChart(lost, width)
	if err != nil {
		return err
	}
	low.Color = lineColors["ours"]
	high, err := plotter.NewBarChart(moved, width)
	if err != nil {
		return err
	}
	high.Color = lineColors["repack 30m"]
	high.StackOn(low)
	p.Add(low, high)
	p.Legend.Add("time lost to the busiest rank", low)
	p.Legend.Add("moves and capacity lost", high)
	p.NominalX(names...)
	return p.Save(22*vg.Centimeter, 9*vg.Centimeter, path)
}

// resultOf returns the result of the named planner, or else the best of those whose
// name has this prefix.
func resultOf(results []result, name string) result {
	for _, r := range results {
		if r.name == name {
			return r
		}
	}
	return best(results, name)
}
