package experiment

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = vg.Length(18) // points
)

// plotDirPermissions are the permissions of the plot directory if it has to be created.
const plotDirPermissions = 0o755

// lineSeries is one line of a plot.
type lineSeries struct {
	name   string
	points plotter.XYs
}

// linePlot is a line plot with a marker at each point.
type linePlot struct {
	title, xLabel, yLabel string
	lines                 []lineSeries
}

// barSeries is a set of bars of the same color, one for each group of the plot.
type barSeries struct {
	name    string
	heights plotter.Values
}

// barPlot is a plot of groups of bars. Each group has one bar of each series.
type barPlot struct {
	title      string
	groupNames []string // labels below the groups
	series     []barSeries
}

// newPlot returns an empty plot whose vertical axis starts at zero.
func newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

// drawLines draws a line plot to a file in the plot directory. It does nothing without a plot directory.
func (r *run) drawLines(file string, spec linePlot) error {
	if r.plotDir == "" {
		return nil
	}
	p := newPlot(spec.title)
	p.X.Label.Text = spec.xLabel
	p.Y.Label.Text = spec.yLabel
	var arguments []any // alternating names and points, as plotutil expects
	for _, line := range spec.lines {
		arguments = append(arguments, line.name, line.points)
	}
	err := plotutil.AddLinePoints(p, arguments...)
	if err != nil {
		return err
	}
	return r.save(p, file)
}

// drawBars draws a bar plot to a file in the plot directory. It does nothing without a plot directory.
func (r *run) drawBars(file string, spec barPlot) error {
	if r.plotDir == "" {
		return nil
	}
	p := newPlot(spec.title)
	for i, bars := range spec.series {
		chart, err := plotter.NewBarChart(bars.heights, barWidth)
		if err != nil {
			return err
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = barWidth * vg.Length(i)
		p.Add(chart)
		p.Legend.Add(bars.name, chart)
	}
	p.NominalX(spec.groupNames...)
	return r.save(p, file)
}

// save writes a plot to a file in the plot directory, which it creates if necessary.
func (r *run) save(p *plot.Plot, file string) error {
	err := os.MkdirAll(r.plotDir, plotDirPermissions)
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(r.plotDir, file))
}
