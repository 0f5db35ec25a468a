// Package figure plots runs as SVG: the share of requests that met their targets,
// by the second of their arrival, with one line for each class.
//
// # Usage
//
//	err := figure.Save("out/winch-1.svg", measured)
package figure

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format

	"github.com/arbutuswinch/winch/winchload/result"
)

const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
	// smoothing is the length in seconds of the sliding window over which the share is averaged.
	smoothing = 5
)

// Save writes a plot of the results. Each class has a colour, each result a dash pattern.
func Save(path string, results ...result.Result) error {
	chart := plot.New()
	chart.Title.Text = "requests that met their latency targets"
	chart.X.Label.Text = "second of arrival"
	chart.Y.Label.Text = "share of requests"
	chart.Y.Min, chart.Y.Max = 0, 1
	chart.Add(plotter.NewGrid())
	chart.Legend.YOffs = vg.Centimeter
	for i, measured := range results {
		for j, class := range classNames(measured) {
			line, err := plotter.NewLine(shares(measured, class))
			if err != nil {
				return fmt.Errorf("draw class %s: %w", class, err)
			}
			line.Color = plotutil.Color(j)
			line.Dashes = plotutil.Dashes(i)
			chart.Add(line)
			chart.Legend.Add(measured.Label+" "+class, line)
		}
	}
	if err := chart.Save(width, height, path); err != nil {
		return fmt.Errorf("save figure: %w", err)
	}
	return nil
}

func classNames(measured result.Result) []string {
	names := make([]string, 0, len(measured.Classes))
	for _, class := range measured.Classes {
		names = append(names, class.Name)
	}
	return names
}

// shares returns the share of the class's requests that met their targets, for each
// second with arrivals, averaged over the sliding window.
func shares(measured result.Result, class string) plotter.XYs {
	window, out := []result.Point{}, plotter.XYs{}
	for _, point := range measured.Series {
		if point.Class != class {
			continue
		}
		window = append(window, point)
		for window[0].Second <= point.Second-smoothing {
			window = window[1:]
		}
		offered, attained := 0, 0
		for _, earlier := range window {
			offered += earlier.Offered
			attained += earlier.Attained
		}
		out = append(out, plotter.XY{X: float64(point.Second), Y: float64(attained) / float64(offered)})
	}
	return out
}
