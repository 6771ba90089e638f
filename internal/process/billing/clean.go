package billing

import (
	"context"

	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/table"
)

// findCleanupBound reads up to which window all partitions have frozen their figures.
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

// collectObsolete finds a page of totals that nobody needs any more.
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

// deleteObsolete deletes what was gathered; what a failure leaves goes with the next window.
func (c *Closer) deleteObsolete(ctx context.Context, leaseCheck table.Check) error {
	err := c.config.Table.Commit(ctx, table.Transaction{Checks: []table.Check{leaseCheck}, Writes: c.obsolete})
	if err == nil {
		c.phase = phaseCollectObsolete
	}
	return err
}
