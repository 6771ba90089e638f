// Package table defines the interface of the platform's transactional table service.
package table

import (
	"context"
	"errors"
)

// Key identifies a row; its parts are separated by slashes.
type Key string

// Era counts how often the service came back from an older copy of its data. A later era may lack writes that were acknowledged in
// an earlier one, and gives out their numbers again. Era 0 is that of a service which does not count eras.
type Era int64

// numberBits is the number of low bits of a revision that hold the number; the era is in the bits above.
const numberBits = 40

// Revision is the version of a row; an absent row has revision 0. It combines the service's era with the number that the service
// gave the transaction, so that revisions of two eras are never equal and those of the later era are greater.
type Revision int64

// NewRevision returns the revision with a number that the service gave out in an era; the number must be below 1<<40.
func NewRevision(era Era, number int64) Revision { return Revision(int64(era)<<numberBits + number) }

// Era returns the era in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the number that the service gave out.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// Row is a row as it was read.
type Row struct {
	Key   Key    `cbor:"1,keyasint" json:"key"`
	Value []byte `cbor:"2,keyasint" json:"value"`
	// Revision is 0 if and only if the row is absent; other revisions are never reused for the same key.
	Revision Revision `cbor:"3,keyasint" json:"revision"`
	// Era is the era in which the row was read, also if it is absent.
	Era Era `cbor:"4,keyasint,omitempty" json:"era,omitempty"`
}

// Check is a precondition of a transaction: the row must have this revision.
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

// Transaction is applied completely if all checks succeed, otherwise not at all.
type Transaction struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Errors of the table service.
var (
	// ErrConflict means that a check failed and nothing was written.
	ErrConflict = errors.New("table: a check of the transaction failed")
	// ErrRefused means that the request had no effect, for example because it was never sent.
	ErrRefused = errors.New("table: request refused without effect")
	// ErrOutcomeUnknown means that the transaction may or may not have been applied.
	ErrOutcomeUnknown = errors.New("table: outcome unknown")
)

// Table is the platform's transactional table service.
//
// Every method may return ErrRefused; Commit may also return ErrConflict and ErrOutcomeUnknown.
type Table interface {
	// Read returns one row for each key, in the order of the keys, from one consistent state.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns at most limit present rows whose keys have the prefix and are greater than after, ordered by key.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, transaction Transaction) error
}
