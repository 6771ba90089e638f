package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
)

// recorder writes the record of a run: what was sent, answered and run, each line with the time since the start of the run.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	// file is guarded by mu.
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path) //nolint:gosec // The path comes from whoever starts the case.
	if err != nil {
		return nil, oops.Wrapf(err, "record")
	}
	return &recorder{start: time.Now(), file: file}, nil
}

// line writes one line.
func (r *recorder) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7d ms  %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, values...))
}

// say writes one line to the record and to standard output.
func (r *recorder) say(format string, values ...any) {
	r.line(format, values...)
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", values...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
