package experiment

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot, and the width of a bar.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = vg.Length(18) // points
)

// plotDirPermissions are the permissions of the directory of plots, if it is created.
const plotDirPermissions = 0o755

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// linePlot is a plot of lines with points.
type linePlot struct {
	title, xLabel, yLabel string
	lines                 []series
}

// bars are the bars of one color. There is one for each name of the plot.
type bars struct {
	name    string
	heights plotter.Values
}

// barPlot is a plot of groups of bars.
type barPlot struct {
	title  string
	names  []string // below the groups
	groups []bars
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

// drawLines draws a line plot to a file, if plots are wanted.
func (r *run) drawLines(file string, drawn linePlot) error {
	if r.plotDir == "" {
		return nil
	}
	p := newPlot(drawn.title)
	p.X.Label.Text = drawn.xLabel
	p.Y.Label.Text = drawn.yLabel
	var arguments []any // names and points in turns, as plotutil expects
	for _, line := range drawn.lines {
		arguments = append(arguments, line.name, line.points)
	}
	err := plotutil.AddLinePoints(p, arguments...)
	if err != nil {
		return err
	}
	return r.save(p, file)
}

// drawBars draws a bar plot to a file, if plots are wanted.
func (r *run) drawBars(file string, drawn barPlot) error {
	if r.plotDir == "" {
		return nil
	}
	p := newPlot(drawn.title)
	for i, group := range drawn.groups {
		chart, err := plotter.NewBarChart(group.heights, barWidth)
		if err != nil {
			return err
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = barWidth * vg.Length(i)
		p.Add(chart)
		p.Legend.Add(group.name, chart)
	}
	p.NominalX(drawn.names...)
	return r.save(p, file)
}

// save writes a plot to a file in the directory of plots.
func (r *run) save(p *plot.Plot, file string) error {
	err := os.MkdirAll(r.plotDir, plotDirPermissions)
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(r.plotDir, file))
}
