package event_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/event"
)

// served is an event of the usual size.
func served() event.Event {
	return event.Event{
		Name: "request_served", Request: "01m8z0899f64kf6tc1g9cy94tv", Customer: "school", Class: "drafting", Version: 7,
		Attributes: []event.Attribute{{Key: "tier", Value: "2"}, {Key: "elapsed_ms", Value: "120"}, {Key: "tokens", Value: "42"}},
	}
}

// TestRecorderKeepsNewestEvents holds that a recorder keeps the newest events in order, and no more than its capacity.
func TestRecorderKeepsNewestEvents(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	recorder := event.New(event.Config{Process: "p", Capacity: 3, Wall: func() time.Time { return time.Unix(1, 0) }})
	for _, name := range []event.Name{"a", "b", "c", "d", "e"} {
		recorder.Record(event.Event{Name: name})
	}
	kept := recorder.Events()
	is.Equal(len(kept), 3)
	for index, name := range []event.Name{"c", "d", "e"} {
		is.Equal(kept[index].Name, name)
	}
	is.True(kept[0].Time.Compare(kept[1].Time) < 0) // the wall clock stands still, the order stays
}

// BenchmarkRecord reports the time of an event and the memory of one that is kept.
func BenchmarkRecord(b *testing.B) {
	recorder := event.New(event.Config{Process: "p"})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range event.DefaultCapacity {
		recorder.Record(served())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		recorder.Record(served())
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/event.DefaultCapacity, "B/kept_event")
	runtime.KeepAlive(recorder)
}
