// Package journal writes log lines without ever blocking the code that logs.
//
// Lines are queued and written by one goroutine. If the queue is full, or if there are too many lines of one kind within a
// second, lines are dropped. The number of lines dropped by the limit per kind is logged later.
package journal

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"

	"vanillapond/internal/process/clock"
)

// Limits of the log.
const (
	// queueLines is the number of lines that are queued for a slow reader, about one second at the highest rate of logging.
	queueLines = 512
	// linesPerSecond limits the lines of each kind.
	linesPerSecond = 200
	// flushInterval is how long lines are collected for one write.
	flushInterval = 200 * time.Millisecond
)

// Config configures a Journal.
type Config struct {
	Out io.Writer
	// OnDrop is called for each dropped line, with its kind if the line exceeded the rate limit, else with its event; may be nil.
	OnDrop func(kind string)
}

// Journal is a logger with a bounded queue and a rate limit for each kind of line.
type Journal struct {
	config Config
	queue  chan []byte
	done   chan struct{}
	stop   context.CancelFunc
	mu     sync.Mutex
	// second is the Unix second in which written and dropped count lines by kind; all three are guarded by mu.
	second  int64
	written map[string]int
	dropped map[string]int
}

// New returns a journal and starts its writing goroutine, which Close stops.
func New(config Config) *Journal {
	if config.OnDrop == nil {
		config.OnDrop = func(string) {}
	}
	ctx, stop := context.WithCancel(context.Background())
	j := &Journal{
		config: config, queue: make(chan []byte, queueLines), done: make(chan struct{}), stop: stop,
		written: make(map[string]int), dropped: make(map[string]int),
	}
	go j.run(ctx)
	return j
}

// Log writes one line of key=value pairs; its kind is the event.
func (j *Journal) Log(event string, pairs ...any) { j.LogKind(event, event, pairs...) }

// LogKind writes a line that is rate-limited by the given kind instead of by its event, so that rare lines are not dropped
// because of many others with the same event.
func (j *Journal) LogKind(kind, event string, pairs ...any) {
	if !j.admit(kind) {
		return
	}
	j.write(event, pairs)
}

// admit reports whether a line of the kind is within the rate limit, and counts it.
func (j *Journal) admit(kind string) bool {
	now := time.Now().Unix()
	j.mu.Lock()
	defer j.mu.Unlock()
	if now != j.second {
		for droppedKind, count := range j.dropped {
			j.write("log_dropped", []any{"kind", droppedKind, "lines", count})
		}
		clear(j.dropped)
		clear(j.written)
		j.second = now
	}
	if j.written[kind] >= linesPerSecond {
		j.dropped[kind]++
		j.config.OnDrop(kind)
		return false
	}
	j.written[kind]++
	return true
}

// write queues a line, or drops it if the queue is full.
func (j *Journal) write(event string, pairs []any) {
	line := &lineBuffer{}
	all := make([]any, 0, len(pairs)+4)
	all = append(all, "t", time.Now().UTC().Format("15:04:05.000"), "event", event)
	if err := log.NewLogfmtLogger(line).Log(append(all, pairs...)...); err != nil {
		j.config.OnDrop(event)
		return
	}
	select {
	case j.queue <- line.content:
	default:
		j.config.OnDrop(event)
	}
}

type lineBuffer struct{ content []byte }

// Write implements io.Writer.
func (b *lineBuffer) Write(data []byte) (int, error) {
	b.content = append(b.content, data...)
	return len(data), nil
}

// Close writes the queued lines and stops the journal; it waits at most for the timeout.
func (j *Journal) Close(timeout time.Duration) {
	j.stop()
	select {
	case <-j.done:
	case <-time.After(timeout):
	}
}

func (j *Journal) run(ctx context.Context) {
	defer close(j.done)
	for {
		select {
		case line := <-j.queue:
			clock.Sleep(ctx, flushInterval, nil)
			j.flush(line)
		case <-ctx.Done():
			j.flush(nil)
			return
		}
	}
}

// flush writes the batch and all queued lines at once. Write errors are ignored: there is nowhere else to log them.
func (j *Journal) flush(batch []byte) {
	for {
		select {
		case line := <-j.queue:
			batch = append(batch, line...)
		default:
			if len(batch) > 0 {
				_, _ = j.config.Out.Write(batch)
			}
			return
		}
	}
}
