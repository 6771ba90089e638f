package peers

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
)

// rowFeed lists one row.
type rowFeed struct {
	table.Feed
	change table.Change
}

func (f *rowFeed) List(context.Context, string) (table.Batch, error) {
	return table.Batch{Changes: []table.Change{f.change}}, nil
}

func (f *rowFeed) put(t *testing.T, revision table.Revision, row Row) {
	t.Helper()
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	f.change = table.Change{Row: table.Row{Key: key(row.Incarnation), Value: value, Revision: revision}}
}

// TestLateWriteOfRow guards against usage that is lost: the store performs a write of a row late, after its instance has written it again, and thus brings
// back earlier counts.
func TestLateWriteOfRow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	feed := &rowFeed{}
	registry := New(Config{Feed: feed, Incarnation: "self", Log: func(string, ...any) {}})
	row := Row{Process: "p", Incarnation: "i", Address: netip.MustParseAddrPort("127.0.0.1:1"), Sequence: 2, UsageUntilMS: 2000, Usage: usage.Counts{1: {"c": 5}}, Draining: true}
	late := row
	late.Sequence, late.UsageUntilMS, late.Usage, late.Draining = 1, 1000, usage.Counts{1: {"c": 3}}, false
	for _, step := range []struct {
		revision table.Revision
		row      Row
	}{{1, row}, {2, late}} {
		feed.put(t, step.revision, step.row)
		rows, err := registry.Read(t.Context())
		is.NoErr(err)
		is.Equal(rows[key("i")].Usage[1]["c"], int64(5))
		is.Equal(rows[key("i")].UsageUntilMS, int64(2000))
		is.Equal(len(registry.Peers()), 0)
	}
	row.Sequence, row.UsageUntilMS, row.Draining = 3, 3000, false
	feed.put(t, 3, row)
	rows, err := registry.Read(t.Context())
	is.NoErr(err)
	is.Equal(rows[key("i")].UsageUntilMS, int64(3000))
	is.Equal(len(registry.Peers()), 1)
}
