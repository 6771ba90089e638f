package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Rows of the usage.
const (
	// KeySealed holds the last window that takes no more usage.
	KeySealed table.Key = "usage/sealed"
	// PrefixTotal is followed by the window, the writer and its flush.
	PrefixTotal table.Key = "usage/total/"
	// PrefixLedger is followed by the ledger's incarnation.
	PrefixLedger table.Key = "usage/ledger/"
	// PrefixOrphan is followed by the request.
	PrefixOrphan table.Key = "usage/orphan/"
)

// Sealed is the row of sealed windows.
type Sealed struct {
	// Through only goes up: no window up to it takes more usage.
	Through ident.Window `cbor:"1,keyasint"`
}

// State is the row of one ledger incarnation.
type State struct {
	// Flush is the number of the last flush; it only goes up.
	Flush uint64 `cbor:"1,keyasint"`
	// Covered holds the attempts whose usage, or lack of it, is durable.
	Covered Coverage `cbor:"2,keyasint"`
	// Fenced is never cleared: no flush of the incarnation comes after it.
	Fenced  bool          `cbor:"3,keyasint,omitempty"`
	Process ident.Process `cbor:"4,keyasint,omitempty"`
}

// decodeState returns the row of a ledger and the row of sealed windows.
func decodeState(ledger, sealed table.Row) (State, Sealed, error) {
	state, err := DecodeRow[State](ledger)
	if err != nil {
		return State{}, Sealed{}, err
	}
	windows, err := DecodeRow[Sealed](sealed)
	return state, windows, err
}

// Coverage is a set of attempts: all below Next but those in Open.
type Coverage struct {
	Next Sequence `cbor:"1,keyasint"`
	// Open rises.
	Open []Sequence `cbor:"2,keyasint,omitempty"`
}

// Covers reports whether the attempt is in the set.
func (c Coverage) Covers(sequence Sequence) bool {
	_, open := slices.BinarySearch(c.Open, sequence)
	return sequence < c.Next && !open
}

// Through returns the greatest attempt up to which all are covered.
func (c Coverage) Through() Sequence {
	if len(c.Open) > 0 {
		return c.Open[0] - 1
	}
	return max(c.Next, 1) - 1
}

func (c Coverage) equal(other Coverage) bool {
	return c.Next == other.Next && slices.Equal(c.Open, other.Open)
}

// Total is one customer's usage in a row of totals.
type Total struct {
	Partner  ident.Partner  `cbor:"1,keyasint"`
	Customer ident.Customer `cbor:"2,keyasint"`
	// OriginWindow is the window that the usage was too late for, 0 for usage in time.
	OriginWindow ident.Window `cbor:"3,keyasint,omitempty"`
	Usage        Usage        `cbor:"4,keyasint"`
}

// Totals is the row of one flush and window; it never changes.
type Totals struct {
	// Totals are sorted by partner, customer and window of origin.
	Totals []Total `cbor:"1,keyasint"`
}

// PrefixWindow returns what the keys of a window's totals start with.
func PrefixWindow(window ident.Window) table.Key {
	return table.Key(fmt.Sprintf("%s%012d/", PrefixTotal, window))
}

// WindowOf returns the window of a row of totals.
func WindowOf(key table.Key) (ident.Window, error) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(string(key), string(PrefixTotal)), "/")
	window, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0, oops.Wrapf(err, "key %s", key)
	}
	return ident.Window(window), nil
}

// DecodeRow returns the value of a row; an absent one gives the zero value.
func DecodeRow[T any](row table.Row) (T, error) {
	var value T
	if row.Revision == 0 {
		return value, nil
	}
	if err := cbor.Unmarshal(row.Value, &value); err != nil {
		return value, oops.Wrapf(err, "decode row %s", row.Key)
	}
	return value, nil
}

// EncodeRow returns a write of the value.
func EncodeRow(key table.Key, value any) (table.Write, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return table.Write{}, oops.Wrapf(err, "encode row %s", key)
	}
	return table.Write{Key: key, Value: body}, nil
}

// encodeTotals returns a write for each window of the totals, by one flush.
func encodeTotals(totals map[account]Usage, writer string) ([]table.Write, error) {
	windows := make(map[ident.Window]*Totals)
	for key, usage := range totals {
		row := windows[key.window]
		if row == nil {
			row = new(Totals)
			windows[key.window] = row
		}
		row.Totals = append(row.Totals, Total{Partner: key.partner, Customer: key.customer, OriginWindow: key.from, Usage: usage})
	}
	var writes []table.Write
	for window, row := range windows {
		slices.SortFunc(row.Totals, compareTotals)
		write, err := EncodeRow(PrefixWindow(window)+table.Key(writer), *row)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	slices.SortFunc(writes, func(a, b table.Write) int { return cmp.Compare(a.Key, b.Key) })
	return writes, nil
}

func compareTotals(a, b Total) int {
	return cmp.Or(cmp.Compare(a.Partner, b.Partner), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.OriginWindow, b.OriginWindow))
}
