package chart

import (
	"fmt"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/oatlatch/oatlatch/internal/experiment/lag"
)

// WriteLag writes an SVG with one line for each quantile of the lag of hosts over time.
func WriteLag(out io.Writer, r lag.Result) error {
	if len(r.Samples) == 0 {
		return fmt.Errorf("draw the chart: there are no samples")
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("lag of %d hosts", r.Measured)
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "behind (s)"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	quantiles := []struct {
		name string
		of   func(lag.Sample) time.Duration
	}{
		{"median", func(s lag.Sample) time.Duration { return s.Median }},
		{"99%", func(s lag.Sample) time.Duration { return s.P99 }},
		{"all", func(s lag.Sample) time.Duration { return s.Max }},
	}
	for i, q := range quantiles {
		points := make(plotter.XYs, len(r.Samples))
		for j, s := range r.Samples {
			points[j] = plotter.XY{X: s.At.Seconds(), Y: q.of(s).Seconds()}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw the lag: %w", err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(q.name, line)
	}
	canvas := vgsvg.New(panelWidth, panelHeight)
	p.Draw(draw.New(canvas))
	if _, err := canvas.WriteTo(out); err != nil {
		return fmt.Errorf("write the chart: %w", err)
	}
	return nil
}
