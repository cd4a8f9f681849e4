package load

import (
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 8 * vg.Inch
)

// WritePlot writes a PNG with two plots over the intended start of the requests:
// the 99th percentile of each class's time to the whole answer, and the requests
// per second by outcome.
func (r *Report) WritePlot(w io.Writer) error {
	latency, err := r.latencyPlot()
	if err != nil {
		return err
	}
	rates, err := r.ratePlot()
	if err != nil {
		return err
	}
	img := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Millimeter * 4}
	rows := [][]*plot.Plot{{latency}, {rates}}
	canvases := plot.Align(rows, tiles, draw.New(img))
	latency.Draw(canvases[0][0])
	rates.Draw(canvases[1][0])
	_, err = vgimg.PngCanvas{Canvas: img}.WriteTo(w)
	return err
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "intended start, s", y
	p.Legend.Top = true
	p.Y.Min = 0
	return p
}

func (r *Report) latencyPlot() (*plot.Plot, error) {
	p := newPlot("whole answer, 99th percentile", "ms")
	var lines []any
	for i := range r.settings.Class {
		c := &r.settings.Class[i]
		points := r.points(c, func(x *bucket) (float64, bool) {
			return float64(x.whole.ValueAtQuantile(99)) / 1000, x.whole.TotalCount() > 0
		})
		if len(points) > 0 {
			lines = append(lines, c.Name, points)
		}
	}
	return p, plotutil.AddLinePoints(p, lines...)
}

func (r *Report) ratePlot() (*plot.Plot, error) {
	p := newPlot("requests by outcome", "a second")
	var lines []any
	for _, o := range []Outcome{Answered, NotRun, Unknown, Unsent} {
		if points := r.outcomeRate(o); len(points) > 0 {
			lines = append(lines, string(o), points)
		}
	}
	return p, plotutil.AddLinePoints(p, lines...)
}

func (r *Report) points(c *Class, value func(*bucket) (float64, bool)) plotter.XYs {
	var list plotter.XYs
	for i, x := range r.stats.classes[c].buckets {
		if x == nil {
			continue
		}
		if y, ok := value(x); ok {
			list = append(list, plotter.XY{X: r.bucketStart(i), Y: y})
		}
	}
	return list
}

func (r *Report) outcomeRate(o Outcome) plotter.XYs {
	var list plotter.XYs
	seen := false
	buckets := int(r.settings.Duration.D() / r.stats.bucketWidth)
	for i := range buckets {
		n := 0
		for _, cs := range r.stats.classes {
			if x := cs.buckets[i]; x != nil {
				n += x.outcomes[o]
			}
		}
		seen = seen || n > 0
		list = append(list, plotter.XY{X: r.bucketStart(i), Y: float64(n) / r.stats.bucketWidth.Seconds()})
	}
	if !seen {
		return nil
	}
	return list
}

func (r *Report) bucketStart(index int) float64 {
	return (time.Duration(index) * r.stats.bucketWidth).Seconds()
}
