// Package journal writes log lines without ever making the writer wait.
//
// Lines are queued and written by one goroutine; where the queue is full or too many lines of one kind come in a second,
// lines are dropped, and their number is written later.
package journal

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"

	"vanillapond/internal/process/clock"
)

// Bounds of the log.
const (
	// queueLines is how many lines wait for a slow reader: a second of the most that is written.
	queueLines = 512
	// linesPerSecond bounds each kind of line.
	linesPerSecond = 200
	// flushInterval is how long lines are gathered into one write.
	flushInterval = 200 * time.Millisecond
)

// Config says where lines go.
type Config struct {
	Out io.Writer
	// OnDrop is told of the kind of each dropped line; nil means that nobody is.
	OnDrop func(kind string)
}

// Journal is a bounded log.
type Journal struct {
	config Config
	queue  chan []byte
	done   chan struct{}
	stop   context.CancelFunc
	mu     sync.Mutex
	// second is the Unix second that written and dropped count; guarded by mu.
	second  int64
	written map[string]int
	dropped map[string]int
}

// New returns a running journal.
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

// Log writes one line of key=value pairs.
func (j *Journal) Log(event string, pairs ...any) { j.LogKind(event, event, pairs...) }

// LogKind writes a line that is bounded by its kind instead of its event, so that rare lines are not dropped because of many
// others of the same event.
func (j *Journal) LogKind(kind, event string, pairs ...any) {
	if !j.admit(kind) {
		return
	}
	j.write(event, pairs)
}

func (j *Journal) admit(kind string) bool {
	now := time.Now().Unix()
	j.mu.Lock()
	defer j.mu.Unlock()
	if now != j.second {
		for dropped, count := range j.dropped {
			j.write("log_dropped", []any{"kind", dropped, "lines", count})
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

// write queues a line, or drops it where the queue is full.
func (j *Journal) write(kind string, pairs []any) {
	line := &lineBuffer{}
	all := make([]any, 0, len(pairs)+4)
	all = append(all, "t", time.Now().UTC().Format("15:04:05.000"), "event", kind)
	if err := log.NewLogfmtLogger(line).Log(append(all, pairs...)...); err != nil {
		j.config.OnDrop(kind)
		return
	}
	select {
	case j.queue <- line.content:
	default:
		j.config.OnDrop(kind)
	}
}

type lineBuffer struct{ content []byte }

// Write implements io.Writer.
func (b *lineBuffer) Write(content []byte) (int, error) {
	b.content = append(b.content, content...)
	return len(content), nil
}

// Close writes what is queued, for at most the given time.
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

// flush writes all that is queued at once; a failing output has nobody to tell.
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
