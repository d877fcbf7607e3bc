// Package chart draws the results of experiments as SVG charts.
package chart

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/oatlatch/oatlatch/internal/experiment"
)

const (
	// panelWidth and panelHeight are the size of a panel.
	panelWidth  = 20 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
	// panelGap is the space between panels, and between the legend and the border.
	panelGap = 0.5 * vg.Centimeter
)

// Write writes an SVG with one panel for each pattern. A panel has one line for
// each policy, with the worth of the requests sent in each window of the run. The
// results of a pattern must be adjacent.
func Write(out io.Writer, results []experiment.Result) error {
	rows, err := panels(results)
	if err != nil {
		return err
	}
	canvas := vgsvg.New(panelWidth, vg.Length(len(rows))*panelHeight)
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadY: panelGap, PadRight: panelGap}
	for i, areas := range plot.Align(rows, tiles, draw.New(canvas)) {
		rows[i][0].Draw(areas[0])
	}
	if _, err := canvas.WriteTo(out); err != nil {
		return fmt.Errorf("write the chart: %w", err)
	}
	return nil
}

// panels returns one panel for each pattern, in the order of the results. Each panel
// is a row of its own, because plot.Align expects rows and columns.
func panels(results []experiment.Result) ([][]*plot.Plot, error) {
	var rows [][]*plot.Plot
	var panel *plot.Plot
	lines := 0
	for i, r := range results {
		if i == 0 || results[i-1].Pattern != r.Pattern {
			panel = newPanel(r.Pattern)
			lines = 0
			rows = append(rows, []*plot.Plot{panel})
		}
		points := make(plotter.XYs, len(r.Windows))
		for j, w := range r.Windows {
			points[j] = plotter.XY{X: w.At.Seconds(), Y: w.Worth}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("draw pattern %s with policy %s: %w", r.Pattern, r.Policy, err)
		}
		line.Color, line.Dashes = plotutil.Color(lines), plotutil.Dashes(lines)
		lines++
		panel.Add(line)
		panel.Legend.Add(r.Policy, line)
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("draw the chart: there are no results")
	}
	return rows, nil
}

// newPanel returns an empty panel for a pattern.
func newPanel(pattern string) *plot.Plot {
	p := plot.New()
	p.Title.Text = pattern
	p.X.Label.Text = "time of the request (s)"
	p.Y.Label.Text = "worth"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.YOffs = panelGap
	p.Add(plotter.NewGrid())
	return p
}
