package experiment

import (
	"fmt"
	"io"

	svg "github.com/ajstarks/svgo"

	"vanillapond/internal/sticky"
)

// Dimensions of the plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 320
	plotMargin = 50
	lineHeight = 18
)

// colors are distinguishable in print, too.
var colors = []string{"#1b6ca8", "#d1495b", "#66a182", "#edae49", "#5d3a9b", "#2f4858"}

// Plot writes an SVG with the fraction of each window that was served in time, averaged over the seeds, as a line for each policy.
func Plot(w io.Writer, reports []Report) error {
	sink := &sticky.Writer{To: w}
	canvas := svg.New(sink)
	groups := groupByPolicy(reports)
	canvas.Start(plotWidth, plotHeight+lineHeight*len(groups)+plotMargin)
	canvas.Rect(plotMargin, plotMargin/2, plotWidth-2*plotMargin, plotHeight-plotMargin, "fill:none;stroke:#999")
	for _, mark := range []float64{0, 0.25, 0.5, 0.75, 1} {
		canvas.Text(plotMargin/4, fractionToY(mark), fmt.Sprintf("%.2f", mark), "font:11px sans-serif")
		canvas.Line(plotMargin, fractionToY(mark), plotWidth-plotMargin, fractionToY(mark), "stroke:#ddd")
	}
	canvas.Text(plotWidth/3, plotHeight, "served in time, by seconds of arrival", "font:12px sans-serif")
	for index, group := range groups {
		color := colors[index%len(colors)]
		xs, ys := meanPoints(group)
		canvas.Polyline(xs, ys, "fill:none;stroke-width:2;stroke:"+color)
		canvas.Text(plotMargin, plotHeight+lineHeight*(index+1), group[0].Policy, "font:bold 13px sans-serif;fill:"+color)
	}
	canvas.End()
	return sink.Err
}

func fractionToY(fraction float64) int {
	return plotMargin/2 + int((1-fraction)*float64(plotHeight-plotMargin))
}

// meanPoints returns the coordinates of the mean fraction of each window that was served in time.
func meanPoints(group []Report) (xs, ys []int) {
	windows := len(group[0].Windows)
	for window := range windows {
		sum := 0.0
		for _, report := range group {
			if window < len(report.Windows) {
				sum += report.Windows[window].inTime()
			}
		}
		xs = append(xs, plotMargin+window*(plotWidth-2*plotMargin)/max(windows-1, 1))
		ys = append(ys, fractionToY(sum/float64(len(group))))
	}
	return xs, ys
}
