package suspect

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"vanillapond/internal/process/table"
)

// Prefix is the key prefix of suspicions in the table.
const Prefix table.Key = "suspect/"

// Intervals and limit of the calls to the table.
const (
	// writeRetryInterval is the interval at which failed writes are retried.
	writeRetryInterval = time.Second
	// readInterval is the mean interval between two reads of all suspicions.
	readInterval = 5 * time.Second
	// readLimit bounds the number of suspicions in one read.
	readLimit = 1000
)

// Config describes what a Sharer shares, and through which table.
type Config struct {
	Registry *Registry
	Table    table.Table
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// Sharer shares the suspicions of a registry with other processes through the table.
type Sharer struct {
	config Config
}

// NewSharer returns a Sharer with the configuration.
func NewSharer(config Config) *Sharer {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Sharer{config: config}
}

// Run reads and writes suspicions until the context is done.
func (s *Sharer) Run(ctx context.Context) {
	writeTicker := time.NewTicker(writeRetryInterval)
	defer writeTicker.Stop()
	readTimer := time.NewTimer(0)
	defer readTimer.Stop()
	for {
		select {
		case <-s.config.Registry.changed:
			s.Write(ctx)
		case <-writeTicker.C:
			s.Write(ctx)
		case <-readTimer.C:
			s.Read(ctx)
			readTimer.Reset(readInterval/2 + rand.N(readInterval)) //nolint:gosec // Spreads load; needs no secure randomness.
		case <-ctx.Done():
			return
		}
	}
}

// Read merges the suspicions in the table into the registry, and deletes expired and invalid ones from the table.
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

// Write merges the suspicions that this process has not yet shared into the table. Those that fail are retried later.
func (s *Sharer) Write(ctx context.Context) {
	var failed []Suspicion
	for _, suspicion := range s.config.Registry.TakeUnshared() {
		if s.write(ctx, suspicion) != nil {
			failed = append(failed, suspicion)
		}
	}
	s.config.Registry.MarkUnshared(failed)
}

func (s *Sharer) write(ctx context.Context, suspicion Suspicion) error {
	key := Prefix + table.Key(fmt.Sprintf("%016x", uint64(suspicion.Digest)))
	rows, err := s.config.Table.Read(ctx, key)
	if err != nil {
		return err
	}
	if stored, err := decode(rows[0]); err == nil {
		suspicion = suspicion.Merge(stored)
		if suspicion.Equal(stored) {
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
