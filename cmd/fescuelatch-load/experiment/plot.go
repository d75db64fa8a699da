package experiment

import (
	"fmt"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// This file draws the plots of a report.

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 1.5 * vg.Centimeter
)

// Plot writes the plots of all sections to dir.
func (r *Report) Plot(dir string) error {
	for n := range r.Sections {
		c := &r.Sections[n]
		for _, p := range []struct {
			suffix string
			draw   func(*Section) (*plot.Plot, error)
		}{{"primary", barChart}, {"failed", r.timeline}} {
			name := fmt.Sprintf("%s-%s.png", c.Name, p.suffix)
			pl, err := p.draw(c)
			if err != nil {
				return &Error{"plot " + name, KindReport, err}
			}
			if err := pl.Save(plotWidth, plotHeight, filepath.Join(dir, name)); err != nil {
				return &Error{"plot " + name, KindReport, errors.WithStack(err)}
			}
			c.Plots = append(c.Plots, name)
		}
	}
	return nil
}

// meanAndRange holds the means of variants with their smallest and largest
// values, in the form that the plotters require.
type meanAndRange struct {
	plotter.XYs
	plotter.YErrors
}

// barChart draws the mean primary measure of each variant, with the range over
// its trials.
func barChart(c *Section) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = string(c.Name)
	p.Y.Label.Text = string(c.Primary)
	p.Y.Min = 0
	var means plotter.Values
	var names []string
	var e meanAndRange
	for k := range c.Variants {
		s, _ := c.Variants[k].spread(c.Primary)
		means = append(means, s.Mean)
		names = append(names, c.Variants[k].Name)
		e.XYs = append(e.XYs, plotter.XY{X: float64(k), Y: s.Mean})
		e.YErrors = append(e.YErrors, struct{ Low, High float64 }{s.Mean - s.Min, s.Max - s.Mean})
	}
	b, err := plotter.NewBarChart(means, barWidth)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b.Color = plotutil.Color(2)
	y, err := plotter.NewYErrorBars(e)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p.Add(b, y)
	p.NominalX(names...)
	return p, nil
}

// timeline draws the share of failed calls per second, averaged over the
// trials of each variant.
func (r *Report) timeline(c *Section) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = string(c.Name) + ": failed calls"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "share of calls"
	p.Y.Min, p.Y.Max = 0, 1
	for k := range c.Variants {
		l, err := plotter.NewLine(meanSeries(trialsOf(r.Trials, c.Name, c.Variants[k].Name)))
		if err != nil {
			return nil, errors.WithStack(err)
		}
		l.Color = plotutil.Color(k)
		l.Dashes = plotutil.Dashes(k)
		p.Add(l)
		p.Legend.Add(c.Variants[k].Name, l)
	}
	p.Legend.Top = true
	return p, nil
}

func meanSeries(ts []Trial) plotter.XYs {
	var length int
	for _, t := range ts {
		length = max(length, len(t.FailedShare))
	}
	xys := make(plotter.XYs, length)
	for k := range xys {
		xys[k].X = float64(k)
		for _, t := range ts {
			if k < len(t.FailedShare) {
				xys[k].Y += t.FailedShare[k] / float64(len(ts))
			}
		}
	}
	return xys
}
