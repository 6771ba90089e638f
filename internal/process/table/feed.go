package table

import (
	"context"
	"errors"
	"time"

	"vanillapond/internal/process/clock"
)

// ErrHistoryUnavailable means that the changes since the requested revision are no longer all available; the caller has to list
// the table again.
var ErrHistoryUnavailable = errors.New("table: history is no longer available")

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Batch is a part of a table's change history, or all of its present rows.
type Batch struct {
	// Changes are in the order in which they were made; those of List are ordered by key.
	Changes []Change
	// Revision is the newest revision of the service, across all tables, that the batch includes.
	Revision Revision
	// ServiceTime is the service's monotonic clock when it responded; its zero point is arbitrary.
	ServiceTime time.Duration
	// AsOf is the latest time by the local clock at which the batch was certainly up to date; 0 if only the time of the request
	// is known.
	AsOf clock.Reading
}

// Feed is the change feed of the tables; a table consists of the rows whose keys have its name as their first part.
//
// Every method may return ErrRefused.
type Feed interface {
	// List returns the present rows of a table.
	List(ctx context.Context, name string) (Batch, error)
	// Changes returns the changes since a revision. If there are none, it waits for changes for at most the given duration; an empty
	// batch means that there were none.
	//
	// It returns ErrHistoryUnavailable if the history no longer reaches back to the revision.
	Changes(ctx context.Context, name string, since Revision, wait time.Duration) (Batch, error)
}
