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

// Reader reads what is counted, frozen and reported.
type Reader struct {
	table table.Table
}

// ReaderConfig says where the figures are.
type ReaderConfig struct {
	Table table.Table
}

// NewReader returns a reader.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{table: config.Table}
}

// Usage returns the windows that want takes, sorted by window, customer and partner.
func (r *Reader) Usage(ctx context.Context, want func(ident.Partner, ident.Customer) bool) ([]operator.UsageWindow, error) {
	progress, err := r.progress(ctx)
	if err != nil {
		return nil, err
	}
	windows, err := r.frozen(ctx, progress, want)
	if err != nil {
		return nil, err
	}
	open, err := r.open(ctx, progress, want)
	if err != nil {
		return nil, err
	}
	windows = append(windows, open...)
	slices.SortStableFunc(windows, func(x, y operator.UsageWindow) int {
		return cmp.Or(cmp.Compare(x.Window, y.Window), cmp.Compare(x.Customer, y.Customer), cmp.Compare(x.Partner, y.Partner))
	})
	return windows, nil
}

// Account returns a partner's final statement, or what is still open.
func (r *Reader) Account(ctx context.Context, partner ident.Partner) (operator.Account, []string, error) {
	windows, err := r.Usage(ctx, func(of ident.Partner, _ ident.Customer) bool { return of == partner })
	if err != nil {
		return operator.Account{}, nil, err
	}
	account := operator.Account{Partner: partner, Statements: []json.RawMessage{}, CustomerTotals: []operator.CustomerTotal{}}
	sums := make(map[ident.Customer]*operator.CustomerTotal)
	var open []string
	for _, window := range windows {
		if window.State != operator.StateReported {
			open = append(open, fmt.Sprintf("window %d of customer %s is %s", window.Window, window.Customer, window.State))
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
	slices.SortFunc(account.CustomerTotals, func(x, y operator.CustomerTotal) int { return cmp.Compare(x.Customer, y.Customer) })
	return account, open, nil
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

// frozen returns the statements of all frozen windows.
func (r *Reader) frozen(ctx context.Context, progress [Partitions]Progress, want func(ident.Partner, ident.Customer) bool) ([]operator.UsageWindow, error) {
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
			if !want(statement.Partner, statement.Customer) {
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

// open returns the sums of what is counted and not frozen.
func (r *Reader) open(ctx context.Context, progress [Partitions]Progress, want func(ident.Partner, ident.Customer) bool) ([]operator.UsageWindow, error) {
	first := progress[0].Frozen
	for _, one := range progress {
		first = min(first, one.Frozen)
	}
	sums := make(map[ident.Window]sum)
	err := r.scan(ctx, ledger.PrefixTotal, ledger.PrefixWindow(first+1), func(row table.Row) error {
		window, err := ledger.WindowOf(row.Key)
		if err != nil {
			return err
		}
		if sums[window] == nil {
			sums[window] = make(sum)
		}
		return sums[window].add(row, window, func(total ledger.Total) bool {
			return want(total.Partner, total.Customer) && window > progress[PartitionOf(total.Customer)].Frozen
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

// scan hands every row with the prefix and a key above after to take.
func (r *Reader) scan(ctx context.Context, prefix, after table.Key, take func(table.Row) error) error {
	for {
		rows, err := r.table.Scan(ctx, prefix, after, page)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := take(row); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < page {
			return nil
		}
	}
}
