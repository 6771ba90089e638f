// Package table describes the platform's transactional table service as the system uses it.
package table

import (
	"context"
	"errors"
)

// Key names a row; parts are separated by slashes.
type Key string

// Revision numbers the states of a row; an absent row has revision 0.
type Revision int64

// Row is one row as read.
type Row struct {
	Key   Key    `cbor:"1,keyasint" json:"key"`
	Value []byte `cbor:"2,keyasint" json:"value"`
	// Revision is 0 exactly if the row is absent, and never repeats for a key.
	Revision Revision `cbor:"3,keyasint" json:"revision"`
}

// Check is a condition of a transaction: the row has this revision.
type Check struct {
	Key      Key      `json:"key"`
	Revision Revision `json:"revision"`
}

// Write sets or deletes one row.
type Write struct {
	Key    Key    `json:"key"`
	Value  []byte `json:"value"`
	Delete bool   `json:"delete"`
}

// Transaction is applied whole if every check holds, else not at all.
type Transaction struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Errors of the table service.
var (
	// ErrConflict says that a check failed and nothing was written.
	ErrConflict = errors.New("table: a check of the transaction failed")
	// ErrRefused says that the request had no effect, as when it was never sent.
	ErrRefused = errors.New("table: request refused without effect")
	// ErrOutcomeUnknown says that the transaction may or may not have been applied.
	ErrOutcomeUnknown = errors.New("table: outcome unknown")
)

// Table is the platform's transactional table service.
//
// Every method may return ErrRefused; Commit may also return ErrConflict and ErrUnknown.
type Table interface {
	// Read returns one row a key, in the order of keys, from one consistent state.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns at most limit present rows with the prefix and a key above after, in order of key.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, transaction Transaction) error
}
