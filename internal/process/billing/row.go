// Package billing closes usage windows and reports them to the platform.
//
// A window is sealed when its grace period has ended: from then on it accepts no more usage. The totals of a partition's
// customers are then summed into statements, which one transaction under the lease stores as frozen, that is, final.
// Only frozen statements are reported.
package billing

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Partitions is the number of partitions into which customers are divided for closing and reporting. It must never change,
// because it decides to which partition a customer's stored rows belong.
const Partitions = 4

// Prefixes of the table rows.
const (
	prefixProgress table.Key = "usage/progress/"
	prefixFrozen   table.Key = "usage/frozen/"
)

// Partition is the number of a partition of the customers, from 0.
type Partition int

// PartitionOf returns the partition of a customer.
func PartitionOf(customer ident.Customer) Partition {
	return Partition(xxhash.Sum64String(string(customer)) % Partitions)
}

// Progress is the row that records how far the windows of a partition are closed and reported.
type Progress struct {
	// Frozen is the last frozen window, Reported the last reported one; Reported <= Frozen.
	Frozen   ident.Window `json:"frozen"`
	Reported ident.Window `json:"reported"`
}

// LateUsage is usage that arrived after its own window had been sealed, and is therefore billed in a later window.
type LateUsage struct {
	Window ident.Window `json:"window"`
	Usage  ledger.Usage `json:"usage"`
}

// Statement is the usage that a customer of a partner is billed for in a window.
type Statement struct {
	Partner  ident.Partner  `json:"partner"`
	Customer ident.Customer `json:"customer"`
	Window   ident.Window   `json:"window"`
	// Usage is all billed usage, including late usage.
	Usage ledger.Usage `json:"usage"`
	// Late breaks down the late usage by the window in which it arose, in ascending order.
	Late []LateUsage `json:"late,omitempty"`
}

// FrozenWindow is the row that holds the final statements of one partition and window; it never changes.
type FrozenWindow struct {
	Window ident.Window `json:"window"`
	// Statements are sorted by customer and partner; each is sent byte for byte as the body of a report.
	Statements []json.RawMessage `json:"statements"`
}

func progressKey(partition Partition) table.Key {
	return table.Key(fmt.Sprintf("%s%d", prefixProgress, partition))
}

func frozenPrefix(partition Partition) table.Key {
	return table.Key(fmt.Sprintf("%s%d/", prefixFrozen, partition))
}

func frozenKey(partition Partition, window ident.Window) table.Key {
	return frozenPrefix(partition) + table.Key(fmt.Sprintf("%012d", window))
}

// decode returns the value of a row, or the zero value if the row is absent.
func decode[T any](row table.Row) (T, error) {
	var value T
	if row.Revision == 0 {
		return value, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, oops.Wrapf(err, "decode row %s", row.Key)
	}
	return value, nil
}

func encode(key table.Key, value any) (table.Write, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return table.Write{}, oops.Wrapf(err, "encode row %s", key)
	}
	return table.Write{Key: key, Value: body}, nil
}

// statementKey identifies the statement of a window by its partner and customer.
type statementKey struct {
	partner  ident.Partner
	customer ident.Customer
}

// statementSums holds the statements of a window while its totals are added up.
type statementSums map[statementKey]*Statement

// add adds the totals of a row for which include returns true.
func (s statementSums) add(row table.Row, window ident.Window, include func(ledger.Total) bool) error {
	totals, err := ledger.DecodeRow[ledger.Totals](row)
	if err != nil {
		return err
	}
	for _, total := range totals.Totals {
		if !include(total) {
			continue
		}
		key := statementKey{partner: total.Partner, customer: total.Customer}
		if s[key] == nil {
			s[key] = &Statement{Partner: total.Partner, Customer: total.Customer, Window: window}
		}
		s[key].add(total)
	}
	return nil
}

func (s *Statement) add(total ledger.Total) {
	s.Usage = s.Usage.Plus(total.Usage)
	if total.OriginWindow == 0 {
		return
	}
	index, found := slices.BinarySearchFunc(s.Late, total.OriginWindow, func(late LateUsage, window ident.Window) int {
		return cmp.Compare(late.Window, window)
	})
	if !found {
		s.Late = slices.Insert(s.Late, index, LateUsage{Window: total.OriginWindow})
	}
	s.Late[index].Usage = s.Late[index].Usage.Plus(total.Usage)
}

// statements returns the statements sorted by customer and partner.
func (s statementSums) statements() []Statement {
	list := make([]Statement, 0, len(s))
	for _, statement := range s {
		list = append(list, *statement)
	}
	slices.SortFunc(list, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Partner, b.Partner))
	})
	return list
}

// freeze returns the row that stores the statements.
func (s statementSums) freeze(window ident.Window) (FrozenWindow, error) {
	frozen := FrozenWindow{Window: window}
	for _, statement := range s.statements() {
		body, err := json.Marshal(statement)
		if err != nil {
			return FrozenWindow{}, oops.Wrapf(err, "encode statement of %s", statement.Customer)
		}
		frozen.Statements = append(frozen.Statements, body)
	}
	return frozen, nil
}
