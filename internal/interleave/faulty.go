package interleave

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"vanillapond/internal/process/table"
)

// Table is a table whose faults are chosen, within a budget.
type Table struct {
	*table.Memory
	Chooser *Chooser
	// Faults is how many calls may still fail.
	Faults int
	// Delayed holds transactions with an unknown outcome that may still be applied.
	Delayed []table.Transaction
	// Unchecked takes the checks of rows with this prefix away, to see what they are good for; empty means none.
	Unchecked table.Key
}

// Read implements table.Table.
func (t *Table) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if t.Chooser.Fault(&t.Faults, 1) > 0 {
		return nil, table.ErrRefused
	}
	return t.Memory.Read(ctx, keys...)
}

// Commit implements table.Table.
func (t *Table) Commit(ctx context.Context, transaction table.Transaction) error {
	if t.Unchecked != "" {
		transaction.Checks = slices.DeleteFunc(slices.Clone(transaction.Checks), func(check table.Check) bool {
			return strings.HasPrefix(string(check.Key), string(t.Unchecked))
		})
	}
	switch t.Chooser.Fault(&t.Faults, 2) {
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

// Deliver applies the oldest delayed transaction.
func (t *Table) Deliver(ctx context.Context) {
	transaction := t.Delayed[0]
	t.Delayed = t.Delayed[1:]
	_ = t.Memory.Commit(ctx, transaction)
}

// State describes the rows, the delayed transactions and the faults left.
func (t *Table) State(ctx context.Context) string {
	const all = 1 << 20
	rows, err := t.Scan(ctx, "", "", all)
	return fmt.Sprint(rows, t.Delayed, t.Faults, err)
}
