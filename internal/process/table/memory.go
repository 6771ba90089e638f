package table

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Memory is an in-memory Table for stubs and tests.
type Memory struct {
	mu sync.Mutex
	// rows holds present rows only.
	rows map[Key]Row
	// last is the last revision assigned.
	last Revision
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: make(map[Key]Row)}
}

// Read implements Table.
func (m *Memory) Read(_ context.Context, keys ...Key) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		row := m.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

// Scan implements Table.
func (m *Memory) Scan(_ context.Context, prefix, after Key, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []Row
	for key, row := range m.rows {
		if strings.HasPrefix(string(key), string(prefix)) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements Table.
func (m *Memory) Commit(_ context.Context, transaction Transaction) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, check := range transaction.Checks {
		if m.rows[check.Key].Revision != check.Revision {
			return ErrConflict
		}
	}
	for _, write := range transaction.Writes {
		m.apply(write)
	}
	return nil
}

func (m *Memory) apply(write Write) {
	if write.Delete {
		delete(m.rows, write.Key)
		return
	}
	m.last++
	m.rows[write.Key] = Row{Key: write.Key, Value: slices.Clone(write.Value), Revision: m.last}
}
