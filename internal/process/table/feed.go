package table

import (
	"context"
	"errors"
	"time"

	"vanillapond/internal/process/clock"
)

// ErrHistoryUnavailable says that the history from the asked revision on is gone; the table is to be listed again.
var ErrHistoryUnavailable = errors.New("table: history is no longer available")

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Batch is a part of a table's history, or all of its present rows.
type Batch struct {
	// Changes are in the order in which they were made; those of a listing are in order of key.
	Changes []Change
	// Revision is the newest of the whole service that the batch takes account of.
	Revision Revision
	// ServiceTime is the service's steady clock as it answered; its zero is the service's own affair.
	ServiceTime time.Duration
	// AsOf is the latest time by the own clock at which the service's state surely was as told; 0 where only the time of the
	// question is known.
	AsOf clock.Reading
}

// Feed tells what changes under the first part of a key.
//
// Every method may return ErrRefused.
type Feed interface {
	// List returns the present rows of a table.
	List(ctx context.Context, name string) (Batch, error)
	// Changes returns what has changed since a revision, at once or after at most wait; an empty batch says that nothing has.
	//
	// It returns ErrForgotten where the history does not reach back so far.
	Changes(ctx context.Context, name string, since Revision, wait time.Duration) (Batch, error)
}
