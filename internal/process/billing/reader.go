package billing

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

// Reader reads the usage of all windows: not yet frozen, frozen and reported.
type Reader struct {
	table table.Table
}

// ReaderConfig holds the dependencies of a Reader.
type ReaderConfig struct {
	Table table.Table
}

// NewReader returns a reader of the table's usage.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{table: config.Table}
}

// Usage returns the usage for which include returns true, sorted by window, customer and partner.
func (r *Reader) Usage(ctx context.Context, include func(ident.Partner, ident.Customer) bool) ([]operator.UsageWindow, error) {
	progress, err := r.progress(ctx)
	if err != nil {
		return nil, err
	}
	windows, err := r.frozen(ctx, progress, include)
	if err != nil {
		return nil, err
	}
	unfrozen, err := r.unfrozen(ctx, progress, include)
	if err != nil {
		return nil, err
	}
	windows = append(windows, unfrozen...)
	slices.SortStableFunc(windows, func(a, b operator.UsageWindow) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Partner, b.Partner))
	})
	return windows, nil
}

// Account returns a partner's account with the sums of all reported statements, and a description of each window that is not
// yet reported.
func (r *Reader) Account(ctx context.Context, partner ident.Partner) (operator.Account, []string, error) {
	windows, err := r.Usage(ctx, func(windowPartner ident.Partner, _ ident.Customer) bool { return windowPartner == partner })
	if err != nil {
		return operator.Account{}, nil, err
	}
	account := operator.Account{Partner: partner, Statements: []json.RawMessage{}, CustomerTotals: []operator.CustomerTotal{}}
	sums := make(map[ident.Customer]*operator.CustomerTotal)
	var unreported []string
	for _, window := range windows {
		if window.State != operator.StateReported {
			unreported = append(unreported, fmt.Sprintf("window %d of customer %s is %s", window.Window, window.Customer, window.State))
			continue
		}
		account.Statements = append(account.Statements, window.Statement)
		if sums[window.Customer] == nil {
			sums[window.Customer] = &operator.CustomerTotal{Customer: window.Customer}
		}
		sums[window.Customer].Add(window.Usage)
		account.Total.Add(window.Usage)
	}
	for _, sum := range sums {
		account.CustomerTotals = append(account.CustomerTotals, *sum)
	}
	slices.SortFunc(account.CustomerTotals, func(a, b operator.CustomerTotal) int { return cmp.Compare(a.Customer, b.Customer) })
	return account, unreported, nil
}

func (r *Reader) progress(ctx context.Context) ([Partitions]Progress, error) {
	var progress [Partitions]Progress
	var keys []table.Key
	for partition := range Partitions {
		keys = append(keys, progressKey(Partition(partition)))
	}
	rows, err := r.table.Read(ctx, keys...)
	if err != nil {
		return progress, err
	}
	for partition, row := range rows {
		if progress[partition], err = decode[Progress](row); err != nil {
			return progress, err
		}
	}
	return progress, nil
}

// frozen returns the statements of all frozen windows, reported or not.
func (r *Reader) frozen(ctx context.Context, progress [Partitions]Progress, include func(ident.Partner, ident.Customer) bool) ([]operator.UsageWindow, error) {
	var windows []operator.UsageWindow
	err := r.scan(ctx, prefixFrozen, prefixFrozen, func(row table.Row) error {
		frozen, err := decode[FrozenWindow](row)
		if err != nil {
			return err
		}
		for _, body := range frozen.Statements {
			statement, err := decode[Statement](table.Row{Key: row.Key, Value: body, Revision: row.Revision})
			if err != nil {
				return err
			}
			if !include(statement.Partner, statement.Customer) {
				continue
			}
			state := operator.StateFrozen
			if statement.Window <= progress[PartitionOf(statement.Customer)].Reported {
				state = operator.StateReported
			}
			windows = append(windows, operator.UsageWindow{
				Partner: statement.Partner, Customer: statement.Customer, Window: statement.Window,
				State: state, Usage: operator.Usage(statement.Usage), Statement: body,
			})
		}
		return nil
	})
	return windows, err
}

// unfrozen returns the sums of the totals of windows that are not frozen.
func (r *Reader) unfrozen(ctx context.Context, progress [Partitions]Progress, include func(ident.Partner, ident.Customer) bool) ([]operator.UsageWindow, error) {
	first := progress[0].Frozen
	for _, partition := range progress {
		first = min(first, partition.Frozen)
	}
	sums := make(map[ident.Window]statementSums)
	err := r.scan(ctx, ledger.PrefixTotal, ledger.PrefixWindow(first+1), func(row table.Row) error {
		window, err := ledger.WindowOf(row.Key)
		if err != nil {
			return err
		}
		if sums[window] == nil {
			sums[window] = make(statementSums)
		}
		return sums[window].add(row, window, func(total ledger.Total) bool {
			return include(total.Partner, total.Customer) && window > progress[PartitionOf(total.Customer)].Frozen
		})
	})
	if err != nil {
		return nil, err
	}
	var windows []operator.UsageWindow
	for _, sum := range sums {
		for _, statement := range sum.statements() {
			windows = append(windows, operator.UsageWindow{
				Partner: statement.Partner, Customer: statement.Customer, Window: statement.Window,
				State: operator.StateOpen, Usage: operator.Usage(statement.Usage),
			})
		}
	}
	return windows, nil
}

// scan calls visit for every row whose key has the prefix and is greater than after.
func (r *Reader) scan(ctx context.Context, prefix, after table.Key, visit func(table.Row) error) error {
	for {
		rows, err := r.table.Scan(ctx, prefix, after, pageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}
