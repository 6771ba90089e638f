package member

import (
	"math"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/holdings"
)

// Limits are the limits of a process in its settings.
type Limits struct {
	// MemoryMB is the memory of the process in MiB; 0 means the variable GOMEMLIMIT, or else 1 GiB.
	MemoryMB int64 `yaml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may have open; 0 means the limit of the operating system.
	MaxDescriptors int64 `yaml:"max_descriptors"`
}

// Check returns an error if a limit is invalid.
func (l Limits) Check() error {
	if l.MemoryMB < 0 {
		return oops.Errorf("memory_mb: found %d, want 0 or more", l.MemoryMB)
	}
	if l.MaxDescriptors < 0 {
		return oops.Errorf("max_descriptors: found %d, want 0 or more", l.MaxDescriptors)
	}
	return nil
}

// memory returns the memory of the process, 0 if it is not known.
func (l Limits) memory() holdings.Bytes {
	if l.MemoryMB > 0 {
		return holdings.Bytes(l.MemoryMB) << 20
	}
	if limit := goMemoryLimit(); limit < math.MaxInt64 {
		return holdings.Bytes(limit)
	}
	return 0
}

// goMemoryLimit returns the variable GOMEMLIMIT as of the start of the process.
var goMemoryLimit = sync.OnceValue(func() int64 { return debug.SetMemoryLimit(-1) })

// descriptors returns the number of descriptors that the process may have open, 0 if it is not known.
func (l Limits) descriptors() int {
	if l.MaxDescriptors > 0 {
		return int(l.MaxDescriptors)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// internalDivisor sets the fraction of the memory that operators and other processes may hold in relation to that of callers.
const internalDivisor = 2

// NewHoldings returns the accounts of what callers hold, and of what operators and other processes do, and sets the soft limit of the memory.
func (m *Member) NewHoldings(limits Limits) (callers, internal *holdings.Account) {
	memory, descriptors := limits.memory(), limits.descriptors()
	if memory > 0 {
		goMemoryLimit()
		debug.SetMemoryLimit(int64(holdings.SoftLimit(memory)))
	} else {
		memory = holdings.DefaultMemory
	}
	observer := m.holdings
	callers = holdings.New(holdings.Config{Limits: holdings.NewLimits(memory, descriptors), Observe: observer.observe})
	internal = holdings.New(holdings.Config{Limits: holdings.NewLimits(memory/internalDivisor, descriptors/internalDivisor), Observe: observer.observe})
	for name, read := range map[string]func() float64{
		"vanillapond_caller_bytes":             func() float64 { return float64(callers.Bytes()) },
		"vanillapond_caller_bytes_limit":       func() float64 { return float64(callers.Limits().Bytes) },
		"vanillapond_caller_connections":       func() float64 { return float64(callers.Connections()) },
		"vanillapond_caller_connections_limit": func() float64 { return float64(callers.Limits().Connections) },
	} {
		m.Metrics.Gauge(name, "What callers hold, and may hold.", read)
	}
	return callers, internal
}

// NewResponseHoldings returns the account of what is kept of responses before they are passed on.
func (m *Member) NewResponseHoldings(limits Limits) *holdings.Account {
	responses := holdings.New(holdings.Config{Limits: holdings.NewResponseLimits(limits.memory()), Observe: m.holdings.observe})
	for name, read := range map[string]func() float64{
		"vanillapond_response_bytes":       func() float64 { return float64(responses.Bytes()) },
		"vanillapond_response_bytes_limit": func() float64 { return float64(responses.Limits().Bytes) },
	} {
		m.Metrics.Gauge(name, "What is kept of responses, and may be kept.", read)
	}
	return responses
}

// maxHoldingEvents bounds the events per second about what had to go or got no room.
const maxHoldingEvents = 50

// holdingObserver records a bounded number of events.
type holdingObserver struct {
	events *event.Recorder
	mu     sync.Mutex
	// second is the Unix second in which recorded counts events; both are guarded by mu.
	second   int64
	recorded int
}

// RecordRefusedHead records that the header of a request was refused before it had arrived completely.
func (m *Member) RecordRefusedHead(peer string, status, bytes int) {
	m.holdings.record("head_refused", strconv.Itoa(status), []event.Attribute{
		{Key: "peer", Value: peer},
		{Key: "bytes", Value: strconv.Itoa(bytes)},
	})
}

func (o *holdingObserver) observe(seen holdings.Event) {
	o.record(event.Name(seen.Name()), string(seen.Kind), []event.Attribute{
		{Key: "peer", Value: seen.Peer},
		{Key: "held_bytes", Value: strconv.FormatInt(int64(seen.Held), 10)},
		{Key: "age_ms", Value: strconv.FormatInt(seen.Age.Milliseconds(), 10)},
		{Key: "still_ms", Value: strconv.FormatInt(seen.Still.Milliseconds(), 10)},
	})
}

func (o *holdingObserver) record(name event.Name, detail string, attributes []event.Attribute) {
	if o.admit() {
		o.events.Record(event.Event{Name: name, Detail: detail, Attributes: attributes})
	}
}

func (o *holdingObserver) admit() bool {
	now := time.Now().Unix()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now != o.second {
		o.second, o.recorded = now, 0
	}
	o.recorded++
	return o.recorded <= maxHoldingEvents
}
