// Package billing closes usage windows and reports their frozen figures.
//
// A window is sealed after its end and a grace: from then on no usage enters it. A partition's figures are then summed
// and frozen in one transaction under the lease, and only what is frozen is reported.
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

// Partitions is how many parts the customers are split into for closing and reporting; it never changes.
const Partitions = 4

// Rows of the billing.
const (
	prefixProgress table.Key = "usage/progress/"
	prefixFrozen   table.Key = "usage/frozen/"
)

// Partition numbers a part of the customers.
type Partition int

// PartitionOf returns the part that a customer is in.
func PartitionOf(customer ident.Customer) Partition {
	return Partition(xxhash.Sum64String(string(customer)) % Partitions)
}

// Progress is how far a partition has come.
type Progress struct {
	// Frozen is the last window whose figures are frozen, Reported the last one reported; Reported <= Frozen.
	Frozen   ident.Window `json:"frozen"`
	Reported ident.Window `json:"reported"`
}

// LateUsage is usage that its own window was sealed for.
type LateUsage struct {
	Window ident.Window `json:"window"`
	Usage  ledger.Usage `json:"usage"`
}

// Statement is what a customer is billed for in a window.
type Statement struct {
	Partner  ident.Partner  `json:"partner"`
	Customer ident.Customer `json:"customer"`
	Window   ident.Window   `json:"window"`
	// Usage is all that is billed, what came late included.
	Usage ledger.Usage `json:"usage"`
	// Late rises by window.
	Late []LateUsage `json:"late,omitempty"`
}

// FrozenWindow is the row of a partition and window; it never changes.
type FrozenWindow struct {
	Window ident.Window `json:"window"`
	// Statements are sorted by customer and partner; each is the body of a report, byte by byte.
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

// decode returns the value of a row; an absent one gives the zero value.
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

// payer names whom a statement is for.
type payer struct {
	partner  ident.Partner
	customer ident.Customer
}

// sum adds up the rows of a window.
type sum map[payer]*Statement

// add takes over a row of totals, but for customers of other partitions.
func (s sum) add(row table.Row, window ident.Window, wanted func(ledger.Total) bool) error {
	totals, err := ledger.DecodeRow[ledger.Totals](row)
	if err != nil {
		return err
	}
	for _, total := range totals.Totals {
		if !wanted(total) {
			continue
		}
		key := payer{partner: total.Partner, customer: total.Customer}
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
	index, found := slices.BinarySearchFunc(s.Late, total.OriginWindow, func(late LateUsage, from ident.Window) int {
		return cmp.Compare(late.Window, from)
	})
	if !found {
		s.Late = slices.Insert(s.Late, index, LateUsage{Window: total.OriginWindow})
	}
	s.Late[index].Usage = s.Late[index].Usage.Plus(total.Usage)
}

// statements returns the statements in order.
func (s sum) statements() []Statement {
	list := make([]Statement, 0, len(s))
	for _, statement := range s {
		list = append(list, *statement)
	}
	slices.SortFunc(list, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Partner, b.Partner))
	})
	return list
}

// freeze returns the row that keeps the sum.
func (s sum) freeze(window ident.Window) (FrozenWindow, error) {
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
