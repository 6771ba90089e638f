package suspect

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"vanillapond/internal/process/table"
)

// Prefix is where suspicions stand in the table.
const Prefix table.Key = "suspect/"

// Intervals of the sharing.
const (
	// writeInterval is the time between two tries to write what the table has not taken.
	writeInterval = time.Second
	// readInterval is the mean time between two reads of all suspicions.
	readInterval = 5 * time.Second
	// readLimit bounds the suspicions of one read.
	readLimit = 1000
)

// Config says what is shared where.
type Config struct {
	Registry *Registry
	Table    table.Table
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// Sharer passes suspicions on through the table.
type Sharer struct {
	config Config
}

// NewSharer returns a sharer.
func NewSharer(config Config) *Sharer {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Sharer{config: config}
}

// Run shares until the context is done.
func (s *Sharer) Run(ctx context.Context) {
	writing := time.NewTicker(writeInterval)
	defer writing.Stop()
	reading := time.NewTimer(0)
	defer reading.Stop()
	for {
		select {
		case <-s.config.Registry.news:
			s.Write(ctx)
		case <-writing.C:
			s.Write(ctx)
		case <-reading.C:
			s.Read(ctx)
			reading.Reset(readInterval/2 + rand.N(readInterval)) //nolint:gosec // Only an even spread matters.
		case <-ctx.Done():
			return
		}
	}
}

// Read learns what the table holds, and deletes what has ended.
func (s *Sharer) Read(ctx context.Context) {
	rows, err := s.config.Table.Scan(ctx, Prefix, "", readLimit)
	if err != nil {
		return
	}
	now := s.config.Now()
	for _, row := range rows {
		suspicion, err := decode(row)
		if err != nil || suspicion.EndsUnixMS <= now.UnixMilli() {
			_ = s.config.Table.Commit(ctx, table.Transaction{
				Checks: []table.Check{{Key: row.Key, Revision: row.Revision}},
				Writes: []table.Write{{Key: row.Key, Delete: true}},
			})
			continue
		}
		s.config.Registry.Merge(suspicion, now)
	}
}

// Write merges what this process learned first into the table.
func (s *Sharer) Write(ctx context.Context) {
	var left []Suspicion
	for _, suspicion := range s.config.Registry.TakeUnshared() {
		if s.write(ctx, suspicion) != nil {
			left = append(left, suspicion)
		}
	}
	s.config.Registry.MarkUnshared(left)
}

func (s *Sharer) write(ctx context.Context, suspicion Suspicion) error {
	key := Prefix + table.Key(fmt.Sprintf("%016x", uint64(suspicion.Digest)))
	rows, err := s.config.Table.Read(ctx, key)
	if err != nil {
		return err
	}
	if known, err := decode(rows[0]); err == nil {
		suspicion = suspicion.Merge(known)
		if suspicion.Equal(known) {
			return nil
		}
	}
	value, err := json.Marshal(suspicion)
	if err != nil {
		return err
	}
	return s.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: key, Revision: rows[0].Revision}},
		Writes: []table.Write{{Key: key, Value: value}},
	})
}

func decode(row table.Row) (Suspicion, error) {
	var suspicion Suspicion
	if err := json.Unmarshal(row.Value, &suspicion); err != nil {
		return Suspicion{}, err
	}
	return suspicion, suspicion.Check()
}
