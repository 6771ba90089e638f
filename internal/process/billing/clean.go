package billing

import (
	"context"

	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/table"
)

// findCleanupBound reads the last window that all partitions have frozen; totals up to it are no longer needed.
func (c *Closer) findCleanupBound(ctx context.Context) error {
	progress, err := NewReader(ReaderConfig{Table: c.config.Table}).progress(ctx)
	if err != nil {
		return err
	}
	c.cleanupBound = progress[0].Frozen
	for _, partition := range progress {
		c.cleanupBound = min(c.cleanupBound, partition.Frozen)
	}
	c.cleanedThrough = c.progress.Frozen
	c.phase = phaseCollectObsolete
	return nil
}

// collectObsolete selects the rows to delete from the first page of totals.
func (c *Closer) collectObsolete(ctx context.Context) error {
	rows, err := c.config.Table.Scan(ctx, ledger.PrefixTotal, "", pageSize)
	if err != nil {
		return err
	}
	c.obsolete = nil
	for _, row := range rows {
		window, err := ledger.WindowOf(row.Key)
		if err != nil {
			return err
		}
		if window <= c.cleanupBound {
			c.obsolete = append(c.obsolete, table.Write{Key: row.Key, Delete: true})
		}
	}
	if len(c.obsolete) == 0 {
		return nil
	}
	c.phase = phaseDeleteObsolete
	return nil
}

// deleteObsolete deletes the selected rows; after a failure, the rest is deleted when the next window has been frozen.
func (c *Closer) deleteObsolete(ctx context.Context, leaseCheck table.Check) error {
	err := c.config.Table.Commit(ctx, table.Transaction{Checks: []table.Check{leaseCheck}, Writes: c.obsolete})
	if err == nil {
		c.phase = phaseCollectObsolete
	}
	return err
}
