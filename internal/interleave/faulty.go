package interleave

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"vanillapond/internal/process/table"
)

// FaultyTable is a table whose calls fail as the Chooser decides, up to a number of faults.
type FaultyTable struct {
	*table.Memory
	Chooser *Chooser
	// RemainingFaults is the number of calls that may still fail.
	RemainingFaults int
	// Delayed holds the transactions that were reported as unknown and have not been applied yet.
	Delayed []table.Transaction
	// UncheckedPrefix drops the checks of rows with this prefix from transactions, so that a test can show that these checks are
	// needed; empty means that all checks are kept.
	UncheckedPrefix table.Key
}

// Read implements table.Table.
func (t *FaultyTable) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if t.Chooser.ChooseFault(&t.RemainingFaults, 1) > 0 {
		return nil, table.ErrRefused
	}
	return t.Memory.Read(ctx, keys...)
}

// Commit implements table.Table.
func (t *FaultyTable) Commit(ctx context.Context, transaction table.Transaction) error {
	if t.UncheckedPrefix != "" {
		transaction.Checks = slices.DeleteFunc(slices.Clone(transaction.Checks), func(check table.Check) bool {
			return strings.HasPrefix(string(check.Key), string(t.UncheckedPrefix))
		})
	}
	switch t.Chooser.ChooseFault(&t.RemainingFaults, 2) {
	case 1:
		_ = t.Memory.Commit(ctx, transaction)
		return table.ErrOutcomeUnknown
	case 2:
		t.Delayed = append(t.Delayed, transaction)
		return table.ErrOutcomeUnknown
	default:
		return t.Memory.Commit(ctx, transaction)
	}
}

// ApplyDelayed applies the oldest delayed transaction and removes it from Delayed.
func (t *FaultyTable) ApplyDelayed(ctx context.Context) {
	transaction := t.Delayed[0]
	t.Delayed = t.Delayed[1:]
	_ = t.Memory.Commit(ctx, transaction)
}

// State returns a text with the rows, the delayed transactions and the remaining faults.
func (t *FaultyTable) State(ctx context.Context) string {
	const all = 1 << 20
	rows, err := t.Scan(ctx, "", "", all)
	return fmt.Sprint(rows, t.Delayed, t.RemainingFaults, err)
}
