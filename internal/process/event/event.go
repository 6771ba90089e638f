// Package event records the events of a process: it logs them and keeps the most recent ones for its event log.
package event

import (
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"

	"vanillapond/pkg/ident"
)

// DefaultCapacity is the default number of events that a Recorder keeps.
const DefaultCapacity = 16384

// Name is the name of an event.
type Name string

// Event is something that happened in a process. No field contains an API key or a prompt.
type Event struct {
	Time        Time                `json:"time"`
	Process     ident.Process       `json:"process"`
	Incarnation ident.Incarnation   `json:"incarnation"`
	Name        Name                `json:"name"`
	Request     ident.Request       `json:"request,omitempty"`
	Customer    ident.Customer      `json:"customer,omitempty"`
	Class       ident.Class         `json:"class,omitempty"`
	Endpoint    ident.Endpoint      `json:"endpoint,omitempty"`
	Domain      ident.FailureDomain `json:"domain,omitempty"`
	Lease       string              `json:"lease,omitempty"`
	Fence       ident.Fence         `json:"fence,omitempty"`
	Version     ident.Version       `json:"version,omitempty"`
	// Detail is a short description, such as a reason.
	Detail string `json:"detail,omitempty"`
	// Attributes are further attributes, in a fixed order.
	Attributes []Attribute `json:"pairs,omitempty"`
}

// Attribute is a key and a value of an event.
type Attribute struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Config configures a Recorder.
type Config struct {
	Process     ident.Process
	Incarnation ident.Incarnation
	// Log receives one logfmt line for each event; nil means that events are not logged.
	Log io.Writer
	// Capacity limits the number of events kept; 0 means DefaultCapacity.
	Capacity int
	// Wall is the wall clock; nil means time.Now.
	Wall func() time.Time
	// OnRecord is called for each event; may be nil.
	OnRecord func(Name)
}

// Recorder logs the events of a process and keeps the most recent ones.
type Recorder struct {
	config Config
	clock  *Clock
	logger log.Logger
	mu     sync.Mutex
	// ring is a ring buffer of the most recent events; once it is full, next is the index of the oldest one. Guarded by mu.
	ring []Event
	next int
}

// New returns an empty recorder.
func New(config Config) *Recorder {
	if config.Capacity == 0 {
		config.Capacity = DefaultCapacity
	}
	if config.Wall == nil {
		config.Wall = time.Now
	}
	if config.Log == nil {
		config.Log = io.Discard
	}
	return &Recorder{
		config: config,
		clock:  NewClock(config.Wall),
		logger: log.NewLogfmtLogger(log.NewSyncWriter(config.Log)),
	}
}

// Clock returns the recorder's hybrid logical clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record sets the time, process and incarnation of an event, keeps it and logs it.
func (r *Recorder) Record(event Event) {
	event.Time = r.clock.Now()
	event.Process = r.config.Process
	event.Incarnation = r.config.Incarnation
	r.keep(event)
	_ = r.logger.Log(logPairs(event)...)
	if r.config.OnRecord != nil {
		r.config.OnRecord(event.Name)
	}
}

// RecordPanic records that the handler of a request panicked.
func (r *Recorder) RecordPanic(reason string) {
	r.Record(Event{Name: "request_panicked", Detail: reason})
}

func (r *Recorder) keep(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < r.config.Capacity {
		r.ring = append(r.ring, event)
		return
	}
	r.ring[r.next] = event
	r.next = (r.next + 1) % len(r.ring)
}

// Events returns the kept events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.ring))
	events = append(events, r.ring[r.next:]...)
	return append(events, r.ring[:r.next]...)
}

// AllAttributes returns all non-empty attributes in a fixed order, including the fields that follow Name.
func (e Event) AllAttributes() []Attribute {
	attributes := []Attribute{
		{"request", string(e.Request)},
		{"customer", string(e.Customer)},
		{"class", string(e.Class)},
		{"endpoint", string(e.Endpoint)},
		{"domain", string(e.Domain)},
		{"lease", e.Lease},
		{"fence", formatNonZero(e.Fence)},
		{"version", formatNonZero(e.Version)},
	}
	attributes = append(attributes, e.Attributes...)
	attributes = append(attributes, Attribute{"detail", e.Detail})
	return slices.DeleteFunc(attributes, func(attribute Attribute) bool { return attribute.Value == "" })
}

// formatNonZero returns the number in decimal, or an empty string for 0.
func formatNonZero[T ~int64](value T) string {
	if value == 0 {
		return ""
	}
	return strconv.FormatInt(int64(value), 10)
}

// logPairs returns the event as alternating keys and values for the logger.
func logPairs(event Event) []any {
	timestamp := time.UnixMilli(event.Time.WallMS).UTC().Format("2006-01-02T15:04:05.000Z")
	pairs := []any{"ts", timestamp, "seq", event.Time.Counter, "event", event.Name, "process", event.Process}
	for _, attribute := range event.AllAttributes() {
		pairs = append(pairs, attribute.Key, attribute.Value)
	}
	return pairs
}
