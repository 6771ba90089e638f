package timeline_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/event"
	"vanillapond/internal/timeline"
)

func newEvent(wall int64, counter uint32, name event.Name) event.Event {
	return event.Event{Time: event.Time{WallMS: wall, Counter: counter}, Process: "p", Name: name, Request: "r", Detail: "<why>"}
}

func eventNames(events []event.Event) string {
	var all []string
	for _, e := range events {
		all = append(all, string(e.Name))
	}
	return strings.Join(all, " ")
}

func TestMergeAndFilter(t *testing.T) {
	t.Parallel()
	entry := []event.Event{newEvent(10, 0, "sent"), newEvent(12, 1, "served")}
	sidecar := []event.Event{newEvent(10, 1, "started"), newEvent(12, 0, "ended")}
	other := newEvent(11, 0, "other")
	other.Request, other.Lease, other.Version = "q", "orders/d1", 7
	cases := []struct {
		name   string
		filter timeline.Filter
		want   string
	}{
		{"all", timeline.Filter{}, "sent started other ended served"},
		{"request", timeline.Filter{Request: "r"}, "sent started ended served"},
		{"lease", timeline.Filter{Lease: "orders/d1"}, "other"},
		{"version", timeline.Filter{Version: 7}, "other"},
		{"name", timeline.Filter{Name: "ended"}, "ended"},
		{"time", timeline.Filter{Since: time.UnixMilli(11), Until: time.UnixMilli(11)}, "other"},
		{"nothing", timeline.Filter{Customer: "x"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is.New(t).Equal(eventNames(timeline.Merge(c.filter, entry, sidecar, []event.Event{other})), c.want)
		})
	}
}

func TestOutputFormats(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	events := []event.Event{newEvent(10, 0, "sent")}
	var text, lanes, document strings.Builder
	is.NoErr(timeline.Text(&text, events))
	is.Equal(text.String(), "00:00:00.010 p              sent                     request=r detail=<why>\n")
	is.NoErr(timeline.JSON(&document, events))
	is.True(strings.Contains(document.String(), `"name": "sent"`))
	is.NoErr(timeline.Lanes(&lanes, events))
	is.True(strings.Contains(lanes.String(), "sent  &lt;why&gt;"))
}
