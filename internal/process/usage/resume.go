package usage

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/table"
)

// lastReportedKey is the key of the row with the last window known to be reported.
const lastReportedKey = table.Key(keyPrefix + "/sent")

// lastReportedRow is the content of the row at lastReportedKey; all windows before Window are reported, or lost.
type lastReportedRow struct {
	Window Window `json:"window"`
	// Era is the table's era in which the row was written. The windows before Window were handled in it or before.
	Era table.Era `json:"era"`
}

// UnmarshalJSON implements json.Unmarshaler. It also accepts the format of earlier versions, which is only the window.
func (l *lastReportedRow) UnmarshalJSON(content []byte) error {
	if err := json.Unmarshal(content, &l.Window); err == nil {
		return nil
	}
	type plain lastReportedRow
	return json.Unmarshal(content, (*plain)(l))
}

// resume returns the last window that a new lease holder need not report.
//
// The previous holder may have left its most recent windows unreported. Older windows are skipped because their reports would
// be too late.
func (r *Reporter) resume(ctx context.Context, grant lease.Grant, due Window) (Window, error) {
	oldest := due - Window(r.config.MaxReportDelay/r.config.WindowLength) - 1
	rows, err := r.config.Table.Read(ctx, lastReportedKey)
	if err != nil {
		return 0, err
	}
	r.unsafeUntil = time.Time{}
	if rows[0].Era > 0 {
		r.unsafeUntil = r.config.EraSince()
	}
	if rows[0].Revision == 0 {
		return oldest, r.storeEra(ctx, grant, rows[0])
	}
	var last lastReportedRow
	if err := json.Unmarshal(rows[0].Value, &last); err != nil {
		r.config.Log("usage_row_unreadable", "key", lastReportedKey, "err", err)
		return oldest, nil
	}
	if last.Era == rows[0].Era {
		r.unsafeUntil = time.Time{}
	} else if err := r.storeEra(ctx, grant, rows[0]); err != nil {
		return 0, err
	}
	if last.Window > due {
		// The previous holder's clock was ahead. Reporting a window again does no harm, but omitting one would.
		return oldest, nil
	}
	return max(last.Window, oldest), nil
}

// storeEra stores the last window that may have been frozen before the table's era, so that a holder that started later than this one need not take
// those since for lost. row is the row at lastReportedKey as read.
func (r *Reporter) storeEra(ctx context.Context, grant lease.Grant, row table.Row) error {
	if r.unsafeUntil.IsZero() {
		return nil
	}
	leaseCheck, err := r.config.Lease.Condition(grant)
	if err != nil {
		return err
	}
	// The window in which the era was first seen ends after it.
	last, err := json.Marshal(lastReportedRow{Window: WindowAt(r.unsafeUntil, r.config.WindowLength) - 1, Era: row.Era})
	if err != nil {
		return oops.Wrapf(err, "encode %s", lastReportedKey)
	}
	return r.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: lastReportedKey, Revision: row.Revision}, leaseCheck},
		Writes: []table.Write{{Key: lastReportedKey, Value: last}},
	})
}
