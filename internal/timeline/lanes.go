package timeline

import (
	"io"
	"time"

	svg "github.com/ajstarks/svgo"

	"vanillapond/internal/process/event"
	"vanillapond/internal/sticky"
	"vanillapond/pkg/ident"
)

// Dimensions of the lane diagram, in pixels.
const (
	laneWidth    = 260
	rowHeight    = 18
	headerHeight = 40
	timeWidth    = 100
	dotRadius    = 4
)

// Lanes writes the events as an SVG diagram with a lane for each process, in order of time from top to bottom.
func Lanes(w io.Writer, events []event.Event) error {
	lanes := make(map[ident.Process]int)
	var order []ident.Process
	for _, e := range events {
		if _, found := lanes[e.Process]; !found {
			lanes[e.Process] = len(order)
			order = append(order, e.Process)
		}
	}
	sink := &sticky.Writer{To: w}
	canvas := svg.New(sink)
	height := headerHeight + rowHeight*(len(events)+1)
	canvas.Start(timeWidth+laneWidth*max(len(order), 1), height)
	for index, process := range order {
		x := timeWidth + laneWidth*index
		canvas.Line(x, headerHeight/2, x, height, "stroke:#bbb")
		canvas.Text(x, headerHeight/2, string(process), "font:bold 13px sans-serif")
	}
	for row, e := range events {
		drawEvent(canvas, e, headerHeight+rowHeight*row, timeWidth+laneWidth*lanes[e.Process])
	}
	canvas.End()
	return sink.Err
}

func drawEvent(canvas *svg.SVG, e event.Event, y, x int) {
	timestamp := time.UnixMilli(e.Time.WallMS).UTC().Format("15:04:05.000")
	canvas.Text(0, y, timestamp, "font:11px monospace;fill:#555")
	canvas.Circle(x, y-dotRadius, dotRadius, "fill:#369")
	canvas.Text(x+2*dotRadius, y, string(e.Name)+" "+string(e.Endpoint)+" "+e.Detail, "font:11px sans-serif")
}
