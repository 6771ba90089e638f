// Package event records what a process did, as log lines and as a bounded part of the time line.
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

// DefaultCapacity is how many events a process keeps for the time line.
const DefaultCapacity = 16384

// Name says what happened.
type Name string

// Event is one step of a process; no field holds a key or a prompt.
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
	// Detail says why, in a few words.
	Detail string `json:"detail,omitempty"`
	// Attributes hold further figures, in a fixed order.
	Attributes []Attribute `json:"pairs,omitempty"`
}

// Attribute is one further figure of an event.
type Attribute struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Config says whose events are recorded and where.
type Config struct {
	Process     ident.Process
	Incarnation ident.Incarnation
	// Log gets one logfmt line an event; nil means none.
	Log io.Writer
	// Capacity bounds the kept events; 0 means DefaultCapacity.
	Capacity int
	// Wall is the wall clock; nil means time.Now.
	Wall func() time.Time
	// OnRecord is called for each event; nil means that nobody listens.
	OnRecord func(Name)
}

// Recorder keeps the last events of a process.
type Recorder struct {
	config Config
	clock  *Clock
	logger log.Logger
	mu     sync.Mutex
	// ring holds the last events; next is where the next one goes. Guarded by mu.
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

// Record stamps an event, keeps it and logs it.
func (r *Recorder) Record(event Event) {
	event.Time = r.clock.Now()
	event.Process = r.config.Process
	event.Incarnation = r.config.Incarnation
	r.keep(event)
	_ = r.logger.Log(line(event)...)
	if r.config.OnRecord != nil {
		r.config.OnRecord(event.Name)
	}
}

// RecordPanic records that a request panicked.
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

// AllAttributes returns what is known of the event beside its time, process and name, in a fixed order.
func (e Event) AllAttributes() []Attribute {
	pairs := []Attribute{
		{"request", string(e.Request)},
		{"customer", string(e.Customer)},
		{"class", string(e.Class)},
		{"endpoint", string(e.Endpoint)},
		{"domain", string(e.Domain)},
		{"lease", e.Lease},
		{"fence", number(e.Fence)},
		{"version", number(e.Version)},
	}
	pairs = append(pairs, e.Attributes...)
	pairs = append(pairs, Attribute{"detail", e.Detail})
	return slices.DeleteFunc(pairs, func(pair Attribute) bool { return pair.Value == "" })
}

// number returns nothing for 0.
func number[T ~int64](value T) string {
	if value == 0 {
		return ""
	}
	return strconv.FormatInt(int64(value), 10)
}

// line returns the event as key and value pairs.
func line(event Event) []any {
	stamp := time.UnixMilli(event.Time.WallMS).UTC().Format("2006-01-02T15:04:05.000Z")
	pairs := []any{"ts", stamp, "seq", event.Time.Counter, "event", event.Name, "process", event.Process}
	for _, pair := range event.AllAttributes() {
		pairs = append(pairs, pair.Key, pair.Value)
	}
	return pairs
}
