package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: one line per event, with the time since the start of the case in seconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // The path is an argument of the command.
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, start: time.Now()}, nil
}

// since returns the time since the start of the case.
func (r *record) since() time.Duration { return time.Since(r.start) }

// writef writes one line.
func (r *record) writef(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", r.since().Seconds(), fmt.Sprintf(format, values...))
}

// conclude writes a line of the result to the record and to the standard output.
func (r *record) conclude(format string, values ...any) {
	r.writef(format, values...)
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", values...)
}

func (r *record) close() { _ = r.file.Close() }
