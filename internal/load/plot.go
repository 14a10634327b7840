package load

import (
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Dimensions of a report.
const (
	reportWidth = 24 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
)

// series is one line of a panel.
type series struct {
	name  string
	value func(*Point) float64
}

// panel is one chart of a report.
type panel struct {
	title, unit string
	lines       []series
}

// panels returns the charts of a report. Counts of an interval are drawn as rates per second.
func panels(interval time.Duration) []panel {
	rate := func(count func(*Point) int) func(*Point) float64 {
		return func(p *Point) float64 { return float64(count(p)) / interval.Seconds() }
	}
	return []panel{
		{"Latency of answers, from the intended send time", "ms", []series{
			{"p50", func(p *Point) float64 { return p.P50 }},
			{"p99", func(p *Point) float64 { return p.P99 }},
			{"max", func(p *Point) float64 { return p.Max }},
		}},
		{"Coverage of answers", "fraction of the shards", []series{
			{"mean", func(p *Point) float64 { return p.Coverage }},
			{"least", func(p *Point) float64 { return p.MinCoverage }},
		}},
		{"Load", "1/s", []series{
			{"requests", rate(func(p *Point) int { return p.Requests })},
			{"sends", rate(func(p *Point) int { return p.Sends })},
		}},
		{"Outcomes", "1/s", []series{
			{"answered", rate(func(p *Point) int { return p.Answered })},
			{"refused", rate(func(p *Point) int { return p.Refused })},
			{"lost", rate(func(p *Point) int { return p.Lost })},
		}},
	}
}

// WritePlots draws latency, coverage, load and outcomes over time as one SVG image. The error is a
// *status.Error.
func WritePlots(w io.Writer, points []Point, interval time.Duration) error {
	all := panels(interval)
	rows := make([][]*plot.Plot, len(all))
	for i, d := range all {
		p, err := d.draw(points)
		if err != nil {
			return err
		}
		rows[i] = []*plot.Plot{p}
	}
	image := vgsvg.New(reportWidth, panelHeight*vg.Length(len(all)))
	tiles := draw.Tiles{Rows: len(all), Cols: 1, PadY: vg.Centimeter / 2, PadRight: vg.Centimeter / 2}
	canvases := plot.Align(rows, tiles, draw.New(image))
	for i := range rows {
		rows[i][0].Draw(canvases[i][0])
	}
	if _, err := image.WriteTo(w); err != nil {
		return status.Wrap(err, status.Unavailable, "", "write the report")
	}
	return nil
}

func (d *panel) draw(points []Point) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = d.title
	p.X.Label.Text = "s"
	p.Y.Label.Text = d.unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range d.lines {
		xys := make(plotter.XYs, len(points))
		for k := range points {
			xys[k] = plotter.XY{X: points[k].At.Seconds(), Y: s.value(&points[k])}
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return nil, status.Wrap(err, status.Internal, "", "draw %s of %q", s.name, d.title)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p, nil
}
